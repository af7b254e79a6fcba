//! Forgetting groups that operators deleted, once no host holds them.
//!
//! The domain's duty holder deletes the group's record. It waits for longer
//! than an operator's write is tried, so that a repeated operation still
//! finds the record that remembers it.

use super::super::{
    config::{Key, View, record::Placement},
    ctx::Ctx,
    keys::{GroupName, Owner},
    output::{Expect, PlatformCall},
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// How long a deleted group's record is kept after its hosts are free.
const KEPT: Span = Span::from_secs(10);

/// How long a delete may take to be seen before it is tried again.
const PERIOD: Span = Span::from_secs(5);

/// The deleted groups of one domain that no host holds, and since when.
#[derive(Debug, Default)]
pub(super) struct Forgets {
    since: BTreeMap<GroupName, Time>,
    tried: Option<Time>,
}

/// Commands.
impl Forgets {
    /// Deletes the records of groups that have been gone for long enough.
    pub(super) fn on_round(&mut self, ctx: &mut Ctx, view: &View, record: &Placement) {
        let gone: Vec<&GroupName> = view
            .groups()
            .map(|group| &group.record)
            .filter(|spec| spec.deleted && spec.domain == record.domain)
            .map(|spec| &spec.name)
            .filter(|name| !record.groups.contains_key(*name))
            .collect();
        self.since.retain(|name, _| gone.contains(&name));
        for name in &gone {
            self.since.entry((*name).clone()).or_insert(ctx.now);
        }
        if self.tried.is_some_and(|at| ctx.now.since(at) < PERIOD) {
            return;
        }
        let now = ctx.now;
        let due = self
            .since
            .iter()
            .filter(|(_, since)| now.since(**since) >= KEPT);
        for (name, _) in due {
            self.tried = Some(ctx.now);
            forget(ctx, view, name);
        }
    }
}

fn forget(ctx: &mut Ctx, view: &View, name: &GroupName) {
    let Some(spec) = view.group(name) else {
        return;
    };
    let delete = PlatformCall::Delete {
        key: Key::Group(name.clone()).path(),
        expect: Expect::At(spec.revision),
    };
    ctx.platform(Owner::Group, delete);
}
