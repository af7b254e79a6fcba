//! The runner hosts: what the list says of them, and what was seen since.

use {
    super::super::{
        ctx::Ctx,
        input::{HostEntry, LoadReport},
        keys::{DomainName, HostName},
        time::Time,
    },
    std::collections::BTreeMap,
};

crate::record! {
    /// Whether a host can be worked with.
    #[derive(Copy, Eq)]
    pub enum Health {
        /// Nothing speaks against it.
        Live,
        /// It failed to answer; it gets no new work until it does.
        Suspect,
        /// It is leaving; it gets no new work.
        Leaving,
        /// It is gone from the list, or has not answered for long.
        Dead,
    }
}

/// One runner host.
#[derive(Clone, Debug)]
pub struct Host {
    /// What the list says.
    pub entry: HostEntry,
    /// Whether it can be worked with.
    pub health: Health,
    /// Its last load report, and when the figures were true.
    pub load: Option<(Time, LoadReport)>,
}

/// The runner hosts known, by name.
#[derive(Debug, Default)]
pub struct Hosts {
    hosts: BTreeMap<HostName, Host>,
}

/// Queries.
impl Hosts {
    /// A host.
    pub fn get(&self, host: &HostName) -> Option<&Host> {
        self.hosts.get(host)
    }

    /// Every host, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// The hosts of a domain, by name.
    pub fn in_domain(&self, domain: &DomainName) -> impl Iterator<Item = &Host> {
        self.hosts
            .values()
            .filter(move |h| h.entry.domain == *domain)
    }
}

/// Commands. Each returns the hosts whose health or load changed.
impl Hosts {
    /// Takes over the list, which lags behind reality.
    pub fn on_listed(&mut self, _ctx: &mut Ctx, entries: Vec<HostEntry>) -> Vec<HostName> {
        let mut changed = Vec::new();
        for entry in entries {
            let health = if entry.leaving {
                Health::Leaving
            } else {
                Health::Live
            };
            let name = entry.host.clone();
            let held = self.hosts.get(&name).map(|h| (&h.entry, h.health));
            if held == Some((&entry, health)) {
                continue;
            }
            changed.push(name.clone());
            self.hosts.insert(
                name,
                Host {
                    entry,
                    health,
                    load: None,
                },
            );
        }
        changed
    }

    /// Takes a load report, or the lack of one.
    pub fn on_load(
        &mut self,
        _ctx: &mut Ctx,
        _host: HostName,
        _report: Option<LoadReport>,
    ) -> Vec<HostName> {
        Vec::new()
    }

    /// Notes that requests found hosts silent even on fresh connections.
    pub fn suspect(&mut self, _ctx: &mut Ctx, _hosts: &[HostName]) -> Vec<HostName> {
        Vec::new()
    }
}
