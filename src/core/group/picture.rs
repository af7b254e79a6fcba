//! Draws the planner's picture of a domain from what its duty holder knows.

use super::{
    super::{
        config::{
            View,
            record::{PlacedGroup, Placement, Stage},
        },
        ctx::Ctx,
        keys::{Epoch, GroupName, HostName, ModelName},
        options::Mechanism,
        time::Span,
    },
    check,
    drain::Over,
    drive::{Basis, Driver, World},
    place,
    plan::{Allowance, Condition, DomainSnapshot, WantedGroup},
    repair::{Costs, Policy},
    upgrade,
};
use std::collections::{BTreeMap, BTreeSet};

/// The lowest rate that load times are estimated with, in gigabytes a second.
const MIN_RATE: f64 = 0.01;

/// The picture that a driver plans by.
pub(super) fn draw(ctx: &Ctx, world: &World, driver: &Driver, basis: &Basis) -> DomainSnapshot {
    let record = &basis.record;
    let elsewhere = elsewhere(ctx, world.site.view, record);
    let hosts = check::engines(world.site.hosts, driver.domain()).map(|host| {
        let name = &host.entry.host;
        let condition = match driver.steadiness.condition(ctx.now, name, host.health) {
            Condition::Usable if elsewhere.contains(name) => Condition::Unsteady,
            condition => condition,
        };
        (name.clone(), condition)
    });
    DomainSnapshot {
        wanted: wanted(world.site.view, record),
        hosts: hosts.collect(),
        held_weights: driver.runners.warm(),
        loaded: loaded(driver, record),
        unloaded: emptied(driver, record),
        drained: drained(world, driver, record),
        allowance: allowance(ctx, world, record),
        down_for: driver.steadiness.down_for(ctx.now),
        accelerators: accelerators(world, driver),
        load_time: load_times(world.site.view, driver.rate()),
        costs: Costs {
            downtime: ctx.options.downtime_cost,
            stranded: ctx.options.stranded_cost,
        },
        policy: Policy::default(),
        epoch_floor: driver
            .runners
            .highest()
            .max(basis.revision.0)
            .max(driver.fence().0),
    }
}

/// Hosts that the records of other domains still give to a group, as after a
/// host was moved to this domain.
fn elsewhere<'a>(ctx: &Ctx, view: &'a View, record: &Placement) -> BTreeSet<&'a HostName> {
    if !ctx.options.has(Mechanism::OneGroupPerHost) {
        return BTreeSet::new();
    }
    let others = view.placements().map(|v| &v.record);
    others
        .filter(|other| other.domain != record.domain)
        .flat_map(place::used)
        .collect()
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
fn wanted(view: &View, record: &Placement) -> BTreeMap<GroupName, WantedGroup> {
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
        let entry = WantedGroup {
            model: spec.model.clone(),
            version: upgrade::version(view, spec, model, placed),
            adapters: model.adapters.clone(),
            size,
            enabled: !spec.drained && !spec.deleted,
        };
        wanted.insert(spec.name.clone(), entry);
    }
    wanted
}

fn accelerators(world: &World, driver: &Driver) -> BTreeMap<HostName, u16> {
    let hosts = check::engines(world.site.hosts, driver.domain()).map(|host| &host.entry);
    hosts
        .map(|entry| (entry.host.clone(), entry.accelerators))
        .collect()
}

/// How long one host takes to load each model at a rate in gigabytes a second.
fn load_times(view: &View, rate: f64) -> BTreeMap<ModelName, Span> {
    let times = view.models().map(|model| {
        let secs = f64::from(model.weights_gb) / rate.max(MIN_RATE);
        (model.name.clone(), Span::from_millis((secs * 1e3) as u64))
    });
    times.collect()
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
        agreed.is_some_and(|since| driver.runners.idle(world.site.hosts, hosts, *epoch, since))
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
    let models = world.site.view.models();
    models
        .map(|model| {
            let allowance = upgrade::allowance(ctx, world, record, model);
            (model.name.clone(), allowance)
        })
        .collect()
}
