//! Delays the first groups until the runners that start together have all registered.
//!
//! Groups formed from the first half of them would leave the other half a
//! worse choice of models.

use crate::core::time::{Span, Time};

/// Period without a new runner after which all are assumed to have registered.
const QUIET_WINDOW: Span = Span::from_millis(600);

/// Maximum wait for further runners once there are requests.
const STARTUP_TIMEOUT: Span = Span::from_millis(3_000);

/// Maximum wait before the first request: many runners that start together take seconds to
/// register.
const IDLE_STARTUP_TIMEOUT: Span = Span::from_millis(6_000);

/// Wait for the registration of the runners that start together.
#[derive(Debug, Default)]
pub(super) struct StartupWait {
    started: Option<Time>,
    /// Number of known hosts at the last update.
    hosts: usize,
    /// Time at which the number of hosts last grew.
    last_growth: Time,
    is_complete: bool,
}

impl StartupWait {
    /// Records the number of known hosts and returns true once the wait is over.
    pub(super) fn update(&mut self, hosts: usize, has_traffic: bool, now: Time) -> bool {
        let started = *self.started.get_or_insert(now);
        if hosts > self.hosts {
            self.last_growth = now;
        }
        self.hosts = hosts;
        let is_quiet = hosts > 0 && now.since(self.last_growth) >= QUIET_WINDOW;
        let timeout = match has_traffic {
            true => STARTUP_TIMEOUT,
            false => IDLE_STARTUP_TIMEOUT,
        };
        self.is_complete |= is_quiet || now.since(started) >= timeout;
        self.is_complete
    }
}
