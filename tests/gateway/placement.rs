//! Choosing the runner of a request.

use crate::fleet::{Fleet, LARGE, service};
use hickoryledge::{
    core::{
        keys::{HallName, ModelName},
        time::{Span, Time},
    },
    gateway::{
        admission::Standing,
        load::{Loads, Reported},
        placement::{Place, Shortage, Wanted, choose, still_serves},
        roster::HostKey,
    },
};
use rand::{SeedableRng as _, rngs::SmallRng};

struct TestEnv {
    fleet: Fleet,
    loads: Loads,
    rng: SmallRng,
}

impl TestEnv {
    fn new(domains: usize) -> Self {
        let mut fleet = Fleet::new(domains, 11);
        fleet.run_for(Span::from_secs(40));
        Self {
            fleet,
            loads: Loads::default(),
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn choose(&mut self, standing: Standing, tried: &[HostKey]) -> Result<Place, Shortage> {
        let (service, model) = (service(), ModelName::from(LARGE));
        let engine = self.fleet.spec.services[0]
            .engine
            .as_ref()
            .expect("an engine");
        let wanted = Wanted {
            service: &service,
            model: Some((&model, engine)),
            standing,
            hall: &HallName::from("hall"),
            tried,
        };
        let now = self.fleet.now;
        choose(&self.fleet.roster, &self.loads, wanted, now, &mut self.rng)
    }

    fn heads(&self) -> Vec<HostKey> {
        let groups = self.fleet.roster.groups().iter();
        groups
            .filter(|group| group.model.as_str() == LARGE)
            .filter_map(|group| group.head())
            .collect()
    }

    fn load(&mut self, head: HostKey, running: u32, waiting: u32) {
        let figures = Reported {
            running,
            waiting,
            slots: 26,
        };
        self.loads.reported(head, figures, self.fleet.now);
    }
}

#[test]
fn a_request_goes_to_the_less_loaded_of_two_heads() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    env.load(heads[0], 20, 0);
    env.load(heads[1], 5, 0);
    for _ in 0..20 {
        let place = env.choose(Standing::Timely, &[]).expect("a place");
        assert_eq!(place.host, heads[1]);
    }
}

#[test]
fn a_runner_is_not_tried_twice() {
    let mut env = TestEnv::new(1);
    let heads = env.heads();
    let outcome = env.choose(Standing::Timely, &heads);
    assert_eq!(outcome, Err(Shortage::NoneServing));
}

#[test]
fn an_overload_is_turned_away_at_once() {
    let mut env = TestEnv::new(1);
    let heads = env.heads();
    env.load(heads[0], 26, 4);
    let outcome = env.choose(Standing::Timely, &[]);
    assert!(matches!(outcome, Err(Shortage::AllFull { .. })));
    assert!(
        env.choose(Standing::Resumed, &[]).is_ok(),
        "a broken stream goes on"
    );
}

#[test]
fn a_late_request_leaves_places_for_timely_ones() {
    let mut env = TestEnv::new(1);
    let heads = env.heads();
    env.load(heads[0], 23, 0);
    assert!(env.choose(Standing::Late, &[]).is_err());
    assert!(env.choose(Standing::Timely, &[]).is_ok());
}

#[test]
fn a_slow_group_gets_only_what_others_have_no_place_for() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    let name = env.fleet.roster.host(heads[0]).expect("known").name.clone();
    env.fleet.slow_down(&name, 5.0);
    env.load(heads[1], 20, 0);
    for _ in 0..20 {
        let place = env.choose(Standing::Timely, &[]).expect("a place");
        assert_eq!(place.host, heads[1]);
    }
    env.load(heads[1], 28, 0);
    let place = env.choose(Standing::Timely, &[]).expect("a place");
    assert_eq!(place.host, heads[0]);
}

#[test]
fn a_head_whose_streams_are_silent_is_avoided() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    env.loads.begun(heads[0], env.fleet.now);
    env.load(heads[1], 20, 0);
    env.fleet.now = env.fleet.now + Span::from_millis(500);
    let place = env.choose(Standing::Timely, &[]).expect("a place");
    assert_eq!(place.host, heads[1]);
}

#[test]
fn a_silent_head_stays_avoided_once_its_streams_have_gone() {
    let mut env = TestEnv::new(2);
    let heads = env.heads();
    env.loads.begun(heads[0], env.fleet.now);
    env.load(heads[1], 20, 0);
    env.fleet.now = env.fleet.now + Span::from_millis(1_000);
    assert!(env.loads.stalled(heads[0], env.fleet.now));
    env.loads.failed(heads[0], env.fleet.now);
    env.loads.stopped(heads[0]);
    let place = env.choose(Standing::Timely, &[]).expect("a place");
    assert_eq!(place.host, heads[1]);
}

#[test]
fn connecting_may_take_little_longer_than_before() {
    let mut env = TestEnv::new(1);
    let head = env.heads()[0];
    assert_eq!(env.loads.connect_limit(head), None);
    env.loads.reached(head, Span::from_millis(2));
    assert_eq!(env.loads.connect_limit(head), Some(Span::from_millis(150)));
    env.loads.reached(head, Span::from_millis(90));
    assert_eq!(env.loads.connect_limit(head), Some(Span::from_millis(360)));
}

#[test]
fn a_lost_member_ends_the_wait_for_its_group() {
    let mut env = TestEnv::new(1);
    let place = env.choose(Standing::Timely, &[]).expect("a place");
    assert!(still_serves(&env.fleet.roster, &place));
    let member = env.fleet.members(LARGE)[2].clone();
    env.fleet.power_off(&member, false);
    env.fleet.run_for(Span::from_millis(100));
    assert!(!still_serves(&env.fleet.roster, &place));
}

#[test]
fn an_entry_that_lapsed_with_the_store_counts_until_it_may_come_back() {
    let mut env = TestEnv::new(1);
    let head = env.fleet.members(LARGE)[0].clone();
    let now = env.fleet.now;
    env.fleet.roster.store_recovered(now);
    env.fleet.roster.mark_unlisted(&head, now);
    assert!(env.choose(Standing::Timely, &[]).is_ok());
    env.fleet.now = Time(now.0 + 2_000_001);
    assert_eq!(
        env.choose(Standing::Timely, &[]),
        Err(Shortage::NoneServing)
    );
}
