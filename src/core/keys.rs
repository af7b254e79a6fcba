//! Names and identifiers shared by every part of the decision logic.
//!
//! Names come from operators and settings and last; numbered identifiers are
//! drawn by one daemon incarnation and mean nothing outside it. Arena keys
//! (`slotmap`) stay private to the part that owns the arena.

crate::name! {
    /// A client account.
    AccountName;
    /// A model.
    ModelName;
    /// A model's version.
    VersionName;
    /// An adapter loaded on top of a model.
    AdapterName;
    /// A serving group: the hosts that hold one replica.
    GroupName;
    /// A plain service.
    ServiceName;
    /// A host, and the runner on it.
    HostName;
    /// A fabric domain.
    DomainName;
    /// A hall: one failure domain.
    HallName;
    /// A region.
    RegionName;
    /// A daemon of the system.
    DaemonName;
    /// An upgrade.
    UpgradeName;
}

crate::key! {
    /// A caller's request, drawn by the shell that accepted it.
    #[serde(transparent)]
    pub struct CallId(pub u64);

    /// One attempt at a call, on one runner or through one peer.
    #[serde(transparent)]
    pub struct AttemptId(pub u64);

    /// An order to a runner.
    #[serde(transparent)]
    pub struct OrderId(pub u64);

    /// An operator's request, drawn by the shell that accepted it.
    #[serde(transparent)]
    pub struct CommandId(pub u64);

    /// A lease at the platform's service.
    #[serde(transparent)]
    pub struct LeaseId(pub i64);

    /// A revision of the platform's key space; later revisions are larger.
    #[serde(transparent)]
    pub struct Revision(pub i64);

    /// A group's placement epoch: the revision of the write that placed it.
    #[serde(transparent)]
    pub struct Epoch(pub i64);

    /// A fencing number: the revision at which a duty was claimed.
    #[serde(transparent)]
    pub struct Fence(pub i64);

    /// One run of a daemon; a later run has a larger number.
    #[serde(transparent)]
    pub struct Incarnation(pub u64);

    /// A unique operation, named by an operator or drawn by a daemon.
    #[serde(transparent)]
    pub struct OperationId(pub u64);

    /// The part of the decision logic that made a platform call.
    pub enum Owner {
        /// Configuration.
        #[default]
        Config,
        /// Groups.
        Group,
        /// Members.
        Member,
        /// Requests.
        Request,
    }

    /// A platform call: who made it, and its number.
    pub struct PlatformId {
        /// The part that waits for the answer.
        pub owner: Owner,
        /// The call's number.
        pub number: u64,
    }
}

/// The hash of a caller's key; written as hexadecimal text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// The hash of a key.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl serde::Serialize for KeyHash {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.serialize_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl<'de> serde::Deserialize<'de> for KeyHash {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        let hash = blake3::Hash::from_hex(text.as_bytes()).map_err(serde::de::Error::custom)?;
        Ok(KeyHash(*hash.as_bytes()))
    }
}
