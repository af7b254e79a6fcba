//! Removal of the records of groups that operators deleted, once no host holds
//! them.
//!
//! The domain's duty holder deletes the group's record. It waits for longer
//! than an operator's write is retried, so that a repeated operation still
//! finds the record in which it is listed as applied.

use super::super::{
    config::{Key, View, record::Placement},
    ctx::Ctx,
    keys::{GroupName, Owner},
    output::{Expect, PlatformCall},
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// Delay between the release of a deleted group's hosts and the removal of its record.
const PURGE_DELAY: Span = Span::from_secs(10);

/// Interval between removals, so that one is seen before it is tried again.
const PURGE_INTERVAL: Span = Span::from_secs(5);

/// Deleted groups of one domain that no host holds, with the time at which each was first seen.
#[derive(Debug, Default)]
pub(super) struct DeletedGroups {
    since: BTreeMap<GroupName, Time>,
    last_purge: Option<Time>,
}

/// Commands.
impl DeletedGroups {
    /// Deletes the records of groups whose hosts have been free for [`PURGE_DELAY`].
    pub(super) fn on_tick(&mut self, ctx: &mut Ctx, view: &View, record: &Placement) {
        let unplaced: Vec<&GroupName> = view
            .groups()
            .map(|group| &group.record)
            .filter(|spec| spec.deleted && spec.domain == record.domain)
            .map(|spec| &spec.name)
            .filter(|name| !record.groups.contains_key(*name))
            .collect();
        self.since.retain(|name, _| unplaced.contains(&name));
        for name in &unplaced {
            self.since.entry((*name).clone()).or_insert(ctx.now);
        }
        if self
            .last_purge
            .is_some_and(|at| ctx.now.since(at) < PURGE_INTERVAL)
        {
            return;
        }
        let now = ctx.now;
        let due = self
            .since
            .iter()
            .filter(|(_, since)| now.since(**since) >= PURGE_DELAY);
        for (name, _) in due {
            self.last_purge = Some(ctx.now);
            purge(ctx, view, name);
        }
    }
}

fn purge(ctx: &mut Ctx, view: &View, name: &GroupName) {
    let Some(spec) = view.group(name) else {
        return;
    };
    let delete = PlatformCall::Delete {
        key: Key::Group(name.clone()).path(),
        expect: Expect::At(spec.revision),
    };
    ctx.call_platform(Owner::Group, delete);
}
