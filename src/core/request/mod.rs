//! Requests: admission, routing, attempts, and answering each once and whole.
//!
//! A request is admitted (`arrival`), waits for room if need be (`queue`), and
//! is tried on runners (`attempt`, `routing`) until it ends, once (`ending`).
//! Non-idempotent requests are first claimed (`claim`, `ledger`, [`ticket`]).

mod admission;
mod attempt;
mod budget;
mod call;
mod claim;
mod counters;
mod ending;
mod limits;
mod load;
mod prefix;
mod queue;
mod routing;
mod services;
pub mod ticket;
mod used_tickets;

use super::{
    config::View,
    count::Count,
    ctx::Ctx,
    group::Groups,
    input::{CallInput, PlatformAnswer, RunnerInput},
    keys::{AttemptId, CallId, Epoch, GroupName, HostName, PlatformId},
    member::{Hosts, Members},
    output::{Output, Route, RunnerOutput},
    time::Span,
    timer::{RequestTimer, Timer},
};
use budget::RetryBudget;
use call::{Call, CallKey, Stage};
use claim::Claims;
use counters::Tally;
use limits::Limits;
use queue::Queues;
use routing::{Pool, Router};
use slotmap::SlotMap;
use std::collections::HashMap;
use used_tickets::Ledger;

/// How often what waits is looked at again.
const TICK: Span = Span::from_secs(1);

/// Runners whose cache events are read in one tick.
const CACHE_READS: usize = 4;

/// What requests are decided by.
#[derive(Clone, Copy, Debug)]
pub struct Cluster<'a> {
    /// The records in force.
    pub view: &'a View,
    /// The other daemons.
    pub members: &'a Members,
    /// The runner hosts.
    pub hosts: &'a Hosts,
    /// The groups.
    pub groups: &'a Groups,
}

/// The requests open on this daemon.
#[derive(Debug, Default)]
pub struct Requests {
    calls: SlotMap<CallKey, Call>,
    by_id: HashMap<CallId, CallKey>,
    by_attempt: HashMap<AttemptId, CallKey>,
    limits: Limits,
    queues: Queues,
    router: Router,
    budget: RetryBudget,
    ledger: Ledger,
    claims: Claims,
    tally: Tally,
    /// Hosts found silent even on fresh connections, not yet reported.
    suspects: Vec<HostName>,
    /// Pools that may have room for what waits.
    freed: Vec<Pool>,
    stopping: bool,
}

/// Queries.
impl Requests {
    /// How many requests are open.
    pub fn open_count(&self) -> usize {
        self.calls.len()
    }

    /// How many attempts run on a group at an epoch or an earlier one.
    pub fn running_on(&self, name: &GroupName, until: Epoch) -> usize {
        let attempts = self.calls.values().filter_map(Call::attempt);
        attempts
            .filter(|attempt| match &attempt.route {
                Route::Group { group, epoch, .. } => group == name && *epoch <= until,
                _ => false,
            })
            .count()
    }

    /// Adds what this part has counted.
    pub fn counts(&self, counts: &mut Vec<Count>) {
        self.tally.counts(counts);
        counts.extend([
            Count::counter("retries_total", self.budget.spent()),
            Count::counter("retries_denied_total", self.budget.denied()),
            Count::gauge("requests_open", self.calls.len() as u64),
            Count::gauge("requests_queued", self.queues.len() as u64),
            Count::gauge("ledger_entries", self.ledger.len() as u64),
            Count::gauge("prefix_blocks", self.router.blocks() as u64),
        ]);
    }
}

/// Commands.
impl Requests {
    /// Starts the timers that always run.
    pub fn on_start(&mut self, ctx: &mut Ctx) {
        self.on_sweep(ctx);
        ctx.timer(Timer::Request(RequestTimer::Queue), TICK);
    }

    /// Takes an event from a caller.
    pub fn on_call(&mut self, ctx: &mut Ctx, site: &Cluster, input: CallInput) {
        match input {
            CallInput::Arrived { call, request } => self.on_arrived(ctx, site, call, request),
            CallInput::Gone { call } => self.on_gone(ctx, call),
            CallInput::Entries { .. } => {}
        }
        self.pump(ctx, site);
    }

    /// Takes an event of an attempt; returns hosts found silent even on a fresh connection.
    pub fn on_runner(
        &mut self,
        ctx: &mut Ctx,
        site: &Cluster,
        input: RunnerInput,
    ) -> Vec<HostName> {
        match input {
            RunnerInput::Accepted { attempt, echo } => self.on_accepted(ctx, site, attempt, echo),
            RunnerInput::Chunk {
                attempt,
                offset,
                tokens,
                payload,
            } => self.on_chunk(ctx, site, attempt, offset, tokens, payload),
            RunnerInput::Finished { attempt } => self.on_finished(ctx, site, attempt),
            RunnerInput::Failed { attempt, failure } => {
                self.on_failed(ctx, site, attempt, failure);
            }
            RunnerInput::Cache {
                host,
                first,
                events,
            } => self.router.on_cache(&host, first, events),
            RunnerInput::Load { .. }
            | RunnerInput::Ordered { .. }
            | RunnerInput::Holding { .. } => {}
        }
        self.pump(ctx, site);
        std::mem::take(&mut self.suspects)
    }

    /// Takes a timer; returns hosts found silent even on a fresh connection.
    pub fn on_timer(
        &mut self,
        ctx: &mut Ctx,
        site: &Cluster,
        timer: RequestTimer,
    ) -> Vec<HostName> {
        match timer {
            RequestTimer::Deadline(call) => self.on_deadline(ctx, call),
            RequestTimer::Silent(attempt) => self.on_silent(ctx, site, attempt),
            RequestTimer::Retry(_) => self.free_all(),
            RequestTimer::Queue => self.on_tick(ctx, site),
            RequestTimer::Sweep => {
                self.router.sweep(site);
                self.limits.sweep(site.view);
                self.on_sweep(ctx);
            }
            RequestTimer::Stop => self.on_grace_over(ctx),
        }
        self.pump(ctx, site);
        std::mem::take(&mut self.suspects)
    }

    /// Takes the answer to a platform call of this part; nothing means that it failed.
    pub fn on_platform(
        &mut self,
        ctx: &mut Ctx,
        site: &Cluster,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) {
        self.on_claim_answer(ctx, site, id, answer);
        self.pump(ctx, site);
    }

    /// Looks again at what waits, after groups, hosts or records have changed.
    pub fn on_cluster_change(&mut self, ctx: &mut Ctx, site: &Cluster) {
        self.router.on_site();
        self.free_all();
        self.pump(ctx, site);
    }

    /// Refuses new requests, and asks for the exit once the open ones have ended.
    pub fn on_stop(&mut self, ctx: &mut Ctx, _site: &Cluster) {
        self.begin_stop(ctx);
    }

    /// Looks again at every pool in which requests wait.
    fn free_all(&mut self) {
        self.freed = self.queues.busy();
    }

    /// Looks again at what waits, and reads cache events of a few runners in use.
    fn on_tick(&mut self, ctx: &mut Ctx, site: &Cluster) {
        self.free_all();
        for host in self.router.next_reads(CACHE_READS) {
            if let Some(known) = site.hosts.get(&host) {
                ctx.push(Output::Runner(RunnerOutput::ReadCache {
                    address: known.entry.address,
                    from: self.router.next_event(&host),
                    host,
                }));
            }
        }
        ctx.timer(Timer::Request(RequestTimer::Queue), TICK);
    }

    fn on_sweep(&mut self, ctx: &mut Ctx) {
        self.ledger.sweep(ctx.now, *ctx.drawn);
        ctx.timer(Timer::Request(RequestTimer::Sweep), used_tickets::SWEEP);
    }
}
