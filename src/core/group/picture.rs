//! Draws the planner's picture of a domain from what its duty holder knows.

use {
    super::{
        super::{
            config::{
                View,
                record::{PlacedGroup, Placement, Stage},
            },
            ctx::Ctx,
            keys::{Epoch, GroupName, HostName, ModelName},
        },
        check,
        drain::Over,
        drive::{Basis, Driver, World},
        plan::{Allowance, Picture, Wanted},
        upgrade,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The picture that a driver plans by.
pub(super) fn draw(ctx: &Ctx, world: &World, driver: &Driver, basis: &Basis) -> Picture {
    let record = &basis.record;
    let hosts = check::engines(world.hosts, driver.domain()).map(|host| {
        let name = &host.entry.host;
        let condition = driver.steadiness.condition(ctx.now, name, host.health);
        (name.clone(), condition)
    });
    Picture {
        wanted: wanted(world.view, record),
        hosts: hosts.collect(),
        warm: driver.runners.warm(),
        loaded: loaded(driver, record),
        emptied: emptied(driver, record),
        drained: drained(world, driver, record),
        allowance: allowance(ctx, world, record),
        policy: Default::default(),
        floor: driver
            .runners
            .highest()
            .max(basis.revision.0)
            .max(driver.fence().0),
    }
}

/// The placements of a record that get no new work.
pub(super) fn over(record: &Placement) -> Vec<Over> {
    ended(record)
        .into_iter()
        .map(|(group, epoch, _)| Over {
            group: group.clone(),
            epoch,
        })
        .collect()
}

/// The groups wanted in a record's domain, with their models' defaults.
fn wanted(view: &View, record: &Placement) -> BTreeMap<GroupName, Wanted> {
    let mut wanted = BTreeMap::new();
    for spec in view.groups().map(|v| &v.record) {
        if spec.domain != record.domain {
            continue;
        }
        let (Some(model), Some(size)) = (view.model(&spec.model), check::size_of(view, spec))
        else {
            continue;
        };
        let placed = record.groups.get(&spec.name);
        let entry = Wanted {
            model: spec.model.clone(),
            version: upgrade::version(view, spec, model, placed),
            adapters: model.adapters.clone(),
            size,
            runs: !spec.drained && !spec.deleted,
        };
        wanted.insert(spec.name.clone(), entry);
    }
    wanted
}

fn loaded(driver: &Driver, record: &Placement) -> BTreeSet<Epoch> {
    let ready = |(group, placed): &(&GroupName, &PlacedGroup)| driver.runners.loaded(group, placed);
    let loading = loading(record);
    let ready = loading.into_iter().filter(ready);
    ready.map(|(_, placed)| placed.epoch).collect()
}

fn loading(record: &Placement) -> Vec<(&GroupName, &PlacedGroup)> {
    let mut loading = Vec::new();
    for (name, placed) in &record.groups {
        if placed.stage == Stage::Loading {
            loading.push((name, placed));
        }
        loading.extend(placed.next.iter().map(|next| (name, &**next)));
    }
    loading
}

fn emptied(driver: &Driver, record: &Placement) -> BTreeSet<Epoch> {
    let serving = record.groups.iter().filter(|(name, placed)| {
        placed.stage == Stage::Serving && driver.runners.emptied(name, placed)
    });
    serving.map(|(_, placed)| placed.epoch).collect()
}

fn drained(world: &World, driver: &Driver, record: &Placement) -> BTreeSet<Epoch> {
    let idle = |(_, epoch, hosts): &(&GroupName, Epoch, &Vec<HostName>)| {
        let agreed = driver.drains.agreed(*epoch);
        agreed.is_some_and(|since| driver.runners.idle(world.hosts, hosts, *epoch, since))
    };
    let ended = ended(record).into_iter().filter(idle);
    ended.map(|(_, epoch, _)| epoch).collect()
}

/// The placements that get no new work, with their hosts.
fn ended(record: &Placement) -> Vec<(&GroupName, Epoch, &Vec<HostName>)> {
    let mut ended = Vec::new();
    for (name, placed) in &record.groups {
        if placed.stage == Stage::Draining {
            ended.push((name, placed.epoch, &placed.hosts));
        }
    }
    for retiring in &record.retiring {
        ended.push((&retiring.group, retiring.epoch, &retiring.hosts));
    }
    ended
}

fn allowance(ctx: &Ctx, world: &World, record: &Placement) -> BTreeMap<ModelName, Allowance> {
    let models = world.view.models();
    models
        .map(|model| {
            let allowance = upgrade::allowance(ctx, world, record, model);
            (model.name.clone(), allowance)
        })
        .collect()
}
