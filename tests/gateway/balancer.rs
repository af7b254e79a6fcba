//! Load balancing between the runners of a service.

use crate::fleet::{Fleet, LARGE, service};
use hickoryledge::{
    core::{
        keys::{HallName, ModelName},
        time::{Span, Time},
    },
    gateway::{
        admission::{AdmissionClass, Precedence},
        balancer::{ChooseError, Criteria, Endpoint, View, choose, still_serves},
        head_limits::HeadLimits,
        load::{LoadReport, Loads, Total},
        notices::{Notices, RateLimit},
        roster::HostKey,
    },
};
use rand::{SeedableRng as _, rngs::SmallRng};
use std::collections::BTreeMap;

struct TestEnv {
    fleet: Fleet,
    loads: Loads,
    notices: Notices,
    rng: SmallRng,
    /// Expected duration of the request.
    duration: Span,
    /// True if only runners without a rate limit will do.
    unlimited: bool,
}

impl TestEnv {
    fn new(domains: usize) -> Self {
        let mut fleet = Fleet::new(domains, 11);
        fleet.run_for(Span::from_secs(40));
        Self {
            fleet,
            loads: Loads::default(),
            notices: Notices::default(),
            rng: SmallRng::seed_from_u64(1),
            duration: Span::from_millis(1_500),
            unlimited: false,
        }
    }

    fn choose(
        &mut self,
        class: AdmissionClass,
        tried: &[HostKey],
    ) -> Result<Endpoint, ChooseError> {
        let (service, model) = (service(), ModelName::from(LARGE));
        let engine = self.fleet.spec.services[0]
            .engine
            .as_ref()
            .expect("an engine");
        let criteria = Criteria {
            service: &service,
            model: Some((&model, engine)),
            class,
            precedence: Precedence::default(),
            duration: self.duration,
            remaining: Span::from_secs(8),
            hall: &HallName::from("hall"),
            tried,
            unlimited: self.unlimited,
        };
        let now = self.fleet.now;
        let view = View {
            limits: &HeadLimits::default(),
            roster: &self.fleet.roster,
            loads: &self.loads,
            notices: &self.notices,
        };
        choose(view, criteria, now, &mut self.rng)
    }

    fn heads(&self) -> Vec<HostKey> {
        let groups = self.fleet.roster.groups().iter();
        groups
            .filter(|group| group.model.as_str() == LARGE)
            .filter_map(|group| group.head())
            .collect()
    }

    fn report_load(&mut self, head: HostKey, running: u32, waiting: u32) {
        let report = LoadReport {
            running,
            waiting,
            slots: 26,
        };
        self.loads.load_reported(head, report, self.fleet.now);
    }
}

#[test]
fn chooses_less_loaded_of_two_heads() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    env.report_load(heads[0], 20, 0);
    env.report_load(heads[1], 5, 0);
    for _ in 0..20 {
        let endpoint = env
            .choose(AdmissionClass::OnTime, &[])
            .expect("an endpoint");
        assert_eq!(endpoint.host, heads[1]);
    }
}

/// When requests begin after a rest, all daemons know that nothing is in flight and expect nothing.
/// They must not meet at one head.
#[test]
fn spreads_first_requests_after_rest() {
    let mut env = TestEnv::new(4);
    let heads = env.heads();
    let total = Total {
        at: env.fleet.now,
        until: env.fleet.now + Span::from_millis(600),
        horizon: Span::from_millis(1_000),
        ..Total::default()
    };
    for head in &heads {
        env.loads.total_reported(*head, total);
    }
    let mut counts = BTreeMap::new();
    for _ in 0..400 {
        let chosen = env.choose(AdmissionClass::OnTime, &[]);
        *counts.entry(chosen.expect("a head").host).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), heads.len());
    assert!(
        counts.values().all(|count| count * heads.len() < 600),
        "{counts:?}"
    );
}

#[test]
fn never_chooses_tried_runner() {
    let mut env = TestEnv::new(1);
    let heads = env.heads();
    let outcome = env.choose(AdmissionClass::OnTime, &heads);
    assert_eq!(outcome, Err(ChooseError::NoneServing));
}

#[test]
fn refuses_at_full_head_but_resumes_there() {
    let mut env = TestEnv::new(1);
    let heads = env.heads();
    env.report_load(heads[0], 26, 4);
    let outcome = env.choose(AdmissionClass::OnTime, &[]);
    assert!(matches!(outcome, Err(ChooseError::AllFull { .. })));
    assert!(
        env.choose(AdmissionClass::Resumed, &[]).is_ok(),
        "an interrupted stream is resumed"
    );
}

#[test]
fn reserves_slots_for_requests_on_time() {
    let mut env = TestEnv::new(1);
    let heads = env.heads();
    env.report_load(heads[0], 23, 0);
    assert!(env.choose(AdmissionClass::Late, &[]).is_err());
    assert!(env.choose(AdmissionClass::OnTime, &[]).is_ok());
}

#[test]
fn chooses_slow_group_only_when_others_are_full() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    let name = env.fleet.roster.host(heads[0]).expect("known").name.clone();
    env.fleet.slow_down(&name, 5.0);
    env.report_load(heads[1], 20, 0);
    for _ in 0..20 {
        let endpoint = env
            .choose(AdmissionClass::OnTime, &[])
            .expect("an endpoint");
        assert_eq!(endpoint.host, heads[1]);
    }
    env.report_load(heads[1], 28, 0);
    let endpoint = env
        .choose(AdmissionClass::OnTime, &[])
        .expect("an endpoint");
    assert_eq!(endpoint.host, heads[0]);
}

/// At a group that works nine times slower an answer ends past its deadline. Such a request is
/// refused at once while the other groups are full, rather than run in vain; a short one still goes
/// there.
#[test]
fn refuses_request_that_only_a_slow_group_could_take_and_not_finish() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    let name = env.fleet.roster.host(heads[0]).expect("known").name.clone();
    env.fleet.slow_down(&name, 9.0);
    env.report_load(heads[1], 28, 0);
    let outcome = env.choose(AdmissionClass::OnTime, &[]);
    assert!(
        matches!(outcome, Err(ChooseError::AllFull { .. })),
        "{outcome:?}"
    );
    assert!(env.choose(AdmissionClass::Resumed, &[]).is_ok());
    env.duration = Span::from_millis(500);
    let endpoint = env
        .choose(AdmissionClass::OnTime, &[])
        .expect("an endpoint");
    assert_eq!(endpoint.host, heads[0]);
}

#[test]
fn avoids_head_whose_streams_are_silent() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    env.loads.stream_started(heads[0], env.fleet.now);
    env.report_load(heads[1], 20, 0);
    env.fleet.now = env.fleet.now + Span::from_millis(500);
    let endpoint = env
        .choose(AdmissionClass::OnTime, &[])
        .expect("an endpoint");
    assert_eq!(endpoint.host, heads[1]);
}

/// Once its streams have moved to other heads, a stalled head has none left that could show the
/// stall; only the recorded failure keeps it avoided.
#[test]
fn avoids_stalled_head_after_its_streams_ended() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    env.loads.stream_started(heads[0], env.fleet.now);
    env.report_load(heads[1], 20, 0);
    env.fleet.now = env.fleet.now + Span::from_millis(1_000);
    assert!(env.loads.is_stalled(heads[0], env.fleet.now));
    env.loads.runner_failed(heads[0], env.fleet.now);
    env.loads.stream_ended(heads[0]);
    let endpoint = env
        .choose(AdmissionClass::OnTime, &[])
        .expect("an endpoint");
    assert_eq!(endpoint.host, heads[1]);
}

#[test]
fn connect_timeout_follows_last_connect_time() {
    let mut env = TestEnv::new(1);
    let head = env.heads()[0];
    assert_eq!(env.loads.connect_timeout(head), None);
    env.loads.connected(head, Span::from_millis(2));
    assert_eq!(
        env.loads.connect_timeout(head),
        Some(Span::from_millis(150))
    );
    env.loads.connected(head, Span::from_millis(90));
    assert_eq!(
        env.loads.connect_timeout(head),
        Some(Span::from_millis(360))
    );
}

#[test]
fn group_stops_serving_once_member_is_lost() {
    let mut env = TestEnv::new(1);
    let endpoint = env
        .choose(AdmissionClass::OnTime, &[])
        .expect("an endpoint");
    assert!(still_serves(&env.fleet.roster, &endpoint));
    let member = env.fleet.members(LARGE)[2].clone();
    env.fleet.power_off(&member, false);
    env.fleet.run_for(Span::from_millis(100));
    assert!(!still_serves(&env.fleet.roster, &endpoint));
}

/// During an outage of the store, leases of healthy runners expire. Their entries are missing
/// when the store returns, until the runners write them again.
#[test]
fn head_without_entry_serves_until_reentry_time_has_passed() {
    let mut env = TestEnv::new(1);
    let head = env.fleet.members(LARGE)[0].clone();
    let now = env.fleet.now;
    env.fleet.roster.store_recovered(now);
    env.fleet.roster.mark_unlisted(&head, now);
    assert!(env.choose(AdmissionClass::OnTime, &[]).is_ok());
    env.fleet.now = Time(now.0 + 2_000_001);
    assert_eq!(
        env.choose(AdmissionClass::OnTime, &[]),
        Err(ChooseError::NoneServing)
    );
}

#[test]
fn runner_is_held_back_until_its_limit_allows_a_request() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    let now = env.fleet.now;
    let limit = RateLimit::new(1.0);
    heads.iter().for_each(|head| {
        env.notices.record_limit(*head, limit, now);
    });
    env.notices
        .hold_back(heads[0], now + Span::from_millis(400));
    for _ in 0..20 {
        let chosen = env.choose(AdmissionClass::OnTime, &[]);
        assert_ne!(chosen.expect("a head is left").host, heads[0]);
    }
    heads[1..]
        .iter()
        .for_each(|head| env.notices.hold_back(*head, now + Span::from_millis(300)));
    let wait = Span::from_millis(300);
    let refused = Err(ChooseError::HeldBack { wait });
    assert_eq!(env.choose(AdmissionClass::OnTime, &[]), refused);
    assert_eq!(env.choose(AdmissionClass::Resumed, &[]), refused);
}

// A request that was denied several permits must not go on asking one runner after the other.
#[test]
fn chooses_only_runners_without_limit_if_asked_to() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    let now = env.fleet.now;
    env.notices.record_limit(heads[0], RateLimit::new(1.0), now);
    env.unlimited = true;
    for _ in 0..20 {
        let chosen = env.choose(AdmissionClass::OnTime, &[]);
        assert_ne!(chosen.expect("a head is left").host, heads[0]);
    }
}
