//! Inputs of the decision logic.
//!
//! Every input is a plain value that can be written as one JSON line and read
//! back, so that any run can be recorded and replayed. Request bodies stay in
//! the shell; the decision logic gets only their properties.

mod platform;

pub use platform::{PlatformAnswer, PlatformEntry, PlatformInput, WatchEvent};

use super::{
    config::record::{Account, GroupSpec, Model, Service, Upgrade},
    keys::{
        AccountName, AdapterName, AttemptId, CallId, CommandId, DaemonName, DomainName, Epoch,
        Fence, GroupName, HallName, HostName, Incarnation, KeyHash, ModelName, OperationId,
        OrderId, Revision, ServiceName, UpgradeName, VersionName,
    },
    message::Message,
    time::Span,
    timer::Timer,
};
use bytes::Bytes;
use std::net::SocketAddr;

crate::record! {
    /// Event that the decision logic handles.
    pub enum Input {
        /// The daemon has started; always the first input, and given once.
        Start,
        /// A timer has fired; it may be obsolete.
        Timer(Timer),
        /// Event from a caller.
        Call(CallInput),
        /// Event from a runner.
        Runner(RunnerInput),
        /// Event from the platform's key-value store.
        Platform(PlatformInput),
        /// Event from the host list.
        Hosts(HostsInput),
        /// Event from another daemon.
        Peer(PeerInput),
        /// Request from an operator.
        Operator(OperatorInput),
        /// Request to stop the daemon gracefully.
        Stop,
    }

    /// Event from a caller.
    pub enum CallInput {
        /// A request has arrived completely.
        Arrived {
            /// Identifier of the request.
            call: CallId,
            /// Properties of the request.
            request: CallRequest,
        },
        /// The caller has disconnected.
        Gone {
            /// Request that the caller gave up.
            call: CallId,
        },
        /// A caller requests the list of daemons to use.
        Entries {
            /// Identifier of the request.
            call: CallId,
            /// Hash of the caller's key.
            credential: KeyHash,
            /// Model that the caller intends to use.
            model: Option<ModelName>,
        },
    }

    /// Properties of a caller's request, without its body.
    pub struct CallRequest {
        /// Hash of the caller's key.
        pub credential: KeyHash,
        /// Model or service that the request is for.
        pub target: Target,
        /// True if the request may be run twice.
        pub idempotent: bool,
        /// Ticket issued with the entries, if the caller has one.
        pub ticket: Option<Ticket>,
        /// Idempotency key chosen by the caller.
        pub idempotency_key: Option<Box<str>>,
        /// Time that the caller waits, from arrival.
        pub deadline: Option<Span>,
        /// Estimated number of prompt tokens.
        pub prompt_tokens: u32,
        /// Maximum number of tokens to generate.
        pub max_tokens: u32,
        /// Hashes of the prompt's successive prefix blocks.
        pub prefix: Vec<u64>,
        /// Daemon that relayed the request to this one, if any.
        pub relayed_by: Option<DaemonName>,
    }

    /// Model or service that a request is for.
    pub enum Target {
        /// A model, served by any group that holds it.
        Model {
            /// Name of the model.
            model: ModelName,
            /// Required version, if only one will do.
            version: Option<VersionName>,
            /// Required adapter, if any.
            adapter: Option<AdapterName>,
        },
        /// A plain service.
        Service {
            /// Name of the service.
            service: ServiceName,
        },
    }

    /// Ticket that names the one daemon incarnation that may start a non-idempotent request.
    pub struct Ticket {
        /// Daemon that issued the ticket and arbitrates the request.
        pub daemon: DaemonName,
        /// Incarnation of that daemon.
        pub incarnation: Incarnation,
        /// Number of the ticket.
        pub number: u64,
        /// Proof that the daemon issued the ticket for this account.
        pub proof: u64,
    }

    /// Event from a runner, or from the daemon that a call was relayed to.
    pub enum RunnerInput {
        /// The response to an attempt has begun.
        Accepted {
            /// Attempt that the shell made.
            attempt: AttemptId,
            /// Attempt and epoch that the response claims to belong to.
            echo: Echo,
        },
        /// Part of a response.
        Chunk {
            /// Attempt that the shell made.
            attempt: AttemptId,
            /// Position of the part's first token in the whole response.
            offset: u32,
            /// Number of tokens in the part.
            tokens: u32,
            /// Bytes to relay to the caller.
            payload: Payload,
        },
        /// A response is complete.
        Finished {
            /// Attempt that the shell made.
            attempt: AttemptId,
        },
        /// An attempt has failed.
        Failed {
            /// Attempt that the shell made.
            attempt: AttemptId,
            /// Cause of the failure.
            failure: Failure,
        },
        /// Result of a load poll.
        Load {
            /// Name of the host.
            host: HostName,
            /// Load report; `None` if the runner didn't respond.
            report: Option<LoadReport>,
        },
        /// Cache events of a runner.
        Cache {
            /// Name of the host.
            host: HostName,
            /// Sequence number of the first event; a jump means that events were missed.
            first: u64,
            /// Events, in order.
            events: Vec<CacheEvent>,
        },
        /// An order has ended.
        Ordered {
            /// Identifier of the order.
            order: OrderId,
            /// Name of the host.
            host: HostName,
            /// Outcome of the order.
            outcome: OrderOutcome,
        },
        /// Actual state of a runner.
        Holding {
            /// Name of the host.
            host: HostName,
            /// State of the runner; `None` if it didn't respond.
            holding: Option<Holding>,
        },
    }

    /// Attempt and epoch that a response claims to belong to.
    pub struct Echo {
        /// Attempt that the runner responds to.
        pub attempt: Option<AttemptId>,
        /// Group epoch that the runner serves.
        pub epoch: Option<Epoch>,
    }

    /// Cause of a failed attempt.
    pub enum Failure {
        /// No byte of the call was sent.
        NotSent,
        /// The runner declined the call: it did not run it.
        Declined,
        /// The connection ended after bytes of the call were sent.
        Cut,
        /// The runner or daemon reported that the call may have run.
        Unknown,
        /// The runner responded with an error status after it accepted the call.
        Status(u16),
    }

    /// Load of a runner, as reported some time ago.
    #[derive(Default)]
    #[serde(default)]
    pub struct LoadReport {
        /// Number of requests in progress.
        pub running: u32,
        /// Number of requests waiting.
        pub waiting: u32,
        /// Number of prompt tokens waiting to be processed.
        pub pending_tokens: u32,
        /// Recent time between tokens.
        pub token_gap: Span,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Age of the figures when they were sent.
        pub age: Span,
        /// True if the runner reports that it is leaving.
        pub leaving: bool,
    }

    /// Change in a runner's prefix cache.
    pub enum CacheEvent {
        /// The block with this hash was stored.
        Stored(u64),
        /// The block with this hash was removed.
        Removed(u64),
    }

    /// Outcome of an order to a runner.
    pub enum OrderOutcome {
        /// The runner carried it out.
        Done,
        /// The runner refused it because of an old fencing number.
        Stale {
            /// Fencing number that the runner holds.
            fence: Fence,
        },
        /// The runner can't carry it out; the text gives the reason.
        Rejected(String),
        /// No response arrived; the order may still be carried out at any time.
        Lost,
    }

    /// State that a runner reports.
    #[derive(Default)]
    #[serde(default)]
    pub struct Holding {
        /// Group that the runner was last ordered into.
        pub group: Option<GroupName>,
        /// Epoch of that order.
        pub epoch: Epoch,
        /// Loaded model.
        pub model: Option<ModelName>,
        /// Loaded version.
        pub version: Option<VersionName>,
        /// Loaded adapters.
        pub adapters: Vec<AdapterName>,
        /// True once loading has finished.
        pub ready: bool,
        /// True if the runner accepts no new work.
        pub draining: bool,
        /// Number of requests in progress.
        pub running: u32,
        /// Highest fencing number seen.
        pub fence: Fence,
    }

    /// Event from the host list, which may lag behind the hosts' actual state.
    pub enum HostsInput {
        /// The list was read completely.
        Listed(Vec<HostEntry>),
        /// The list could not be read.
        Failed,
    }

    /// Entry of one host in the host list.
    pub struct HostEntry {
        /// Name of the host.
        pub host: HostName,
        /// Hall of the host.
        pub hall: HallName,
        /// Fabric domain of the host.
        pub domain: DomainName,
        /// Address of the runner.
        pub address: SocketAddr,
        /// Number of accelerators.
        pub accelerators: u16,
        /// Kind of the runner.
        pub kind: RunnerKind,
        /// True if the host is leaving.
        pub leaving: bool,
        /// Checks that the runner makes on an order.
        pub checks: OrderChecks,
    }

    /// Kind of a runner.
    pub enum RunnerKind {
        /// Model engine that obeys orders of the system.
        Engine,
        /// Plain service.
        Service(ServiceName),
    }

    /// Checks that a runner makes on an order.
    #[derive(Copy, Eq)]
    pub enum OrderChecks {
        /// Refuses old fencing numbers.
        Fenced,
        /// Ignores fencing numbers, but checks the sender.
        Sender,
        /// Checks nothing.
        Nothing,
    }

    /// Event from another daemon.
    pub enum PeerInput {
        /// An authenticated message was received.
        Received {
            /// Daemon that sent it.
            from: DaemonName,
            /// Incarnation of the sender.
            incarnation: Incarnation,
            /// Address to reply to.
            address: SocketAddr,
            /// Content of the message.
            message: Message,
        },
        /// A message sent over a stream could not be delivered.
        Undelivered {
            /// Address that it was sent to.
            address: SocketAddr,
        },
    }

    /// Request from an operator.
    pub struct OperatorInput {
        /// Identifier of the request.
        pub command: CommandId,
        /// Identifier of the operation, which takes effect once however often it is requested.
        pub operation: OperationId,
        /// Change or report requested.
        pub request: OperatorRequest,
    }

    /// Change or report that an operator requests.
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
        /// Change a group, if it is still at the revision that the change is based on.
        ChangeGroup {
            /// New specification of the group.
            spec: GroupSpec,
            /// Revision that the change is based on.
            based_on: Revision,
        },
        /// Take a group out of service gracefully, or put it back.
        DrainGroup {
            /// Name of the group.
            group: GroupName,
            /// True to take the group out of service.
            drained: bool,
        },
        /// Drain a group, then delete it.
        DeleteGroup(GroupName),
        /// Start an upgrade.
        StartUpgrade(Upgrade),
        /// Pause, resume or abort an upgrade.
        SteerUpgrade {
            /// Name of the upgrade.
            upgrade: UpgradeName,
            /// Action to take.
            action: UpgradeAction,
        },
        /// Report the state of the system.
        Status,
    }

    /// Action on an upgrade in progress.
    #[derive(Copy, Eq)]
    pub enum UpgradeAction {
        /// Start no further step.
        Pause,
        /// Continue with further steps.
        Resume,
        /// Return to the previous version.
        Abort,
    }
}

/// Bytes relayed without parsing; recordings keep only their length.
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
            return Err(serde::de::Error::custom(
                "payload length in the recording exceeds the maximum",
            ));
        }
        Ok(Payload(Bytes::from(vec![b'x'; length as usize])))
    }
}

/// Maximum length of a payload that a recording may give, in bytes.
const MAX_PAYLOAD_BYTES: u64 = 16 << 20;
