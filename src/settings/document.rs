//! Fields of a settings file: their types, limits and default values.
//!
//! Each function reads one part of the document. Invalid fields are reported as diagnostics and
//! reading goes on, so that one run reports all of them.

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

/// Minimum length of a secret.
const MIN_SECRET_BYTES: usize = 16;
/// Upper limit of the `max_body` setting.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Upper limit of the `max_calls` setting.
const MAX_CALLS: u64 = 100_000;
/// Default of the `max_body` setting.
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;
/// Default of the `max_calls` setting.
const DEFAULT_MAX_CALLS: u64 = 4_000;
/// Default of the `caller_timeout_ms` setting.
const DEFAULT_CALLER_TIMEOUT_MS: u64 = 10_000;
/// Upper limit of all settings in milliseconds.
const MAX_SPAN_MS: u64 = 3_600_000;
/// Upper limit of an objective's target; a target of 1 would leave no error budget.
const MAX_TARGET: f64 = 0.999_999;
/// Key derivation context that separates the peer key from other uses of the same secret.
const PEER_KEY_CONTEXT: &str = "hickoryledge 2026 peer messages";

/// Reads the entire document; returns `None` if a required setting is missing or invalid.
pub(super) fn read_settings(root: &Field, directory: &Path) -> Option<Settings> {
    let mut section = root.section()?;
    let name = section.require("name").and_then(|f| f.name());
    let location = location(&mut section);
    let listen = section.require("listen").and_then(|f| listen(&f));
    let peers = addresses(section.take("peers"));
    let platform = platform(&mut section);
    let host_list = section
        .require("host_list")
        .and_then(|f| f.remote_address());
    let peer_key = secret(&mut section, "peer_key", directory);
    let operator_token = secret(&mut section, "operator_token", directory);
    let limits = limits(section.take("limits"));
    let options = options(section.take("options"));
    let objectives = objectives(section.take("objectives"));
    section.finish();
    let (region, hall) = location?;
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

/// Reads the daemon's region and hall, which must be declared under `regions`.
fn location(section: &mut Section) -> Option<(RegionName, HallName)> {
    let regions = section.require("regions").map(|f| regions(&f));
    let region = section.require("region");
    let hall = section.require("hall");
    let (region, hall) = (region?, hall?);
    let (name, hall_name) = (region.name(), hall.name());
    let regions = regions?;
    let (name, hall_name) = (name?, hall_name?);
    let Some(halls) = regions.get(name) else {
        region.error(format!("region {name:?} is not declared under regions"));
        return None;
    };
    if !halls.contains(hall_name) {
        hall.error(format!(
            "hall {hall_name:?} is not declared in region {name:?}"
        ));
        return None;
    }
    Some((name.into(), hall_name.into()))
}

/// Reads the halls of each region; no hall may be declared twice.
fn regions<'a>(field: &Field<'a>) -> BTreeMap<&'a str, BTreeSet<&'a str>> {
    let mut regions = BTreeMap::new();
    let mut seen = BTreeSet::new();
    let Some(mut section) = field.section() else {
        return regions;
    };
    for (region, list) in section.take_rest() {
        let mut halls = BTreeSet::new();
        for item in list.list() {
            let Some(hall) = item.name() else { continue };
            if !seen.insert(hall) {
                item.error(format!("hall {hall:?} is declared twice"));
            }
            halls.insert(hall);
        }
        if halls.is_empty() {
            list.error("must declare at least one hall");
        }
        regions.insert(region, halls);
    }
    regions
}

/// Reads the listen addresses, which must differ unless the port is 0.
fn listen(field: &Field) -> Option<Listen> {
    let mut section = field.section()?;
    let mut seen = BTreeSet::new();
    let mut take = |key| {
        let field = section.require(key)?;
        let address = field.address()?;
        if address.port() != 0 && !seen.insert(address) {
            field.error(format!("{address} is used twice"));
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

/// Reads the addresses of the platform's key-value store, of which there must be at least one.
fn platform(section: &mut Section) -> Vec<SocketAddr> {
    let Some(field) = section.require("platform") else {
        return Vec::new();
    };
    let found = addresses(Some(field.clone()));
    if found.is_empty() && field.list().is_empty() {
        field.error("must name at least one address");
    }
    found
}

/// Reads a list of addresses without duplicates.
fn addresses(field: Option<Field>) -> Vec<SocketAddr> {
    let mut found = Vec::new();
    for item in field.iter().flat_map(Field::list) {
        let Some(address) = item.remote_address() else {
            continue;
        };
        if found.contains(&address) {
            item.error(format!("{address} is given twice"));
            continue;
        }
        found.push(address);
    }
    found
}

/// Reads a secret from the setting `{key}`, or from the file that `{key}_file` names.
fn secret(section: &mut Section, key: &str, directory: &Path) -> Option<String> {
    let inline = section.take(key);
    let file = section.take(&format!("{key}_file"));
    let (field, text) = match (inline, file) {
        (None, None) => {
            section.missing(&format!("{key} or {key}_file"));
            return None;
        }
        (Some(_), Some(file)) => {
            file.error(format!("can't be given together with {key}"));
            return None;
        }
        (Some(field), None) => {
            let text = field.text()?.to_owned();
            (field, text)
        }
        (None, Some(field)) => {
            let path = directory.join(field.text()?);
            match std::fs::read_to_string(&path) {
                Ok(text) => (field, text.trim().to_owned()),
                Err(error) => {
                    field.error(format!("{}: {error}", path.display()));
                    return None;
                }
            }
        }
    };
    if text.len() < MIN_SECRET_BYTES {
        field.error(format!("must be at least {MIN_SECRET_BYTES} bytes long"));
        return None;
    }
    Some(text)
}

/// Limits on callers' requests.
struct Limits {
    max_body: usize,
    max_calls: usize,
    caller_timeout: Duration,
}

/// Reads the limits on callers' requests; missing ones get their defaults.
fn limits(field: Option<Field>) -> Option<Limits> {
    let mut section = match field {
        Some(field) => Some(field.section()?),
        None => None,
    };
    let mut take = |key, max, default| match section.as_mut().and_then(|s| s.take(key)) {
        Some(field) => field.integer(1..=max),
        None => Some(default),
    };
    let max_body = take("max_body", MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES);
    let max_calls = take("max_calls", MAX_CALLS, DEFAULT_MAX_CALLS);
    let caller_timeout = take("caller_timeout_ms", MAX_SPAN_MS, DEFAULT_CALLER_TIMEOUT_MS);
    if let Some(section) = section {
        section.finish();
    }
    Some(Limits {
        max_body: max_body? as usize,
        max_calls: max_calls? as usize,
        caller_timeout: Duration::from_millis(caller_timeout?),
    })
}

/// Reads the options of the decision logic; missing ones get their defaults.
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
            .and_then(|field| field.integer(1..=MAX_SPAN_MS));
        *span = given.map_or(*span, Span::from_millis);
    }
    let costs = [
        ("downtime_cost", &mut options.downtime_cost, 0.0),
        ("stranded_cost", &mut options.stranded_cost, 0.0),
        ("weight_store_gbps", &mut options.weight_store, 0.001),
    ];
    for (key, cost, min) in costs {
        let given = section.take(key).and_then(|field| field.number(min..=1e6));
        *cost = given.unwrap_or(*cost);
    }
    if let Some(percent) = section
        .take("retry_percent")
        .and_then(|field| field.integer(0..=100))
    {
        options.retry_percent = percent as u32;
    }
    if let Some(count) = section
        .take("entry_count")
        .and_then(|field| field.integer(1..=64))
    {
        options.entry_count = count as u16;
    }
    section.finish();
    Some(options)
}

/// Reads the service-level objectives; missing ones get their defaults.
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
            .and_then(|field| field.integer(1..=MAX_SPAN_MS));
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
            .and_then(|field| field.number(0.0..=MAX_TARGET));
        *target = given.unwrap_or(*target);
    }
    section.finish();
    Some(objectives)
}
