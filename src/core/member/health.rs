//! How a host is judged: the evidence for and against it, by source.

use super::super::time::{Span, Time};

/// Load reports that may be missed before a host is suspected.
const MISSES: u32 = 2;

/// How long a host may be silent before it is taken for dead.
const SILENCE: Span = Span::from_secs(5);

/// Answers in a row that a host taken for dead must give to be trusted again.
const ANSWERS: u32 = 3;

/// How long what was read or told still counts, and a reading is waited for.
pub(super) const STALE: Span = Span::from_secs(5);

/// How long news of leaving counts that the list hasn't confirmed.
const EVIDENCE: Span = Span::from_secs(30);

/// The first time that a request's suspicion lasts; it doubles when repeated.
const MIN_SUSPICION: Span = Span::from_secs(2);

/// The longest time that a request's suspicion lasts.
const MAX_SUSPICION: Span = Span::from_secs(30);

/// How long a host may be missing from the list before it is gone.
const ABSENCE: Span = Span::from_secs(1);

crate::record! {
    /// Whether a host can be worked with.
    #[derive(Copy, Eq)]
    pub enum Health {
        /// Nothing speaks against it.
        Live,
        /// It failed to answer; it gets no new work until it does.
        Suspect,
        /// It is leaving; it gets no new work.
        Leaving,
        /// It is gone from the list, or has not answered for long.
        Dead,
    }
}

/// What speaks for and against a host, by source.
#[derive(Clone, Debug, Default)]
pub struct Signs {
    /// Since when the list misses the host.
    pub absent: Option<Time>,
    /// What reading its load showed.
    pub reading: Reading,
    /// When its last load report said that it is leaving.
    pub reported_leaving: Option<Time>,
    /// When another daemon said so.
    pub heard_leaving: Option<Time>,
    /// What the last digest of its domain says.
    pub digest: Option<Health>,
    /// Doubt that requests have raised.
    pub suspicion: Option<Suspicion>,
}

/// What reading the load showed.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// When its load was last asked for.
    pub asked: Option<Time>,
    answered: Option<Time>,
    silent: Option<Time>,
    misses: u32,
    answers: u32,
    is_dead: bool,
}

/// Doubt that requests have raised.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    since: Time,
    lasts: Span,
}

/// Queries.
impl Signs {
    /// The health as this daemon sees it.
    pub fn health(&self, now: Time, listed_leaving: bool, takes_evidence: bool) -> Health {
        let shared = self.shared_health(now, listed_leaving, takes_evidence);
        let is_doubted = self.suspicion.is_some_and(|s| s.holds(now));
        if shared == Health::Live && is_doubted {
            Health::Suspect
        } else {
            shared
        }
    }

    /// The health that other daemons are told, without the doubts of single requests.
    pub fn shared_health(&self, now: Time, listed_leaving: bool, takes_evidence: bool) -> Health {
        let seen = self.reading.health(now).or(self.digest);
        let absence = self.absent.map(|since| now.since(since));
        if absence >= Some(ABSENCE) || seen == Some(Health::Dead) {
            return Health::Dead;
        }
        let is_recent = |at: Option<Time>| at.is_some_and(|at| now.since(at) <= EVIDENCE);
        let has_evidence = is_recent(self.reported_leaving)
            || is_recent(self.heard_leaving)
            || self.digest == Some(Health::Leaving);
        if listed_leaving || (takes_evidence && has_evidence) {
            return Health::Leaving;
        }
        if absence.is_some() || seen == Some(Health::Suspect) {
            return Health::Suspect;
        }
        Health::Live
    }
}

impl Reading {
    /// Whether it is to be read now, at this pace.
    pub fn is_due(&self, now: Time, pace: Span) -> bool {
        let Some(asked) = self.asked else {
            return true;
        };
        let is_answered = self.answered.is_some_and(|at| at >= asked);
        if !is_answered && now.since(asked) < STALE {
            return false;
        }
        now.since(asked) >= pace
    }

    /// Notes an answer, or the lack of one.
    pub fn take(&mut self, now: Time, is_answer: bool) {
        self.answered = Some(now);
        if !is_answer {
            self.misses += 1;
            self.answers = 0;
            let silent = *self.silent.get_or_insert(now);
            self.is_dead |= self.misses > MISSES && now.since(silent) >= SILENCE;
            return;
        }
        self.misses = 0;
        self.silent = None;
        self.answers += 1;
        self.is_dead &= self.answers < ANSWERS;
    }

    /// The health as read; nothing if this daemon hasn't read it of late.
    fn health(&self, now: Time) -> Option<Health> {
        let answered = self.answered?;
        if now.since(answered) > STALE {
            return None;
        }
        Some(if self.is_dead {
            Health::Dead
        } else if self.misses >= MISSES {
            Health::Suspect
        } else {
            Health::Live
        })
    }
}

impl Suspicion {
    /// Doubt raised now, that lasts longer if there was some of late.
    pub fn after(held: Option<Suspicion>, now: Time) -> Self {
        let lasts = match held {
            Some(held) if held.holds(now) => return held,
            Some(held) if now.since(held.since) < MAX_SUSPICION.times(2) => held.lasts.times(2),
            _ => MIN_SUSPICION,
        };
        Self {
            since: now,
            lasts: lasts.clamp(MIN_SUSPICION, MAX_SUSPICION),
        }
    }

    fn holds(self, now: Time) -> bool {
        now.since(self.since) < self.lasts
    }
}
