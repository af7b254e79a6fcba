//! Everything that can happen to the decision logic.
//!
//! Every kind is a plain value that can be written as one JSON line and read
//! back, so that any run can be recorded and replayed. Request bodies stay in
//! the shell; the decision logic sees their shape only.

use super::{
    config::record::{Account, GroupSpec, Model, Service, Upgrade},
    keys::{
        AccountName, AdapterName, AttemptId, CallId, CommandId, DaemonName, DomainName, Epoch,
        Fence, GroupName, HallName, HostName, Incarnation, KeyHash, LeaseId, ModelName,
        OperationId, OrderId, PlatformId, Revision, ServiceName, UpgradeName, VersionName,
    },
    message::Message,
    time::Span,
    timer::Timer,
};
use bytes::Bytes;
use std::net::SocketAddr;

crate::record! {
    /// One event for the decision logic.
    pub enum Input {
        /// The daemon has started; comes first, once.
        Start,
        /// A timer is due; it may be one that no longer matters.
        Timer(Timer),
        /// From a caller.
        Call(CallInput),
        /// From a runner.
        Runner(RunnerInput),
        /// From the platform's key-value service.
        Platform(PlatformInput),
        /// From the list of live and leaving hosts.
        Hosts(HostsInput),
        /// From another daemon.
        Peer(PeerInput),
        /// From an operator.
        Operator(OperatorInput),
        /// The daemon was told to stop gracefully.
        Stop,
    }

    /// An event from a caller.
    pub enum CallInput {
        /// A request came in whole.
        Arrived {
            /// Its identifier.
            call: CallId,
            /// What is asked.
            request: CallRequest,
        },
        /// The caller has gone away.
        Gone {
            /// The request given up.
            call: CallId,
        },
        /// A caller asks which daemons to use.
        Entries {
            /// The question's identifier.
            call: CallId,
            /// Who asks.
            credential: KeyHash,
            /// The model that the caller means to use.
            model: Option<ModelName>,
        },
    }

    /// What a caller asks, without its body.
    pub struct CallRequest {
        /// Who asks.
        pub credential: KeyHash,
        /// Where the request is to run.
        pub target: Target,
        /// Whether running it twice does no harm.
        pub idempotent: bool,
        /// The ticket handed out with the entries, if the caller has one.
        pub ticket: Option<Ticket>,
        /// The caller's own idempotency key.
        pub idempotency_key: Option<Box<str>>,
        /// How long the caller will wait, from arrival.
        pub deadline: Option<Span>,
        /// Estimated prompt tokens.
        pub prompt_tokens: u32,
        /// The most tokens that may be generated.
        pub max_tokens: u32,
        /// Hashes of the prompt's successive prefix blocks.
        pub prefix: Vec<u64>,
        /// Set when another daemon relayed the request to this one.
        pub relayed_by: Option<DaemonName>,
    }

    /// Where a request is to run.
    pub enum Target {
        /// On a group that holds a model.
        Model {
            /// The model.
            model: ModelName,
            /// A version, if only that one will do.
            version: Option<VersionName>,
            /// An adapter, if one is wanted.
            adapter: Option<AdapterName>,
        },
        /// On a plain service.
        Service {
            /// The service.
            service: ServiceName,
        },
    }

    /// Names the one daemon incarnation that may start a non-idempotent request.
    pub struct Ticket {
        /// The arbiter.
        pub daemon: DaemonName,
        /// The arbiter's run that drew the ticket.
        pub incarnation: Incarnation,
        /// The ticket's number.
        pub number: u64,
        /// Proof that the arbiter drew it for this account.
        pub proof: u64,
    }

    /// An event from a runner, or from the peer that a call was relayed to.
    pub enum RunnerInput {
        /// An attempt's answer has begun.
        Accepted {
            /// The attempt the shell made.
            attempt: AttemptId,
            /// What the answer says it belongs to.
            echo: Echo,
        },
        /// Part of an answer.
        Chunk {
            /// The attempt the shell made.
            attempt: AttemptId,
            /// The position of its first token in the whole answer.
            offset: u32,
            /// How many tokens it holds.
            tokens: u32,
            /// The bytes to pass on.
            payload: Payload,
        },
        /// An answer has ended whole.
        Finished {
            /// The attempt the shell made.
            attempt: AttemptId,
        },
        /// An attempt has ended otherwise.
        Failed {
            /// The attempt the shell made.
            attempt: AttemptId,
            /// How.
            failure: Failure,
        },
        /// A load report.
        Load {
            /// The host.
            host: HostName,
            /// The report, or nothing if the runner didn't answer.
            report: Option<LoadReport>,
        },
        /// Cache events.
        Cache {
            /// The host.
            host: HostName,
            /// The sequence number of the first event; a jump means a gap.
            first: u64,
            /// The events, in order.
            events: Vec<CacheEvent>,
        },
        /// The end of an order.
        Ordered {
            /// The order.
            order: OrderId,
            /// The host.
            host: HostName,
            /// What came of it.
            outcome: OrderOutcome,
        },
        /// What a runner really holds.
        Holding {
            /// The host.
            host: HostName,
            /// Its state, or nothing if it didn't answer.
            holding: Option<Holding>,
        },
    }

    /// What an answer says it belongs to.
    pub struct Echo {
        /// The attempt, as the runner knows it.
        pub attempt: Option<AttemptId>,
        /// The group epoch that the runner serves.
        pub epoch: Option<Epoch>,
    }

    /// How an attempt failed.
    pub enum Failure {
        /// No byte of the call was sent.
        NotSent,
        /// The runner answered that it did not run the call.
        Declined,
        /// The connection ended after bytes of the call were sent.
        Cut,
        /// The other side said that the call may have run.
        Unknown,
        /// The runner answered with an error status after it took the call.
        Status(u16),
    }

    /// A runner's report of its load, some time ago.
    #[derive(Default)]
    #[serde(default)]
    pub struct LoadReport {
        /// Requests being run.
        pub running: u32,
        /// Requests waiting.
        pub waiting: u32,
        /// Prompt tokens waiting to be processed.
        pub pending_tokens: u32,
        /// Recent time between tokens.
        pub token_gap: Span,
        /// The most requests it runs at once.
        pub slots: u32,
        /// The age of the figures when they were sent.
        pub age: Span,
        /// Set when the runner says that it is leaving.
        pub leaving: bool,
    }

    /// A change in a runner's prefix cache.
    pub enum CacheEvent {
        /// A block is held.
        Stored(u64),
        /// A block has gone.
        Removed(u64),
    }

    /// What came of an order.
    pub enum OrderOutcome {
        /// The runner carried it out.
        Done,
        /// The runner refused an old fencing number.
        Stale {
            /// The number that it holds.
            fence: Fence,
        },
        /// The runner can't carry it out.
        Rejected(String),
        /// No answer; the order may be carried out at any time.
        Lost,
    }

    /// What a runner holds.
    #[derive(Default)]
    #[serde(default)]
    pub struct Holding {
        /// The group that it was last ordered into.
        pub group: Option<GroupName>,
        /// That order's epoch.
        pub epoch: Epoch,
        /// The model loaded.
        pub model: Option<ModelName>,
        /// The version loaded.
        pub version: Option<VersionName>,
        /// The adapters loaded.
        pub adapters: Vec<AdapterName>,
        /// Whether loading has finished.
        pub ready: bool,
        /// Whether it takes no new work.
        pub draining: bool,
        /// Requests being run.
        pub running: u32,
        /// The highest fencing number seen.
        pub fence: Fence,
    }

    /// An event from the platform's key-value service.
    pub enum PlatformInput {
        /// The answer to a call.
        Answered {
            /// The call.
            id: PlatformId,
            /// The answer.
            answer: PlatformAnswer,
        },
        /// A call has failed; a write may have taken effect all the same.
        Failed {
            /// The call.
            id: PlatformId,
        },
        /// Changes under a watch, in order.
        Watched {
            /// The watch.
            id: PlatformId,
            /// The revision up to which the watch is now complete.
            revision: Revision,
            /// The changes; none when this only marks progress.
            events: Vec<WatchEvent>,
        },
        /// A watch has ended.
        WatchEnded {
            /// The watch.
            id: PlatformId,
            /// Set when the revisions asked for are gone; a new list is needed.
            compacted: bool,
        },
    }

    /// The platform's answer to a call.
    pub enum PlatformAnswer {
        /// What a read found.
        Entries {
            /// The revision read at.
            revision: Revision,
            /// The entries found.
            entries: Vec<PlatformEntry>,
        },
        /// A write took effect.
        Written {
            /// At this revision.
            revision: Revision,
        },
        /// A write did not take effect: the key had changed.
        Conflict {
            /// The revision read at.
            revision: Revision,
            /// What the key holds.
            current: Option<PlatformEntry>,
        },
        /// A lease was granted or kept alive.
        Leased {
            /// The lease.
            lease: LeaseId,
            /// How long it now lasts, zero if it is gone.
            ttl: Span,
        },
        /// A lease was revoked.
        Revoked,
    }

    /// A key and its value at the platform's service.
    pub struct PlatformEntry {
        /// The key.
        pub key: String,
        /// The value, JSON text.
        pub value: String,
        /// The revision of its last write.
        pub revision: Revision,
        /// The lease that it hangs on, if any.
        pub lease: Option<LeaseId>,
    }

    /// One change under a watch.
    pub enum WatchEvent {
        /// A key was written.
        Put(PlatformEntry),
        /// A key was deleted.
        Deleted {
            /// The key.
            key: String,
            /// The revision at which it was deleted.
            revision: Revision,
        },
    }

    /// An event from the list of hosts, which lags behind reality.
    pub enum HostsInput {
        /// The list, whole.
        Listed(Vec<HostEntry>),
        /// The list could not be read.
        Failed,
    }

    /// One host of the list.
    pub struct HostEntry {
        /// Its name.
        pub host: HostName,
        /// Its hall.
        pub hall: HallName,
        /// Its fabric domain.
        pub domain: DomainName,
        /// The address of its runner.
        pub address: SocketAddr,
        /// How many accelerators it has.
        pub accelerators: u16,
        /// What its runner is.
        pub kind: RunnerKind,
        /// Whether it is leaving.
        pub leaving: bool,
        /// What its runner checks of an order.
        pub checks: OrderChecks,
    }

    /// What a runner is.
    pub enum RunnerKind {
        /// A model engine, ordered by the system.
        Engine,
        /// A plain service.
        Service(ServiceName),
    }

    /// What a runner checks of an order.
    #[derive(Copy, Eq)]
    pub enum OrderChecks {
        /// It refuses old fencing numbers.
        Fenced,
        /// It ignores fencing numbers, but checks who orders.
        Sender,
        /// It checks nothing.
        Nothing,
    }

    /// An event from another daemon.
    pub enum PeerInput {
        /// An authentic message.
        Received {
            /// The sender.
            from: DaemonName,
            /// The sender's run.
            incarnation: Incarnation,
            /// Where it can be answered.
            address: SocketAddr,
            /// The message.
            message: Message,
        },
        /// A message over a stream could not be delivered.
        Undelivered {
            /// Where it was sent.
            address: SocketAddr,
        },
    }

    /// An operator's request.
    pub struct OperatorInput {
        /// Its identifier.
        pub command: CommandId,
        /// The operation; the same one asked twice takes effect once.
        pub operation: OperationId,
        /// What is asked.
        pub request: OperatorRequest,
    }

    /// What an operator asks.
    pub enum OperatorRequest {
        /// Create or change an account.
        PutAccount(Account),
        /// Delete an account.
        DeleteAccount(AccountName),
        /// Create or change a model.
        PutModel(Model),
        /// Delete a model that no group uses.
        DeleteModel(ModelName),
        /// Create or change a plain service.
        PutService(Service),
        /// Create a group.
        CreateGroup(GroupSpec),
        /// Change a group; the revision must be the one last seen.
        ChangeGroup {
            /// The group as it is to be.
            spec: GroupSpec,
            /// The revision that the change is based on.
            based_on: Revision,
        },
        /// Take a group out of service gracefully, or put it back.
        DrainGroup {
            /// The group.
            group: GroupName,
            /// Whether it is to be drained.
            drained: bool,
        },
        /// Delete a group; it is drained first.
        DeleteGroup(GroupName),
        /// Start an upgrade.
        StartUpgrade(Upgrade),
        /// Pause, resume or abort an upgrade.
        SteerUpgrade {
            /// The upgrade.
            upgrade: UpgradeName,
            /// What to do.
            action: UpgradeAction,
        },
        /// Report on everything.
        Status,
    }

    /// What to do with an upgrade under way.
    #[derive(Copy, Eq)]
    pub enum UpgradeAction {
        /// Start no further step.
        Pause,
        /// Go on.
        Resume,
        /// Go back to the version before.
        Abort,
    }
}

/// Bytes passed through unread; recordings keep their length only.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Payload(pub Bytes);

impl serde::Serialize for Payload {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.serialize_u64(self.0.len() as u64)
    }
}

impl<'de> serde::Deserialize<'de> for Payload {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let length = u64::deserialize(deserializer)?;
        if length > MAX_PAYLOAD_BYTES {
            return Err(serde::de::Error::custom("payload is too long"));
        }
        Ok(Payload(Bytes::from(vec![b'x'; length as usize])))
    }
}

/// The longest payload that a recording may claim, in bytes.
const MAX_PAYLOAD_BYTES: u64 = 16 << 20;
