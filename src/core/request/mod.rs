//! Request handling: admission, queueing, routing, attempts and completion.
//!
//! A request is admitted (`admission`), queued while no runner has room
//! (`queue`) and sent to runners (`routing`, `attempt`) until it ends, which
//! happens exactly once (`ending`). Non-idempotent requests are claimed before
//! their first attempt (`claim`, `used_tickets`, [`ticket`]).

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
    ctx::Ctx,
    group::Groups,
    input::{CallInput, PlatformAnswer, RunnerInput},
    keys::{AttemptId, CallId, Epoch, GroupName, HostName, PlatformId},
    member::{Hosts, Members},
    metric::Metric,
    output::{Output, Route, RunnerOutput},
    time::Span,
    timer::{RequestTimer, Timer},
};
use budget::RetryBudget;
use call::{Call, CallKey, Stage};
use claim::Claims;
use counters::Counters;
use limits::Limits;
use queue::Queues;
use routing::{Pool, Router};
use slotmap::SlotMap;
use std::collections::HashMap;
use used_tickets::UsedTickets;

/// Interval between checks of all queued requests.
const QUEUE_INTERVAL: Span = Span::from_secs(1);

/// Maximum number of runners whose cache events are read per [`QUEUE_INTERVAL`].
const MAX_CACHE_READS: usize = 4;

/// Read-only state of the other parts that decisions on requests use.
#[derive(Clone, Copy, Debug)]
pub struct Cluster<'a> {
    /// The configuration records in force.
    pub view: &'a View,
    /// The other daemons.
    pub members: &'a Members,
    /// The runner hosts.
    pub hosts: &'a Hosts,
    /// The groups.
    pub groups: &'a Groups,
}

/// The open requests of this daemon.
#[derive(Debug, Default)]
pub struct Requests {
    calls: SlotMap<CallKey, Call>,
    by_id: HashMap<CallId, CallKey>,
    by_attempt: HashMap<AttemptId, CallKey>,
    limits: Limits,
    queues: Queues,
    router: Router,
    budget: RetryBudget,
    used_tickets: UsedTickets,
    claims: Claims,
    counters: Counters,
    /// Hosts that failed even on a new connection and are still to be reported to the core.
    suspects: Vec<HostName>,
    /// Pools whose queued requests may now find room.
    ready: Vec<Pool>,
    stopping: bool,
}

/// Queries.
impl Requests {
    /// Returns the number of open requests.
    pub fn open_count(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of attempts in flight on a group at `max_epoch` or an earlier epoch.
    pub fn running_on(&self, name: &GroupName, max_epoch: Epoch) -> usize {
        let attempts = self.calls.values().filter_map(Call::attempt);
        attempts
            .filter(|attempt| match &attempt.route {
                Route::Group { group, epoch, .. } => group == name && *epoch <= max_epoch,
                _ => false,
            })
            .count()
    }

    /// Appends the metrics of the request path.
    pub fn metrics(&self, metrics: &mut Vec<Metric>) {
        self.counters.metrics(metrics);
        metrics.extend([
            Metric::counter("retries_total", self.budget.spent()),
            Metric::counter("retries_denied_total", self.budget.denied()),
            Metric::gauge("requests_open", self.calls.len() as u64),
            Metric::gauge("requests_queued", self.queues.len() as u64),
            Metric::gauge("ledger_entries", self.used_tickets.len() as u64),
            Metric::gauge("prefix_blocks", self.router.block_count() as u64),
        ]);
    }
}

/// Commands.
impl Requests {
    /// Starts the periodic timers.
    pub fn on_start(&mut self, ctx: &mut Ctx) {
        self.on_sweep(ctx);
        ctx.set_timer(Timer::Request(RequestTimer::Queue), QUEUE_INTERVAL);
    }

    /// Handles an event from a caller.
    pub fn on_call(&mut self, ctx: &mut Ctx, cluster: &Cluster, input: CallInput) {
        match input {
            CallInput::Arrived { call, request } => self.on_arrived(ctx, cluster, call, request),
            CallInput::Gone { call } => self.on_caller_gone(ctx, call),
            CallInput::Entries { .. } => {}
        }
        self.start_queued(ctx, cluster);
    }

    /// Handles an event from a runner; returns hosts that failed even on a new connection.
    pub fn on_runner(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        input: RunnerInput,
    ) -> Vec<HostName> {
        match input {
            RunnerInput::Accepted { attempt, echo } => {
                self.on_accepted(ctx, cluster, attempt, echo)
            }
            RunnerInput::Chunk {
                attempt,
                offset,
                tokens,
                payload,
            } => self.on_chunk(ctx, cluster, attempt, offset, tokens, payload),
            RunnerInput::Finished { attempt } => self.on_finished(ctx, cluster, attempt),
            RunnerInput::Failed { attempt, failure } => {
                self.on_failed(ctx, cluster, attempt, failure);
            }
            RunnerInput::Cache {
                host,
                first,
                events,
            } => self.router.on_cache_events(&host, first, events),
            RunnerInput::Load { .. }
            | RunnerInput::Ordered { .. }
            | RunnerInput::Holding { .. } => {}
        }
        self.start_queued(ctx, cluster);
        std::mem::take(&mut self.suspects)
    }

    /// Handles a due timer; returns hosts that failed even on a new connection.
    pub fn on_timer(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        timer: RequestTimer,
    ) -> Vec<HostName> {
        match timer {
            RequestTimer::Deadline(call) => self.on_deadline(ctx, call),
            RequestTimer::Silent(attempt) => self.on_silence_timer(ctx, cluster, attempt),
            RequestTimer::Retry(_) => self.mark_all_ready(),
            RequestTimer::Queue => self.on_tick(ctx, cluster),
            RequestTimer::Sweep => {
                self.router.sweep(cluster);
                self.limits.sweep(cluster.view);
                self.on_sweep(ctx);
            }
            RequestTimer::Stop => self.on_grace_expired(ctx),
        }
        self.start_queued(ctx, cluster);
        std::mem::take(&mut self.suspects)
    }

    /// Handles the answer to a platform call of this part; `None` if the call failed.
    pub fn on_platform(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) {
        self.on_claim_answer(ctx, cluster, id, answer);
        self.start_queued(ctx, cluster);
    }

    /// Re-examines queued requests after groups, hosts or records have changed.
    pub fn on_cluster_change(&mut self, ctx: &mut Ctx, cluster: &Cluster) {
        self.router.on_hosts_changed();
        self.mark_all_ready();
        self.start_queued(ctx, cluster);
    }

    /// Refuses new requests and requests the exit once all open ones have ended.
    pub fn on_stop(&mut self, ctx: &mut Ctx, _cluster: &Cluster) {
        self.begin_stop(ctx);
    }

    /// Marks every pool with queued requests as ready.
    fn mark_all_ready(&mut self) {
        self.ready = self.queues.nonempty_pools();
    }

    /// Re-examines all queues and reads the cache events of a few runners in use.
    fn on_tick(&mut self, ctx: &mut Ctx, cluster: &Cluster) {
        self.mark_all_ready();
        for host in self.router.next_cache_reads(MAX_CACHE_READS) {
            if let Some(known) = cluster.hosts.get(&host) {
                ctx.push(Output::Runner(RunnerOutput::ReadCache {
                    address: known.entry.address,
                    from: self.router.next_event(&host),
                    host,
                }));
            }
        }
        ctx.set_timer(Timer::Request(RequestTimer::Queue), QUEUE_INTERVAL);
    }

    fn on_sweep(&mut self, ctx: &mut Ctx) {
        self.used_tickets.sweep(ctx.now, *ctx.last_id);
        ctx.set_timer(
            Timer::Request(RequestTimer::Sweep),
            used_tickets::SWEEP_INTERVAL,
        );
    }
}
