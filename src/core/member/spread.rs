//! Spreading news to every daemon: each gets one copy and forwards two at most.
//!
//! The daemons form a tree below the one that has the news. Every message uses
//! another arrangement of them, so that one daemon that fails to forward cuts
//! off others each time, and what is repeated reaches all.

use super::super::keys::{DaemonName, Incarnation};
use std::collections::BTreeMap;

/// Shifts the arrangement from one message to the next; odd and large.
const STRIDE: u64 = 0x9E37_79B9;

/// Whose news a message holds, and which message of that daemon it is.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The daemon that had the news first.
    pub origin: &'a DaemonName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its message's number, from one.
    pub sequence: u64,
}

/// The daemons that `me` forwards a message to, out of the running ones in order.
pub fn children<'a>(
    running: &'a [DaemonName],
    me: &DaemonName,
    source: Source<'_>,
) -> Vec<&'a DaemonName> {
    let tree = Tree::new(running, me, source);
    let place = tree.place(me);
    [2 * place + 1, 2 * place + 2]
        .into_iter()
        .filter_map(|child| tree.at(child))
        .collect()
}

/// The daemons but the origin, in one arrangement; the origin has place 0.
struct Tree<'a, 'b> {
    running: &'a [DaemonName],
    me: &'b DaemonName,
    origin: &'b DaemonName,
    shift: usize,
}

impl<'a, 'b> Tree<'a, 'b> {
    fn new(running: &'a [DaemonName], me: &'b DaemonName, source: Source<'b>) -> Self {
        let mut tree = Self {
            running,
            me,
            origin: source.origin,
            shift: 0,
        };
        let size = tree.size().max(1) as u64;
        tree.shift = (source.sequence.wrapping_mul(STRIDE) % size) as usize;
        tree
    }

    /// How many daemons are below the origin; `running` doesn't hold `me`.
    fn size(&self) -> usize {
        let origin_runs = self.running.binary_search(self.origin).is_ok();
        self.running.len() + usize::from(self.me != self.origin) - usize::from(origin_runs)
    }

    fn place(&self, name: &DaemonName) -> usize {
        if name == self.origin {
            return 0;
        }
        let size = self.size();
        (self.rank(name) + size - self.shift) % size + 1
    }

    /// How many daemons below the origin come before `name` in order.
    fn rank(&self, name: &DaemonName) -> usize {
        let before = self.running.partition_point(|other| other < name);
        let me_before = self.me != self.origin && self.me < name;
        let origin_before = self.origin < name && self.running.binary_search(self.origin).is_ok();
        before + usize::from(me_before) - usize::from(origin_before)
    }

    /// The daemon at a place; nothing at the origin's, at `me`, or past the end.
    fn at(&self, place: usize) -> Option<&'a DaemonName> {
        let size = self.size();
        if place == 0 || place > size {
            return None;
        }
        let wanted = (place - 1 + self.shift) % size;
        let near = wanted.saturating_sub(1)..=wanted + 1;
        near.filter_map(|index| self.running.get(index))
            .find(|name| *name != self.origin && self.rank(name) == wanted)
    }
}

/// Which messages have come already, for each origin.
#[derive(Debug, Default)]
pub struct Seen {
    origins: BTreeMap<DaemonName, Window>,
}

/// The last 64 numbers of one origin.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    incarnation: Incarnation,
    newest: u64,
    bits: u64,
}

impl Seen {
    /// Notes a message; false if it has come before or is too old to tell.
    pub fn take(&mut self, source: Source<'_>) -> bool {
        let window = self.origins.entry(source.origin.clone()).or_default();
        if source.incarnation < window.incarnation {
            return false;
        }
        if source.incarnation > window.incarnation {
            *window = Window {
                incarnation: source.incarnation,
                ..Window::default()
            };
        }
        window.take(source.sequence)
    }

    /// Forgets origins that are no longer known.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&DaemonName) -> bool,
    {
        self.origins.retain(|origin, _| is_known(origin));
    }
}

impl Window {
    fn take(&mut self, sequence: u64) -> bool {
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
