//! Describes the runners that a request could go to, also those that take none now.

use super::report::{CandidateFacts, ColdFacts, Excluded, LeavingSource, LimitFacts, RequestFacts};
use crate::{
    core::time::Time,
    gateway::{
        balancer::{Assessment, Criteria, Exclusion, View},
        group::Group,
        notices::LimitReason,
        roster::{Host, HostKey, Obstacle},
    },
};
use std::collections::BTreeMap;

/// Describes the heads of a request's model, or the runners of its service if it is for none.
pub(super) fn describe(
    view: View<'_>,
    criteria: &Criteria<'_>,
    assessment: &Assessment,
    now: Time,
) -> Vec<CandidateFacts> {
    let describer = Describer {
        view,
        criteria,
        chosen: assessment.chosen(),
        left_out: assessment.left_out.iter().copied().collect(),
        now,
    };
    let mut facts = match criteria.model {
        Some(_) => describer.heads(),
        None => describer.plain_runners(),
    };
    facts.sort_by(|a, b| {
        let by_probability = b.probability.total_cmp(&a.probability);
        by_probability.then_with(|| a.host.cmp(&b.host))
    });
    facts
}

/// Inputs for the descriptions of candidates.
struct Describer<'a> {
    view: View<'a>,
    criteria: &'a Criteria<'a>,
    /// Probability of each runner to be chosen.
    chosen: BTreeMap<HostKey, f64>,
    left_out: BTreeMap<HostKey, Exclusion>,
    now: Time,
}

impl Describer<'_> {
    fn heads(&self) -> Vec<CandidateFacts> {
        let roster = self.view.roster;
        let model = self.criteria.model.map(|(model, _)| model);
        let groups = model.into_iter();
        let groups = groups.flat_map(|model| roster.groups_of(self.criteria.service, model));
        let described = groups.filter_map(|group| {
            let key = group.head()?;
            let obstacle = roster.group_obstacle(group, self.now);
            let facts = self.facts(key, roster.host(key)?, obstacle);
            Some(self.with_group(facts, group))
        });
        described.collect()
    }

    fn plain_runners(&self) -> Vec<CandidateFacts> {
        let roster = self.view.roster;
        let runners = roster.runners_of(self.criteria.service);
        let described = runners.map(|(key, host)| {
            let obstacle = roster.host_obstacle(host, self.now);
            self.facts(key, host, obstacle)
        });
        described.collect()
    }

    fn with_group(&self, facts: CandidateFacts, group: &Group) -> CandidateFacts {
        let engine = self.criteria.model.map(|(_, engine)| engine);
        CandidateFacts {
            group: Some(group.name.clone()),
            epoch: Some(group.epoch),
            slots: engine.map_or(facts.slots, |engine| engine.slots),
            slowdown: self.view.roster.group_slowdown(group),
            ..facts
        }
    }

    fn facts(&self, key: HostKey, host: &Host, obstacle: Option<Obstacle>) -> CandidateFacts {
        let hold_times = self.view.notices.hold_times(key, self.now);
        let unlisted = host.unlisted_since;
        CandidateFacts {
            host: host.name.clone(),
            hall: host.runner.hall.clone(),
            group: None,
            epoch: None,
            probability: self.chosen.get(&key).copied().unwrap_or_default(),
            excluded: self.excluded(key, obstacle),
            requests: self.requests(key),
            slots: host.runner.slots,
            slowdown: 1.0,
            limit: self.limit(key),
            cold: self.cold(key),
            paused_ms: hold_times.paused.as_millis(),
            held_ms: hold_times.limited.as_millis(),
            backoff_ms: self.view.loads.backoff(key, self.now).as_millis(),
            stalled: self.view.loads.is_stalled(key, self.now),
            leaving: leaving(host),
            evacuated: self.view.roster.is_evacuated(host),
            unreachable: host.is_unreachable(),
            unlisted_ms: unlisted.map(|since| self.age_ms(since)),
        }
    }

    fn excluded(&self, key: HostKey, obstacle: Option<Obstacle>) -> Option<Excluded> {
        let left_out = self.left_out.get(&key);
        let by_choice = left_out.copied().map(Excluded::Choice);
        obstacle.map(Excluded::State).or(by_choice)
    }

    fn requests(&self, key: HostKey) -> RequestFacts {
        let estimate = self.view.loads.estimate(key, self.now);
        RequestFacts {
            own: estimate.own,
            others: estimate.others,
            source: estimate.source,
            age_ms: estimate.stated_at.map(|at| self.age_ms(at)),
        }
    }

    fn limit(&self, key: HostKey) -> Option<LimitFacts> {
        let notices = self.view.notices;
        let limit = notices.limit(key, self.now)?;
        let is_cold = limit.reason == LimitReason::Cold;
        Some(LimitFacts {
            per_second: limit.rate.per_second(),
            is_cold,
            age_ms: (!is_cold).then(|| notices.age(key, self.now).as_millis()),
        })
    }

    fn cold(&self, key: HostKey) -> Option<ColdFacts> {
        let cold = self.view.notices.coldness.cold_time(key, self.now)?;
        Some(ColdFacts {
            left_ms: cold.until.since(self.now).as_millis(),
            source: cold.source,
            age_ms: self.age_ms(cold.heard_at),
        })
    }

    fn age_ms(&self, at: Time) -> u64 {
        self.now.since(at).as_millis()
    }
}

fn leaving(host: &Host) -> Option<LeavingSource> {
    match host {
        _ if host.runner.draining => Some(LeavingSource::Entry),
        _ if host.says_leaving() => Some(LeavingSource::Response),
        _ => None,
    }
}
