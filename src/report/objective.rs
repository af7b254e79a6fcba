//! What is promised, and how much of it may be missed.

use crate::core::time::Span;

crate::key! {
    /// One promise.
    pub enum Objective {
        /// Answers begin in time.
        #[default]
        FirstToken,
        /// Tokens follow each other in time.
        TokenGap,
        /// Requests are answered whole.
        AnsweredWhole,
        /// Groups are in service.
        GroupAvailable,
        /// Accelerators work in groups that serve.
        AcceleratorsUsed,
    }
}

impl Objective {
    /// Every promise, in the order of the report.
    pub const ALL: [Objective; 5] = [
        Objective::FirstToken,
        Objective::TokenGap,
        Objective::AnsweredWhole,
        Objective::GroupAvailable,
        Objective::AcceleratorsUsed,
    ];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Objective::FirstToken => "first token in time",
            Objective::TokenGap => "tokens follow in time",
            Objective::AnsweredWhole => "answered whole",
            Objective::GroupAvailable => "groups in service",
            Objective::AcceleratorsUsed => "accelerators in use",
        }
    }
}

crate::record! {
    /// The promises' bounds and targets; a target is the share that must be good.
    #[serde(default, deny_unknown_fields)]
    pub struct Objectives {
        /// The longest time to the first token that is good.
        pub first_token: Span,
        /// The longest time between tokens that is good.
        pub token_gap: Span,
        /// The share of answers that must begin in time.
        pub first_target: f64,
        /// The share of tokens that must follow in time.
        pub gap_target: f64,
        /// The share of requests that must be answered whole.
        pub whole_target: f64,
        /// The share of group time that must be in service.
        pub group_target: f64,
        /// The share of accelerator time that must be in use.
        pub accelerator_target: f64,
    }
}

impl Objectives {
    /// The share that must be good.
    pub fn target(&self, objective: Objective) -> f64 {
        match objective {
            Objective::FirstToken => self.first_target,
            Objective::TokenGap => self.gap_target,
            Objective::AnsweredWhole => self.whole_target,
            Objective::GroupAvailable => self.group_target,
            Objective::AcceleratorsUsed => self.accelerator_target,
        }
    }
}

impl Default for Objectives {
    fn default() -> Self {
        Self {
            first_token: Span::from_millis(380),
            token_gap: Span::from_millis(35),
            first_target: 0.95,
            gap_target: 0.95,
            whole_target: 0.999,
            group_target: 0.999,
            accelerator_target: 0.9,
        }
    }
}
