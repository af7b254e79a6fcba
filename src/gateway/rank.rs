//! Ranks of requests, which decide who is served first when capacity doesn't suffice for all.
//!
//! A request has the priority of its account if that has one, and its route's
//! otherwise. Ranks take effect only in services whose requests can differ in
//! priority.

use super::spec::{Route, Spec};
use crate::core::keys::ServiceName;
use std::collections::{BTreeMap, BTreeSet};

/// Urgency of a rank relative to the other ranks of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RankLevel {
    /// The most urgent of several ranks.
    First,
    /// Neither the most nor the least urgent rank.
    Middle,
    /// The least urgent rank, or the only one.
    #[default]
    Last,
}

/// Rank of a request within its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rank {
    priority: u8,
    /// Number of more urgent ranks of the service.
    position: u8,
    level: RankLevel,
    /// True if the service has several ranks.
    is_ranked: bool,
}

impl Rank {
    /// Creates the rank of a priority among all priorities of a service.
    pub fn new(priority: u8, priorities: &BTreeSet<u8>) -> Self {
        if priorities.len() < 2 {
            return Self::default();
        }
        let position = priorities.range(..priority).count();
        let is_last = priorities.last().is_none_or(|last| *last <= priority);
        Self {
            priority,
            position: u8::try_from(position).unwrap_or(u8::MAX),
            level: match position {
                _ if is_last => RankLevel::Last,
                0 => RankLevel::First,
                _ => RankLevel::Middle,
            },
            is_ranked: true,
        }
    }

    /// Returns the configured priority; 0 is the most urgent. It is 0 if the service has one rank.
    pub fn priority(self) -> u8 {
        self.priority
    }

    /// Returns the number of more urgent ranks of the service.
    pub fn position(self) -> u8 {
        self.position
    }

    /// Returns the urgency relative to the other ranks of the service.
    pub fn level(self) -> RankLevel {
        self.level
    }

    /// Returns true if the service has several ranks.
    pub fn is_ranked(self) -> bool {
        self.is_ranked
    }
}

/// Priorities that requests can have, for each service with more than one.
#[derive(Clone, Debug, Default)]
pub struct Ranks {
    by_service: BTreeMap<ServiceName, BTreeSet<u8>>,
}

impl Ranks {
    /// Derives the ranks from a configuration.
    pub fn new(spec: &Spec) -> Self {
        let mut by_service: BTreeMap<ServiceName, BTreeSet<u8>> = BTreeMap::new();
        for route in &spec.routes {
            let priorities = priorities_of(spec, route);
            let shares = route.split.iter().filter(|share| share.weight > 0);
            for share in shares {
                let known = by_service.entry(share.service.clone()).or_default();
                known.extend(&priorities);
            }
        }
        by_service.retain(|_, priorities| priorities.len() > 1);
        Self { by_service }
    }

    /// Returns the rank of a request to a service.
    pub fn rank(&self, service: &ServiceName, route: &Route, account: Option<u8>) -> Rank {
        let priorities = self.by_service.get(service);
        let priority = account.unwrap_or(route.priority);
        priorities.map_or_else(Rank::default, |priorities| Rank::new(priority, priorities))
    }
}

/// Returns the priorities that requests of a route can have.
fn priorities_of(spec: &Spec, route: &Route) -> BTreeSet<u8> {
    let accounts = spec.accounts.iter();
    let mut priorities: BTreeSet<u8> = accounts.filter_map(|account| account.priority).collect();
    let has_anonymous = route.public || spec.accounts.is_empty();
    let has_plain_account = spec
        .accounts
        .iter()
        .any(|account| account.priority.is_none());
    if has_anonymous || has_plain_account {
        priorities.insert(route.priority);
    }
    priorities
}
