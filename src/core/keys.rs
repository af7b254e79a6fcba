//! Names and identifiers shared by all parts of the decision logic.
//!
//! Names come from operators and settings and are permanent. Most numbered
//! identifiers are assigned by one daemon incarnation and valid only within it.
//! Arena keys (`slotmap`) stay private to the part that owns the arena.

use std::fmt;

crate::name! {
    /// Name of an account.
    AccountName;
    /// Name of a model.
    ModelName;
    /// Version of a model.
    VersionName;
    /// Name of an adapter that is loaded on top of a model.
    AdapterName;
    /// Name of a serving group: the hosts that hold one replica.
    GroupName;
    /// Name of a plain service.
    ServiceName;
    /// Name of a host and of the runner on it.
    HostName;
    /// Name of a fabric domain.
    DomainName;
    /// Name of a hall: one failure domain.
    HallName;
    /// Name of a region.
    RegionName;
    /// Name of a daemon.
    DaemonName;
    /// Name of an upgrade.
    UpgradeName;
}

crate::key! {
    /// Identifier of a caller's request, assigned by the shell that accepted it.
    #[serde(transparent)]
    pub struct CallId(pub u64);

    /// Identifier of one attempt at a call, on one runner or through one daemon.
    #[serde(transparent)]
    pub struct AttemptId(pub u64);

    /// Identifier of an order to a runner.
    #[serde(transparent)]
    pub struct OrderId(pub u64);

    /// Identifier of an operator's request, assigned by the shell that accepted it.
    #[serde(transparent)]
    pub struct CommandId(pub u64);

    /// Identifier of a lease at the platform's store.
    #[serde(transparent)]
    pub struct LeaseId(pub i64);

    /// Number of times that the platform's store has come back from an older copy. Revisions and
    /// leases of different eras can't be compared.
    #[serde(transparent)]
    pub struct Era(pub u64);

    /// Revision of the platform's key space, which increases with each write.
    #[serde(transparent)]
    pub struct Revision(pub i64);

    /// Placement epoch of a group, drawn from the serial number of its placement record.
    #[serde(transparent)]
    pub struct Epoch(pub i64);

    /// Fencing number: the revision at which a duty was claimed.
    #[serde(transparent)]
    pub struct Fence(pub i64);

    /// Number of one run of a daemon, which increases with each run.
    #[serde(transparent)]
    pub struct Incarnation(pub u64);

    /// Part of a prompt, which several requests may share.
    #[serde(transparent)]
    pub struct PromptPart(pub u64);

    /// Hash of what makes two requests the same.
    #[serde(transparent)]
    pub struct Fingerprint(pub u64);

    /// Number of one arrival of a request, drawn at random.
    #[serde(transparent)]
    pub struct Arrival(pub u64);

    /// Identifier of an operation, chosen by an operator or drawn at random by a daemon.
    #[serde(transparent)]
    pub struct OperationId(pub u64);

    /// Part of the decision logic that makes platform calls.
    pub enum Owner {
        /// The configuration.
        #[default]
        Config,
        /// The groups.
        Group,
        /// The members.
        Member,
        /// The requests.
        Request,
    }

    /// Identifier of a platform call.
    pub struct PlatformId {
        /// Part that waits for the answer.
        pub owner: Owner,
        /// Number of the call.
        pub number: u64,
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Hash of a caller's key, serialized as hexadecimal text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Returns the hash of a key.
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
