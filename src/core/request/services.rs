//! The runners of each plain service, gathered from the list of hosts.

use super::{
    super::{
        input::RunnerKind,
        keys::{HostName, ServiceName},
        time::{Span, Time},
    },
    Cluster,
};
use std::collections::HashMap;

/// How often the list of hosts is gone through at most.
const REBUILD: Span = Span::from_millis(250);

/// Runners by service; health is checked when one is used.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    runners: HashMap<ServiceName, Vec<HostName>>,
    built: Option<Time>,
    changed: bool,
}

impl ServiceIndex {
    /// Notes that hosts may have come or gone.
    pub(super) fn invalidate(&mut self) {
        self.changed = true;
    }

    /// The runners of a service, by name.
    pub(super) fn runners(
        &mut self,
        site: &Cluster,
        now: Time,
        service: &ServiceName,
    ) -> &[HostName] {
        let due = self.built.is_none_or(|at| now.since(at) >= REBUILD);
        if self.changed && due {
            self.rebuild(site, now);
        }
        self.runners.get(service).map_or(&[], Vec::as_slice)
    }

    fn rebuild(&mut self, site: &Cluster, now: Time) {
        self.runners.clear();
        for host in site.hosts.iter() {
            if let RunnerKind::Service(name) = &host.entry.kind {
                let runners = self.runners.entry(name.clone()).or_default();
                runners.push(host.entry.host.clone());
            }
        }
        self.built = Some(now);
        self.changed = false;
    }
}
