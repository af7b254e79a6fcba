//! Upgrades: which version a group is to hold, and how fast groups may move.
//!
//! All state is in the records, so another duty holder goes on where one
//! stopped. Domains go one after another, by name: a domain moves only while
//! every earlier one holds the wanted version. Moves wait until the last
//! change of direction must be in force everywhere.

use super::{
    super::{
        config::{
            Key, Versioned, View,
            record::{GroupSpec, Model, PlacedGroup, Placement, Stage, Upgrade, UpgradeState},
        },
        ctx::Ctx,
        keys::{ModelName, VersionName},
        options::Mechanism,
        output::Expect,
    },
    budget::SPREAD,
    drive::World,
    plan::Allowance,
    write,
};

/// Groups of a model that move at once when no upgrade says otherwise.
const DEFAULT_WIDTH: usize = 1;

/// The version that a group is to hold.
pub(super) fn version(
    view: &View,
    spec: &GroupSpec,
    model: &Model,
    placed: Option<&PlacedGroup>,
) -> VersionName {
    if !spec.version.as_str().is_empty() {
        return spec.version.clone();
    }
    let Some(upgrade) = latest(view, &model.name) else {
        return model.version.clone();
    };
    match upgrade.state {
        UpgradeState::Running => upgrade.to.clone(),
        UpgradeState::Paused => placed
            .map(|p| p.version.clone())
            .unwrap_or_else(|| before(upgrade, model)),
        UpgradeState::Aborted if model.version == upgrade.to => before(upgrade, model),
        UpgradeState::Aborted | UpgradeState::Done => model.version.clone(),
    }
}

/// The last upgrade written for a model.
pub(super) fn latest<'a>(view: &'a View, model: &ModelName) -> Option<&'a Upgrade> {
    let upgrades = view.upgrades().filter(|u| u.record.model == *model);
    upgrades.max_by_key(|u| u.revision).map(|u| &u.record)
}

/// How many groups of a model a domain may start to move, and take out.
pub(super) fn allowance(ctx: &Ctx, world: &World, record: &Placement, model: &Model) -> Allowance {
    let steering = ctx.now.since(world.steered) < SPREAD;
    if steering || !is_turn(world.site.view, record, model) {
        return Allowance::default();
    }
    let width = latest(world.site.view, &model.name)
        .filter(|u| u.state == UpgradeState::Running)
        .map_or(DEFAULT_WIDTH, |u| usize::from(u.width.max(1)));
    let moving = placements(world.site.view, record)
        .flat_map(|placement| placement.groups.values())
        .filter(|placed| placed.model == model.name && is_moving(placed))
        .count();
    let starts = width.saturating_sub(moving);
    let serving = world.serving.of_model(&model.name).len();
    let removals = if ctx.options.has(Mechanism::UpgradeFloor) {
        serving.saturating_sub(usize::from(model.floor))
    } else {
        usize::MAX
    };
    Allowance { starts, removals }
}

/// An upgrade whose every group holds the version, in service.
fn finished(view: &View) -> Option<&Versioned<Upgrade>> {
    view.upgrades().find(|upgrade| {
        let Upgrade {
            model, to, state, ..
        } = &upgrade.record;
        *state == UpgradeState::Running && holds_everywhere(view, model, to)
    })
}

/// Writes the next part of an upgrade's end: the model's version, then the
/// upgrade's state. False if no upgrade is at its end.
pub(super) fn finish(ctx: &mut Ctx, view: &View) -> bool {
    let Some(upgrade) = finished(view) else {
        return false;
    };
    let Some(model) = view.model_entry(&upgrade.record.model) else {
        return false;
    };
    if model.record.version == upgrade.record.to {
        let mut record = upgrade.record.clone();
        record.state = UpgradeState::Done;
        record.operation = ctx.operation();
        let key = Key::Upgrade(record.name.clone());
        write::put(ctx, &key, &record, Expect::At(upgrade.revision), None);
    } else {
        let mut record = model.record.clone();
        record.version = upgrade.record.to.clone();
        record.operation = ctx.operation();
        let key = Key::Model(record.name.clone());
        write::put(ctx, &key, &record, Expect::At(model.revision), None);
    }
    true
}

fn before(upgrade: &Upgrade, model: &Model) -> VersionName {
    if upgrade.from.as_str().is_empty() {
        return model.version.clone();
    }
    upgrade.from.clone()
}

fn holds_everywhere(view: &View, model: &ModelName, version: &VersionName) -> bool {
    let specs = view.groups().map(|v| &v.record).filter(|spec| {
        spec.model == *model && spec.version.as_str().is_empty() && !spec.drained && !spec.deleted
    });
    let mut placed = specs.map(|spec| {
        let placement = view.placement(&spec.domain)?;
        placement.record.groups.get(&spec.name)
    });
    placed.all(|placed| placed.is_some_and(|p| p.version == *version && p.stage == Stage::Serving))
}

/// Whether every domain before this one holds the wanted versions.
fn is_turn(view: &View, record: &Placement, model: &Model) -> bool {
    let earlier = view.placements().map(|v| &v.record);
    let mut groups = earlier
        .filter(|placement| placement.domain < record.domain)
        .flat_map(|placement| &placement.groups);
    groups.all(|(name, placed)| {
        let Some(spec) = view.group(name).map(|v| &v.record) else {
            return true;
        };
        spec.model != model.name || placed.version == version(view, spec, model, Some(placed))
    })
}

fn is_moving(placed: &PlacedGroup) -> bool {
    placed.stage != Stage::Serving || placed.next.is_some()
}

/// Every placement in force, this domain's as last written.
fn placements<'a>(view: &'a View, record: &'a Placement) -> impl Iterator<Item = &'a Placement> {
    let others = view.placements().map(|v| &v.record);
    others
        .filter(|placement| placement.domain != record.domain)
        .chain(std::iter::once(record))
}
