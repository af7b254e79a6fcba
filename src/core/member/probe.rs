//! Finding out which daemons run, at a cost that doesn't grow with their number.
//!
//! Each period one daemon is probed, all of them in turn in random order. One
//! that doesn't answer is probed through others, then suspected; one that stays
//! suspected is declared dead. Suspicions stay local; deaths are spread, and a
//! daemon that hears of its own death refutes it.

use super::{
    super::{
        ctx::Ctx,
        keys::DaemonName,
        time::{Span, Time},
    },
    table::Table,
};
use rand::{Rng as _, seq::SliceRandom as _};
use std::{collections::BTreeMap, net::SocketAddr};

/// How often a daemon is probed.
pub const PERIOD: Span = Span::from_millis(500);

/// How long a direct answer may take before others are asked.
pub const DIRECT: Span = Span::from_millis(150);

/// How long a daemon stays suspected before it is declared dead.
pub const SUSPICION: Span = Span::from_secs(2);

/// The daemons asked to probe one that didn't answer.
pub const HELPERS: usize = 3;

/// The most suspects probed again in one period.
const MAX_AGAIN: usize = 4;

/// How long a probe on another's behalf is remembered.
const ERRAND: Span = Span::from_secs(2);

/// The most probes on others' behalf at once.
const MAX_ERRANDS: usize = 64;

/// A probe under way.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Names it in its answer.
    pub number: u64,
    /// Who is probed.
    pub target: DaemonName,
    /// Whether an answer came, directly or through another.
    pub answered: bool,
}

/// A probe made for another daemon.
#[derive(Clone, Debug)]
struct Errand {
    asker: SocketAddr,
    number: u64,
    sent: Time,
}

/// A daemon that is probed again until its time is up.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    number: u64,
    since: Time,
}

/// The probes of this daemon.
#[derive(Debug, Default)]
pub struct Prober {
    current: Option<Probe>,
    round: Vec<DaemonName>,
    urgent: Vec<DaemonName>,
    expected: Option<Time>,
    errands: BTreeMap<u64, Errand>,
    suspects: BTreeMap<DaemonName, Suspect>,
}

/// Queries.
impl Prober {
    /// The probe under way, if nobody has answered it yet.
    pub fn unanswered(&self) -> Option<&Probe> {
        self.current.as_ref().filter(|probe| !probe.answered)
    }

    /// The suspects to probe again, and the numbers of their probes.
    pub fn again(&self) -> Vec<(DaemonName, u64)> {
        let suspects = self.suspects.iter().take(MAX_AGAIN);
        suspects.map(|(name, s)| (name.clone(), s.number)).collect()
    }

    /// Whether the next period is long overdue, as after a pause of this daemon.
    pub fn is_overdue(&self, now: Time) -> bool {
        let expected = self.expected;
        expected.is_some_and(|expected| now.since(expected) > PERIOD)
    }

    /// Whom a probe of this daemon's is for.
    pub fn target(&self, number: u64) -> Option<DaemonName> {
        let current = self.current.iter().map(|p| (p.number, &p.target));
        let suspects = self.suspects.iter().map(|(name, s)| (s.number, name));
        let (_, target) = current.chain(suspects).find(|(n, _)| *n == number)?;
        Some(target.clone())
    }
}

/// Commands.
impl Prober {
    /// Begins a period; true if it comes so late that nothing can be concluded.
    pub fn begin(&mut self, now: Time) -> bool {
        let late = self.is_overdue(now);
        self.expected = Some(now + PERIOD);
        if late {
            self.current = None;
            self.suspects.values_mut().for_each(|s| s.since = now);
        }
        self.errands.retain(|_, e| now.since(e.sent) < ERRAND);
        late
    }

    /// Ends the period's probe: who was probed, and whether an answer came.
    pub fn finish(&mut self) -> Option<(DaemonName, bool)> {
        let probe = self.current.take()?;
        Some((probe.target, probe.answered))
    }

    /// Chooses who is probed next.
    pub fn start(&mut self, ctx: &mut Ctx, table: &Table) -> Option<Probe> {
        let target = self.next(ctx, table)?;
        let probe = Probe {
            number: ctx.draw(),
            target,
            answered: false,
        };
        self.current = Some(probe.clone());
        Some(probe)
    }

    /// Has a daemon probed next.
    pub fn hurry(&mut self, name: DaemonName) {
        if !self.urgent.contains(&name) {
            self.urgent.push(name);
        }
    }

    /// Has a daemon probed in this round, at any place so that not all daemons probe it at once.
    pub fn include(&mut self, ctx: &mut Ctx, name: DaemonName) {
        let place = ctx.rng.random_range(0..=self.round.len());
        self.round.insert(place, name);
    }

    /// Takes an answer; the asker's address and number if it was an errand.
    pub fn on_answer(&mut self, number: u64) -> Option<(SocketAddr, u64)> {
        if let Some(probe) = &mut self.current {
            probe.answered |= probe.number == number;
        }
        let errand = self.errands.remove(&number)?;
        Some((errand.asker, errand.number))
    }

    /// Takes on a probe for another daemon; its own number, unless there are too many.
    pub fn take_errand(&mut self, ctx: &mut Ctx, asker: SocketAddr, number: u64) -> Option<u64> {
        if self.errands.len() >= MAX_ERRANDS {
            return None;
        }
        let own = ctx.draw();
        let errand = Errand {
            asker,
            number,
            sent: ctx.now,
        };
        self.errands.insert(own, errand);
        Some(own)
    }

    /// Keeps a suspect in mind.
    pub fn suspect(&mut self, ctx: &mut Ctx, name: DaemonName) {
        let suspect = Suspect {
            number: ctx.draw(),
            since: ctx.now,
        };
        self.suspects.entry(name).or_insert(suspect);
    }

    /// The suspects that are suspects no more, or whose time is up; the latter are given back.
    pub fn expire(&mut self, table: &Table, now: Time) -> Vec<DaemonName> {
        let mut dead = Vec::new();
        self.suspects.retain(|name, suspect| {
            let is_suspected = table.get(name).is_some_and(|m| m.suspected.is_some());
            let is_over = now.since(suspect.since) >= SUSPICION;
            if is_suspected && is_over {
                dead.push(name.clone());
            }
            is_suspected && !is_over
        });
        dead
    }

    fn next(&mut self, ctx: &mut Ctx, table: &Table) -> Option<DaemonName> {
        while let Some(name) = self.urgent.pop() {
            if table.get(&name).is_some_and(|m| m.is_up()) {
                return Some(name);
            }
        }
        if self.round.is_empty() {
            self.round = table.up().to_vec();
            self.round.shuffle(ctx.rng);
        }
        while let Some(name) = self.round.pop() {
            if table.get(&name).is_some_and(|m| m.is_up()) {
                return Some(name);
            }
        }
        None
    }
}

/// Up to `count` running daemons other than `but`, at random.
pub fn helpers(ctx: &mut Ctx, table: &Table, but: &DaemonName, count: usize) -> Vec<DaemonName> {
    let up = table.up();
    let mut chosen: Vec<DaemonName> = Vec::new();
    if up.is_empty() {
        return chosen;
    }
    for _ in 0..count * 3 {
        let name = &up[ctx.rng.random_range(0..up.len())];
        if name != but && !chosen.contains(name) {
            chosen.push(name.clone());
        }
        if chosen.len() == count {
            break;
        }
    }
    chosen
}
