//! The settings' fields: what each must be, and what it is if left out.

use super::{
    Listen, Secret, Settings,
    reader::{Field, Section},
};
use crate::{
    core::{
        keys::{HallName, RegionName},
        options::Options,
        time::Span,
    },
    report::Objectives,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::Path,
    time::Duration,
};

/// The shortest secret taken, in bytes.
const MIN_SECRET: usize = 16;
/// The largest body that may be allowed, in bytes.
const MAX_BODY: u64 = 64 << 20;
/// The most open calls that may be allowed.
const MAX_CALLS: u64 = 100_000;
/// The largest body taken if the settings don't say, in bytes.
const DEFAULT_BODY: u64 = 1 << 20;
/// The most open calls if the settings don't say.
const DEFAULT_CALLS: u64 = 4_000;
/// How long a caller may stall, if the settings don't say, in milliseconds.
const DEFAULT_CALLER_MS: u64 = 10_000;
/// The longest span that an option may have, in milliseconds.
const MAX_SPAN_MS: u64 = 3_600_000;
/// The highest target; one of 1 would leave no budget to spend.
const MAX_TARGET: f64 = 0.999_999;
/// Separates the peer key from other uses of the same secret.
const PEER_KEY_CONTEXT: &str = "hickoryledge 2026 peer messages";

/// Reads the whole document; nothing if it can't be resolved.
pub(super) fn document(root: &Field, folder: &Path) -> Option<Settings> {
    let mut top = root.section()?;
    let name = top.need("name").and_then(|f| f.name());
    let site = site(&mut top);
    let listen = top.need("listen").and_then(|f| listen(&f));
    let peers = addresses(top.take("peers"));
    let platform = platform(&mut top);
    let host_list = top.need("host_list").and_then(|f| f.remote());
    let peer_key = secret(&mut top, "peer_key", folder);
    let operator_token = secret(&mut top, "operator_token", folder);
    let limits = limits(top.take("limits"));
    let options = options(top.take("options"));
    let objectives = objectives(top.take("objectives"));
    top.finish();
    let (region, hall) = site?;
    let limits = limits?;
    Some(Settings {
        name: name?.into(),
        region,
        hall,
        listen: listen?,
        peers,
        platform,
        host_list: host_list?,
        peer_key: Secret::new(blake3::derive_key(PEER_KEY_CONTEXT, peer_key?.as_bytes())),
        operator_token: Secret::new(operator_token?),
        max_body: limits.max_body,
        max_calls: limits.max_calls,
        caller_timeout: limits.caller_timeout,
        options: options?,
        objectives: objectives?,
    })
}

/// The region and hall, which must be declared.
fn site(top: &mut Section) -> Option<(RegionName, HallName)> {
    let regions = top.need("regions").map(|f| regions(&f));
    let region = top.need("region");
    let hall = top.need("hall");
    let (region, hall) = (region?, hall?);
    let (name, hall_name) = (region.name(), hall.name());
    let regions = regions?;
    let (name, hall_name) = (name?, hall_name?);
    let Some(halls) = regions.get(name) else {
        region.fault(format!("region {name:?} is not declared under regions"));
        return None;
    };
    if !halls.contains(hall_name) {
        hall.fault(format!(
            "hall {hall_name:?} is not declared in region {name:?}"
        ));
        return None;
    }
    Some((name.into(), hall_name.into()))
}

fn regions<'a>(field: &Field<'a>) -> BTreeMap<&'a str, BTreeSet<&'a str>> {
    let mut regions = BTreeMap::new();
    let mut seen = BTreeSet::new();
    let Some(mut section) = field.section() else {
        return regions;
    };
    for (region, list) in section.rest() {
        let mut halls = BTreeSet::new();
        for item in list.list() {
            let Some(hall) = item.name() else { continue };
            if !seen.insert(hall) {
                item.fault(format!("hall {hall:?} is declared twice"));
            }
            halls.insert(hall);
        }
        if halls.is_empty() {
            list.fault("must declare at least one hall");
        }
        regions.insert(region, halls);
    }
    regions
}

fn listen(field: &Field) -> Option<Listen> {
    let mut section = field.section()?;
    let mut seen = BTreeSet::new();
    let mut take = |key| {
        let field = section.need(key)?;
        let address = field.address()?;
        if address.port() != 0 && !seen.insert(address) {
            field.fault(format!("{address} is used twice"));
        }
        Some(address)
    };
    let (caller, peer, operator) = (take("caller"), take("peer"), take("operator"));
    section.finish();
    Some(Listen {
        caller: caller?,
        peer: peer?,
        operator: operator?,
    })
}

fn platform(top: &mut Section) -> Vec<SocketAddr> {
    let Some(field) = top.need("platform") else {
        return Vec::new();
    };
    let found = addresses(Some(field.clone()));
    if found.is_empty() && field.list().is_empty() {
        field.fault("must name at least one address");
    }
    found
}

fn addresses(field: Option<Field>) -> Vec<SocketAddr> {
    let mut found = Vec::new();
    for item in field.iter().flat_map(Field::list) {
        let Some(address) = item.remote() else {
            continue;
        };
        if found.contains(&address) {
            item.fault(format!("{address} is given twice"));
            continue;
        }
        found.push(address);
    }
    found
}

/// A secret, given in place or in a file of its own.
fn secret(top: &mut Section, key: &str, folder: &Path) -> Option<String> {
    let inline = top.take(key);
    let file = top.take(&format!("{key}_file"));
    let (field, text) = match (inline, file) {
        (None, None) => {
            top.missing(&format!("{key} or {key}_file"));
            return None;
        }
        (Some(_), Some(file)) => {
            file.fault(format!("can't be given together with {key}"));
            return None;
        }
        (Some(field), None) => {
            let text = field.text()?.to_owned();
            (field, text)
        }
        (None, Some(field)) => {
            let path = folder.join(field.text()?);
            match std::fs::read_to_string(&path) {
                Ok(text) => (field, text.trim().to_owned()),
                Err(error) => {
                    field.fault(format!("{}: {error}", path.display()));
                    return None;
                }
            }
        }
    };
    if text.len() < MIN_SECRET {
        field.fault(format!("must be at least {MIN_SECRET} bytes long"));
        return None;
    }
    Some(text)
}

/// Limits towards callers.
struct Limits {
    max_body: usize,
    max_calls: usize,
    caller_timeout: Duration,
}

fn limits(field: Option<Field>) -> Option<Limits> {
    let mut section = match field {
        Some(field) => Some(field.section()?),
        None => None,
    };
    let mut take = |key, high, default| match section.as_mut().and_then(|s| s.take(key)) {
        Some(field) => field.whole(1..=high),
        None => Some(default),
    };
    let max_body = take("max_body", MAX_BODY, DEFAULT_BODY);
    let max_calls = take("max_calls", MAX_CALLS, DEFAULT_CALLS);
    let caller_timeout = take("caller_timeout_ms", MAX_SPAN_MS, DEFAULT_CALLER_MS);
    if let Some(section) = section {
        section.finish();
    }
    Some(Limits {
        max_body: max_body? as usize,
        max_calls: max_calls? as usize,
        caller_timeout: Duration::from_millis(caller_timeout?),
    })
}

fn options(field: Option<Field>) -> Option<Options> {
    let mut options = Options::default();
    let Some(field) = field else {
        return Some(options);
    };
    let mut section = field.section()?;
    let spans = [
        ("lease_ms", &mut options.lease),
        ("freshness_ms", &mut options.freshness),
        ("silence_ms", &mut options.silence),
        ("deadline_ms", &mut options.deadline),
        ("grace_ms", &mut options.grace),
        ("entry_ttl_ms", &mut options.entry_ttl),
    ];
    for (key, span) in spans {
        let given = section
            .take(key)
            .and_then(|field| field.whole(1..=MAX_SPAN_MS));
        *span = given.map_or(*span, Span::from_millis);
    }
    let costs = [
        ("downtime_cost", &mut options.downtime_cost, 0.0),
        ("stranded_cost", &mut options.stranded_cost, 0.0),
        ("weight_store_gbps", &mut options.weight_store, 0.001),
    ];
    for (key, cost, low) in costs {
        let given = section.take(key).and_then(|field| field.real(low..=1e6));
        *cost = given.unwrap_or(*cost);
    }
    if let Some(percent) = section
        .take("retry_percent")
        .and_then(|field| field.whole(0..=100))
    {
        options.retry_percent = percent as u32;
    }
    if let Some(count) = section
        .take("entry_count")
        .and_then(|field| field.whole(1..=64))
    {
        options.entry_count = count as u16;
    }
    section.finish();
    Some(options)
}

fn objectives(field: Option<Field>) -> Option<Objectives> {
    let mut objectives = Objectives::default();
    let Some(field) = field else {
        return Some(objectives);
    };
    let mut section = field.section()?;
    let spans = [
        ("first_token_ms", &mut objectives.first_token),
        ("token_gap_ms", &mut objectives.token_gap),
    ];
    for (key, span) in spans {
        let given = section
            .take(key)
            .and_then(|field| field.whole(1..=MAX_SPAN_MS));
        *span = given.map_or(*span, Span::from_millis);
    }
    let targets = [
        ("first_target", &mut objectives.first_target),
        ("gap_target", &mut objectives.gap_target),
        ("whole_target", &mut objectives.whole_target),
        ("group_target", &mut objectives.group_target),
        ("accelerator_target", &mut objectives.accelerator_target),
    ];
    for (key, target) in targets {
        let given = section
            .take(key)
            .and_then(|field| field.real(0.0..=MAX_TARGET));
        *target = given.unwrap_or(*target);
    }
    section.finish();
    Some(objectives)
}
