//! Index of the prompt prefixes that runners are likely to have cached.
//!
//! Entries are hints only: they come from requests sent to a runner and from
//! its cache events, which are late and may have gaps. A gap clears the entries
//! of the runner.

use super::super::{input::CacheEvent, keys::HostName};
use std::collections::{HashMap, HashSet, VecDeque};

/// Maximum number of blocks remembered per runner.
const MAX_BLOCKS: usize = 2_048;

/// Maximum number of runners remembered per block.
const MAX_HOLDERS: usize = 4;

/// Prompt blocks and the runners that are likely to have them cached.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    runners: HashMap<HostName, RunnerBlocks>,
    holders: HashMap<u64, Vec<HostName>>,
}

/// Blocks that one runner is likely to have cached.
#[derive(Debug, Default)]
struct RunnerBlocks {
    cached: HashSet<u64>,
    /// Blocks from the oldest to the newest.
    order: VecDeque<u64>,
    /// Sequence number of the next cache event expected.
    next_event: u64,
}

/// Queries.
impl PrefixIndex {
    /// Returns the number of leading blocks of a prompt that a runner is likely to have cached.
    pub(super) fn matching_blocks(&self, prompt: &[u64], host: &HostName) -> usize {
        let Some(blocks) = self.runners.get(host) else {
            return 0;
        };
        prompt
            .iter()
            .take_while(|b| blocks.cached.contains(b))
            .count()
    }

    /// Returns the runners that are likely to have the longest prefix of a prompt cached.
    pub(super) fn holders(&self, prompt: &[u64]) -> &[HostName] {
        prompt
            .iter()
            .rev()
            .find_map(|block| self.holders.get(block))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the sequence number of the next cache event wanted from a runner.
    pub(super) fn next_event(&self, host: &HostName) -> u64 {
        self.runners.get(host).map_or(0, |blocks| blocks.next_event)
    }

    /// Returns the number of blocks remembered over all runners.
    pub(super) fn len(&self) -> usize {
        self.runners
            .values()
            .map(|blocks| blocks.cached.len())
            .sum()
    }
}

/// Commands.
impl PrefixIndex {
    /// Records that a prompt was sent to a runner, which then caches its blocks.
    pub(super) fn record_prompt(&mut self, prompt: &[u64], host: &HostName) {
        for block in prompt {
            self.store(*block, host);
        }
    }

    /// Applies cache events; a gap before them clears the runner's blocks.
    pub(super) fn on_events(&mut self, host: &HostName, first: u64, events: Vec<CacheEvent>) {
        let next_event = self.next_event(host);
        let end = first + events.len() as u64;
        if first > next_event {
            self.clear(host);
        }
        let known = next_event.saturating_sub(first) as usize;
        for event in events.into_iter().skip(known) {
            match event {
                CacheEvent::Stored(block) => self.store(block, host),
                CacheEvent::Removed(block) => self.remove(block, host),
            }
        }
        let blocks = self.runners.entry(host.clone()).or_default();
        blocks.next_event = next_event.max(end);
    }

    /// Drops the blocks of all runners for which `keep` returns false.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&HostName) -> bool,
    {
        let mut removed: Vec<HostName> = self.runners.keys().cloned().collect();
        removed.retain(|host| !keep(host));
        for host in removed {
            self.clear(&host);
        }
    }

    /// Drops a runner's blocks.
    pub(super) fn clear(&mut self, host: &HostName) {
        let Some(blocks) = self.runners.remove(host) else {
            return;
        };
        for block in blocks.cached {
            self.drop_holder(block, host);
        }
    }

    fn store(&mut self, block: u64, host: &HostName) {
        let blocks = self.runners.entry(host.clone()).or_default();
        if !blocks.cached.insert(block) {
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
            && blocks.cached.remove(&block)
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
