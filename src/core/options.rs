//! Options of the decision logic that settings may change.

use super::time::Span;

crate::record! {
    /// Options, with defaults that suit today's cluster sizes.
    #[serde(default)]
    pub struct Options {
        /// Time to live of a lease that isn't renewed.
        pub lease: Span,
        /// Time for which a daemon without contact keeps serving on the state it has.
        pub freshness: Span,
        /// Silence of an attempt after which its runner is suspected.
        pub silence: Span,
        /// Deadline of a request that gives none.
        pub deadline: Span,
        /// Time that a graceful stop waits for streams.
        pub grace: Span,
        /// Retries allowed per hundred requests.
        pub retry_percent: u32,
        /// Maximum number of unused retries that accumulate.
        pub retry_burst: u32,
        /// Number of daemons that an account's callers are directed to.
        pub entry_count: u16,
        /// Time for which callers may cache these daemons' addresses.
        pub entry_ttl: Span,
        /// Cost of a second of group downtime, compared with `stranded_cost`.
        pub downtime_cost: f64,
        /// Cost of a second of one stranded accelerator.
        pub stranded_cost: f64,
        /// Throughput of the weight store over all domains, in gigabytes per second.
        pub weight_store: f64,
        /// Policy by which runners are chosen.
        pub routing: RoutingPolicy,
        /// Disabled mechanisms; set only by tests, never by settings.
        pub without: Vec<Mechanism>,
    }

    /// Policy for choosing among the runners that suit a request.
    #[derive(Copy, Eq, Default)]
    pub enum RoutingPolicy {
        /// The least predicted wait of a few random candidates.
        #[default]
        Predicted,
        /// The least load in the last report; for comparison.
        LeastReported,
        /// Random choice; for comparison.
        Random,
    }

    /// Mechanism that a test can disable, to show that its trace then fails.
    #[derive(Copy, Eq)]
    pub enum Mechanism {
        /// Requests go only to groups whose hosts are all available.
        CompleteGroups,
        /// A placement that gives a host to two groups is never written.
        OneGroupPerHost,
        /// Responses are accepted only if attempt and epoch match.
        AnswerMatching,
        /// A refusal is reported as "not run" only if nothing can have run.
        RefusalTruth,
        /// A single arbiter starts a non-idempotent request, at most once.
        SingleStart,
        /// A host gets no new work after the first evidence that it is leaving.
        LeavingEvidence,
        /// A graceful stop waits for the work in progress.
        GracefulStop,
        /// Older revisions are never applied over newer ones.
        RevisionOrder,
        /// A write whose answer was lost is read back before it is repeated.
        ReadBack,
        /// A duty holder stops before its lease can have expired.
        DutyMargin,
        /// Retries are limited to a fraction of requests.
        RetryBudget,
        /// A daemon without contact to others refuses new work.
        FreshnessBound,
        /// A drained group is freed only after all daemons have acknowledged the drain.
        DrainAcks,
        /// Planned work keeps the minimum number of groups in service.
        UpgradeFloor,
        /// Accounts of equal priority share capacity by weight.
        FairQueue,
    }
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Mechanism; 15] = [
        Mechanism::CompleteGroups,
        Mechanism::OneGroupPerHost,
        Mechanism::AnswerMatching,
        Mechanism::RefusalTruth,
        Mechanism::SingleStart,
        Mechanism::LeavingEvidence,
        Mechanism::GracefulStop,
        Mechanism::RevisionOrder,
        Mechanism::ReadBack,
        Mechanism::DutyMargin,
        Mechanism::RetryBudget,
        Mechanism::FreshnessBound,
        Mechanism::DrainAcks,
        Mechanism::UpgradeFloor,
        Mechanism::FairQueue,
    ];
}

impl Options {
    /// Returns true if a mechanism is enabled, as it always is outside tests.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: Span::from_secs(10),
            freshness: Span::from_secs(5),
            silence: Span::from_secs(2),
            deadline: Span::from_secs(60),
            grace: Span::from_secs(120),
            retry_percent: 10,
            retry_burst: 512,
            entry_count: 3,
            entry_ttl: Span::from_secs(5),
            downtime_cost: 1.0,
            stranded_cost: 0.1,
            weight_store: 10.0,
            routing: RoutingPolicy::default(),
            without: Vec::new(),
        }
    }
}
