//! Exchange of request counts between daemons.
//!
//! With more daemons than a head has slots, each daemon sends a head so few
//! requests that the responses tell it too little. Every daemon therefore
//! reports its own requests at each head to two aggregators, which send the
//! totals to all daemons. A datagram that is lost is followed by the next. About
//! once a second the datagrams also carry the work of accounts.

pub mod choice;
pub mod estimate;
pub mod message;
pub mod tally;
pub mod work_tally;

use super::{
    account_work::{WorkCounts, WorkReport},
    changes::source,
    datagrams::{self, EncodedDigest},
    group::Group,
    head_limits::StartRates,
    load::Total,
    roster::HostKey,
    settings::LoadExchangeMode,
    state::GatewayState,
};
use crate::core::{
    keys::{Epoch, ModelName, ServiceName},
    time::Span,
};
use estimate::{SentReports, Totals, Unusable};
use message::{HeadCount, LoadDigest, LoadReport, ReportId};
use metrics::{counter, gauge, histogram};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};
use tally::Tally;
use work_tally::WorkTally;

/// A daemon's part in the exchange.
#[derive(Debug)]
pub struct LoadExchange {
    tally: RefCell<Tally>,
    work_tally: RefCell<WorkTally>,
    sent: RefCell<SentReports>,
    is_aggregator: Cell<bool>,
}

impl Default for LoadExchange {
    fn default() -> Self {
        Self {
            tally: RefCell::default(),
            work_tally: RefCell::default(),
            sent: RefCell::new(SentReports::new(rand::random())),
            is_aggregator: Cell::new(false),
        }
    }
}

/// Reports this daemon's requests, and sends the totals while it is an aggregator, for the lifetime
/// of the process.
pub async fn run(state: Rc<GatewayState>) {
    loop {
        let interval = choice::interval(state.peers.borrow().count());
        compio::time::sleep(interval.into()).await;
        let heads = covered_heads(&state);
        if heads.is_empty() {
            set_aggregator(&state, false);
            state.contention.borrow_mut().stop_reports();
            continue;
        }
        exchange(&state, &heads);
    }
}

/// Returns the heads whose load is exchanged, with the epochs of their groups.
fn covered_heads(state: &GatewayState) -> Vec<(Epoch, HostKey)> {
    let Some(table) = state.route_table() else {
        return Vec::new();
    };
    if state.settings.load_exchange == LoadExchangeMode::Off {
        return Vec::new();
    }
    // A loss of daemons must not turn the exchange off while the others get their requests.
    let daemons = state.count_daemons(state.now());
    let is_covered = |service: &ServiceName| {
        let engine = table.spec().engine(service);
        engine.is_some_and(|engine| choice::is_needed(daemons, engine.slots))
    };
    let roster = state.roster.borrow();
    let groups = roster.groups().iter();
    let covered = groups.filter(|group| is_covered(&group.service));
    let head = |group: &Group| Some((group.epoch, group.head()?));
    covered.filter_map(head).collect()
}

/// Reports to the aggregators, and sends the totals if this daemon is one.
fn exchange(state: &GatewayState, heads: &[(Epoch, HostKey)]) {
    let now = state.now();
    let counts = take_own_requests(state, heads);
    let report = state.load_exchange.sent.borrow_mut().report(counts, now);
    let work = state.contention.borrow_mut().take_report(now);
    let aggregators = choice::aggregators(&state.peers.borrow());
    let mut is_aggregator = false;
    for (name, address) in aggregators {
        if name == state.settings.name {
            is_aggregator = true;
            record(state, address, report.clone(), work.clone());
        } else {
            let datagram = datagrams::encode_report(&report, work.as_ref());
            state.outbox.send_encoded(address, datagram);
        }
    }
    set_aggregator(state, is_aggregator);
    if is_aggregator {
        send_digest(state);
    }
}

/// Takes the counts of this daemon's requests at each head.
fn take_own_requests(
    state: &GatewayState,
    heads: &[(Epoch, HostKey)],
) -> BTreeMap<Epoch, HeadCount> {
    let mut loads = state.loads.borrow_mut();
    let counts = heads.iter();
    counts
        .map(|(epoch, host)| (*epoch, loads.take_own_requests(*host)))
        .collect()
}

fn set_aggregator(state: &GatewayState, is_aggregator: bool) {
    if state.load_exchange.is_aggregator.replace(is_aggregator) != is_aggregator {
        gauge!("load_aggregator").set(f64::from(u8::from(is_aggregator)));
        slog::info!(state.log, "aggregator of load changed"; "own" => is_aggregator);
        if !is_aggregator {
            state.load_exchange.tally.take();
            state.load_exchange.work_tally.take();
        }
    }
}

/// Sends the totals to all daemons.
fn send_digest(state: &GatewayState) {
    let now = state.now();
    let peers = state.peers.borrow();
    let addresses: BTreeSet<SocketAddr> = peers
        .daemons()
        .filter_map(|(_, entry)| entry.peer)
        .collect();
    let interval = choice::interval(peers.count());
    drop(peers);
    let mut tally = state.load_exchange.tally.borrow_mut();
    let digest = tally.digest(&addresses, interval, now);
    let mut work_tally = state.load_exchange.work_tally.borrow_mut();
    let rates = work_tally.take_rates(&addresses, interval, now);
    let rates = rates.unwrap_or_default();
    let Some(encoded) = EncodedDigest::new(&digest, &rates) else {
        counter!("load_digests_unsent_total").increment(1);
        return;
    };
    for address in addresses {
        let contained = tally.contained(address);
        match state.settings.listen.peer == Some(address) {
            true => accept_digest(state, &digest, contained, encoded.work()),
            false => state.outbox.send_encoded(address, encoded.with(contained)),
        }
    }
}

/// Records a daemon's report with the work of accounts, if it carries any; that of an unknown daemon
/// is ignored.
pub(super) fn record(
    state: &GatewayState,
    from: SocketAddr,
    report: LoadReport,
    work: Option<WorkReport>,
) {
    let is_known = source::peer_at(&state.peers.borrow(), from).is_some();
    let now = state.now();
    let mut tally = state.load_exchange.tally.borrow_mut();
    let is_recorded = is_known && tally.record(from, report, now);
    if let Some(work) = work.filter(|_| is_recorded) {
        let mut work_tally = state.load_exchange.work_tally.borrow_mut();
        work_tally.record(from, work, now);
    }
    let verdict = match is_recorded {
        true => "recorded",
        false if is_known => "outdated",
        false => "unknown",
    };
    counter!("load_reports_total", "verdict" => verdict).increment(1);
}

/// Adopts the totals of an aggregator if they can be used; `own` identifies the report of this
/// daemon that they contain, and `work` is that of accounts, if they carry it.
pub(super) fn accept_digest(
    state: &GatewayState,
    digest: &LoadDigest,
    own: Option<ReportId>,
    work: Option<&WorkCounts>,
) {
    let now = state.now();
    let daemons = state.peers.borrow().count();
    let interval = choice::interval(daemons);
    let sent = state.load_exchange.sent.borrow();
    let read = sent.interpret(digest, own, daemons, interval, now);
    let verdict = match &read {
        Ok(_) => "used",
        Err(Unusable::Unmatched) => "unmatched",
        Err(Unusable::Outdated) => "outdated",
        Err(Unusable::Partial) => "partial",
    };
    counter!("load_digests_total", "verdict" => verdict).increment(1);
    let Ok(totals) = read else {
        return;
    };
    histogram!("load_digest_age_seconds").record(now.since(totals.at).as_secs_f64());
    apply_totals(state, &totals, choice::horizon(interval));
    adjust_limits(state);
    if let Some(work) = work {
        let mut contention = state.contention.borrow_mut();
        contention.add_totals(work, interval, now);
        gauge!("load_digest_accounts").set(work.len() as f64);
    }
}

/// Records the totals of all heads whose load is exchanged.
fn apply_totals(state: &GatewayState, totals: &Totals, horizon: Span) {
    let mut loads = state.loads.borrow_mut();
    for (epoch, host) in covered_heads(state) {
        let total = Total {
            load: totals.heads.get(&epoch).copied().unwrap_or_default(),
            at: totals.at,
            until: totals.until,
            horizon,
        };
        loads.total_reported(host, total);
    }
}

/// Adjusts the limits of all models, from totals that every daemon has.
fn adjust_limits(state: &GatewayState) {
    let now = state.now();
    let mut rates: BTreeMap<ModelName, StartRates> = BTreeMap::new();
    let loads = state.loads.borrow();
    for group in state.roster.borrow().groups() {
        let total = group.head().and_then(|head| loads.total(head, now));
        if let Some(total) = total {
            let sum = rates.entry(group.model.clone()).or_default();
            sum.per_s += total.load.starts_per_s;
            sum.late_per_s += total.load.late_per_s;
        }
    }
    let mut limits = state.head_limits.borrow_mut();
    for (model, rates) in rates {
        limits.observe(&model, rates, now);
        let label = model.as_str().to_owned();
        gauge!("head_limit_fraction", "model" => label).set(limits.fraction(&model));
    }
}
