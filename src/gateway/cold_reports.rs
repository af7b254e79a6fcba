//! Records and logs what entries, responses and other daemons say of cold runners.

use super::{
    coldness::{ColdChange, ColdEntry},
    roster::HostKey,
    state::GatewayState,
};
use crate::core::{keys::HallName, time::Span};

impl GatewayState {
    /// Records what a runner's entry says of the time for which it is cold.
    pub fn record_cold_entry(&self, host: HostKey, entry: &ColdEntry) {
        let ColdChange {
            is_start,
            is_unreadable,
        } = {
            let mut notices = self.notices.borrow_mut();
            notices.coldness.record_entry(host, entry, self.now())
        };
        if is_unreadable {
            slog::warn!(self.log, "entry of runner has no valid cold time";
                "host" => self.host_name(host),
                "stated" => format!("{:?}", entry.cold_left));
        }
        if is_start {
            self.log_cold(host, "entry");
        }
    }

    /// Records the time for which a runner stays cold, as its response says; returns true if it
    /// counts as cold only since.
    pub fn record_cold_response(&self, host: HostKey, left: Span) -> bool {
        let now = self.now();
        let is_start = {
            let mut notices = self.notices.borrow_mut();
            notices.coldness.record_response(host, left, now)
        };
        if is_start {
            self.log_cold(host, "response");
        }
        is_start
    }

    /// Records the time for which a runner stays cold, as another daemon says; returns true if it
    /// counts as cold only since.
    pub fn record_cold_claim(&self, host: HostKey, left: Span) -> bool {
        let now = self.now();
        let is_start = {
            let mut notices = self.notices.borrow_mut();
            notices.coldness.record_claim(host, left, now)
        };
        if is_start {
            self.log_cold(host, "daemon");
        }
        is_start
    }

    /// Records that the evacuation of a hall has ended: its runners count as cold for the cold
    /// period of their service, until an entry written since says otherwise.
    pub fn evacuation_ended(&self, hall: &HallName) {
        let roster = self.roster.borrow();
        let affected = roster.hosts();
        let affected = affected.filter(|(_, host)| host.runner.hall == *hall);
        for (host, _) in affected {
            let is_start = {
                let mut notices = self.notices.borrow_mut();
                notices.coldness.record_evacuation_end(host, self.now())
            };
            if is_start {
                self.log_cold(host, "evacuation");
            }
        }
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
