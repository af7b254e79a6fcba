//! Index of the runners of each plain service, built from the list of hosts.
//!
//! It is rebuilt on use after the list may have changed, at most once per interval.

use super::{
    super::{
        input::RunnerKind,
        keys::{HostName, ServiceName},
        time::{Span, Time},
    },
    Cluster,
};
use std::collections::HashMap;

/// Minimum interval between rebuilds of the index.
const MIN_REBUILD_INTERVAL: Span = Span::from_millis(250);

/// Runners by service; their health is checked on use.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    runners: HashMap<ServiceName, Vec<HostName>>,
    built_at: Option<Time>,
    stale: bool,
}

impl ServiceIndex {
    /// Marks the index as outdated after hosts may have come or gone.
    pub(super) fn invalidate(&mut self) {
        self.stale = true;
    }

    /// Returns the runners of a service, in the order of the hosts' names.
    pub(super) fn runners(
        &mut self,
        cluster: &Cluster,
        now: Time,
        service: &ServiceName,
    ) -> &[HostName] {
        let due = self
            .built_at
            .is_none_or(|at| now.since(at) >= MIN_REBUILD_INTERVAL);
        if self.stale && due {
            self.rebuild(cluster, now);
        }
        self.runners.get(service).map_or(&[], Vec::as_slice)
    }

    fn rebuild(&mut self, cluster: &Cluster, now: Time) {
        self.runners.clear();
        for host in cluster.hosts.iter() {
            if let RunnerKind::Service(name) = &host.entry.kind {
                let runners = self.runners.entry(name.clone()).or_default();
                runners.push(host.entry.host.clone());
            }
        }
        self.built_at = Some(now);
        self.stale = false;
    }
}
