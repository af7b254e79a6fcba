//! Health of a runner host, derived from the evidence that each source gives.

use super::super::time::{Span, Time};

/// Consecutive missed load reports that make a host suspect.
const SUSPECT_MISSES: u32 = 2;

/// Time without an answer after which a host counts as dead.
const SILENCE_TIMEOUT: Span = Span::from_secs(5);

/// Consecutive answers that bring a dead host back.
const RECOVERY_ANSWERS: u32 = 3;

/// Time for which a load poll or a digest is valid, and for which a poll may stay unanswered.
pub(super) const VALIDITY_WINDOW: Span = Span::from_secs(5);

/// Time for which evidence of leaving counts without confirmation by the host list.
const LEAVING_WINDOW: Span = Span::from_secs(30);

/// Duration of the first suspicion raised by a request; doubles with each further one.
const MIN_SUSPICION: Span = Span::from_secs(2);

/// Upper bound of the duration of a suspicion raised by a request.
const MAX_SUSPICION: Span = Span::from_secs(30);

/// Delay before a host that is missing from the host list counts as dead.
const ABSENCE_DELAY: Span = Span::from_secs(1);

crate::record! {
    /// Health of a runner host.
    #[derive(Copy, Eq)]
    pub enum Health {
        /// No evidence against it.
        Live,
        /// It failed to answer, and gets no new work until it answers again.
        Suspect,
        /// It is leaving, and gets no new work.
        Leaving,
        /// It is gone from the host list, or has stopped answering.
        Dead,
    }
}

/// Evidence about the health of a host, by source.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Time since which the host list lacks the host.
    pub absent: Option<Time>,
    /// Results of this daemon's load polls.
    pub polls: Polls,
    /// Time of the last load report, if that report said that the host is leaving.
    pub reported_leaving: Option<Time>,
    /// Time at which another daemon announced that the host is leaving.
    pub gossiped_leaving: Option<Time>,
    /// Health according to the last digest of the host's domain.
    pub digest: Option<Health>,
    /// Suspicion raised by failed requests.
    pub suspicion: Option<Suspicion>,
}

/// Results of the load polls of a host.
#[derive(Clone, Debug, Default)]
pub struct Polls {
    /// Time of the last poll.
    pub sent: Option<Time>,
    finished: Option<Time>,
    silent: Option<Time>,
    misses: u32,
    answers: u32,
    is_dead: bool,
}

/// Suspicion of a host raised by a failed request.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    since: Time,
    duration: Span,
}

/// Queries.
impl Evidence {
    /// Returns the health as this daemon uses it for its own requests.
    pub fn health(&self, now: Time, listed_leaving: bool, use_evidence: bool) -> Health {
        let shared = self.shared_health(now, listed_leaving, use_evidence);
        let is_suspected = self.suspicion.is_some_and(|s| s.is_active(now));
        if shared == Health::Live && is_suspected {
            Health::Suspect
        } else {
            shared
        }
    }

    /// Returns the health to report to other daemons, which leaves out request failures.
    pub fn shared_health(&self, now: Time, listed_leaving: bool, use_evidence: bool) -> Health {
        let observed = self.polls.health(now).or(self.digest);
        let absence = self.absent.map(|since| now.since(since));
        if absence >= Some(ABSENCE_DELAY) || observed == Some(Health::Dead) {
            return Health::Dead;
        }
        let is_recent = |at: Option<Time>| at.is_some_and(|at| now.since(at) <= LEAVING_WINDOW);
        let has_evidence = is_recent(self.reported_leaving)
            || is_recent(self.gossiped_leaving)
            || self.digest == Some(Health::Leaving);
        if listed_leaving || (use_evidence && has_evidence) {
            return Health::Leaving;
        }
        if absence.is_some() || observed == Some(Health::Suspect) {
            return Health::Suspect;
        }
        Health::Live
    }
}

impl Polls {
    /// Returns true if the host is due to be polled at this interval.
    pub fn is_due(&self, now: Time, interval: Span) -> bool {
        let Some(sent) = self.sent else {
            return true;
        };
        let is_finished = self.finished.is_some_and(|at| at >= sent);
        if !is_finished && now.since(sent) < VALIDITY_WINDOW {
            return false;
        }
        now.since(sent) >= interval
    }

    /// Records the result of a poll.
    pub fn record(&mut self, now: Time, is_answer: bool) {
        self.finished = Some(now);
        if !is_answer {
            self.misses += 1;
            self.answers = 0;
            let silent = *self.silent.get_or_insert(now);
            self.is_dead |= self.misses > SUSPECT_MISSES && now.since(silent) >= SILENCE_TIMEOUT;
            return;
        }
        self.misses = 0;
        self.silent = None;
        self.answers += 1;
        self.is_dead &= self.answers < RECOVERY_ANSWERS;
    }

    /// Returns the health according to the polls, or `None` without a recent result.
    fn health(&self, now: Time) -> Option<Health> {
        let finished = self.finished?;
        if now.since(finished) > VALIDITY_WINDOW {
            return None;
        }
        Some(if self.is_dead {
            Health::Dead
        } else if self.misses >= SUSPECT_MISSES {
            Health::Suspect
        } else {
            Health::Live
        })
    }
}

impl Suspicion {
    /// Raises a suspicion, or keeps the active one; a recent one doubles the duration.
    pub fn raise(previous: Option<Suspicion>, now: Time) -> Self {
        let duration = match previous {
            Some(previous) if previous.is_active(now) => return previous,
            Some(previous) if now.since(previous.since) < MAX_SUSPICION.times(2) => {
                previous.duration.times(2)
            }
            _ => MIN_SUSPICION,
        };
        Self {
            since: now,
            duration: duration.clamp(MIN_SUSPICION, MAX_SUSPICION),
        }
    }

    fn is_active(self, now: Time) -> bool {
        now.since(self.since) < self.duration
    }
}
