//! The free hosts of a fabric domain, and the choice of members for a new group.
//!
//! A host that has a model's weights staged is worth more to that model than to
//! any other, since loading them again takes many times as long as joining.
//! Staged hosts are therefore kept for models that have no group in the domain,
//! even if those have to wait for one more host, unless another model is in far
//! greater need.

use super::{
    roster::{Host, HostKey, Roster},
    spec::Replication,
};
use crate::core::keys::ModelName;
use std::collections::{BTreeMap, BTreeSet};

/// Hosts that must stay free in a domain when a second or later group of a model is formed there.
const MIN_SPARE_HOSTS: usize = 2;

/// Free hosts and groups of a domain.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Hosts that no group holds.
    pub free: Vec<HostKey>,
    /// Models that free hosts are loading.
    pub loading: BTreeMap<HostKey, ModelName>,
    /// Number of groups of each model that serve or are being formed.
    pub groups: BTreeMap<ModelName, u32>,
    /// Models of groups that no longer serve, and whose hosts will be free soon.
    pub ending: BTreeSet<ModelName>,
}

impl Pool {
    /// Returns the number of groups of a model that serve or are being formed.
    pub fn group_count(&self, model: &ModelName) -> u32 {
        self.groups.get(model).copied().unwrap_or_default()
    }

    /// Returns true if there are enough hosts for a group, not counting those kept for `protected`
    /// models.
    pub fn has_room(
        &self,
        roster: &Roster,
        protected: &[&Replication],
        wanted: &Replication,
    ) -> bool {
        self.usable_hosts(roster, protected, wanted).len() >= self.hosts_needed(wanted)
    }

    /// Returns the number of free hosts that the next group of a model takes or leaves free.
    pub fn hosts_needed(&self, wanted: &Replication) -> usize {
        let size = usize::from(wanted.size);
        match self.group_count(&wanted.model) {
            0 => size,
            _ => size + MIN_SPARE_HOSTS,
        }
    }

    /// Returns true if a group should be formed now, rather than wait for hosts that need no load.
    ///
    /// A loss during a load would end the formation, and a load takes so long that under steady
    /// loss none would succeed. Hosts are therefore staged one by one, and joined once enough of
    /// them have the weights; only before the first request, while loads are quick, they load as
    /// members.
    pub fn should_form_now(
        &self,
        roster: &Roster,
        protected: &[&Replication],
        wanted: &Replication,
        has_traffic: bool,
    ) -> bool {
        let may_load = !has_traffic && !self.ending.contains(&wanted.model);
        may_load || self.load_count(roster, protected, wanted) == 0
    }

    /// Returns the number of members of a new group that would have to wait for a load.
    pub fn load_count(
        &self,
        roster: &Roster,
        protected: &[&Replication],
        wanted: &Replication,
    ) -> usize {
        let usable = self.usable_hosts(roster, protected, wanted);
        usable
            .iter()
            .take(usize::from(wanted.size))
            .filter(|key| self.join_delay(roster, **key, &wanted.model) > JoinDelay::Staged)
            .count()
    }

    /// Returns the number of free hosts that could join a group of a model without a load and
    /// aren't slow.
    pub fn spare_count(&self, roster: &Roster, model: &ModelName) -> usize {
        let is_spare = |key: &&HostKey| self.join_delay(roster, **key, model) <= JoinDelay::Staged;
        self.free.iter().filter(is_spare).count()
    }

    /// Returns true if a free host must start a load in order to join a group of a model.
    pub fn needs_load(&self, roster: &Roster, key: HostKey, model: &ModelName) -> bool {
        let is_staged = is_staged(roster, key, model);
        !is_staged && self.loading.get(&key) != Some(model)
    }

    /// Returns the delay class of a free host that would join a group of a model.
    fn join_delay(&self, roster: &Roster, key: HostKey, model: &ModelName) -> JoinDelay {
        let Some(host) = roster.host(key) else {
            return JoinDelay::Unknown;
        };
        if host.slowdown() > 1.0 {
            return JoinDelay::Slow;
        }
        match self.loading.get(&key) {
            // The load may have ended before its expected end.
            _ if host.runner.staged.contains(model) => weights_delay(host, model),
            Some(loading) if loading == model => JoinDelay::Staging,
            Some(_) => JoinDelay::StagingOther,
            None => weights_delay(host, model),
        }
    }

    /// Removes the members of a new group from the free hosts and counts the group.
    pub fn take_members(
        &mut self,
        roster: &Roster,
        protected: &[&Replication],
        wanted: &Replication,
    ) -> Vec<HostKey> {
        let mut members = self.usable_hosts(roster, protected, wanted);
        members.truncate(usize::from(wanted.size));
        self.free.retain(|key| !members.contains(key));
        *self.groups.entry(wanted.model.clone()).or_default() += 1;
        members
    }

    /// Returns the free hosts that a model may use, those with the shortest join delay first.
    fn usable_hosts(
        &self,
        roster: &Roster,
        protected: &[&Replication],
        wanted: &Replication,
    ) -> Vec<HostKey> {
        let mut usable = self.free.clone();
        for other in protected {
            if self.group_count(&other.model) > 0 {
                continue;
            }
            let mut staged = usable.clone();
            staged.retain(|key| is_staged(roster, *key, &other.model));
            staged.truncate(usize::from(other.size));
            usable.retain(|key| !staged.contains(key));
        }
        usable.sort_by_key(|key| self.join_delay(roster, *key, &wanted.model));
        usable
    }
}

fn is_staged(roster: &Roster, key: HostKey, model: &ModelName) -> bool {
    roster
        .host(key)
        .is_some_and(|host| host.runner.staged.contains(model))
}

/// Classes of delay before a host is a ready member of a model's group, the shortest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum JoinDelay {
    /// Weights in memory: the host was a member of a group of the model.
    Loaded,
    /// Weights staged on the host.
    Staged,
    /// Weights being staged.
    Staging,
    /// No weights staged.
    Empty,
    /// Another model's weights staged.
    StagedOther,
    /// Another model's weights being staged.
    StagingOther,
    /// Slow host, which would make its group as slow.
    Slow,
    /// Host no longer known.
    Unknown,
}

/// Returns the delay class given by the weights that a host already has.
fn weights_delay(host: &Host, model: &ModelName) -> JoinDelay {
    let member = host.runner.member.as_ref();
    let is_loaded = member.is_some_and(|member| member.model.as_ref() == Some(model));
    let is_staged = host.runner.staged.contains(model);
    match (is_loaded, is_staged, host.runner.staged.is_empty()) {
        (true, _, _) => JoinDelay::Loaded,
        (_, true, _) => JoinDelay::Staged,
        (_, _, true) => JoinDelay::Empty,
        _ => JoinDelay::StagedOther,
    }
}
