//! Upgrades: the version that each group is to load, and limits on how many
//! groups move at once.
//!
//! All state is in the records, so another duty holder can continue where one
//! stopped. Domains are upgraded one after another, ordered by name: a domain
//! moves groups only while every earlier one holds the wanted version. Moves
//! wait until the last change of versions must be in force on every daemon.

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
    driver::DriverInputs,
    load_rate::PROPAGATION_DELAY,
    plan::Allowance,
    write,
};

/// Number of groups of a model that move at once while no upgrade is running.
const DEFAULT_WIDTH: usize = 1;

/// Returns the version that a group is to load.
pub(super) fn wanted_version(
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
            .unwrap_or_else(|| previous_version(upgrade, model)),
        UpgradeState::Aborted if model.version == upgrade.to => previous_version(upgrade, model),
        UpgradeState::Aborted | UpgradeState::Done => model.version.clone(),
    }
}

/// Returns the upgrade of a model that was written last.
pub(super) fn latest<'a>(view: &'a View, model: &ModelName) -> Option<&'a Upgrade> {
    let upgrades = view.upgrades().filter(|u| u.record.model == *model);
    upgrades.max_by_key(|u| u.revision).map(|u| &u.record)
}

/// Returns how many groups of a model a domain may start to move, and how many it may take out of
/// service.
pub(super) fn allowance(
    ctx: &Ctx,
    inputs: &DriverInputs,
    record: &Placement,
    model: &Model,
) -> Allowance {
    let changed_recently = ctx.now.since(inputs.versions_changed) < PROPAGATION_DELAY;
    if changed_recently || !earlier_domains_done(inputs.core.view, record, model) {
        return Allowance::default();
    }
    let width = latest(inputs.core.view, &model.name)
        .filter(|u| u.state == UpgradeState::Running)
        .map_or(DEFAULT_WIDTH, |u| usize::from(u.width.max(1)));
    let moving = placements(inputs.core.view, record)
        .flat_map(|placement| placement.groups.values())
        .filter(|placed| placed.model == model.name && is_moving(placed))
        .count();
    let starts = width.saturating_sub(moving);
    let serving = inputs.serving.for_model(&model.name).len();
    let removals = if ctx.options.is_enabled(Mechanism::UpgradeFloor) {
        serving.saturating_sub(usize::from(model.floor))
    } else {
        usize::MAX
    };
    Allowance { starts, removals }
}

/// Returns a running upgrade whose groups all serve the target version.
fn completed(view: &View) -> Option<&Versioned<Upgrade>> {
    view.upgrades().find(|upgrade| {
        let Upgrade {
            model, to, state, ..
        } = &upgrade.record;
        *state == UpgradeState::Running && holds_everywhere(view, model, to)
    })
}

/// Writes the next step of completing an upgrade: first the model's version,
/// then the upgrade's state. Returns false if no upgrade is complete.
pub(super) fn finish(ctx: &mut Ctx, view: &View) -> bool {
    let Some(upgrade) = completed(view) else {
        return false;
    };
    let Some(model) = view.model_entry(&upgrade.record.model) else {
        return false;
    };
    if model.record.version == upgrade.record.to {
        let mut record = upgrade.record.clone();
        record.state = UpgradeState::Done;
        record.operation = ctx.new_operation_id();
        let key = Key::Upgrade(record.name.clone());
        write::put(ctx, &key, &record, Expect::At(upgrade.revision), None);
    } else {
        let mut record = model.record.clone();
        record.version = upgrade.record.to.clone();
        record.operation = ctx.new_operation_id();
        let key = Key::Model(record.name.clone());
        write::put(ctx, &key, &record, Expect::At(model.revision), None);
    }
    true
}

/// Returns the version to go back to from an upgrade; that of the model if none is recorded.
fn previous_version(upgrade: &Upgrade, model: &Model) -> VersionName {
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

/// Returns true if every domain before this one by name holds the wanted versions.
fn earlier_domains_done(view: &View, record: &Placement, model: &Model) -> bool {
    let earlier = view.placements().map(|v| &v.record);
    let mut groups = earlier
        .filter(|placement| placement.domain < record.domain)
        .flat_map(|placement| &placement.groups);
    groups.all(|(name, placed)| {
        let Some(spec) = view.group(name).map(|v| &v.record) else {
            return true;
        };
        spec.model != model.name
            || placed.version == wanted_version(view, spec, model, Some(placed))
    })
}

fn is_moving(placed: &PlacedGroup) -> bool {
    placed.stage != Stage::Serving || placed.next.is_some()
}

/// Returns every placement in force, with this domain's as given in `record`.
fn placements<'a>(view: &'a View, record: &'a Placement) -> impl Iterator<Item = &'a Placement> {
    let others = view.placements().map(|v| &v.record);
    others
        .filter(|placement| placement.domain != record.domain)
        .chain(std::iter::once(record))
}
