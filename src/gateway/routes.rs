//! Matches requests to routes, services and accounts.

use super::{
    rank::{Rank, Ranks},
    spec::{Route, Spec},
};
use crate::core::keys::{AccountName, KeyHash, ServiceName};
use std::collections::HashMap;

/// Configuration version with indexes of its routes and keys.
#[derive(Debug, Default)]
pub struct RouteTable {
    spec: Spec,
    /// Indices of the routes of each host name, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<KeyHash, AccountName>,
    /// Priorities of the accounts that have one.
    account_priorities: HashMap<AccountName, u8>,
    ranks: Ranks,
}

/// Reason for which a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// No route matches.
    NoRoute,
    /// The route needs an account, and the caller has none.
    NoAccount,
}

impl RouteTable {
    /// Indexes a configuration version.
    pub fn new(spec: Spec) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in spec.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(spec.routes[*index].prefix.len()));
        }
        let by_key = spec
            .accounts
            .iter()
            .flat_map(|account| account.keys.iter().map(|key| (*key, account.name.clone())))
            .collect();
        let accounts = spec.accounts.iter();
        let account_priorities = accounts
            .filter_map(|account| Some((account.name.clone(), account.priority?)))
            .collect();
        Self {
            ranks: Ranks::new(&spec),
            spec,
            by_host,
            by_key,
            account_priorities,
        }
    }

    /// Returns the indexed configuration version.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the route with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let indices = self.by_host.get(host)?;
        indices
            .iter()
            .map(|index| &self.spec.routes[*index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the route of a request, if its caller may use it.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or if the route needs an account and the caller has none.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        account: Option<&AccountName>,
    ) -> Result<&Route, AccessError> {
        let route = self.find(host, path).ok_or(AccessError::NoRoute)?;
        let needs_account = !self.spec.accounts.is_empty() && !route.public;
        match needs_account && account.is_none() {
            true => Err(AccessError::NoAccount),
            false => Ok(route),
        }
    }

    /// Returns the account with a name.
    pub fn account_by_name(&self, name: &AccountName) -> Option<&AccountName> {
        let mut names = self.spec.accounts.iter().map(|account| &account.name);
        names.find(|known| *known == name)
    }

    /// Returns the rank of a request to a service.
    pub fn rank(
        &self,
        service: &ServiceName,
        route: &Route,
        account: Option<&AccountName>,
    ) -> Rank {
        let priority = account.and_then(|account| self.account_priorities.get(account));
        self.ranks.rank(service, route, priority.copied())
    }

    /// Returns the account that a key belongs to.
    pub fn account(&self, key: &KeyHash) -> Option<&AccountName> {
        self.by_key.get(key)
    }
}

impl Route {
    /// Picks a service in proportion to the weights; `draw` is a random number from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.split.iter().map(|share| share.weight).sum();
        let mut remaining = draw * f64::from(total);
        for share in &self.split {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.split.last().map(|share| &share.service)
    }

    /// Returns the services that may be picked, each with its probability.
    pub fn service_probabilities(&self) -> Vec<(&ServiceName, f64)> {
        let total: u32 = self.split.iter().map(|share| share.weight).sum();
        if total == 0 {
            return self
                .pick_service(0.0)
                .map(|last| (last, 1.0))
                .into_iter()
                .collect();
        }
        let weighted = self.split.iter().filter(|share| share.weight > 0);
        weighted
            .map(|share| (&share.service, f64::from(share.weight) / f64::from(total)))
            .collect()
    }
}
