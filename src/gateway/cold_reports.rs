//! Records and logs what entries, responses and other daemons say of cold runners.

use super::{
    coldness::{ColdEntry, Coldness},
    roster::HostKey,
    state::GatewayState,
};
use crate::core::{
    keys::HallName,
    time::{Span, Time},
};

impl GatewayState {
    /// Records what a runner's entry says of the time for which it is cold.
    pub fn record_cold_entry(&self, host: HostKey, entry: &ColdEntry) {
        let mut is_unreadable = false;
        self.record_cold(host, "entry", |coldness, now| {
            let change = coldness.record_entry(host, entry, now);
            is_unreadable = change.is_unreadable;
            change.is_start
        });
        if is_unreadable {
            slog::warn!(self.log, "entry of runner has no valid cold time";
                "host" => self.host_name(host),
                "stated" => format!("{:?}", entry.cold_left));
        }
    }

    /// Records the time for which a runner stays cold, as its response says; returns true if it
    /// counts as cold only since.
    pub fn record_cold_response(&self, host: HostKey, left: Span) -> bool {
        self.record_cold(host, "response", |coldness, now| {
            coldness.record_response(host, left, now)
        })
    }

    /// Records the time for which a runner stays cold, as another daemon says; returns true if it
    /// counts as cold only since.
    pub fn record_cold_claim(&self, host: HostKey, left: Span) -> bool {
        self.record_cold(host, "daemon", |coldness, now| {
            coldness.record_claim(host, left, now)
        })
    }

    /// Records that the evacuation of a hall has ended: its runners count as cold for the cold
    /// period of their service, until an entry written since says otherwise.
    pub fn evacuation_ended(&self, hall: &HallName) {
        let roster = self.roster.borrow();
        let affected = roster.hosts();
        let affected = affected.filter(|(_, host)| host.runner.hall == *hall);
        for (host, _) in affected {
            self.record_cold(host, "evacuation", |coldness, now| {
                coldness.record_evacuation_end(host, now)
            });
        }
    }

    /// Records what a source says of a runner, and logs it if the runner counts as cold only since;
    /// returns true then.
    fn record_cold<F>(&self, host: HostKey, source: &str, record: F) -> bool
    where
        F: FnOnce(&mut Coldness, Time) -> bool,
    {
        let now = self.now();
        let is_start = record(&mut self.notices.borrow_mut().coldness, now);
        if is_start {
            self.log_cold(host, source);
        }
        is_start
    }

    fn log_cold(&self, host: HostKey, source: &str) {
        let claim = {
            let notices = self.notices.borrow();
            notices.coldness.claim(host, self.now())
        };
        slog::info!(self.log, "runner counts as cold";
            "host" => self.host_name(host),
            "source" => source,
            "left_ms" => claim.map(|claim| claim.left.as_millis()));
    }
}
