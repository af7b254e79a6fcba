//! Queues of requests that wait for a runner with room.
//!
//! Smaller priority values go first. Within a priority, accounts share by
//! weighted fair queueing: each account has a flow whose virtual time grows by
//! the cost of each started request divided by the account's weight, and the
//! flow with the smallest virtual time is next.

use super::{
    super::{
        keys::AccountName,
        time::{Span, Time},
    },
    call::CallKey,
    routing::Pool,
};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of requests of one account that wait in one pool at one priority.
const MAX_PER_ACCOUNT: usize = 512;

/// Maximum number of requests that wait in one pool.
const MAX_PER_POOL: usize = 4_096;

/// Maximum number of accounts whose first request is tried before a pool counts as full.
const MAX_HEADS: usize = 4;

/// Virtual time per token at weight one.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_024;

/// Scheduling parameters of a queued request.
#[derive(Clone, Debug)]
pub(super) struct QueueParams {
    pub(super) account: AccountName,
    pub(super) weight: u32,
    pub(super) priority: u8,
    /// Cost in tokens.
    pub(super) cost: u64,
}

/// First request of a flow.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) key: CallKey,
    priority: u8,
    account: AccountName,
}

/// Queues of all pools.
#[derive(Debug, Default)]
pub(super) struct Queues {
    pools: BTreeMap<Pool, PoolQueue>,
}

/// Queue of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolQueue {
    levels: BTreeMap<u8, PriorityLevel>,
    len: usize,
    /// Moving average of the time between two requests leaving the queue.
    dequeue_interval: Span,
    /// Time at which a request last left the queue or the queue was last empty.
    last_dequeue: Time,
    /// Moving average of the time from a request's arrival to its end.
    latency: Span,
}

/// Flows of one priority.
#[derive(Debug, Default)]
struct PriorityLevel {
    virtual_time: u64,
    flows: BTreeMap<AccountName, Flow>,
}

/// Queued requests of one account.
#[derive(Debug, Default)]
struct Flow {
    weight: u64,
    virtual_time: u64,
    /// Requests and the costs to charge for them.
    waiting: VecDeque<(CallKey, u64)>,
}

/// Queries.
impl Queues {
    /// Returns the number of requests waiting over all pools.
    pub(super) fn len(&self) -> usize {
        self.pools.values().map(|queue| queue.len).sum()
    }

    /// Returns the pools in which requests wait.
    pub(super) fn nonempty_pools(&self) -> Vec<Pool> {
        let waiting = self.pools.iter().filter(|(_, queue)| queue.len > 0);
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Returns true if no request waits in a pool.
    pub(super) fn is_empty(&self, pool: &Pool) -> bool {
        self.pools.get(pool).is_none_or(|queue| queue.len == 0)
    }

    /// Returns the first request of each of the flows that are next in turn.
    pub(super) fn heads(&self, pool: &Pool) -> Vec<Head> {
        let Some(queue) = self.pools.get(pool) else {
            return Vec::new();
        };
        let mut heads = Vec::new();
        for (priority, level) in &queue.levels {
            let mut flows: Vec<_> = level.flows.iter().collect();
            flows.retain(|(_, flow)| !flow.waiting.is_empty());
            flows.sort_by_key(|(_, flow)| flow.virtual_time);
            for (account, flow) in flows {
                heads.push(Head {
                    key: flow.waiting[0].0,
                    priority: *priority,
                    account: account.clone(),
                });
                if heads.len() == MAX_HEADS {
                    return heads;
                }
            }
        }
        heads
    }

    /// Predicts the time from now until a new request would end.
    pub(super) fn predict_latency(&self, pool: &Pool, params: &QueueParams, now: Time) -> Span {
        let Some(queue) = self.pools.get(pool) else {
            return Span::ZERO;
        };
        let idle = now.since(queue.last_dequeue);
        let dequeue_interval = queue.dequeue_interval.max(idle);
        dequeue_interval.times(queue.requests_ahead(params)) + queue.latency
    }

    /// Returns true if a new request may be queued.
    pub(super) fn has_room(&self, pool: &Pool, params: &QueueParams) -> bool {
        let Some(queue) = self.pools.get(pool) else {
            return true;
        };
        queue.len < MAX_PER_POOL && queue.flow_len(params) < MAX_PER_ACCOUNT
    }

    /// Returns a queued request of the lowest priority below the new request's, to be evicted for it.
    pub(super) fn eviction_candidate(&self, pool: &Pool, params: &QueueParams) -> Option<CallKey> {
        let queue = self.pools.get(pool)?;
        let (_, level) = queue
            .levels
            .range(params.priority.checked_add(1)?..)
            .next_back()?;
        let flow = level.flows.values().max_by_key(|flow| flow.waiting.len())?;
        flow.waiting.back().map(|(key, _)| *key)
    }
}

/// Commands.
impl Queues {
    /// Puts a request at the end of its account's flow.
    pub(super) fn push(&mut self, pool: &Pool, key: CallKey, params: QueueParams, now: Time) {
        let cost = params.cost;
        let flow = self.flow_mut(pool, params, now);
        flow.waiting.push_back((key, cost));
    }

    /// Puts a request at the front of its account's flow, at no further cost.
    pub(super) fn push_front(&mut self, pool: &Pool, key: CallKey, params: QueueParams, now: Time) {
        let flow = self.flow_mut(pool, params, now);
        flow.waiting.push_front((key, 0));
    }

    /// Returns the flow for one more request and counts the request.
    fn flow_mut(&mut self, pool: &Pool, params: QueueParams, now: Time) -> &mut Flow {
        let queue = self.pools.entry(pool.clone()).or_default();
        if queue.len == 0 {
            queue.last_dequeue = now;
        }
        queue.len += 1;
        let level = queue.levels.entry(params.priority).or_default();
        let flow = level.flows.entry(params.account).or_default();
        flow.weight = u64::from(params.weight.max(1));
        if flow.waiting.is_empty() {
            flow.virtual_time = flow.virtual_time.max(level.virtual_time);
        }
        flow
    }

    /// Removes the first request of a flow, which now starts.
    pub(super) fn pop(&mut self, pool: &Pool, head: &Head, now: Time) {
        let Some(queue) = self.pools.get_mut(pool) else {
            return;
        };
        let Some(level) = queue.levels.get_mut(&head.priority) else {
            return;
        };
        let Some(flow) = level.flows.get_mut(&head.account) else {
            return;
        };
        let Some((_, cost)) = flow.waiting.pop_front() else {
            return;
        };
        level.virtual_time = level.virtual_time.max(flow.virtual_time);
        flow.virtual_time += cost * VIRTUAL_TIME_PER_TOKEN / flow.weight;
        queue.len -= 1;
        queue.dequeue_interval =
            moving_average(queue.dequeue_interval, now.since(queue.last_dequeue));
        queue.last_dequeue = now;
        queue.prune(head.priority);
    }

    /// Removes a request that won't start.
    pub(super) fn remove(&mut self, pool: &Pool, key: CallKey) {
        let Some(queue) = self.pools.get_mut(pool) else {
            return;
        };
        let flows = queue.levels.values_mut().flat_map(|l| l.flows.values_mut());
        for flow in flows {
            let before = flow.waiting.len();
            flow.waiting.retain(|(queued, _)| *queued != key);
            queue.len -= before - flow.waiting.len();
        }
    }

    /// Adds the latency of a completed request to the pool's moving average.
    pub(super) fn record_latency(&mut self, pool: &Pool, latency: Span) {
        let queue = self.pools.entry(pool.clone()).or_default();
        queue.latency = moving_average(queue.latency, latency);
    }
}

impl PoolQueue {
    /// Returns the number of requests that would start before a new one.
    fn requests_ahead(&self, params: &QueueParams) -> u64 {
        let higher = self.levels.range(..params.priority);
        let higher = higher.flat_map(|(_, level)| level.flows.values());
        let higher: usize = higher.map(|flow| flow.waiting.len()).sum();
        let Some(level) = self.levels.get(&params.priority) else {
            return higher as u64;
        };
        let weight = u64::from(params.weight.max(1));
        let own = self.flow_len(params) as u64;
        let quota = |flow: &Flow| (own + 1) * flow.weight.div_ceil(weight);
        let equal = level.flows.iter().map(|(account, flow)| {
            let waiting = flow.waiting.len() as u64;
            if *account == params.account {
                waiting
            } else {
                waiting.min(quota(flow))
            }
        });
        higher as u64 + equal.sum::<u64>()
    }

    fn flow_len(&self, params: &QueueParams) -> usize {
        let level = self.levels.get(&params.priority);
        let flow = level.and_then(|level| level.flows.get(&params.account));
        flow.map_or(0, |flow| flow.waiting.len())
    }

    /// Drops empty flows that have caught up with the virtual time of their level.
    fn prune(&mut self, priority: u8) {
        if let Some(level) = self.levels.get_mut(&priority) {
            let virtual_time = level.virtual_time;
            level
                .flows
                .retain(|_, flow| !flow.waiting.is_empty() || flow.virtual_time > virtual_time);
        }
    }
}

/// Returns the moving average with a new value at a weight of one eighth.
fn moving_average(old: Span, new: Span) -> Span {
    if old == Span::ZERO {
        return new;
    }
    Span((old.0 * 7 + new.0) / 8)
}
