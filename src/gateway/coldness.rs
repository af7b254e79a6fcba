//! Which runners are cold, and the limit on requests to them meanwhile.
//!
//! A runner says in its entry, and may say in its responses, for how long it
//! stays cold. Without that, a new instance is presumed to be cold for the cold
//! period, and so are the runners of a hall whose evacuation has ended. The head
//! of a group that has just been opened counts as cold as well, whatever it says,
//! since all its slots are free and would be filled at once.
//!
//! Entries, responses and other daemons reach this one with different delays. A
//! statement ends one from elsewhere only if that was heard some time earlier, so
//! that an old message doesn't end a cold time that has just begun.

use super::{
    roster::{HostKey, Runner},
    spec::{ColdRate, Spec},
    stated::{RateLimit, Stated},
};
use crate::core::{
    keys::{Epoch, Revision, ServiceName},
    time::{Span, Time},
};
use slotmap::SecondaryMap;
use std::collections::BTreeMap;

/// Maximum time for which a runner may say that it stays cold.
const MAX_COLD_TIME: Span = Span::from_secs(24 * 60 * 60);

/// Time after which whatever else arrives was written later. An entry may be 0.8 s old when it is
/// read, and is passed on by a peer.
const STATEMENT_LAG: Span = Span::from_millis(1_500);

/// Part of a cold time that is left out when a daemon passes on what another one has said. It
/// exceeds the delay of a datagram: two daemons can't prolong a cold time by telling each other.
const RELAY_MARGIN: Span = Span::from_millis(500);

/// Time by which the end of a cold time must exceed what a daemon knows to count as a change: daemons
/// read the same entry at different times, none before it was written.
const CLAIM_MARGIN: Span = Span::from_millis(1_000);

/// Minimum interval between two announcements of a runner's cold time.
const ANNOUNCEMENT_INTERVAL: Span = Span::from_millis(1_000);

/// Returns a time for which a runner stays cold; none if it is negative, not a finite number, or
/// longer than a day.
pub fn cold_time(millis: f64) -> Option<Span> {
    let is_valid = millis.is_finite() && millis >= 0.0;
    let span = is_valid.then_some(Span((millis * 1e3) as u64))?;
    (span <= MAX_COLD_TIME).then_some(span)
}

crate::record! {
    /// Statement of a daemon to another one that a runner is cold.
    #[derive(Copy)]
    pub struct ColdClaim {
        /// Time for which it stays cold.
        pub left: Span,
        /// Limit on requests to it meanwhile.
        pub limit: RateLimit,
    }
}

/// How an entry was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntrySource {
    /// The first list of a daemon that has seen no traffic.
    FirstList,
    /// A later list, or a change.
    Current,
    /// A list from an older copy of the store.
    OlderList,
}

/// What an entry says of its runner.
#[derive(Clone, Debug)]
pub struct ColdEntry {
    /// Service of the runner.
    pub service: ServiceName,
    /// Time for which it stays cold.
    pub cold_left: Stated<Span>,
    /// Epoch of its group if it is a head that takes requests.
    pub open_epoch: Option<Epoch>,
    /// Revision at which the entry was written.
    pub revision: Revision,
    /// How the entry was read.
    pub source: EntrySource,
}

impl ColdEntry {
    /// Creates the statement of an entry that was written at a revision.
    pub fn new(runner: &Runner, revision: Revision, source: EntrySource) -> Self {
        Self {
            service: runner.service.clone(),
            cold_left: runner.cold_left,
            open_epoch: runner.open_epoch(),
            revision,
            source,
        }
    }
}

/// What has changed by an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdChange {
    /// True if the runner counts as cold only since.
    pub is_start: bool,
    /// True if the entry has no valid cold time, for the first time in a row.
    pub is_unreadable: bool,
}

/// End of a cold time, as it was heard from one source.
#[derive(Clone, Copy, Debug, Default)]
struct Statement {
    until: Time,
    heard_at: Time,
}

impl Statement {
    fn new(left: Span, now: Time) -> Self {
        Self {
            until: now + left.min(MAX_COLD_TIME),
            heard_at: now,
        }
    }

    /// Ends with a statement from another source, unless that may be older.
    fn supersede(&mut self, now: Time) {
        if now.since(self.heard_at) >= STATEMENT_LAG {
            self.until = Time::default();
        }
    }
}

/// Start of a cold time that the runner hasn't stated.
#[derive(Clone, Copy, Debug)]
struct Presumption {
    since: Time,
    /// Time from which on an entry is certain to be later.
    until_entry_from: Time,
}

/// What is known of one runner.
#[derive(Clone, Debug)]
struct HostColdness {
    service: ServiceName,
    /// Revision of its last entry.
    revision: Revision,
    entry: Statement,
    response: Statement,
    peer: Statement,
    presumption: Option<Presumption>,
    open_epoch: Option<Epoch>,
    /// Time at which its group was opened, if this daemon has seen that.
    opened_at: Option<Time>,
    is_unreadable: bool,
    announced_at: Option<Time>,
}

impl HostColdness {
    fn new(entry: &ColdEntry) -> Self {
        Self {
            service: entry.service.clone(),
            revision: entry.revision,
            entry: Statement::default(),
            response: Statement::default(),
            peer: Statement::default(),
            presumption: None,
            open_epoch: None,
            opened_at: None,
            is_unreadable: false,
            announced_at: None,
        }
    }

    /// Returns the end of the cold time as this daemon itself knows it.
    fn own_until(&self, period: Span) -> Time {
        let stated = self.entry.until.max(self.response.until);
        let presumed = self.presumption.map(|presumption| presumption.since);
        let since = presumed.max(self.opened_at);
        stated.max(since.map_or(Time::default(), |since| since + period))
    }

    fn until(&self, period: Span) -> Time {
        self.own_until(period).max(self.peer.until)
    }

    /// Returns the statements on the cold time.
    fn statements(&self, period: Span) -> impl Iterator<Item = ColdTime> {
        let heard = |source, statement: Statement| ColdTime {
            until: statement.until,
            source,
            heard_at: statement.heard_at,
        };
        let since = |source, at: Time| ColdTime {
            until: at + period,
            source,
            heard_at: at,
        };
        let stated = [
            heard(ColdSource::Entry, self.entry),
            heard(ColdSource::Response, self.response),
            heard(ColdSource::Peer, self.peer),
        ];
        let presumed = self.presumption.map(|presumption| presumption.since);
        let presumed = presumed.map(|at| since(ColdSource::Presumed, at));
        let opened = self.opened_at.map(|at| since(ColdSource::Opened, at));
        stated.into_iter().chain(presumed).chain(opened)
    }

    fn apply_entry(&mut self, entry: &ColdEntry, now: Time) {
        self.service = entry.service.clone();
        self.revision = entry.revision;
        if let Stated::Value(left) = entry.cold_left {
            self.apply_left(left, entry.source, now);
        }
        let is_opened = entry.open_epoch.is_some() && entry.open_epoch != self.open_epoch;
        self.open_epoch = entry.open_epoch;
        if is_opened && entry.source == EntrySource::Current {
            self.opened_at = Some(now);
        }
    }

    fn apply_left(&mut self, left: Span, source: EntrySource, now: Time) {
        let stated = Statement::new(left, now);
        // An older copy of the store may lack the start of a cold time.
        if source == EntrySource::OlderList {
            self.entry.until = self.entry.until.max(stated.until);
            return;
        }
        self.entry = stated;
        self.response.supersede(now);
        self.peer.supersede(now);
        self.presumption = self
            .presumption
            .filter(|presumption| now < presumption.until_entry_from);
    }
}

crate::record! {
    /// Source of the statement that a runner is cold.
    #[derive(Copy, Eq)]
    pub enum ColdSource {
        /// Its entry in the store.
        Entry,
        /// One of its responses.
        Response,
        /// Another daemon.
        Peer,
        /// None: it is presumed, after a start or the end of an evacuation.
        Presumed,
        /// Its group was opened.
        Opened,
    }
}

/// Cold time of a runner, by the statement that makes it last longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTime {
    /// End of the cold time.
    pub until: Time,
    /// Source of the statement.
    pub source: ColdSource,
    /// Time at which it was heard, or since which it is presumed.
    pub heard_at: Time,
}

/// Which runners are cold.
#[derive(Debug, Default)]
pub struct Coldness {
    /// Services whose runners may be cold.
    rates: BTreeMap<ServiceName, ColdRate>,
    hosts: SecondaryMap<HostKey, HostColdness>,
}

impl Coldness {
    /// Replaces the services whose runners may be cold by those of a configuration.
    pub fn configure(&mut self, spec: &Spec) {
        let services = spec.services.iter();
        let rates = services.filter_map(|service| Some((service.name.clone(), service.cold?)));
        self.rates = rates.collect();
    }

    /// Records the entry of a runner; one that was read before changes nothing.
    pub fn record_entry(&mut self, host: HostKey, entry: &ColdEntry, now: Time) -> ColdChange {
        let was_cold = self.is_cold(host, now);
        let is_known = self.hosts.contains_key(host);
        let Some(slot) = self.hosts.entry(host) else {
            return ColdChange::default();
        };
        let known = slot.or_insert_with(|| HostColdness::new(entry));
        if is_known && known.revision == entry.revision {
            return ColdChange::default();
        }
        let is_unstated = !matches!(entry.cold_left, Stated::Value(_));
        let is_new = !is_known && entry.source != EntrySource::FirstList;
        if is_new && is_unstated {
            known.presumption = Some(Presumption {
                since: now,
                until_entry_from: now,
            });
        }
        let was_unreadable = std::mem::replace(&mut known.is_unreadable, is_unstated);
        known.apply_entry(entry, now);
        let may_be_cold = self.rates.contains_key(&entry.service);
        ColdChange {
            is_start: !was_cold && self.is_cold(host, now),
            is_unreadable: may_be_cold && is_unstated && !was_unreadable,
        }
    }

    /// Records the time for which a runner stays cold, as its response says; returns true if it
    /// counts as cold only since.
    pub fn record_response(&mut self, host: HostKey, left: Span, now: Time) -> bool {
        self.change(host, now, |known| {
            known.response = Statement::new(left, now);
            known.entry.supersede(now);
            known.peer.supersede(now);
        })
    }

    /// Records the time for which a runner stays cold, as another daemon says; returns true if it
    /// counts as cold only since.
    pub fn record_claim(&mut self, host: HostKey, left: Span, now: Time) -> bool {
        let rate = self.get(host).map(|(_, rate)| rate);
        let period = rate.map_or(Span::ZERO, |rate| rate.period);
        self.change(host, now, |known| {
            let stated = Statement::new(left, now);
            if stated.until > known.until(period).max(now) + CLAIM_MARGIN {
                known.peer = stated;
            }
        })
    }

    /// Records that the evacuation of a runner's hall has ended. The runner may have become cold
    /// meanwhile, and its entry may be older.
    pub fn record_evacuation_end(&mut self, host: HostKey, now: Time) -> bool {
        self.change(host, now, |known| {
            known.presumption = Some(Presumption {
                since: now,
                until_entry_from: now + STATEMENT_LAG,
            });
        })
    }

    /// Changes what is known of a runner; returns true if it counts as cold only since.
    fn change<F>(&mut self, host: HostKey, now: Time, change: F) -> bool
    where
        F: FnOnce(&mut HostColdness),
    {
        let was_cold = self.is_cold(host, now);
        if let Some(known) = self.hosts.get_mut(host) {
            change(known);
        }
        !was_cold && self.is_cold(host, now)
    }

    /// Returns true if the start of a runner's cold time may be announced to other daemons now, and
    /// counts it as announced.
    pub fn try_announce(&mut self, host: HostKey, now: Time) -> bool {
        let Some(known) = self.hosts.get_mut(host) else {
            return false;
        };
        let last = known.announced_at;
        if last.is_some_and(|at| now.since(at) < ANNOUNCEMENT_INTERVAL) {
            return false;
        }
        known.announced_at = Some(now);
        true
    }

    /// Returns the limit on requests to a runner while it is cold; none if it isn't.
    pub fn limit(&self, host: HostKey, now: Time) -> Option<RateLimit> {
        let (known, rate) = self.get(host)?;
        (now < known.until(rate.period)).then_some(rate.limit)
    }

    /// Returns the cold time of a runner; none if it isn't cold.
    pub fn cold_time(&self, host: HostKey, now: Time) -> Option<ColdTime> {
        let (known, rate) = self.get(host)?;
        let statements = known.statements(rate.period);
        let longest = statements.max_by_key(|statement| statement.until)?;
        (now < longest.until).then_some(longest)
    }

    /// Returns what another daemon should know of a runner; none if it isn't cold.
    pub fn claim(&self, host: HostKey, now: Time) -> Option<ColdClaim> {
        let (known, rate) = self.get(host)?;
        let relayed = known.peer.until - RELAY_MARGIN;
        let left = known.own_until(rate.period).max(relayed).since(now);
        let limit = rate.limit;
        (left > Span::ZERO).then_some(ColdClaim { left, limit })
    }

    /// Returns true if a runner counts as cold.
    pub fn is_cold(&self, host: HostKey, now: Time) -> bool {
        self.limit(host, now).is_some()
    }

    /// Returns the number of runners that count as cold.
    pub fn count(&self, now: Time) -> usize {
        let hosts = self.hosts.keys();
        hosts.filter(|host| self.is_cold(*host, now)).count()
    }

    fn get(&self, host: HostKey) -> Option<(&HostColdness, &ColdRate)> {
        let known = self.hosts.get(host)?;
        Some((known, self.rates.get(&known.service)?))
    }
}
