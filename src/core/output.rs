//! Outputs of the decision logic, which the shell carries out in order.
//!
//! None of them blocks: answers come back later as inputs.

use super::{
    input::{Payload, Target, Ticket},
    keys::{
        AdapterName, AttemptId, CallId, CommandId, DaemonName, Epoch, Fence, GroupName, HallName,
        HostName, LeaseId, ModelName, OrderId, PlatformId, Revision, VersionName,
    },
    message::Message,
    status::Status,
    time::{Span, Time},
    timer::Timer,
};
use std::net::SocketAddr;

crate::record! {
    /// Action for the shell to carry out.
    pub enum Output {
        /// Fire a timer, replacing an earlier setting of the same timer.
        SetTimer {
            /// Timer to fire.
            timer: Timer,
            /// Time at which it fires.
            at: Time,
        },
        /// Message to a caller.
        Call(CallOutput),
        /// Message to a runner, or to the daemon that a call is relayed to.
        Runner(RunnerOutput),
        /// Call of the platform's key-value store.
        Platform {
            /// Identifier that the answer repeats.
            id: PlatformId,
            /// Call to make.
            call: PlatformCall,
        },
        /// Message to another daemon.
        Peer {
            /// Peer address of the daemon.
            to: SocketAddr,
            /// Transport to send it over.
            transport: Transport,
            /// Content of the message.
            message: Message,
        },
        /// Answer to an operator.
        Operator {
            /// Identifier of the request.
            command: CommandId,
            /// Answer to the request.
            answer: OperatorAnswer,
        },
        /// Log line for a change of state.
        Log(Event),
        /// Exit: the graceful stop is complete.
        Exit,
    }

    /// Transport of a message to another daemon.
    #[derive(Copy, Eq)]
    pub enum Transport {
        /// One datagram, which may be lost.
        Datagram,
        /// A stream, for messages too large for a datagram.
        Stream,
    }

    /// Message to a caller.
    pub enum CallOutput {
        /// Start of the response.
        Begin {
            /// Identifier of the request.
            call: CallId,
            /// Attempt whose head (status, content type) is relayed.
            attempt: AttemptId,
        },
        /// Part of the response.
        Deliver {
            /// Identifier of the request.
            call: CallId,
            /// Position of the part's first token in the whole response.
            offset: u32,
            /// Number of tokens in the part.
            tokens: u32,
            /// Bytes to relay.
            payload: Payload,
        },
        /// End of the response, sent exactly once.
        End {
            /// Identifier of the request.
            call: CallId,
            /// Result of the request.
            ending: Ending,
        },
        /// Daemons for the caller to use.
        Entries {
            /// Identifier of the request.
            call: CallId,
            /// Addresses of the daemons, in the order to try them.
            entries: Vec<EntryAddress>,
            /// Time for which the caller may cache the response.
            ttl: Span,
            /// Ticket for one non-idempotent request.
            ticket: Option<Ticket>,
        },
    }

    /// Result of a request.
    pub enum Ending {
        /// The whole response was delivered.
        Complete,
        /// The request was not run, and never will be.
        Refused {
            /// Reason for the refusal.
            reason: Refusal,
            /// Delay after which a retry is worthwhile.
            retry_after: Option<Span>,
        },
        /// The request may have run, in part or completely.
        Unknown(Doubt),
    }

    /// Reason for refusing a request.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum Refusal {
        /// The caller's key is unknown.
        Unauthorized,
        /// The account, model or service is unknown.
        NotFound,
        /// The request is invalid.
        Invalid,
        /// The account's limit is reached.
        OverLimit,
        /// The queue is full, or the response isn't expected before the deadline.
        Overloaded,
        /// No group that could run the request is in service.
        NoGroup,
        /// This daemon is stopping.
        Stopping,
        /// This daemon can't tell whether its state is current.
        Stale,
        /// The platform's store is needed and can't be reached.
        PlatformDown,
        /// Every attempt was declined or could not be sent.
        Exhausted,
        /// The deadline passed before the request was started.
        Expired,
    }

    /// Reason for not knowing whether a request ran.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum Doubt {
        /// The connection to the runner was lost during the response.
        Cut,
        /// The runner sent nothing for too long.
        Stalled,
        /// The runner responded with an error.
        RunnerError,
        /// The arbiter of a non-idempotent request can't be reached.
        ArbiterGone,
        /// The deadline passed while the request ran.
        Expired,
        /// The caller disconnected.
        CallerGone,
        /// The answer to a write at the platform's store was lost.
        ClaimLost,
        /// The grace period of this daemon's stop ended.
        Stopped,
        /// The non-idempotent request was accepted before, or its ticket is too old to tell.
        Duplicate,
    }

    /// Address of a daemon that callers may use.
    pub struct EntryAddress {
        /// Name of the daemon.
        pub daemon: DaemonName,
        /// Address for callers.
        pub address: SocketAddr,
        /// Hall of the daemon.
        pub hall: HallName,
    }

    /// Message to a runner.
    pub enum RunnerOutput {
        /// Send a call.
        Attempt {
            /// Identifier that the runner's response repeats.
            attempt: AttemptId,
            /// Call to send; the shell holds its body.
            call: CallId,
            /// Destination of the attempt.
            route: Route,
            /// Open a new connection instead of reusing an idle one.
            fresh: bool,
            /// Number of tokens already delivered, after which the response resumes.
            resume_at: u32,
        },
        /// Give up an attempt, and tell the runner to stop running it.
        Cancel {
            /// Identifier of the attempt.
            attempt: AttemptId,
        },
        /// Send an order.
        Order {
            /// Identifier that the outcome repeats.
            order: OrderId,
            /// Name of the host.
            host: HostName,
            /// Address of its runner.
            address: SocketAddr,
            /// Action for the runner to take.
            action: OrderAction,
            /// Fencing number.
            fence: Fence,
            /// Time to wait for the outcome.
            timeout: Span,
        },
        /// Read the actual state of a runner.
        ReadHolding {
            /// Name of the host.
            host: HostName,
            /// Address of its runner.
            address: SocketAddr,
        },
        /// Read a load report.
        ReadLoad {
            /// Name of the host.
            host: HostName,
            /// Address of its runner.
            address: SocketAddr,
        },
        /// Read cache events.
        ReadCache {
            /// Name of the host.
            host: HostName,
            /// Address of its runner.
            address: SocketAddr,
            /// Sequence number of the first event to read.
            from: u64,
        },
    }

    /// Destination of an attempt.
    pub enum Route {
        /// Runner of the head of a group.
        Group {
            /// Name of the group.
            group: GroupName,
            /// Epoch that the runner must still serve.
            epoch: Epoch,
            /// Head of the group.
            host: HostName,
            /// Address of its runner.
            address: SocketAddr,
        },
        /// Runner of a plain service.
        Service {
            /// Name of the host.
            host: HostName,
            /// Address of its runner.
            address: SocketAddr,
        },
        /// Another daemon, which makes its own routing decision.
        Daemon {
            /// Name of the daemon.
            daemon: DaemonName,
            /// Peer address of the daemon.
            address: SocketAddr,
            /// Model or service that the call is for.
            target: Target,
        },
    }

    /// Action for a runner to take; each is idempotent, and harmless if it arrives late.
    pub enum OrderAction {
        /// Load a host's part of a group's model; refused by a runner with a later epoch.
        Load {
            /// Name of the group.
            group: GroupName,
            /// Epoch of the group.
            epoch: Epoch,
            /// Model to load.
            model: ModelName,
            /// Version to load.
            version: VersionName,
            /// Adapters to load.
            adapters: Vec<AdapterName>,
            /// Hosts of the group, the leading one first.
            members: Vec<HostName>,
        },
        /// Accept no new work for this epoch or an earlier one.
        Drain {
            /// Latest epoch to drain.
            epoch: Epoch,
        },
        /// Unload everything that was loaded for this epoch or an earlier one.
        Unload {
            /// Latest epoch to unload.
            epoch: Epoch,
        },
    }

    /// Call of the platform's store.
    pub enum PlatformCall {
        /// Read every key with a prefix.
        List {
            /// Prefix of the keys.
            prefix: String,
        },
        /// Read one key.
        Get {
            /// Key to read.
            key: String,
        },
        /// Write one key if it is as expected.
        Put {
            /// Key to write.
            key: String,
            /// Value, as JSON text.
            value: String,
            /// State of the key that the write requires.
            expect: Expect,
            /// Lease to attach the key to, if any.
            lease: Option<LeaseId>,
        },
        /// Delete one key if it is as expected.
        Delete {
            /// Key to delete.
            key: String,
            /// State of the key that the delete requires.
            expect: Expect,
        },
        /// Grant a lease.
        Grant {
            /// Time to live of the lease, unless it is renewed.
            ttl: Span,
        },
        /// Renew a lease.
        KeepAlive {
            /// Identifier of the lease.
            lease: LeaseId,
        },
        /// Revoke a lease, which deletes the keys attached to it.
        Revoke {
            /// Identifier of the lease.
            lease: LeaseId,
        },
        /// Watch every key with a prefix.
        Watch {
            /// Prefix of the keys.
            prefix: String,
            /// First revision to report.
            from: Revision,
        },
        /// End a watch.
        Unwatch {
            /// Identifier of the watch.
            watch: PlatformId,
        },
    }

    /// State of a key that a write requires.
    #[derive(Copy, Eq)]
    pub enum Expect {
        /// The key doesn't exist.
        Absent,
        /// The key was last written at this revision.
        At(Revision),
    }

    /// Answer to an operator's request.
    pub enum OperatorAnswer {
        /// The change took effect and is durable.
        Accepted {
            /// Revision that contains the change.
            revision: Revision,
        },
        /// The key was changed by another operation.
        Conflict {
            /// Revision of the other change.
            revision: Revision,
        },
        /// The request can't be carried out; nothing was changed.
        Invalid(String),
        /// The result is unknown; a retry with the same operation is safe.
        Unavailable(String),
        /// Requested report.
        Status(Box<Status>),
    }

    /// Change of state to be logged.
    pub struct Event {
        /// Severity of the event.
        pub level: Level,
        /// Kind of the change, as `part.change`.
        pub kind: String,
        /// Name of the group, host, daemon or account concerned.
        pub subject: String,
        /// Details as text.
        pub detail: String,
    }

    /// Severity of an event.
    #[derive(Copy, Eq)]
    pub enum Level {
        /// Expected change.
        Info,
        /// Change that may need attention.
        Warning,
        /// Service is affected.
        Error,
    }
}
