//! What this daemon knows of the others.
//!
//! News of a daemon is ordered: a later run beats an earlier one, within a run
//! a later refutation beats an earlier one, and within a refutation the worse
//! standing beats the better. What is heard from a daemon itself beats hearsay.

use super::super::{
    config::record::Daemon,
    keys::{DaemonName, Incarnation, Revision},
    time::{Span, Time},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// How long a dead run is remembered, so that late news can't bring it back.
const TOMBSTONE: Span = Span::from_secs(600);

crate::key! {
    /// How a daemon stands; later ones are worse.
    pub enum Standing {
        /// It takes new work.
        #[default]
        Alive,
        /// It finishes what it has.
        Leaving,
        /// It doesn't answer, or has ended.
        Dead,
    }
}

crate::record! {
    /// News of one daemon.
    pub struct Delta {
        /// The daemon and its run.
        pub daemon: Daemon,
        /// How often this run has refuted news of its death.
        pub refutation: u32,
        /// How it stands.
        pub standing: Standing,
    }
}

impl Delta {
    /// What orders news of one daemon.
    pub fn rank(&self) -> (Incarnation, u32, Standing) {
        (self.daemon.incarnation, self.refutation, self.standing)
    }
}

/// Another daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// The last news of it.
    pub news: Delta,
    /// When it was last heard itself.
    pub heard: Option<Time>,
    /// Since when it has failed to answer probes.
    pub suspected: Option<Time>,
    /// When its standing last changed.
    pub changed: Time,
    /// Whether the platform's service holds a record of it.
    pub registered: bool,
    /// The revision in force on it, as last heard.
    pub revision: Revision,
}

impl Member {
    /// Whether its address for callers is known.
    pub fn is_introduced(&self) -> bool {
        self.news.daemon.caller.port() != 0
    }

    /// Whether it is thought to run.
    pub fn is_up(&self) -> bool {
        self.news.standing != Standing::Dead
    }

    /// Whether it ought to run, by all that is known.
    pub fn is_expected(&self) -> bool {
        match self.news.standing {
            Standing::Alive => true,
            Standing::Leaving => false,
            Standing::Dead => self.registered && !self.news.daemon.leaving,
        }
    }

    /// Whether callers may be sent to it.
    pub fn takes_work(&self) -> bool {
        self.news.standing == Standing::Alive && !self.news.daemon.leaving && self.is_introduced()
    }

    /// Its state, in a word.
    pub fn state(&self) -> &'static str {
        match self.news.standing {
            Standing::Dead => "dead",
            Standing::Leaving => "leaving",
            Standing::Alive if self.suspected.is_some() => "suspect",
            Standing::Alive => "live",
        }
    }
}

/// What came of hearing from a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// From a run known to be over.
    Old,
    /// As expected.
    Known,
    /// From a run not known before.
    New,
    /// From a run that was thought dead.
    Revived,
}

/// The other daemons, by name.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<DaemonName, Member>,
    addresses: BTreeMap<SocketAddr, DaemonName>,
    up: Vec<DaemonName>,
    expected: usize,
}

/// Queries.
impl Table {
    /// A daemon.
    pub fn get(&self, name: &DaemonName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Every daemon, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The names of those thought to run, in order.
    pub fn up(&self) -> &[DaemonName] {
        &self.up
    }

    /// The daemon at a peer address.
    pub fn at(&self, address: SocketAddr) -> Option<&DaemonName> {
        self.addresses.get(&address)
    }

    /// How many daemons ought to be running, by all that is known.
    pub fn expected(&self) -> usize {
        self.expected
    }
}

/// Commands.
impl Table {
    /// Notes a sign of life from a daemon itself.
    pub fn hear(
        &mut self,
        name: &DaemonName,
        incarnation: Incarnation,
        address: SocketAddr,
        now: Time,
    ) -> Heard {
        let Some(member) = self.members.get_mut(name) else {
            self.insert(unknown(name, incarnation, address), now);
            self.touch(name, now);
            return Heard::New;
        };
        let held = member.news.daemon.incarnation;
        if incarnation < held {
            return Heard::Old;
        }
        if incarnation > held {
            self.insert(unknown(name, incarnation, address), now);
            self.touch(name, now);
            return Heard::New;
        }
        let was_dead = !member.is_up();
        if was_dead {
            member.news.standing = Standing::Alive;
            member.changed = now;
        }
        self.touch(name, now);
        if !was_dead {
            return Heard::Known;
        }
        self.list();
        Heard::Revived
    }

    /// Takes news of a daemon; true if it changed how the daemon stands or where it is.
    pub fn merge(&mut self, delta: Delta, now: Time) -> bool {
        let Some(held) = self.members.get(&delta.daemon.name) else {
            self.insert(delta, now);
            return true;
        };
        if delta.rank() > held.news.rank() {
            if delta.daemon.caller.port() == 0 && held.is_introduced() {
                let mut delta = delta;
                delta.daemon.caller = held.news.daemon.caller;
                self.insert(delta, now);
            } else {
                self.insert(delta, now);
            }
            return true;
        }
        let introduces = !held.is_introduced() && delta.daemon.caller.port() != 0;
        if introduces && delta.daemon.incarnation == held.news.daemon.incarnation {
            let news = Delta {
                daemon: delta.daemon,
                ..held.news.clone()
            };
            self.insert(news, now);
            return true;
        }
        false
    }

    /// Takes the record at the platform's service, or the lack of one.
    pub fn register(&mut self, name: &DaemonName, record: Option<&Daemon>, now: Time) -> bool {
        let mut changed = false;
        if let Some(record) = record {
            let standing = if record.leaving {
                Standing::Leaving
            } else {
                Standing::Alive
            };
            let refutation = match self.members.get(name) {
                Some(m) if m.news.daemon.incarnation == record.incarnation => m.news.refutation,
                _ => 0,
            };
            let delta = Delta {
                daemon: record.clone(),
                refutation,
                standing,
            };
            changed = self.merge(delta, now);
        }
        if let Some(member) = self.members.get_mut(name) {
            member.registered = record.is_some();
            self.list();
        }
        changed
    }

    /// Notes that a daemon failed to answer a probe; true if that is new.
    pub fn suspect(&mut self, name: &DaemonName, now: Time) -> bool {
        match self.members.get_mut(name) {
            Some(member) if member.is_up() && member.suspected.is_none() => {
                member.suspected = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Notes that a daemon was seen alive by another.
    pub fn vouch(&mut self, name: &DaemonName) {
        if let Some(member) = self.members.get_mut(name) {
            member.suspected = None;
        }
    }

    /// Starts every suspicion anew, after a pause of this daemon itself.
    pub fn forgive(&mut self, now: Time) {
        for member in self.members.values_mut() {
            member.suspected = member.suspected.map(|_| now);
        }
    }

    /// Declares a daemon's run dead; its news if that is new.
    pub fn bury(&mut self, name: &DaemonName, now: Time) -> Option<Delta> {
        let member = self.members.get_mut(name)?;
        if !member.is_up() {
            return None;
        }
        member.news.standing = Standing::Dead;
        member.suspected = None;
        member.changed = now;
        let news = member.news.clone();
        self.list();
        Some(news)
    }

    /// Notes the revision in force on a daemon.
    pub fn note_revision(&mut self, name: &DaemonName, revision: Revision) {
        if let Some(member) = self.members.get_mut(name) {
            member.revision = member.revision.max(revision);
        }
    }

    /// Forgets runs that have been dead for long and have no record.
    pub fn sweep(&mut self, now: Time) {
        self.members.retain(|_, member| {
            member.is_up() || member.registered || now.since(member.changed) < TOMBSTONE
        });
        self.list();
    }

    fn touch(&mut self, name: &DaemonName, now: Time) {
        if let Some(member) = self.members.get_mut(name) {
            member.heard = Some(now);
            member.suspected = None;
        }
    }

    fn insert(&mut self, news: Delta, now: Time) {
        let name = news.daemon.name.clone();
        let held = self.members.get(&name);
        let same_run = held.filter(|held| held.news.daemon.incarnation == news.daemon.incarnation);
        let member = Member {
            heard: same_run.and_then(|held| held.heard),
            suspected: None,
            changed: now,
            registered: held.is_some_and(|held| held.registered),
            revision: same_run.map(|held| held.revision).unwrap_or_default(),
            news,
        };
        self.members.insert(name, member);
        self.list();
    }

    fn list(&mut self) {
        let up = self.members.iter().filter(|(_, member)| member.is_up());
        self.up = up.map(|(name, _)| name.clone()).collect();
        let addresses = self.up.iter().map(|name| {
            let address = self.members[name].news.daemon.peer;
            (address, name.clone())
        });
        self.addresses = addresses.collect();
        let expected = self.members.values().filter(|member| member.is_expected());
        self.expected = expected.count();
    }
}

/// A run of which only the sender's address is known.
fn unknown(name: &DaemonName, incarnation: Incarnation, address: SocketAddr) -> Delta {
    Delta {
        daemon: Daemon {
            name: name.clone(),
            incarnation,
            peer: address,
            ..Daemon::default()
        },
        refutation: 0,
        standing: Standing::Alive,
    }
}
