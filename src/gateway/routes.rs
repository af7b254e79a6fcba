//! Finds the route and the account of a request.

use super::spec::{Route, Spec};
use crate::core::keys::{AccountName, KeyHash, ServiceName};
use std::collections::HashMap;

/// The routes and keys of one version, arranged for look-ups.
#[derive(Debug, Default)]
pub struct RouteTable {
    spec: Spec,
    /// Routes of a host name, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    accounts: HashMap<KeyHash, AccountName>,
}

impl RouteTable {
    /// Arranges a version.
    pub fn new(spec: Spec) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in spec.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for indices in hosts.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(spec.routes[*index].prefix.len()));
        }
        let accounts = spec
            .accounts
            .iter()
            .flat_map(|account| account.keys.iter().map(|key| (*key, account.name.clone())))
            .collect();
        Self {
            spec,
            hosts,
            accounts,
        }
    }

    /// The version that is arranged here.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// The route with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let indices = self.hosts.get(host)?;
        indices
            .iter()
            .map(|index| &self.spec.routes[*index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Whether requests need an account at all.
    pub fn has_accounts(&self) -> bool {
        !self.spec.accounts.is_empty()
    }

    /// The account that holds a key.
    pub fn account(&self, key: &KeyHash) -> Option<&AccountName> {
        self.accounts.get(key)
    }
}

impl Route {
    /// The service for one request, drawn by weight; `draw` is from 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.split.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(total);
        for share in &self.split {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.split.last().map(|share| &share.service)
    }
}
