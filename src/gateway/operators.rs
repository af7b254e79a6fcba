//! Operators' entries in the store: the configuration, and the evacuations of halls.

use super::{
    adapter::Adapter,
    evacuation::{EvacuationChange, Evacuations},
    handlers::SpecHandler,
    state::GatewayState,
    watch::EntryHandler,
};
use crate::core::{
    input::{PlatformEntry, WatchEvent},
    keys::{HallName, Revision},
    metric::Metric,
    time::Time,
};
use std::{collections::BTreeMap, marker::PhantomData, rc::Rc, time::Duration};

/// Interval at which evacuations that an older copy of the store lacked are ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Handler of the operators' entries.
pub struct OperatorHandler<A> {
    state: Rc<GatewayState>,
    spec: SpecHandler<A>,
    adapter: PhantomData<A>,
}

impl<A> OperatorHandler<A>
where
    A: Adapter,
{
    /// Creates a handler that updates a gateway's state.
    pub fn new(state: Rc<GatewayState>) -> Self {
        Self {
            spec: SpecHandler::new(state.clone()),
            state,
            adapter: PhantomData,
        }
    }

    /// Decodes the hall whose evacuation a key requests; an invalid name is logged.
    fn decode(&self, key: &str) -> Option<HallName> {
        let decoded = A::decode_evacuation(key)?;
        let decoded = decoded.inspect_err(|error| {
            slog::warn!(self.state.log, "invalid evacuation ignored";
                "key" => key, "cause" => error.to_string());
        });
        decoded.ok()
    }

    /// Passes the halls of a list to the evacuations by `replace`, which returns the changes.
    fn apply_list<F>(&self, entries: &[PlatformEntry], replace: F)
    where
        F: FnOnce(&mut Evacuations, Vec<HallName>, Time) -> Vec<EvacuationChange>,
    {
        let listed = entries.iter().filter_map(|entry| self.decode(&entry.key));
        let listed = listed.collect();
        let now = self.state.now();
        let changes = replace(&mut self.state.roster.borrow_mut().evacuations, listed, now);
        self.state.record_evacuations(changes);
    }
}

impl<A> EntryHandler for OperatorHandler<A>
where
    A: Adapter,
{
    // The evacuations come first: with its first configuration a daemon becomes ready.
    fn on_list(&self, revision: Revision, entries: Vec<PlatformEntry>) {
        self.apply_list(&entries, Evacuations::replace);
        self.spec.on_list(revision, entries);
    }

    fn on_older_list(&self, revision: Revision, entries: Vec<PlatformEntry>) {
        self.apply_list(&entries, Evacuations::replace_by_older);
        self.spec.on_older_list(revision, entries);
    }

    fn on_change(&self, events: Vec<WatchEvent>) {
        let changes = events.iter().filter_map(|event| match event {
            WatchEvent::Put(entry) => self.decode(&entry.key).map(EvacuationChange::Began),
            WatchEvent::Deleted { key, .. } => self.decode(key).map(EvacuationChange::Ended),
        });
        let changes = changes.collect();
        let changes = self.state.roster.borrow_mut().evacuations.apply(changes);
        self.state.record_evacuations(changes);
        self.spec.on_change(events);
    }
}

/// Ends the evacuations that an older copy of the store lacked and that were not requested again, for
/// the lifetime of the process.
pub async fn end_kept_evacuations(state: Rc<GatewayState>) {
    loop {
        compio::time::sleep(EXPIRY_INTERVAL).await;
        let now = state.now();
        let changes = state.roster.borrow_mut().evacuations.expire(now);
        state.record_evacuations(changes);
    }
}

impl GatewayState {
    /// Logs which evacuations began and ended.
    fn record_evacuations(&self, changes: Vec<EvacuationChange>) {
        if changes.is_empty() {
            return;
        }
        let open = self.open_requests_by_hall();
        let open = |hall| open.get(hall).copied().unwrap_or_default();
        for change in &changes {
            match change {
                EvacuationChange::Began(hall) => {
                    slog::info!(self.log, "evacuation of hall began";
                        "hall" => hall.as_str(), "open" => open(hall));
                }
                EvacuationChange::Ended(hall) => {
                    slog::info!(self.log, "evacuation of hall ended";
                        "hall" => hall.as_str(), "open" => open(hall));
                    self.evacuation_ended(hall);
                }
            }
        }
        self.report_halls_without_runners();
        self.refresh_groups();
    }

    /// Logs evacuated halls in which no runner is known, once the runners were listed.
    pub(super) fn report_halls_without_runners(&self) {
        if !self.runners_listed.get() {
            return;
        }
        let mut roster = self.roster.borrow_mut();
        let mut empty = roster.evacuations.halls();
        for (_, host) in roster.hosts() {
            empty.remove(&host.runner.hall);
        }
        for hall in roster.evacuations.report_empty(empty) {
            slog::warn!(self.log, "evacuated hall has no runners"; "hall" => hall.as_str());
        }
    }

    /// Returns the number of this daemon's open requests at the runners of each hall.
    fn open_requests_by_hall(&self) -> BTreeMap<HallName, u32> {
        let (roster, loads) = (self.roster.borrow(), self.loads.borrow());
        let mut open = BTreeMap::new();
        for (key, host) in roster.hosts() {
            *open.entry(host.runner.hall.clone()).or_default() += loads.own_requests(key);
        }
        open
    }

    /// Returns the metrics of each hall; none where halls can't be evacuated.
    pub(super) fn hall_metrics(&self) -> Vec<Metric> {
        if self.settings.evacuation_ms.is_none() {
            return Vec::new();
        }
        let evacuated = self.roster.borrow().evacuations.halls();
        let mut open = self.open_requests_by_hall();
        for hall in &evacuated {
            open.entry(hall.clone()).or_default();
        }
        let metrics = open.into_iter().flat_map(|(hall, open)| {
            let is_evacuated = evacuated.contains(&hall).into();
            [
                Metric::gauge("hall_evacuated", is_evacuated).with_label("hall", &hall),
                Metric::gauge("hall_open_requests", open.into()).with_label("hall", &hall),
            ]
        });
        metrics.collect()
    }
}
