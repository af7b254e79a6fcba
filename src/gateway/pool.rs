//! A fabric domain's free hosts, and which of them a new group takes.
//!
//! A host that has a model's weights staged is worth more to that model than
//! to any other: loading them again takes many times as long as joining. Hosts
//! are therefore kept for models that have no group in the domain, even if those
//! must wait for one more host, unless another model is in far greater need.

use super::{
    roster::{Host, HostKey, Roster},
    spec::Replication,
};
use crate::core::keys::ModelName;
use std::collections::{BTreeMap, BTreeSet};

/// Hosts to be left free in a domain beside its second and later groups of a model.
const SPARE_HOSTS: usize = 2;

/// A domain's free hosts and groups.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Hosts that no group holds.
    pub free: Vec<HostKey>,
    /// The models that free hosts are loading.
    pub loading: BTreeMap<HostKey, ModelName>,
    /// Groups of each model that serve or are being formed.
    pub groups: BTreeMap<ModelName, u32>,
    /// Models of groups that no longer serve, and whose hosts will be free soon.
    pub ending: BTreeSet<ModelName>,
}

impl Pool {
    /// Groups of a model here.
    pub fn count(&self, model: &ModelName) -> u32 {
        self.groups.get(model).copied().unwrap_or_default()
    }

    /// Whether a group can be formed here, `rivals` keeping the hosts staged for them.
    pub fn has_room(&self, roster: &Roster, rivals: &[&Replication], wanted: &Replication) -> bool {
        let usable = self.usable(roster, rivals, wanted).len();
        let size = usize::from(wanted.size);
        if self.count(&wanted.model) == 0 {
            return usable >= size;
        }
        usable >= size + SPARE_HOSTS
    }

    /// Whether a group should be formed here now rather than wait for hosts that need no load.
    pub fn is_timely(
        &self,
        roster: &Roster,
        rivals: &[&Replication],
        wanted: &Replication,
    ) -> bool {
        !self.ending.contains(&wanted.model) || self.loads(roster, rivals, wanted) == 0
    }

    /// How many of its members would have to load the weights.
    pub fn loads(&self, roster: &Roster, rivals: &[&Replication], wanted: &Replication) -> usize {
        let usable = self.usable(roster, rivals, wanted);
        usable
            .iter()
            .take(usize::from(wanted.size))
            .filter(|key| self.delay_rank(roster, **key, &wanted.model) > Delay::Staged)
            .count()
    }

    /// Free hosts that would join a group of the model without a load, and aren't slow.
    pub fn prompt(&self, roster: &Roster, model: &ModelName) -> usize {
        let prompt = |key: &&HostKey| self.delay_rank(roster, **key, model) <= Delay::Staged;
        self.free.iter().filter(prompt).count()
    }

    /// Whether a free host has yet to begin a load to join a group of the model.
    pub fn needs_load(&self, roster: &Roster, key: HostKey, model: &ModelName) -> bool {
        let is_staged = is_staged(roster, key, model);
        !is_staged && self.loading.get(&key) != Some(model)
    }

    fn delay_rank(&self, roster: &Roster, key: HostKey, model: &ModelName) -> Delay {
        let Some(host) = roster.host(key) else {
            return Delay::Unknown;
        };
        if host.pace() > 1.0 {
            return Delay::Slow;
        }
        match self.loading.get(&key) {
            Some(loading) if loading == model => Delay::Staging,
            Some(_) if !host.runner.staged.contains(model) => Delay::StagingOther,
            _ => delay_of(host, model),
        }
    }

    /// Takes the members of a new group out.
    pub fn take(
        &mut self,
        roster: &Roster,
        rivals: &[&Replication],
        wanted: &Replication,
    ) -> Vec<HostKey> {
        let mut members = self.usable(roster, rivals, wanted);
        members.truncate(usize::from(wanted.size));
        self.free.retain(|key| !members.contains(key));
        *self.groups.entry(wanted.model.clone()).or_default() += 1;
        members
    }

    /// Free hosts that the model may take, those that are ready soonest first.
    fn usable(
        &self,
        roster: &Roster,
        rivals: &[&Replication],
        wanted: &Replication,
    ) -> Vec<HostKey> {
        let mut usable = self.free.clone();
        for other in rivals {
            if self.count(&other.model) > 0 {
                continue;
            }
            let mut staged = usable.clone();
            staged.retain(|key| is_staged(roster, *key, &other.model));
            staged.truncate(usize::from(other.size));
            usable.retain(|key| !staged.contains(key));
        }
        usable.sort_by_key(|key| self.delay_rank(roster, *key, &wanted.model));
        usable
    }
}

fn is_staged(roster: &Roster, key: HostKey, model: &ModelName) -> bool {
    roster
        .host(key)
        .is_some_and(|host| host.runner.staged.contains(model))
}

/// What keeps a host from being a ready member of a model's group, the shortest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Delay {
    /// It was in a group of the model.
    Loaded,
    /// It has the weights staged.
    Staged,
    /// It is staging them.
    Staging,
    /// It has no weights.
    Empty,
    /// It has another model's weights.
    Other,
    /// It is staging another model's weights.
    StagingOther,
    /// It is slow, and its group would be as slow.
    Slow,
    /// It is not known.
    Unknown,
}

fn delay_of(host: &Host, model: &ModelName) -> Delay {
    let member = host.runner.member.as_ref();
    let is_loaded = member.is_some_and(|member| member.model.as_ref() == Some(model));
    let is_staged = host.runner.staged.contains(model);
    match (is_loaded, is_staged, host.runner.staged.is_empty()) {
        (true, _, _) => Delay::Loaded,
        (_, true, _) => Delay::Staged,
        (_, _, true) => Delay::Empty,
        _ => Delay::Other,
    }
}
