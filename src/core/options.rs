//! What settings may tune in the decision logic.

use super::time::Span;

crate::record! {
    /// Tunables, each with a default that suits today's sizes.
    #[serde(default)]
    pub struct Options {
        /// How long a lease lasts unrenewed.
        pub lease: Span,
        /// How long a daemon serves on what it knows when it hears nobody.
        pub freshness: Span,
        /// How long an attempt may be silent before it is doubted.
        pub silence: Span,
        /// The deadline of a request that names none.
        pub deadline: Span,
        /// How long a graceful stop waits for streams.
        pub grace: Span,
        /// Retries allowed for each hundred requests.
        pub retry_percent: u32,
        /// Retries that can be saved up.
        pub retry_burst: u32,
        /// The daemons that an account is sent to.
        pub entry_count: u16,
        /// How long callers may keep the entries they were given.
        pub entry_ttl: Span,
        /// What a second of group downtime costs, against `stranded_cost`.
        pub downtime_cost: f64,
        /// What a second of one stranded accelerator costs.
        pub stranded_cost: f64,
        /// What the weight store gives, in gigabytes a second over all domains.
        pub weight_store: f64,
        /// How runners are chosen.
        pub routing: RoutingPolicy,
        /// Mechanisms taken out; for tests alone, never from settings.
        pub without: Vec<Mechanism>,
    }

    /// How a runner is chosen among those that suit a request.
    #[derive(Copy, Eq, Default)]
    pub enum RoutingPolicy {
        /// The least predicted wait of a few drawn by chance.
        #[default]
        Predicted,
        /// The least loaded by the last report; for comparison.
        LeastReported,
        /// Any; for comparison.
        Random,
    }

    /// A mechanism that a test can take out to see its trace fail.
    #[derive(Copy, Eq)]
    pub enum Mechanism {
        /// Only groups with all their hosts are routed to.
        CompleteGroups,
        /// A placement that gives a host to two groups is never written.
        OneGroupPerHost,
        /// Answers are matched on attempt and epoch.
        AnswerMatching,
        /// A refusal is "not run" only if nothing could have run.
        RefusalTruth,
        /// One arbiter starts a non-idempotent request, once.
        SingleStart,
        /// The first evidence of leaving stops new work.
        LeavingEvidence,
        /// A graceful stop waits for what runs.
        GracefulStop,
        /// Older revisions are never applied.
        RevisionOrder,
        /// A write whose answer was lost is read back before it is repeated.
        ReadBack,
        /// A duty holder stops before its lease can have lapsed.
        DutyMargin,
        /// Retries are limited to a share of requests.
        RetryBudget,
        /// A daemon that hears nobody refuses new work.
        FreshnessBound,
        /// A drained group is freed only when every daemon knows it.
        DrainAcks,
        /// Planned work leaves the floor of groups in service.
        UpgradeFloor,
        /// Accounts of equal priority share by weight.
        FairQueue,
    }
}

impl Mechanism {
    /// Every mechanism.
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
    /// Whether a mechanism is in place; always, outside tests.
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
