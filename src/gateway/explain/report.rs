//! Question and answer of `explain`, as they are sent between the command and a daemon.

use crate::{
    core::keys::{
        AccountName, DaemonName, Epoch, GroupName, HallName, HostName, ModelName, ServiceName,
    },
    gateway::{balancer::Exclusion, coldness::ColdSource, load::EstimateSource, roster::Obstacle},
};

crate::record! {
    /// Request that a daemon is asked about.
    #[serde(deny_unknown_fields)]
    pub struct Query {
        /// Host name that the caller names.
        pub host: String,
        /// Path.
        pub path: String,
        /// Account of the caller, if it has one.
        #[serde(default)]
        pub account: Option<AccountName>,
        /// Requested model, if any.
        #[serde(default)]
        pub model: Option<ModelName>,
        /// Length of the prompt.
        #[serde(default)]
        pub prompt_tokens: u32,
        /// Maximum length of the answer.
        #[serde(default)]
        pub answer_tokens: u32,
    }

    /// What a daemon would do with a request now, as far as it knows.
    pub struct Explanation {
        /// Daemon that answers.
        pub daemon: DaemonName,
        /// Hall of the daemon.
        pub hall: HallName,
        /// Version of the configuration in use.
        pub version: Option<u64>,
        /// Matching route.
        pub route: Option<RouteFacts>,
        /// Account that the request counts for.
        pub account: Option<AccountName>,
        /// Probability that the request is sent to a runner.
        pub admitted: f64,
        /// Refusal before a service is chosen.
        pub refusal: Option<Refused>,
        /// Services of the route, of which one is drawn.
        pub services: Vec<ServiceFacts>,
        /// What may change the outcome and isn't known.
        pub unknown: Vec<Unknown>,
    }

    /// Route of a request.
    pub struct RouteFacts {
        /// Name of the route.
        pub name: String,
        /// Priority of the route; 0 is the most urgent.
        pub priority: u8,
        /// Time within which a response is on time.
        pub objective_ms: u64,
        /// Maximum time until the response is complete.
        pub timeout_ms: u64,
    }

    /// Refusal of a request.
    pub struct Refused {
        /// Why it is refused.
        pub reason: Reason,
        /// HTTP status that the caller receives.
        pub status: u16,
        /// Shortest delay after which the caller should retry, if it is told one.
        pub retry_ms: Option<u64>,
        /// Maximum random addition to that delay.
        pub retry_spread_ms: u64,
    }

    /// Reason for a refusal.
    #[derive(Copy, Eq)]
    pub enum Reason {
        /// The daemon has read no configuration yet.
        NotConfigured,
        /// No route has this host name and path.
        NoRoute,
        /// The route has no service.
        NoService,
        /// The route requires an account that the configuration knows.
        NoAccount,
        /// The daemon is stopping, and too little time is left for the request.
        Stopping,
        /// The service doesn't serve this model.
        UnknownModel,
        /// No runner serves the request now.
        NoneServing,
        /// All runners want no request now, by their rate limits or pauses.
        HeldBack,
        /// The free slots are left to more urgent ranks.
        Rank,
        /// The free slots are left to accounts that are below their share.
        Account,
        /// No slot is free.
        Full,
        /// The free slots are left to requests that can still meet their objective.
        Late,
    }

    /// What happens to a request if its service is drawn.
    pub struct ServiceFacts {
        /// Name of the service.
        pub service: ServiceName,
        /// Probability that the service is drawn.
        pub share: f64,
        /// Requested model, if the service serves models.
        pub model: Option<ModelName>,
        /// Rank of the request.
        pub rank: RankFacts,
        /// Expected duration of the request.
        pub duration_ms: u64,
        /// What decides on the admission, if the service serves models.
        pub admission: Option<AdmissionFacts>,
        /// Probability that the request is sent to a runner.
        pub admitted: f64,
        /// What may happen to the request.
        pub outcomes: Vec<OutcomeFacts>,
        /// Runners of the service, or heads of the model.
        pub candidates: Vec<CandidateFacts>,
    }

    /// Rank of a request within its service.
    pub struct RankFacts {
        /// Priority of the request; 0 is the most urgent.
        pub priority: u8,
        /// Number of more urgent ranks.
        pub position: u8,
        /// True if the service has several ranks.
        pub is_ranked: bool,
    }

    /// Inputs of the admission that are the same for all heads.
    pub struct AdmissionFacts {
        /// Requests that a head may hold.
        pub limit: f64,
        /// True if the totals of all daemons are current, and decide.
        pub by_totals: bool,
        /// Requests that all daemons expect within the horizon, by the totals.
        pub expected: f64,
        /// True if requests contend for the free slots.
        pub contended: bool,
        /// Fraction of the recent requests that are more urgent.
        pub ahead: f64,
        /// Slots that are left free for more urgent ranks.
        pub for_ranks: u32,
        /// Slots that are left free for accounts below their share.
        pub for_accounts: u32,
    }

    /// One thing that may happen to a request.
    pub struct OutcomeFacts {
        /// Probability that it happens.
        pub probability: f64,
        /// Refusal; none if the request is sent to a runner.
        pub refusal: Option<Refused>,
    }

    /// What is known of a runner.
    pub struct CandidateFacts {
        /// Name of the host.
        pub host: HostName,
        /// Hall of the host.
        pub hall: HallName,
        /// Group of which it is the head, for a model.
        pub group: Option<GroupName>,
        /// Epoch of the group.
        pub epoch: Option<Epoch>,
        /// Probability that the request is sent there.
        pub probability: f64,
        /// Reason for which it takes no request; none if it may take this one.
        pub excluded: Option<Excluded>,
        /// Requests there.
        pub requests: RequestFacts,
        /// Number of requests that it runs at once.
        pub slots: u32,
        /// How many times slower than usual it works.
        pub slowdown: f64,
        /// Limit on its requests from all daemons, for which a permit is needed.
        pub limit: Option<LimitFacts>,
        /// Cold time, while it is cold.
        pub cold: Option<ColdFacts>,
        /// Time for which it wants no requests from this daemon.
        pub paused_ms: u64,
        /// Time for which its limit allows no request from this daemon.
        pub held_ms: u64,
        /// Time for which it is avoided after a failure.
        pub backoff_ms: u64,
        /// True if all its streams to this daemon have been silent for too long.
        pub stalled: bool,
        /// Who says that it leaves, if it does.
        pub leaving: Option<LeavingSource>,
        /// True if its hall is evacuated, until an operator ends that.
        pub evacuated: bool,
        /// True if it answers no probe of the daemon that holds the duty.
        pub unreachable: bool,
        /// Time since which its entry is missing from the store.
        pub unlisted_ms: Option<u64>,
    }

    /// Requests at a runner, as the daemon estimates them.
    pub struct RequestFacts {
        /// Requests of this daemon.
        pub own: u32,
        /// Requests of all other daemons.
        pub others: u32,
        /// Who says how many others there are.
        pub source: EstimateSource,
        /// Age of that statement.
        pub age_ms: Option<u64>,
    }

    /// Limit on the requests of a runner.
    pub struct LimitFacts {
        /// Requests in a second, from all daemons together.
        pub per_second: f64,
        /// True if it applies because the runner is cold, and false if the runner names it.
        pub is_cold: bool,
        /// Time since the runner last said whether it has a limit, if it names this one.
        pub age_ms: Option<u64>,
    }

    /// Cold time of a runner.
    pub struct ColdFacts {
        /// Time until it ends.
        pub left_ms: u64,
        /// Who says so.
        pub source: ColdSource,
        /// Age of that statement.
        pub age_ms: u64,
    }

    /// Who says that a runner leaves.
    #[derive(Copy, Eq)]
    pub enum LeavingSource {
        /// The runner's entry in the store.
        Entry,
        /// A response of the runner, to this daemon or to another one.
        Response,
    }

    /// Reason for which a runner takes no request.
    #[derive(Copy, Eq)]
    #[serde(untagged)]
    pub enum Excluded {
        /// No request may be sent to it.
        State(Obstacle),
        /// It is left out of the choice for this request.
        Choice(Exclusion),
    }

    /// What may change the outcome and isn't known to the daemon, or not asked for.
    #[derive(Copy, Eq)]
    pub enum Unknown {
        /// Choices of the other daemons at the same time.
        OtherDaemons,
        /// Whether the request, or a part of its prompt, is quarantined.
        Quarantine,
        /// The time that the caller has spent on earlier attempts, and its timeout.
        EarlierAttempts,
        /// Whether the account exists: the configuration has none of that name, and the request counts
        /// as one without.
        Account,
        /// Whether a permit would be granted.
        Permit,
        /// Whether the runner accepts the request.
        Acceptance,
        /// Whether another daemon takes the request, as this one reaches no runner.
        Relay,
    }
}
