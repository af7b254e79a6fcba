//! Which runners are likely to hold a prompt's prefix in their caches.
//!
//! Hints only: they come from requests sent there and from cache events, which
//! are late and have gaps. A gap clears what is known of the runner.

use super::super::{input::CacheEvent, keys::HostName};
use std::collections::{HashMap, HashSet, VecDeque};

/// The most blocks remembered for one runner.
const MAX_BLOCKS: usize = 2_048;

/// The most runners remembered for one block.
const MAX_HOLDERS: usize = 4;

/// Blocks of prompts, and the runners that are likely to hold them.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    runners: HashMap<HostName, Blocks>,
    holders: HashMap<u64, Vec<HostName>>,
}

#[derive(Debug, Default)]
struct Blocks {
    held: HashSet<u64>,
    order: VecDeque<u64>,
    /// The next cache event expected.
    next: u64,
}

/// Queries.
impl PrefixIndex {
    /// How many successive blocks of a prompt a runner is likely to hold.
    pub(super) fn matched(&self, prompt: &[u64], host: &HostName) -> usize {
        let Some(blocks) = self.runners.get(host) else {
            return 0;
        };
        prompt
            .iter()
            .take_while(|b| blocks.held.contains(b))
            .count()
    }

    /// The runners likely to hold the longest part of a prompt.
    pub(super) fn holders(&self, prompt: &[u64]) -> &[HostName] {
        prompt
            .iter()
            .rev()
            .find_map(|block| self.holders.get(block))
            .map_or(&[], Vec::as_slice)
    }

    /// The next cache event wanted from a runner.
    pub(super) fn next(&self, host: &HostName) -> u64 {
        self.runners.get(host).map_or(0, |blocks| blocks.next)
    }

    /// How many blocks are remembered over all runners.
    pub(super) fn len(&self) -> usize {
        self.runners.values().map(|blocks| blocks.held.len()).sum()
    }
}

/// Commands.
impl PrefixIndex {
    /// Notes that a prompt was sent to a runner.
    pub(super) fn sent(&mut self, prompt: &[u64], host: &HostName) {
        for block in prompt {
            self.store(*block, host);
        }
    }

    /// Takes cache events; a gap before them clears what is known of the runner.
    pub(super) fn on_events(&mut self, host: &HostName, first: u64, events: Vec<CacheEvent>) {
        let next = self.next(host);
        let after = first + events.len() as u64;
        if first > next {
            self.clear(host);
        }
        let seen = next.saturating_sub(first) as usize;
        for event in events.into_iter().skip(seen) {
            match event {
                CacheEvent::Stored(block) => self.store(block, host),
                CacheEvent::Removed(block) => self.remove(block, host),
            }
        }
        let blocks = self.runners.entry(host.clone()).or_default();
        blocks.next = next.max(after);
    }

    /// Forgets the blocks of the runners that aren't to be kept.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&HostName) -> bool,
    {
        let mut gone: Vec<HostName> = self.runners.keys().cloned().collect();
        gone.retain(|host| !keep(host));
        for host in gone {
            self.clear(&host);
        }
    }

    /// Forgets a runner's blocks.
    pub(super) fn clear(&mut self, host: &HostName) {
        let Some(blocks) = self.runners.remove(host) else {
            return;
        };
        for block in blocks.held {
            self.drop_holder(block, host);
        }
    }

    fn store(&mut self, block: u64, host: &HostName) {
        let blocks = self.runners.entry(host.clone()).or_default();
        if !blocks.held.insert(block) {
            return;
        }
        blocks.order.push_back(block);
        let oldest = if blocks.order.len() > MAX_BLOCKS {
            blocks.order.pop_front()
        } else {
            None
        };
        let holders = self.holders.entry(block).or_default();
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(host.clone());
        if let Some(oldest) = oldest {
            self.remove(oldest, host);
        }
    }

    fn remove(&mut self, block: u64, host: &HostName) {
        if let Some(blocks) = self.runners.get_mut(host)
            && blocks.held.remove(&block)
        {
            blocks.order.retain(|b| *b != block);
            self.drop_holder(block, host);
        }
    }

    fn drop_holder(&mut self, block: u64, host: &HostName) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.retain(|h| h != host);
            if holders.is_empty() {
                self.holders.remove(&block);
            }
        }
    }
}
