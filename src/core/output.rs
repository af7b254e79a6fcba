//! Everything that the decision logic can ask of the shell.
//!
//! Outputs are carried out in order. None of them blocks: answers come back
//! later as inputs.

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
    /// One thing for the shell to do.
    pub enum Output {
        /// Give `timer` back at `at`; replaces the same timer set before.
        SetTimer {
            /// The timer.
            timer: Timer,
            /// When it is due.
            at: Time,
        },
        /// For a caller.
        Call(CallOutput),
        /// For a runner, or the peer that a call is relayed to.
        Runner(RunnerOutput),
        /// For the platform's key-value service.
        Platform {
            /// Names the call in its answer.
            id: PlatformId,
            /// The call.
            call: PlatformCall,
        },
        /// For another daemon.
        Peer {
            /// Its peer address.
            to: SocketAddr,
            /// How it is to travel.
            transport: Transport,
            /// The message.
            message: Message,
        },
        /// For an operator.
        Operator {
            /// The request.
            command: CommandId,
            /// The answer.
            answer: OperatorAnswer,
        },
        /// A line for the log: the state of something has changed.
        Log(Event),
        /// The graceful stop is complete.
        Exit,
    }

    /// How a message to another daemon travels.
    #[derive(Copy, Eq)]
    pub enum Transport {
        /// One datagram; may be lost.
        Datagram,
        /// A stream; for what does not fit a datagram.
        Stream,
    }

    /// What a caller gets.
    pub enum CallOutput {
        /// The answer begins.
        Begin {
            /// The request.
            call: CallId,
            /// The attempt whose head (status, content type) is passed on.
            attempt: AttemptId,
        },
        /// Part of the answer.
        Deliver {
            /// The request.
            call: CallId,
            /// The position of its first token in the whole answer.
            offset: u32,
            /// How many tokens it holds.
            tokens: u32,
            /// The bytes to pass on.
            payload: Payload,
        },
        /// The answer's one end.
        End {
            /// The request.
            call: CallId,
            /// How it ended.
            ending: Ending,
        },
        /// The daemons to use.
        Entries {
            /// The question.
            call: CallId,
            /// The daemons, best first.
            entries: Vec<EntryAddress>,
            /// How long the answer may be kept.
            ttl: Span,
            /// A ticket for one non-idempotent request.
            ticket: Option<Ticket>,
        },
    }

    /// How a request ended: exactly one of these.
    pub enum Ending {
        /// The whole answer was delivered.
        Complete,
        /// It was not run, and never will be.
        Refused {
            /// Why.
            reason: Refusal,
            /// When it is worth asking again.
            retry_after: Option<Span>,
        },
        /// It may have run, in part or whole.
        Unknown(Doubt),
    }

    /// Why a request was refused.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum Refusal {
        /// The caller's key is not known.
        Unauthorized,
        /// The account, model or service is not known.
        NotFound,
        /// The request makes no sense.
        Invalid,
        /// The account's limit is reached.
        OverLimit,
        /// It can't be answered in time.
        Overloaded,
        /// No group that could run it is in service.
        NoGroup,
        /// This daemon is stopping.
        Stopping,
        /// This daemon can't tell whether what it knows is current.
        Stale,
        /// The platform's service is needed and can't be reached.
        PlatformDown,
        /// Every attempt was declined or never sent.
        Exhausted,
        /// The deadline passed before it was started.
        Expired,
    }

    /// Why it is not known whether a request ran.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum Doubt {
        /// The runner's answer was cut.
        Cut,
        /// The runner fell silent.
        Stalled,
        /// The runner answered with an error.
        RunnerError,
        /// The arbiter of a non-idempotent request is gone.
        ArbiterGone,
        /// The deadline passed while it ran.
        Expired,
        /// The caller went away.
        CallerGone,
        /// The answer to a write at the platform's service was lost.
        ClaimLost,
        /// This daemon's graceful stop ran out of time.
        Stopped,
        /// The same non-idempotent request was taken before, or its ticket is too old to tell.
        Duplicate,
    }

    /// One daemon that callers may use.
    pub struct EntryAddress {
        /// The daemon.
        pub daemon: DaemonName,
        /// Its address for callers.
        pub address: SocketAddr,
        /// Its hall.
        pub hall: HallName,
    }

    /// What is asked of a runner.
    pub enum RunnerOutput {
        /// Send a call.
        Attempt {
            /// Names the attempt in its answers.
            attempt: AttemptId,
            /// The call, whose body the shell holds.
            call: CallId,
            /// Where to.
            route: Route,
            /// Open a new connection rather than use one kept open.
            fresh: bool,
            /// Tokens already delivered: the answer is to go on after them.
            resume_at: u32,
        },
        /// Give up an attempt, and tell the runner to stop running it.
        Cancel {
            /// The attempt.
            attempt: AttemptId,
        },
        /// Order a runner.
        Order {
            /// Names the order in its outcome.
            order: OrderId,
            /// The host.
            host: HostName,
            /// Its runner's address.
            address: SocketAddr,
            /// What it is to do.
            action: OrderAction,
            /// The fencing number.
            fence: Fence,
            /// How long to wait for the outcome.
            timeout: Span,
        },
        /// Ask what a runner really holds.
        ReadHolding {
            /// The host.
            host: HostName,
            /// Its runner's address.
            address: SocketAddr,
        },
        /// Ask for a load report.
        ReadLoad {
            /// The host.
            host: HostName,
            /// Its runner's address.
            address: SocketAddr,
        },
        /// Ask for cache events.
        ReadCache {
            /// The host.
            host: HostName,
            /// Its runner's address.
            address: SocketAddr,
            /// The first event wanted.
            from: u64,
        },
    }

    /// Where an attempt goes.
    pub enum Route {
        /// To the runner that leads a group.
        Group {
            /// The group.
            group: GroupName,
            /// The epoch it must still serve.
            epoch: Epoch,
            /// The leading host.
            host: HostName,
            /// Its runner's address.
            address: SocketAddr,
        },
        /// To a plain service's runner.
        Service {
            /// The host.
            host: HostName,
            /// Its runner's address.
            address: SocketAddr,
        },
        /// To another daemon, which decides in its own right.
        Daemon {
            /// The daemon.
            daemon: DaemonName,
            /// Its peer address.
            address: SocketAddr,
            /// What the call asks, for it.
            target: Target,
        },
    }

    /// What a runner is to do; each is safe to receive late or twice.
    pub enum OrderAction {
        /// Hold a group's part of a model. Refused by a runner holding a later epoch.
        Load {
            /// The group.
            group: GroupName,
            /// Its epoch.
            epoch: Epoch,
            /// The model.
            model: ModelName,
            /// The version.
            version: VersionName,
            /// The adapters.
            adapters: Vec<AdapterName>,
            /// The hosts of the group, the leading one first.
            members: Vec<HostName>,
        },
        /// Take no new work for this epoch or an earlier one.
        Drain {
            /// The epoch.
            epoch: Epoch,
        },
        /// Let go of what was loaded for this epoch or an earlier one.
        Unload {
            /// The epoch.
            epoch: Epoch,
        },
    }

    /// A call to the platform's service.
    pub enum PlatformCall {
        /// Read every key that begins with `prefix`.
        List {
            /// The prefix.
            prefix: String,
        },
        /// Read one key.
        Get {
            /// The key.
            key: String,
        },
        /// Write one key if it is as expected.
        Put {
            /// The key.
            key: String,
            /// The value, JSON text.
            value: String,
            /// What the key must be for the write to take effect.
            expect: Expect,
            /// The lease that it hangs on, if any.
            lease: Option<LeaseId>,
        },
        /// Delete one key if it is as expected.
        Delete {
            /// The key.
            key: String,
            /// What the key must be for the delete to take effect.
            expect: Expect,
        },
        /// Grant a lease.
        Grant {
            /// How long it lasts unrenewed.
            ttl: Span,
        },
        /// Renew a lease.
        KeepAlive {
            /// The lease.
            lease: LeaseId,
        },
        /// End a lease, and with it the keys that hang on it.
        Revoke {
            /// The lease.
            lease: LeaseId,
        },
        /// Watch every key that begins with `prefix`.
        Watch {
            /// The prefix.
            prefix: String,
            /// The first revision wanted.
            from: Revision,
        },
        /// End a watch.
        Unwatch {
            /// The watch.
            watch: PlatformId,
        },
    }

    /// What a key must be for a write to take effect.
    #[derive(Copy, Eq)]
    pub enum Expect {
        /// Not there.
        Absent,
        /// Last written at this revision.
        At(Revision),
    }

    /// The answer to an operator.
    pub enum OperatorAnswer {
        /// Done, and durable.
        Accepted {
            /// The revision that holds it.
            revision: Revision,
        },
        /// Another operator was first.
        Conflict {
            /// The revision that won.
            revision: Revision,
        },
        /// It can't be done; nothing was changed.
        Invalid(String),
        /// It isn't known whether it was done; ask again with the same operation.
        Unavailable(String),
        /// The report asked for.
        Status(Box<Status>),
    }

    /// A change of state worth a line in the log.
    pub struct Event {
        /// How serious it is.
        pub level: Level,
        /// What changed, as `part.change`.
        pub kind: String,
        /// What it concerns: a group, host, daemon or account.
        pub subject: String,
        /// The rest, for a reader.
        pub detail: String,
    }

    /// How serious an event is.
    #[derive(Copy, Eq)]
    pub enum Level {
        /// Expected.
        Info,
        /// Worth a look.
        Warning,
        /// Service is harmed.
        Error,
    }
}
