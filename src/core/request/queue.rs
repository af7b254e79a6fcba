//! Requests that wait for a runner with room.
//!
//! Smaller priorities go first. Within a priority, accounts share by weight:
//! each has a virtual time that grows by the cost of what it was served,
//! divided by its weight, and the account furthest behind is next.

use super::{
    super::{
        keys::AccountName,
        time::{Span, Time},
    },
    call::CallKey,
    routing::Pool,
};
use std::collections::{BTreeMap, VecDeque};

/// The most requests of one account that wait in one pool.
const MAX_LINE: usize = 512;

/// The most requests that wait in one pool.
const MAX_QUEUE: usize = 4_096;

/// Accounts whose next request is tried when the first finds no room.
const MAX_HEADS: usize = 4;

/// Virtual time for one token at weight one.
const SCALE: u64 = 1_024;

/// Who waits, and for how much.
#[derive(Clone, Debug)]
pub(super) struct Share {
    pub(super) account: AccountName,
    pub(super) weight: u32,
    pub(super) priority: u8,
    /// Tokens of work.
    pub(super) cost: u64,
}

/// The first request of an account's line.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) key: CallKey,
    priority: u8,
    account: AccountName,
}

/// The queues of all pools.
#[derive(Debug, Default)]
pub(super) struct Queues {
    pools: BTreeMap<Pool, Queue>,
}

/// The queue of one pool.
#[derive(Debug, Default)]
pub(super) struct Queue {
    levels: BTreeMap<u8, Level>,
    len: usize,
    /// Mean time between two requests leaving the queue.
    pace: Span,
    /// When a request last left it, or it was last empty.
    moved: Time,
    /// Mean time from start to end.
    service: Span,
}

#[derive(Debug, Default)]
struct Level {
    clock: u64,
    lines: BTreeMap<AccountName, Line>,
}

#[derive(Debug, Default)]
struct Line {
    weight: u64,
    clock: u64,
    waiting: VecDeque<(CallKey, u64)>,
}

/// Queries.
impl Queues {
    /// Requests waiting over all pools.
    pub(super) fn len(&self) -> usize {
        self.pools.values().map(|queue| queue.len).sum()
    }

    /// Pools in which requests wait.
    pub(super) fn busy(&self) -> Vec<Pool> {
        let waiting = self.pools.iter().filter(|(_, queue)| queue.len > 0);
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Whether requests wait in a pool.
    pub(super) fn is_empty(&self, pool: &Pool) -> bool {
        self.pools.get(pool).is_none_or(|queue| queue.len == 0)
    }

    /// The next request of each of the accounts first in turn.
    pub(super) fn heads(&self, pool: &Pool) -> Vec<Head> {
        let Some(queue) = self.pools.get(pool) else {
            return Vec::new();
        };
        let mut heads = Vec::new();
        for (priority, level) in &queue.levels {
            let mut lines: Vec<_> = level.lines.iter().collect();
            lines.retain(|(_, line)| !line.waiting.is_empty());
            lines.sort_by_key(|(_, line)| line.clock);
            for (account, line) in lines {
                heads.push(Head {
                    key: line.waiting[0].0,
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

    /// How long a new request would take from now until its end.
    pub(super) fn predict(&self, pool: &Pool, share: &Share, now: Time) -> Span {
        let Some(queue) = self.pools.get(pool) else {
            return Span::ZERO;
        };
        let stuck = now.since(queue.moved);
        let pace = queue.pace.max(stuck);
        pace.times(queue.ahead(share)) + queue.service
    }

    /// Whether a new request may wait.
    pub(super) fn has_room(&self, pool: &Pool, share: &Share) -> bool {
        let Some(queue) = self.pools.get(pool) else {
            return true;
        };
        queue.len < MAX_QUEUE && queue.line_len(share) < MAX_LINE
    }

    /// The last request of a lesser priority, to make room for a better one.
    pub(super) fn lesser(&self, pool: &Pool, share: &Share) -> Option<CallKey> {
        let queue = self.pools.get(pool)?;
        let (_, level) = queue
            .levels
            .range(share.priority.checked_add(1)?..)
            .next_back()?;
        let line = level.lines.values().max_by_key(|line| line.waiting.len())?;
        line.waiting.back().map(|(key, _)| *key)
    }
}

/// Commands.
impl Queues {
    /// Puts a request at the end of its account's line.
    pub(super) fn push(&mut self, pool: &Pool, key: CallKey, share: Share, now: Time) {
        let cost = share.cost;
        let line = self.line(pool, share, now);
        line.waiting.push_back((key, cost));
    }

    /// Puts a request at the head of its account's line.
    pub(super) fn push_first(&mut self, pool: &Pool, key: CallKey, share: Share, now: Time) {
        let line = self.line(pool, share, now);
        line.waiting.push_front((key, 0));
    }

    /// The line that one more request is put into.
    fn line(&mut self, pool: &Pool, share: Share, now: Time) -> &mut Line {
        let queue = self.pools.entry(pool.clone()).or_default();
        if queue.len == 0 {
            queue.moved = now;
        }
        queue.len += 1;
        let level = queue.levels.entry(share.priority).or_default();
        let line = level.lines.entry(share.account).or_default();
        line.weight = u64::from(share.weight.max(1));
        if line.waiting.is_empty() {
            line.clock = line.clock.max(level.clock);
        }
        line
    }

    /// Takes out the first request of an account's line, which now starts.
    pub(super) fn pop(&mut self, pool: &Pool, head: &Head, now: Time) {
        let Some(queue) = self.pools.get_mut(pool) else {
            return;
        };
        let Some(level) = queue.levels.get_mut(&head.priority) else {
            return;
        };
        let Some(line) = level.lines.get_mut(&head.account) else {
            return;
        };
        let Some((_, cost)) = line.waiting.pop_front() else {
            return;
        };
        level.clock = level.clock.max(line.clock);
        line.clock += cost * SCALE / line.weight;
        queue.len -= 1;
        queue.pace = mean(queue.pace, now.since(queue.moved));
        queue.moved = now;
        queue.tidy(head.priority);
    }

    /// Takes out a request that will not start.
    pub(super) fn remove(&mut self, pool: &Pool, key: CallKey) {
        let Some(queue) = self.pools.get_mut(pool) else {
            return;
        };
        let lines = queue.levels.values_mut().flat_map(|l| l.lines.values_mut());
        for line in lines {
            let before = line.waiting.len();
            line.waiting.retain(|(held, _)| *held != key);
            queue.len -= before - line.waiting.len();
        }
    }

    /// Notes how long a request of the pool ran.
    pub(super) fn served(&mut self, pool: &Pool, took: Span) {
        let queue = self.pools.entry(pool.clone()).or_default();
        queue.service = mean(queue.service, took);
    }
}

impl Queue {
    /// Requests that would start before a new one.
    fn ahead(&self, share: &Share) -> u64 {
        let better = self.levels.range(..share.priority);
        let better = better.flat_map(|(_, level)| level.lines.values());
        let better: usize = better.map(|line| line.waiting.len()).sum();
        let Some(level) = self.levels.get(&share.priority) else {
            return better as u64;
        };
        let weight = u64::from(share.weight.max(1));
        let own = self.line_len(share) as u64;
        let turns = |line: &Line| (own + 1) * line.weight.div_ceil(weight);
        let equal = level.lines.iter().map(|(account, line)| {
            let waiting = line.waiting.len() as u64;
            if *account == share.account {
                waiting
            } else {
                waiting.min(turns(line))
            }
        });
        better as u64 + equal.sum::<u64>()
    }

    fn line_len(&self, share: &Share) -> usize {
        let level = self.levels.get(&share.priority);
        let line = level.and_then(|level| level.lines.get(&share.account));
        line.map_or(0, |line| line.waiting.len())
    }

    /// Forgets lines that have caught up.
    fn tidy(&mut self, priority: u8) {
        if let Some(level) = self.levels.get_mut(&priority) {
            let clock = level.clock;
            level
                .lines
                .retain(|_, line| !line.waiting.is_empty() || line.clock > clock);
        }
    }
}

fn mean(old: Span, new: Span) -> Span {
    if old == Span::ZERO {
        return new;
    }
    Span((old.0 * 7 + new.0) / 8)
}
