//! Periodic tasks of the membership other than probes.

use super::{
    super::{
        ctx::Ctx,
        message::Message,
        time::{Span, Time},
    },
    MemberMessage, Members, probe,
};
use rand::Rng as _;
use std::net::SocketAddr;

/// First interval between table syncs, which doubles with each sync.
const MIN_SYNC_INTERVAL: Span = Span::from_millis(500);

/// Upper bound of the interval between table syncs.
const MAX_SYNC_INTERVAL: Span = Span::from_secs(60);

/// Interval between probes of dead daemons, which detect the end of a partition.
const DEAD_PROBE_INTERVAL: Span = Span::from_secs(2);

/// Interval between removals of old entries.
const SWEEP_INTERVAL: Span = Span::from_secs(60);

/// Divisor of the freshness window that gives the interval between checks of the platform.
const PLATFORM_CHECK_DIVISOR: u64 = 3;

/// Schedule of the periodic tasks other than probes.
#[derive(Debug, Default)]
pub(super) struct Maintenance {
    /// Time of the last table sync, if there was one.
    pub(super) synced: Option<Time>,
    sync_interval: Span,
    dead_probed: Time,
    swept: Time,
}

impl Members {
    /// Runs the periodic tasks that are due.
    pub(super) fn run_maintenance(&mut self, ctx: &mut Ctx) {
        let reaches_peers = self.reaches_peers(ctx.now);
        if !reaches_peers {
            self.probe_seeds(ctx);
        }
        self.check_platform(ctx, reaches_peers);
        if ctx.now.since(self.maintenance.dead_probed) >= DEAD_PROBE_INTERVAL {
            self.maintenance.dead_probed = ctx.now;
            self.probe_dead(ctx);
        }
        let synced = self.maintenance.synced;
        if synced.is_some_and(|at| ctx.now.since(at) >= self.maintenance.sync_interval) {
            self.sync(ctx);
        }
        if ctx.now.since(self.maintenance.swept) >= SWEEP_INTERVAL {
            self.maintenance.swept = ctx.now;
            self.sweep(ctx.now);
        }
    }

    /// Checks the platform if too few daemons answer to prove that this one is connected.
    fn check_platform(&mut self, ctx: &mut Ctx, reaches_peers: bool) {
        let timeout = probe::SUSPICION_TIMEOUT;
        let is_proven = reaches_peers && !self.resumed;
        if is_proven && self.freshness.half_answered(ctx.now, timeout) {
            return;
        }
        let interval = Span(self.freshness.window().0 / PLATFORM_CHECK_DIVISOR);
        if !self.freshness.reaches_platform(ctx.now, interval) {
            self.registry.check_platform(ctx);
        }
    }

    /// Removes old entries.
    fn sweep(&mut self, now: Time) {
        self.table.sweep(now);
        let table = &self.table;
        self.seen.retain(|name| table.get(name).is_some());
    }

    /// Probes the seed addresses that no known live daemon has.
    fn probe_seeds(&mut self, ctx: &mut Ctx) {
        let seeds: Vec<SocketAddr> = ctx.me.seeds.clone();
        for seed in seeds {
            let is_known = self.table.by_address(seed).is_some();
            if seed != ctx.me.peer && !is_known {
                self.probe_address(ctx, seed);
            }
        }
    }

    /// Probes one dead daemon at random.
    fn probe_dead(&mut self, ctx: &mut Ctx) {
        let dead = self.table.iter().filter(|member| !member.is_up());
        let dead: Vec<SocketAddr> = dead.map(|member| member.latest.daemon.peer).collect();
        if dead.is_empty() {
            return;
        }
        let chosen = dead[ctx.rng.random_range(0..dead.len())];
        self.probe_address(ctx, chosen);
    }

    /// Requests the whole table of one other daemon.
    pub(super) fn sync(&mut self, ctx: &mut Ctx) {
        self.maintenance.synced = Some(ctx.now);
        self.maintenance.sync_interval = self
            .maintenance
            .sync_interval
            .times(2)
            .clamp(MIN_SYNC_INTERVAL, MAX_SYNC_INTERVAL);
        let me = ctx.me.name.clone();
        for name in probe::random_peers(ctx, &self.table, &me, 1) {
            let Some(member) = self.table.get(&name) else {
                continue;
            };
            let address = member.latest.daemon.peer;
            ctx.send_stream(address, Message::Member(MemberMessage::Pull));
        }
    }
}
