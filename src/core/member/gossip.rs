//! Queue of the updates to piggyback on probes and acks.

use std::collections::BTreeMap;

/// Transmissions of an item per doubling of the number of daemons.
const RETRANSMIT_FACTOR: u32 = 3;

/// Items to piggyback, with the number of transmissions left of each.
#[derive(Debug)]
pub struct GossipQueue<K> {
    remaining: BTreeMap<K, u32>,
}

impl<K> Default for GossipQueue<K> {
    fn default() -> Self {
        Self {
            remaining: BTreeMap::new(),
        }
    }
}

impl<K> GossipQueue<K>
where
    K: Clone + Ord,
{
    /// Adds an item, or restarts its transmissions, in a cluster of `daemons` daemons.
    pub fn add(&mut self, item: K, daemons: usize) {
        let doublings = usize::BITS - daemons.leading_zeros();
        self.remaining
            .insert(item, RETRANSMIT_FACTOR * doublings.max(1));
    }

    /// Returns at most `count` items for one message, the least transmitted first.
    pub fn next_batch(&mut self, count: usize) -> Vec<K> {
        let mut items: Vec<(u32, K)> = self
            .remaining
            .iter()
            .map(|(item, remaining)| (*remaining, item.clone()))
            .collect();
        items.sort_by(|a, b| b.cmp(a));
        items.truncate(count);
        for (remaining, item) in &items {
            if *remaining <= 1 {
                self.remaining.remove(item);
            } else {
                self.remaining.insert(item.clone(), remaining - 1);
            }
        }
        items.into_iter().map(|(_, item)| item).collect()
    }
}
