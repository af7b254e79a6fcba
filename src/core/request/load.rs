//! What this daemon knows of one runner's load: the last report, which lags,
//! and what it has itself sent there since.

use super::super::{
    input::LoadReport,
    time::{Span, Time},
};
use std::collections::VecDeque;

/// Requests that a runner is taken to run at once until it has reported.
const DEFAULT_SLOTS: u32 = 32;

/// The time between tokens that a runner is taken to have until it is known.
const DEFAULT_GAP: Span = Span::from_millis(20);

/// The time that a request is taken to run until it is known.
const DEFAULT_SERVICE: Span = Span::from_secs(2);

/// The shortest time that requests are taken to run.
const MIN_SERVICE: Span = Span::from_millis(1);

/// Prompt processing time for one token.
pub(super) const PREFILL: Span = Span(50);

/// The most events kept since the last report.
const MAX_RECENT: usize = 512;

/// One runner, as this daemon uses it.
#[derive(Debug, Default)]
pub(super) struct Lane {
    open: u32,
    recent: VecDeque<Change>,
    gap: Span,
    /// Mean time from an attempt's start to its end.
    service: Span,
}

/// An attempt that began or ended.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Time,
    began: bool,
    /// Prompt tokens sent.
    tokens: u32,
}

/// What this daemon did since a report.
#[derive(Clone, Copy, Debug, Default)]
struct Since {
    began: u32,
    ended: u32,
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

    /// The load now; `scale` is the load of all daemons against this one's.
    ///
    /// What was running at the last report is taken to have ended at the usual
    /// pace, and the other daemons to have sent since as this one did. The
    /// older the report, the more this daemon's own requests stand for all.
    pub(super) fn estimate(
        &self,
        now: Time,
        load: Option<&(Time, LoadReport)>,
        scale: u32,
    ) -> Estimate {
        let Some((at, report)) = load else {
            return Estimate {
                running: self.open,
                pending: 0,
                slots: DEFAULT_SLOTS,
                gap: self.gap_or(Span::ZERO),
            };
        };
        let slots = report.slots.max(1);
        let Since { began, tokens, .. } = self.since(*at);
        let age = now.since(*at).0;
        let service = self.service_or_default().0;
        let reported = u64::from(report.running + report.waiting);
        let served = reported.min(u64::from(slots)) * age / service;
        let sent = u64::from(began) * u64::from(scale);
        let recent = (reported + sent).saturating_sub(served);
        let typical = u64::from(self.open) * u64::from(scale);
        let trusted = (2 * service).saturating_sub(age);
        let running = (recent * trusted + typical * (2 * service - trusted)) / (2 * service);
        let processed = u32::try_from(age / PREFILL.0).unwrap_or(u32::MAX);
        let pending = report.pending_tokens.saturating_sub(processed);
        Estimate {
            running: u32::try_from(running).unwrap_or(u32::MAX).max(self.open),
            pending: pending.saturating_add(tokens),
            slots,
            gap: self.gap_or(report.token_gap),
        }
    }

    /// Requests of this daemon, and of all, at the time of a report.
    pub(super) fn shares(&self, load: Option<&(Time, LoadReport)>) -> (u32, u32) {
        let Some((at, report)) = load else {
            return (0, 0);
        };
        let Since { began, ended, .. } = self.since(*at);
        let own = (self.open + ended).saturating_sub(began);
        (own, report.running + report.waiting)
    }

    /// What this daemon did since a time.
    fn since(&self, at: Time) -> Since {
        let mut since = Since::default();
        for change in self.recent.iter().rev().take_while(|c| c.at > at) {
            since.began += u32::from(change.began);
            since.ended += u32::from(!change.began);
            since.tokens += change.tokens;
        }
        since
    }

    fn service_or_default(&self) -> Span {
        if self.service > Span::ZERO {
            self.service
        } else {
            DEFAULT_SERVICE
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
        self.push(now, true, tokens);
    }

    /// Notes that an attempt has ended.
    pub(super) fn ended(&mut self, now: Time, sent: Time) {
        self.open = self.open.saturating_sub(1);
        self.push(now, false, 0);
        let old = self.service_or_default().0;
        self.service = Span((old * 15 + now.since(sent).0) / 16).max(MIN_SERVICE);
    }

    /// Notes the time between two parts of an answer, for each token.
    pub(super) fn saw_gap(&mut self, gap: Span) {
        let old = self.gap_or(Span::ZERO).0;
        self.gap = Span((old * 15 + gap.0) / 16);
    }

    fn push(&mut self, at: Time, began: bool, tokens: u32) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(Change { at, began, tokens });
    }
}
