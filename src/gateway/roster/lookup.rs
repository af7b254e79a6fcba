//! Groups and hosts of a service.

use super::{Host, HostKey, Roster};
use crate::{
    core::keys::{ModelName, ServiceName},
    gateway::group::Group,
};

impl Roster {
    /// Returns the groups that serve a model of a service, or did.
    pub fn groups_of<'a>(
        &'a self,
        service: &'a ServiceName,
        model: &'a ModelName,
    ) -> impl Iterator<Item = &'a Group> {
        let groups = self.groups.iter();
        groups.filter(move |group| group.service == *service && group.model == *model)
    }

    /// Returns the hosts whose runners are of a service.
    pub fn runners_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (HostKey, &'a Host)> {
        self.hosts()
            .filter(move |(_, host)| host.runner.service == *service)
    }
}
