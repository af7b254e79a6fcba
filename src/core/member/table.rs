//! Member table: the last known state of the other daemons.
//!
//! Updates about a daemon are ordered: a later incarnation supersedes an earlier
//! one, within an incarnation a later refutation supersedes an earlier one, and
//! within a refutation the worse status supersedes the better. Direct contact
//! with a daemon supersedes reports of others.

use super::super::{
    config::record::Daemon,
    keys::{DaemonName, Incarnation, Revision},
    time::{Span, Time},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Delay before a dead incarnation is forgotten, so that late updates can't revive it.
const FORGET_DELAY: Span = Span::from_secs(600);

crate::key! {
    /// Status of a daemon; later variants are worse.
    pub enum MemberStatus {
        /// It accepts new work.
        #[default]
        Alive,
        /// It finishes the work in progress.
        Leaving,
        /// It doesn't answer, or has ended.
        Dead,
    }
}

crate::record! {
    /// Versioned state of one daemon, as exchanged between daemons.
    pub struct MemberUpdate {
        /// Record of the daemon, with its incarnation.
        pub daemon: Daemon,
        /// Number of times that this incarnation has refuted its death.
        pub refutation: u32,
        /// Status within that incarnation and refutation.
        #[serde(rename = "standing")]
        pub status: MemberStatus,
    }
}

impl MemberUpdate {
    /// Returns the key that orders the updates about one daemon.
    pub fn precedence(&self) -> (Incarnation, u32, MemberStatus) {
        (self.daemon.incarnation, self.refutation, self.status)
    }
}

/// Another daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest update about it.
    pub latest: MemberUpdate,
    /// Time of the last message from it.
    pub last_contact: Option<Time>,
    /// Time since which it has left probes unanswered.
    pub suspected: Option<Time>,
    /// Time of the last change of its state.
    pub changed: Time,
    /// True if the platform's store holds a record of it.
    pub registered: bool,
    /// Configuration revision last known to be in force on it.
    pub revision: Revision,
}

impl Member {
    /// Returns true if its whole record is known, the address for callers included.
    pub fn has_record(&self) -> bool {
        self.latest.daemon.caller.port() != 0
    }

    /// Returns true unless it was declared dead.
    pub fn is_up(&self) -> bool {
        self.latest.status != MemberStatus::Dead
    }

    /// Returns true if it should be running: alive, or dead while registered and not leaving.
    pub fn is_expected(&self) -> bool {
        match self.latest.status {
            MemberStatus::Alive => true,
            MemberStatus::Leaving => false,
            MemberStatus::Dead => self.registered && !self.latest.daemon.leaving,
        }
    }

    /// Returns true if callers may be directed to it.
    pub fn accepts_work(&self) -> bool {
        self.latest.status == MemberStatus::Alive
            && !self.latest.daemon.leaving
            && self.has_record()
    }

    /// Returns the state that the status report shows.
    pub fn state(&self) -> &'static str {
        match self.latest.status {
            MemberStatus::Dead => "dead",
            MemberStatus::Leaving => "leaving",
            MemberStatus::Alive if self.suspected.is_some() => "suspect",
            MemberStatus::Alive => "live",
        }
    }
}

/// Sender of a message, relative to what the table knew of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// An ended incarnation.
    Old,
    /// The known incarnation, not declared dead.
    Known,
    /// A daemon or an incarnation that wasn't known.
    New,
    /// The known incarnation, which had been declared dead.
    Revived,
}

/// Other daemons, by name.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<DaemonName, Member>,
    addresses: BTreeMap<SocketAddr, DaemonName>,
    up: Vec<DaemonName>,
    expected: usize,
}

/// Queries.
impl Table {
    /// Returns a daemon.
    pub fn get(&self, name: &DaemonName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Iterates over all daemons by name, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the sorted names of the daemons not declared dead.
    pub fn up(&self) -> &[DaemonName] {
        &self.up
    }

    /// Returns the daemon at a peer address.
    pub fn by_address(&self, address: SocketAddr) -> Option<&DaemonName> {
        self.addresses.get(&address)
    }

    /// Returns the number of other daemons that should be running.
    pub fn expected(&self) -> usize {
        self.expected
    }
}

/// Commands.
impl Table {
    /// Records a message that came from a daemon itself.
    pub fn record_contact(
        &mut self,
        name: &DaemonName,
        incarnation: Incarnation,
        address: SocketAddr,
        now: Time,
    ) -> Contact {
        let Some(member) = self.members.get_mut(name) else {
            self.insert(bare_update(name, incarnation, address), now);
            self.touch(name, now);
            return Contact::New;
        };
        let known = member.latest.daemon.incarnation;
        if incarnation < known {
            return Contact::Old;
        }
        if incarnation > known {
            self.insert(bare_update(name, incarnation, address), now);
            self.touch(name, now);
            return Contact::New;
        }
        let was_dead = !member.is_up();
        if was_dead {
            member.latest.status = MemberStatus::Alive;
            member.changed = now;
        }
        self.touch(name, now);
        if !was_dead {
            return Contact::Known;
        }
        self.rebuild_index();
        Contact::Revived
    }

    /// Merges an update; returns true if it supersedes or completes what was known.
    pub fn merge(&mut self, update: MemberUpdate, now: Time) -> bool {
        let Some(known) = self.members.get(&update.daemon.name) else {
            self.insert(update, now);
            return true;
        };
        if update.precedence() > known.latest.precedence() {
            if update.daemon.caller.port() == 0 && known.has_record() {
                let mut update = update;
                update.daemon.caller = known.latest.daemon.caller;
                self.insert(update, now);
            } else {
                self.insert(update, now);
            }
            return true;
        }
        let adds_record = !known.has_record() && update.daemon.caller.port() != 0;
        if adds_record && update.daemon.incarnation == known.latest.daemon.incarnation {
            let latest = MemberUpdate {
                daemon: update.daemon,
                ..known.latest.clone()
            };
            self.insert(latest, now);
            return true;
        }
        false
    }

    /// Merges the record at the platform's store, or notes that there is none.
    pub fn update_record(&mut self, name: &DaemonName, record: Option<&Daemon>, now: Time) -> bool {
        let mut changed = false;
        if let Some(record) = record {
            let status = if record.leaving {
                MemberStatus::Leaving
            } else {
                MemberStatus::Alive
            };
            let refutation = match self.members.get(name) {
                Some(m) if m.latest.daemon.incarnation == record.incarnation => m.latest.refutation,
                _ => 0,
            };
            let update = MemberUpdate {
                daemon: record.clone(),
                refutation,
                status,
            };
            changed = self.merge(update, now);
        }
        if let Some(member) = self.members.get_mut(name) {
            member.registered = record.is_some();
            self.rebuild_index();
        }
        changed
    }

    /// Marks a daemon as suspected; returns false if it already was, or is dead or unknown.
    pub fn mark_suspect(&mut self, name: &DaemonName, now: Time) -> bool {
        match self.members.get_mut(name) {
            Some(member) if member.is_up() && member.suspected.is_none() => {
                member.suspected = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Clears the suspicion of a daemon that has answered another daemon's probe.
    pub fn clear_suspicion(&mut self, name: &DaemonName) {
        if let Some(member) = self.members.get_mut(name) {
            member.suspected = None;
        }
    }

    /// Restarts all suspicions, after a pause of this daemon itself.
    pub fn restart_suspicions(&mut self, now: Time) {
        for member in self.members.values_mut() {
            member.suspected = member.suspected.map(|_| now);
        }
    }

    /// Marks a daemon's incarnation as dead; returns the update unless it already was.
    pub fn mark_dead(&mut self, name: &DaemonName, now: Time) -> Option<MemberUpdate> {
        let member = self.members.get_mut(name)?;
        if !member.is_up() {
            return None;
        }
        member.latest.status = MemberStatus::Dead;
        member.suspected = None;
        member.changed = now;
        let update = member.latest.clone();
        self.rebuild_index();
        Some(update)
    }

    /// Records the configuration revision in force on a daemon.
    pub fn note_revision(&mut self, name: &DaemonName, revision: Revision) {
        if let Some(member) = self.members.get_mut(name) {
            member.revision = member.revision.max(revision);
        }
    }

    /// Forgets unregistered daemons that have been dead for [`FORGET_DELAY`].
    pub fn sweep(&mut self, now: Time) {
        self.members.retain(|_, member| {
            member.is_up() || member.registered || now.since(member.changed) < FORGET_DELAY
        });
        self.rebuild_index();
    }

    /// Sets the time of the last contact and clears the suspicion.
    fn touch(&mut self, name: &DaemonName, now: Time) {
        if let Some(member) = self.members.get_mut(name) {
            member.last_contact = Some(now);
            member.suspected = None;
        }
    }

    /// Stores an update, keeping what is known of the same incarnation.
    fn insert(&mut self, update: MemberUpdate, now: Time) {
        let name = update.daemon.name.clone();
        let known = self.members.get(&name);
        let same_incarnation =
            known.filter(|known| known.latest.daemon.incarnation == update.daemon.incarnation);
        let member = Member {
            last_contact: same_incarnation.and_then(|known| known.last_contact),
            suspected: None,
            changed: now,
            registered: known.is_some_and(|known| known.registered),
            revision: same_incarnation
                .map(|known| known.revision)
                .unwrap_or_default(),
            latest: update,
        };
        self.members.insert(name, member);
        self.rebuild_index();
    }

    /// Rebuilds the fields derived from the members.
    fn rebuild_index(&mut self) {
        let up = self.members.iter().filter(|(_, member)| member.is_up());
        self.up = up.map(|(name, _)| name.clone()).collect();
        let addresses = self.up.iter().map(|name| {
            let address = self.members[name].latest.daemon.peer;
            (address, name.clone())
        });
        self.addresses = addresses.collect();
        let expected = self.members.values().filter(|member| member.is_expected());
        self.expected = expected.count();
    }
}

/// Returns an update about an incarnation of which only the sender's address is known.
fn bare_update(name: &DaemonName, incarnation: Incarnation, address: SocketAddr) -> MemberUpdate {
    MemberUpdate {
        daemon: Daemon {
            name: name.clone(),
            incarnation,
            peer: address,
            ..Daemon::default()
        },
        refutation: 0,
        status: MemberStatus::Alive,
    }
}
