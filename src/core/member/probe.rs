//! Failure detection by probes, at a cost that doesn't grow with the number of daemons.
//!
//! Each interval one daemon is probed, and all of them in turn in random order. One
//! that doesn't answer is probed through others, then suspected; one that stays
//! suspected is declared dead. Suspicions stay local; deaths are broadcast, and a
//! daemon that learns of its own death refutes it.

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

/// Interval between probes.
pub const PROBE_INTERVAL: Span = Span::from_millis(500);

/// Time to wait for a direct ack before others are asked to probe.
pub const DIRECT_TIMEOUT: Span = Span::from_millis(150);

/// Time for which a daemon stays suspected before it is declared dead.
pub const SUSPICION_TIMEOUT: Span = Span::from_secs(2);

/// Number of daemons asked to probe one that didn't answer.
pub const INDIRECT_PROBES: usize = 3;

/// Maximum number of suspects probed again in one interval.
const MAX_REPROBES: usize = 4;

/// Time for which a probe on another daemon's behalf is kept open.
const RELAY_TIMEOUT: Span = Span::from_secs(2);

/// Maximum number of open probes on other daemons' behalf.
const MAX_RELAYED: usize = 64;

/// Probe of the current interval.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Number that its ack repeats.
    pub number: u64,
    /// Daemon that is probed.
    pub target: DaemonName,
    /// True once an ack came, directly or through another daemon.
    pub answered: bool,
}

/// Probe on behalf of another daemon.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: SocketAddr,
    number: u64,
    sent: Time,
}

/// Suspected daemon, which is probed again until its suspicion times out.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    number: u64,
    since: Time,
}

/// Probes of this daemon.
#[derive(Debug, Default)]
pub struct Prober {
    current: Option<Probe>,
    round: Vec<DaemonName>,
    urgent: Vec<DaemonName>,
    next_period: Option<Time>,
    relayed: BTreeMap<u64, RelayedProbe>,
    suspects: BTreeMap<DaemonName, Suspect>,
}

/// Queries.
impl Prober {
    /// Returns the current probe if it isn't answered yet.
    pub fn unanswered(&self) -> Option<&Probe> {
        self.current.as_ref().filter(|probe| !probe.answered)
    }

    /// Returns the suspects to probe again, with the numbers of their probes.
    pub fn reprobes(&self) -> Vec<(DaemonName, u64)> {
        let suspects = self.suspects.iter().take(MAX_REPROBES);
        suspects.map(|(name, s)| (name.clone(), s.number)).collect()
    }

    /// Returns true if the next period is long overdue, as after a pause of this daemon.
    pub fn is_overdue(&self, now: Time) -> bool {
        let next = self.next_period;
        next.is_some_and(|next| now.since(next) > PROBE_INTERVAL)
    }

    /// Returns the daemon that a probe of this daemon's own targets.
    pub fn target(&self, number: u64) -> Option<DaemonName> {
        let current = self.current.iter().map(|p| (p.number, &p.target));
        let suspects = self.suspects.iter().map(|(name, s)| (s.number, name));
        let (_, target) = current.chain(suspects).find(|(n, _)| *n == number)?;
        Some(target.clone())
    }
}

/// Commands.
impl Prober {
    /// Begins a period; returns true if it is overdue.
    ///
    /// In that case the open probe is discarded and every suspicion restarts, since
    /// acks may have been missed during the pause.
    pub fn begin_period(&mut self, now: Time) -> bool {
        let is_overdue = self.is_overdue(now);
        self.next_period = Some(now + PROBE_INTERVAL);
        if is_overdue {
            self.current = None;
            self.suspects.values_mut().for_each(|s| s.since = now);
        }
        self.relayed
            .retain(|_, probe| now.since(probe.sent) < RELAY_TIMEOUT);
        is_overdue
    }

    /// Ends the current probe; returns its target and whether it was answered.
    pub fn finish(&mut self) -> Option<(DaemonName, bool)> {
        let probe = self.current.take()?;
        Some((probe.target, probe.answered))
    }

    /// Starts a probe of the next daemon in turn.
    pub fn start(&mut self, ctx: &mut Ctx, table: &Table) -> Option<Probe> {
        let target = self.next(ctx, table)?;
        let probe = Probe {
            number: ctx.next_id(),
            target,
            answered: false,
        };
        self.current = Some(probe.clone());
        Some(probe)
    }

    /// Moves a daemon to the front of the probe order.
    pub fn prioritize(&mut self, name: DaemonName) {
        if !self.urgent.contains(&name) {
            self.urgent.push(name);
        }
    }

    /// Adds a daemon to the current round.
    ///
    /// The position is random, so that not all daemons probe a new one at the same time.
    pub fn add_to_round(&mut self, ctx: &mut Ctx, name: DaemonName) {
        let position = ctx.rng.random_range(0..=self.round.len());
        self.round.insert(position, name);
    }

    /// Records an ack; returns the requester's address and number for a relayed probe.
    pub fn on_ack(&mut self, number: u64) -> Option<(SocketAddr, u64)> {
        if let Some(probe) = &mut self.current {
            probe.answered |= probe.number == number;
        }
        let relayed = self.relayed.remove(&number)?;
        Some((relayed.requester, relayed.number))
    }

    /// Opens a probe on another daemon's behalf; returns its number unless too many are open.
    pub fn relay(&mut self, ctx: &mut Ctx, requester: SocketAddr, number: u64) -> Option<u64> {
        if self.relayed.len() >= MAX_RELAYED {
            return None;
        }
        let own = ctx.next_id();
        let probe = RelayedProbe {
            requester,
            number,
            sent: ctx.now,
        };
        self.relayed.insert(own, probe);
        Some(own)
    }

    /// Adds a suspect, unless it is one already.
    pub fn add_suspect(&mut self, ctx: &mut Ctx, name: DaemonName) {
        let suspect = Suspect {
            number: ctx.next_id(),
            since: ctx.now,
        };
        self.suspects.entry(name).or_insert(suspect);
    }

    /// Removes the suspects that are cleared or timed out; returns those that timed out.
    pub fn expire_suspects(&mut self, table: &Table, now: Time) -> Vec<DaemonName> {
        let mut dead = Vec::new();
        self.suspects.retain(|name, suspect| {
            let is_suspected = table.get(name).is_some_and(|m| m.suspected.is_some());
            let is_over = now.since(suspect.since) >= SUSPICION_TIMEOUT;
            if is_suspected && is_over {
                dead.push(name.clone());
            }
            is_suspected && !is_over
        });
        dead
    }

    /// Returns the next daemon to probe: a prioritized one, else the next of the round.
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

/// Returns at most `count` random live daemons other than `excluded`.
pub fn random_peers(
    ctx: &mut Ctx,
    table: &Table,
    excluded: &DaemonName,
    count: usize,
) -> Vec<DaemonName> {
    let up = table.up();
    let mut chosen: Vec<DaemonName> = Vec::new();
    if up.is_empty() {
        return chosen;
    }
    for _ in 0..count * 3 {
        let name = &up[ctx.rng.random_range(0..up.len())];
        if name != excluded && !chosen.contains(name) {
            chosen.push(name.clone());
        }
        if chosen.len() == count {
            break;
        }
    }
    chosen
}
