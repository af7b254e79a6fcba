//! Service-level objectives with their latency bounds and targets.

use crate::core::time::Span;

crate::key! {
    /// Service-level objective.
    pub enum Objective {
        /// Responses start within the time-to-first-token bound.
        #[default]
        FirstToken,
        /// Tokens follow each other within the token gap bound.
        TokenGap,
        /// Requests get a complete response.
        AnsweredWhole,
        /// Groups that should be in service are.
        GroupAvailable,
        /// Accelerators belong to groups that serve.
        AcceleratorsUsed,
    }
}

impl Objective {
    /// All objectives, in the order of the report.
    pub const ALL: [Objective; 5] = [
        Objective::FirstToken,
        Objective::TokenGap,
        Objective::AnsweredWhole,
        Objective::GroupAvailable,
        Objective::AcceleratorsUsed,
    ];

    /// Returns the objective's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Objective::FirstToken => "first token in time",
            Objective::TokenGap => "next token in time",
            Objective::AnsweredWhole => "complete responses",
            Objective::GroupAvailable => "groups in service",
            Objective::AcceleratorsUsed => "accelerators in use",
        }
    }
}

crate::record! {
    /// Bounds and targets of the objectives; a target is the fraction of events that must be good.
    #[serde(default, deny_unknown_fields)]
    pub struct Objectives {
        /// Maximum time to the first token of a good response.
        pub first_token: Span,
        /// Maximum time between two tokens that counts as good.
        pub token_gap: Span,
        /// Fraction of responses that must start in time.
        pub first_target: f64,
        /// Fraction of tokens that must follow in time.
        pub gap_target: f64,
        /// Fraction of requests that must get a complete response.
        pub whole_target: f64,
        /// Fraction of group time that must be in service.
        pub group_target: f64,
        /// Fraction of accelerator time that must be in use.
        pub accelerator_target: f64,
    }
}

impl Objectives {
    /// Returns the fraction of events that must be good.
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
