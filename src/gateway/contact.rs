//! Whether the store answers this daemon, and its peers.
//!
//! An answer to any call proves contact. Contact is lost once the answers have
//! stayed out for longer than the renewals of a lease are apart. A daemon that
//! has lost it, while a peer has not, is cut off by itself, and can follow the
//! peer's changes; if no peer has contact, the store is away. It follows only a
//! peer that watches the store itself: any other might be following it in turn,
//! and each would take the other's changes for current.

use crate::core::{
    keys::Era,
    time::{Span, Time},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Maximum time between two answers of a store that is in contact; a lease is renewed more often.
const MAX_GAP: Span = Span::from_millis(1_500);

/// Time for which a peer that could not be followed is not chosen again.
const FAILED_TIMEOUT: Span = Span::from_millis(2_000);

crate::record! {
    /// Contact of a daemon with the store, as it reports it to its peers.
    #[derive(Copy)]
    pub struct ContactReport {
        /// Time since the store's last answer.
        pub age: Span,
        /// Time since the contact began.
        pub length: Span,
        /// Era of the store in which it began.
        pub era: Option<Era>,
        /// True if the daemon watches the store itself, rather than following another daemon.
        pub is_watching: bool,
    }
}

/// Time in which the store answered a daemon without a gap, and came back from no older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Contact {
    /// Time of the first answer.
    since: Time,
    /// Time of the last answer.
    last: Time,
    /// Era of the store, the same in all answers.
    era: Option<Era>,
}

impl Contact {
    fn is_lost(self, now: Time) -> bool {
        now.since(self.last) > MAX_GAP
    }
}

/// What this daemon knows of its own contact with the store, and of its peers'.
#[derive(Debug, Default)]
pub struct StoreContact {
    /// Last contact of this daemon, if there was one.
    own: Option<Contact>,
    /// Last contacts of peers by their addresses, as of their reports.
    peers: BTreeMap<SocketAddr, Contact>,
    /// Peers that watch the store themselves, as of their reports.
    watching: BTreeSet<SocketAddr>,
    /// Peers that could not be followed, with the time at which that was found.
    failed: BTreeMap<SocketAddr, Time>,
    /// Peer whose changes are followed while the own contact is lost.
    followed: Option<SocketAddr>,
    /// Time up to which all changes were seen before this daemon last missed some.
    seen_until: Time,
}

impl StoreContact {
    /// Records an answer in an era of the store; returns true if a contact begins with it.
    pub fn answered(&mut self, era: Option<Era>, now: Time) -> bool {
        let kept = self.own.filter(|own| !own.is_lost(now) && own.era == era);
        let since = kept.map_or(now, |own| own.since);
        let last = now;
        self.own = Some(Contact { since, last, era });
        kept.is_none()
    }

    /// Returns true while the store doesn't answer this daemon.
    pub fn is_lost(&self, now: Time) -> bool {
        self.own.is_none_or(|own| own.is_lost(now))
    }

    /// Returns the time at which the present contact began, or the last one if it is lost.
    pub fn since(&self) -> Time {
        self.own.map_or_else(Time::default, |own| own.since)
    }

    /// Returns the report for a peer; none if the store has never answered.
    pub fn report(&self, is_watching: bool, now: Time) -> Option<ContactReport> {
        let own = self.own?;
        Some(ContactReport {
            age: now.since(own.last),
            length: now.since(own.since),
            era: own.era,
            is_watching,
        })
    }

    /// Records a peer's report; returns true if there is a peer to follow now, and was none before.
    pub fn record(&mut self, peer: SocketAddr, report: ContactReport, now: Time) -> bool {
        let had_peer = self.peer_to_follow(now).is_some();
        let contact = Contact {
            since: now - report.length,
            last: now - report.age,
            era: report.era,
        };
        self.peers.retain(|_, contact| !contact.is_lost(now));
        self.peers.insert(peer, contact);
        match report.is_watching {
            true => self.watching.insert(peer),
            false => self.watching.remove(&peer),
        };
        !had_peer && self.peer_to_follow(now).is_some()
    }

    /// Records that a peer can't be followed, because it isn't reached or lacks the changes.
    pub fn peer_failed(&mut self, peer: SocketAddr, now: Time) {
        self.failed.retain(|_, at| now.since(*at) < FAILED_TIMEOUT);
        self.failed.insert(peer, now);
    }

    /// Returns true if a peer's changes are current, as far as is known, and it can be reached.
    fn can_follow(&self, peer: SocketAddr, contact: Contact, now: Time) -> bool {
        !contact.is_lost(now) && self.watching.contains(&peer) && !self.has_failed(peer, now)
    }

    fn has_failed(&self, peer: SocketAddr, now: Time) -> bool {
        let failed = self.failed.get(&peer);
        failed.is_some_and(|at| now.since(*at) < FAILED_TIMEOUT)
    }

    /// Returns the peer that was followed last while the own contact was lost.
    pub fn followed(&self) -> Option<SocketAddr> {
        self.followed
    }

    /// Chooses the peer to follow, which is none unless the own contact is lost; the one that is
    /// followed already as long as the store answers it.
    pub fn choose_peer(&mut self, now: Time) -> Option<SocketAddr> {
        self.followed = self.peer_to_follow(now);
        self.followed
    }

    /// Records that changes are seen again, and up to which time they had been seen before.
    pub fn changes_regained(&mut self, seen_until: Time) {
        self.seen_until = seen_until;
    }

    /// Returns the time at which an outage of the store ended in which this daemon missed changes;
    /// none if it missed them by itself, while some daemon was in contact all the time.
    pub fn outage_end(&self, now: Time) -> Option<Time> {
        let era = self.own.and_then(|own| own.era);
        let contacts = self.own.iter().chain(self.peers.values());
        let in_contact = contacts.filter(|contact| !contact.is_lost(now) && contact.era == era);
        let first = in_contact.map(|contact| contact.since).min();
        let end = first.unwrap_or(now);
        (end > self.seen_until).then_some(end)
    }

    /// Returns the peer to follow: the one that is followed already, else the one heard of last.
    fn peer_to_follow(&self, now: Time) -> Option<SocketAddr> {
        if !self.is_lost(now) {
            return None;
        }
        let in_contact = self
            .peers
            .iter()
            .filter(|(address, peer)| self.can_follow(**address, **peer, now));
        let latest = in_contact.max_by_key(|(address, peer)| {
            let is_followed = Some(**address) == self.followed;
            (is_followed, peer.last)
        });
        latest.map(|(address, _)| *address)
    }
}
