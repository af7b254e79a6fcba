//! What this daemon knows of one runner's load: the last report, which lags,
//! and what it has itself sent there since.

use {
    super::super::{
        input::LoadReport,
        time::{Span, Time},
    },
    std::collections::VecDeque,
};

/// Requests that a runner is taken to run at once until it has reported.
const DEFAULT_SLOTS: u32 = 32;

/// The time between tokens that a runner is taken to have until it is known.
const DEFAULT_GAP: Span = Span::from_millis(20);

/// The most events kept since the last report.
const MAX_RECENT: usize = 512;

/// One runner, as this daemon uses it.
#[derive(Debug, Default)]
pub(super) struct Lane {
    open: u32,
    recent: VecDeque<Change>,
    gap: Span,
}

/// An attempt that began or ended.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Time,
    /// One more or one fewer.
    delta: i32,
    /// Prompt tokens sent.
    tokens: u32,
}

/// A runner's load as it is thought to be now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Estimate {
    /// Requests running or waiting.
    pub(super) running: u32,
    /// Prompt tokens not yet processed.
    pub(super) pending: u32,
    /// Requests run at once.
    pub(super) slots: u32,
    /// Time between tokens.
    pub(super) gap: Span,
}

impl Estimate {
    /// Whether another request would soon be run.
    pub(super) fn has_room(&self) -> bool {
        self.running < self.slots + self.slots.div_ceil(8)
    }
}

/// Queries.
impl Lane {
    /// Attempts of this daemon under way.
    pub(super) fn open(&self) -> u32 {
        self.open
    }

    /// The load now, by the last report and what was done since.
    pub(super) fn estimate(&self, load: Option<&(Time, LoadReport)>) -> Estimate {
        let Some((at, report)) = load else {
            return Estimate {
                running: self.open,
                pending: 0,
                slots: DEFAULT_SLOTS,
                gap: self.gap_or(Span::ZERO),
            };
        };
        let since = self.recent.iter().rev().take_while(|c| c.at > *at);
        let (delta, tokens) = since.fold((0, 0), |(delta, tokens), change| {
            (delta + change.delta, tokens + change.tokens)
        });
        let reported = (report.running + report.waiting).saturating_add_signed(delta);
        Estimate {
            running: reported.max(self.open),
            pending: report.pending_tokens.saturating_add(tokens),
            slots: report.slots.max(1),
            gap: self.gap_or(report.token_gap),
        }
    }

    fn gap_or(&self, reported: Span) -> Span {
        if reported > Span::ZERO {
            return reported;
        }
        if self.gap > Span::ZERO {
            return self.gap;
        }
        DEFAULT_GAP
    }
}

/// Commands.
impl Lane {
    /// Notes that an attempt was sent.
    pub(super) fn began(&mut self, now: Time, tokens: u32) {
        self.open += 1;
        self.push(now, 1, tokens);
    }

    /// Notes that an attempt has ended.
    pub(super) fn ended(&mut self, now: Time) {
        self.open = self.open.saturating_sub(1);
        self.push(now, -1, 0);
    }

    /// Notes the time between two parts of an answer, for each token.
    pub(super) fn saw_gap(&mut self, gap: Span) {
        let old = self.gap_or(Span::ZERO).0;
        self.gap = Span((old * 15 + gap.0) / 16);
    }

    fn push(&mut self, at: Time, delta: i32, tokens: u32) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(Change { at, delta, tokens });
    }
}
