//! Broadcast trees: every daemon gets one copy of a message and forwards at most two.
//!
//! The origin is the root of a binary tree of the daemons. Each broadcast orders
//! the daemons differently, so that a daemon that fails to forward cuts off
//! different ones each time, and repeated broadcasts reach all.

use super::super::keys::{DaemonName, Incarnation};
use std::collections::BTreeMap;

/// Shift of the order from one broadcast to the next, large and odd so that the order varies.
const STRIDE: u64 = 0x9E37_79B9;

/// Identity of a broadcast.
#[derive(Clone, Copy, Debug)]
pub struct BroadcastId<'a> {
    /// Daemon that started the broadcast.
    pub origin: &'a DaemonName,
    /// Incarnation of the origin.
    pub incarnation: Incarnation,
    /// Sequence number within that incarnation, starting at 1.
    pub sequence: u64,
}

/// Returns the daemons that `me` forwards a broadcast to, out of the sorted running ones.
pub fn children<'a>(
    running: &'a [DaemonName],
    me: &DaemonName,
    id: BroadcastId<'_>,
) -> Vec<&'a DaemonName> {
    let tree = Tree::new(running, me, id);
    let position = tree.position(me);
    [2 * position + 1, 2 * position + 2]
        .into_iter()
        .filter_map(|child| tree.at(child))
        .collect()
}

/// Order of the daemons in the tree of one broadcast; the origin has position 0.
struct Tree<'a, 'b> {
    running: &'a [DaemonName],
    me: &'b DaemonName,
    origin: &'b DaemonName,
    shift: usize,
}

impl<'a, 'b> Tree<'a, 'b> {
    fn new(running: &'a [DaemonName], me: &'b DaemonName, id: BroadcastId<'b>) -> Self {
        let mut tree = Self {
            running,
            me,
            origin: id.origin,
            shift: 0,
        };
        let size = tree.size().max(1) as u64;
        tree.shift = (id.sequence.wrapping_mul(STRIDE) % size) as usize;
        tree
    }

    /// Returns the number of daemons below the origin; `running` doesn't contain `me`.
    fn size(&self) -> usize {
        let origin_runs = self.running.binary_search(self.origin).is_ok();
        self.running.len() + usize::from(self.me != self.origin) - usize::from(origin_runs)
    }

    fn position(&self, name: &DaemonName) -> usize {
        if name == self.origin {
            return 0;
        }
        let size = self.size();
        (self.rank(name) + size - self.shift) % size + 1
    }

    /// Returns the number of daemons below the origin whose names sort before `name`.
    fn rank(&self, name: &DaemonName) -> usize {
        let before = self.running.partition_point(|other| other < name);
        let me_before = self.me != self.origin && self.me < name;
        let origin_before = self.origin < name && self.running.binary_search(self.origin).is_ok();
        before + usize::from(me_before) - usize::from(origin_before)
    }

    /// Returns the daemon at a position, or `None` for the origin, `me` and past the end.
    fn at(&self, position: usize) -> Option<&'a DaemonName> {
        let size = self.size();
        if position == 0 || position > size {
            return None;
        }
        let wanted = (position - 1 + self.shift) % size;
        let near = wanted.saturating_sub(1)..=wanted + 1;
        near.filter_map(|index| self.running.get(index))
            .find(|name| *name != self.origin && self.rank(name) == wanted)
    }
}

/// Broadcasts already received, by origin.
#[derive(Debug, Default)]
pub struct SeenBroadcasts {
    origins: BTreeMap<DaemonName, SeenWindow>,
}

/// Bitmap of the last 64 sequence numbers of an origin that were received.
#[derive(Clone, Copy, Debug, Default)]
struct SeenWindow {
    incarnation: Incarnation,
    newest: u64,
    bits: u64,
}

impl SeenBroadcasts {
    /// Records a broadcast; returns false if it is a duplicate or older than the window.
    pub fn insert(&mut self, id: BroadcastId<'_>) -> bool {
        let window = self.origins.entry(id.origin.clone()).or_default();
        if id.incarnation < window.incarnation {
            return false;
        }
        if id.incarnation > window.incarnation {
            *window = SeenWindow {
                incarnation: id.incarnation,
                ..SeenWindow::default()
            };
        }
        window.insert(id.sequence)
    }

    /// Forgets the origins that are no longer known.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&DaemonName) -> bool,
    {
        self.origins.retain(|origin, _| is_known(origin));
    }
}

impl SeenWindow {
    fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let shift = sequence - self.newest;
            self.bits = if shift < 64 { self.bits << shift } else { 0 };
            self.newest = sequence;
            self.bits |= 1;
            return true;
        }
        let age = self.newest - sequence;
        if age >= 64 || self.bits & (1 << age) != 0 {
            return false;
        }
        self.bits |= 1 << age;
        true
    }
}
