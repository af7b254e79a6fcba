//! Stability of hosts: hysteresis against flapping.
//!
//! A host counts as lost only after it has been dead for [`REPAIR_DELAY`]. After
//! a loss it counts as a spare only after it has been back for a delay that
//! doubles with each further loss.

use super::{
    super::{
        keys::{DomainName, HostName},
        member::{Health, Hosts},
        time::{Span, Time},
    },
    check,
    plan::Condition,
};
use std::collections::BTreeMap;

/// Delay before the group of a dead host is repaired.
const REPAIR_DELAY: Span = Span::from_secs(2);

/// Time for which a host must be back after its first loss before it is chosen as a spare.
const BASE_SPARE_DELAY: Span = Span::from_secs(10);

/// Maximum number of doublings of [`BASE_SPARE_DELAY`].
const MAX_DOUBLINGS: u32 = 5;

/// Continuous uptime after which earlier losses no longer count.
const LOSS_WINDOW: Span = Span::from_secs(1_800);

/// Recent losses of one host, and the time of its last change between up and down.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostHistory {
    up: bool,
    since: Time,
    losses: u32,
}

/// Histories of the hosts of one domain.
#[derive(Debug, Default)]
pub struct Stability {
    histories: BTreeMap<HostName, HostHistory>,
}

/// Queries.
impl Stability {
    /// Returns the condition of a host with this health, for the planner.
    pub fn condition(&self, now: Time, host: &HostName, health: Health) -> Condition {
        let history = self.histories.get(host);
        let since = history.map_or(Span::ZERO, |h| now.since(h.since));
        match health {
            Health::Leaving => Condition::Leaving,
            Health::Suspect => Condition::Suspect,
            Health::Dead if since < REPAIR_DELAY => Condition::Suspect,
            Health::Dead => Condition::Lost,
            Health::Live => {
                let losses = history.map_or(0, |h| h.losses);
                if losses > 0 && since < spare_delay(losses) {
                    Condition::Ineligible
                } else {
                    Condition::Usable
                }
            }
        }
    }

    /// Returns the time since each host that is down went down.
    pub fn down_for(&self, now: Time) -> BTreeMap<HostName, Span> {
        let down = self.histories.iter().filter(|(_, history)| !history.up);
        down.map(|(host, history)| (host.clone(), now.since(history.since)))
            .collect()
    }
}

/// Commands.
impl Stability {
    /// Records which hosts of the domain are up.
    pub(super) fn on_tick(&mut self, now: Time, hosts: &Hosts, domain: &DomainName) {
        for host in check::engine_hosts(hosts, domain) {
            self.observe(now, &host.entry.host, host.health != Health::Dead);
        }
    }

    /// Records that a host is up or down.
    pub fn observe(&mut self, now: Time, host: &HostName, up: bool) {
        let Some(history) = self.histories.get_mut(host) else {
            let losses = 0;
            let since = now;
            let history = HostHistory { up, since, losses };
            self.histories.insert(host.clone(), history);
            return;
        };
        if history.up == up {
            if up && now.since(history.since) > LOSS_WINDOW {
                history.losses = 0;
            }
            return;
        }
        history.up = up;
        history.since = now;
        if !up {
            history.losses += 1;
        }
    }
}

/// Returns the time for which a host must be back before it is chosen as a spare.
fn spare_delay(losses: u32) -> Span {
    BASE_SPARE_DELAY.times(1 << losses.saturating_sub(1).min(MAX_DOUBLINGS))
}
