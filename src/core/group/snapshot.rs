//! Builds the planner's snapshot of a domain from what the duty holder knows.

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
    drain::EndedPlacement,
    driver::{Driver, DriverInputs, StoredPlacement},
    place,
    plan::{Allowance, Condition, DomainSnapshot, WantedGroup},
    repair::{Costs, Policy},
    upgrade,
};
use std::collections::{BTreeMap, BTreeSet};

/// Lower bound on the rate used to estimate load times, in gigabytes per second.
const MIN_LOAD_RATE: f64 = 0.01;

/// Builds the snapshot that a driver plans with.
pub(super) fn build(
    ctx: &Ctx,
    inputs: &DriverInputs,
    driver: &Driver,
    stored: &StoredPlacement,
) -> DomainSnapshot {
    let record = &stored.record;
    let assigned_elsewhere = assigned_elsewhere(ctx, inputs.core.view, record);
    let hosts = check::engine_hosts(inputs.core.hosts, driver.domain()).map(|host| {
        let name = &host.entry.host;
        let condition = match driver.stability.condition(ctx.now, name, host.health) {
            Condition::Usable if assigned_elsewhere.contains(name) => Condition::Ineligible,
            condition => condition,
        };
        (name.clone(), condition)
    });
    DomainSnapshot {
        wanted: wanted(inputs.core.view, record),
        hosts: hosts.collect(),
        held_weights: driver.runners.held_weights(),
        loaded: loaded(driver, record),
        unloaded: unloaded(driver, record),
        drained: drained(inputs, driver, record),
        allowance: allowance(ctx, inputs, record),
        down_for: driver.stability.down_for(ctx.now),
        accelerators: accelerators(inputs, driver),
        load_time: load_times(inputs.core.view, driver.rate()),
        costs: Costs {
            downtime: ctx.options.downtime_cost,
            stranded: ctx.options.stranded_cost,
        },
        policy: Policy::default(),
        epoch_floor: driver
            .runners
            .max_epoch()
            .max(stored.revision.0)
            .max(driver.fence().0),
    }
}

/// Returns the hosts that placement records of other domains still assign to a group, as happens
/// after a host was moved to this domain.
fn assigned_elsewhere<'a>(ctx: &Ctx, view: &'a View, record: &Placement) -> BTreeSet<&'a HostName> {
    if !ctx.options.is_enabled(Mechanism::OneGroupPerHost) {
        return BTreeSet::new();
    }
    let others = view.placements().map(|v| &v.record);
    others
        .filter(|other| other.domain != record.domain)
        .flat_map(place::assigned)
        .collect()
}

/// Returns the placements of a record that get no new work, without their hosts.
pub(super) fn ended_placements(record: &Placement) -> Vec<EndedPlacement> {
    ended(record)
        .into_iter()
        .map(|(group, epoch, _)| EndedPlacement {
            group: group.clone(),
            epoch,
        })
        .collect()
}

/// Returns the groups wanted in a record's domain, with defaults filled in from their models.
fn wanted(view: &View, record: &Placement) -> BTreeMap<GroupName, WantedGroup> {
    let mut wanted = BTreeMap::new();
    for spec in view.groups().map(|v| &v.record) {
        if spec.domain != record.domain {
            continue;
        }
        let (Some(model), Some(size)) = (view.model(&spec.model), check::group_size(view, spec))
        else {
            continue;
        };
        let placed = record.groups.get(&spec.name);
        let entry = WantedGroup {
            model: spec.model.clone(),
            version: upgrade::wanted_version(view, spec, model, placed),
            adapters: model.adapters.clone(),
            size,
            enabled: !spec.drained && !spec.deleted,
        };
        wanted.insert(spec.name.clone(), entry);
    }
    wanted
}

fn accelerators(inputs: &DriverInputs, driver: &Driver) -> BTreeMap<HostName, u16> {
    let hosts = check::engine_hosts(inputs.core.hosts, driver.domain()).map(|host| &host.entry);
    hosts
        .map(|entry| (entry.host.clone(), entry.accelerators))
        .collect()
}

/// Estimates the time that one host takes to load each model, at a rate in gigabytes per second.
fn load_times(view: &View, rate: f64) -> BTreeMap<ModelName, Span> {
    let times = view.models().map(|model| {
        let secs = f64::from(model.weights_gb) / rate.max(MIN_LOAD_RATE);
        (model.name.clone(), Span::from_millis((secs * 1e3) as u64))
    });
    times.collect()
}

fn loaded(driver: &Driver, record: &Placement) -> BTreeSet<Epoch> {
    let ready =
        |(group, placed): &(&GroupName, &PlacedGroup)| driver.runners.is_loaded(group, placed);
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

fn unloaded(driver: &Driver, record: &Placement) -> BTreeSet<Epoch> {
    let serving = record.groups.iter().filter(|(name, placed)| {
        placed.stage == Stage::Serving && driver.runners.is_unloaded(name, placed)
    });
    serving.map(|(_, placed)| placed.epoch).collect()
}

fn drained(inputs: &DriverInputs, driver: &Driver, record: &Placement) -> BTreeSet<Epoch> {
    let idle = |(_, epoch, hosts): &(&GroupName, Epoch, &Vec<HostName>)| {
        let confirmed = driver.drains.confirmed(*epoch);
        confirmed.is_some_and(|since| {
            driver
                .runners
                .is_idle(inputs.core.hosts, hosts, *epoch, since)
        })
    };
    let ended = ended(record).into_iter().filter(idle);
    ended.map(|(_, epoch, _)| epoch).collect()
}

/// Returns the placements of a record that get no new work, with their hosts.
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

fn allowance(
    ctx: &Ctx,
    inputs: &DriverInputs,
    record: &Placement,
) -> BTreeMap<ModelName, Allowance> {
    let models = inputs.core.view.models();
    models
        .map(|model| {
            let allowance = upgrade::allowance(ctx, inputs, record, model);
            (model.name.clone(), allowance)
        })
        .collect()
}
