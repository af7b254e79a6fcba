//! Steadiness of hosts: hysteresis against flapping.
//!
//! A host counts as lost only after it has been gone for a while, and as a
//! spare only after it has been back for a while; that time doubles with each
//! recent loss.

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

/// How long a dead host is waited for before its group is repaired.
const HOLD: Span = Span::from_secs(2);

/// How long a host must be back before it is chosen as a spare.
const STEADY: Span = Span::from_secs(10);

/// The most doublings of [`STEADY`].
const MAX_DOUBLINGS: u32 = 5;

/// How long without a loss until earlier ones are forgotten.
const FORGET: Span = Span::from_secs(1_800);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Course {
    up: bool,
    since: Time,
    losses: u32,
}

/// How the hosts of one domain have come and gone.
#[derive(Debug, Default)]
pub struct Stability {
    courses: BTreeMap<HostName, Course>,
}

/// Queries.
impl Stability {
    /// What the planner may do with a host of this health.
    pub fn condition(&self, now: Time, host: &HostName, health: Health) -> Condition {
        let course = self.courses.get(host);
        let since = course.map_or(Span::ZERO, |c| now.since(c.since));
        match health {
            Health::Leaving => Condition::Leaving,
            Health::Suspect => Condition::Doubtful,
            Health::Dead if since < HOLD => Condition::Doubtful,
            Health::Dead => Condition::Lost,
            Health::Live => {
                let losses = course.map_or(0, |c| c.losses);
                if losses > 0 && since < steady_after(losses) {
                    Condition::Unsteady
                } else {
                    Condition::Usable
                }
            }
        }
    }

    /// How long hosts that are down have been so.
    pub fn down_for(&self, now: Time) -> BTreeMap<HostName, Span> {
        let down = self.courses.iter().filter(|(_, course)| !course.up);
        down.map(|(host, course)| (host.clone(), now.since(course.since)))
            .collect()
    }
}

/// Commands.
impl Stability {
    /// Notes who is up.
    pub(super) fn on_round(&mut self, now: Time, hosts: &Hosts, domain: &DomainName) {
        for host in check::engines(hosts, domain) {
            self.observe(now, &host.entry.host, host.health != Health::Dead);
        }
    }

    /// Notes whether a host is up.
    pub fn observe(&mut self, now: Time, host: &HostName, up: bool) {
        let Some(course) = self.courses.get_mut(host) else {
            let losses = 0;
            let since = now;
            let course = Course { up, since, losses };
            self.courses.insert(host.clone(), course);
            return;
        };
        if course.up == up {
            if up && now.since(course.since) > FORGET {
                course.losses = 0;
            }
            return;
        }
        course.up = up;
        course.since = now;
        if !up {
            course.losses += 1;
        }
    }
}

fn steady_after(losses: u32) -> Span {
    STEADY.times(1 << losses.saturating_sub(1).min(MAX_DOUBLINGS))
}
