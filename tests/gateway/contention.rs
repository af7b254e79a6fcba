//! Requests of different ranks and accounts that contend for the heads of a model.

use crate::{
    contention_fleet::{Figures, Outcomes, Policy, Scene, serving_heads, simulate},
    engine_heads::{model, service},
};
use hickoryledge::{
    core::{
        keys::{AccountName, HallName},
        time::{Span, Time},
    },
    gateway::{
        admission::{AdmissionClass, FullReason, Precedence, max_in_flight},
        balancer::{ChooseError, Criteria, Endpoint, View, choose},
        contention::{Contention, Request},
        fair_share::max_min_level,
        head_limits::HeadLimits,
        load::{LoadReport, Loads},
        notices::Notices,
        rank::{Rank, RankLevel},
        rank_demand::{RankDemand, slots_for},
        roster::{HostKey, Roster},
        spec::Engine,
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use std::collections::BTreeSet;

const NOW: Time = Time(60_000_000);
const SPAN: Span = Span::from_secs(12);

struct TestEnv {
    roster: Roster,
    engine: Engine,
    loads: Loads,
    rng: SmallRng,
}

impl TestEnv {
    fn new(seed: u64) -> Self {
        let (roster, engine) = serving_heads();
        Self {
            roster,
            engine,
            loads: Loads::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the heads in the order in which the balancer finds them.
    fn heads(&self) -> Vec<HostKey> {
        let groups = self.roster.groups().iter();
        groups.filter_map(|group| group.head()).collect()
    }

    fn report_load(&mut self, head: HostKey, running: u32) {
        let report = LoadReport {
            running,
            waiting: 0,
            slots: self.engine.slots,
        };
        self.loads.load_reported(head, report, NOW);
    }

    /// Sets the load of all heads.
    fn report_loads(&mut self, running: u32) {
        for head in self.heads() {
            self.report_load(head, running);
        }
    }

    fn choose(
        &mut self,
        class: AdmissionClass,
        precedence: Precedence,
    ) -> Result<Endpoint, ChooseError> {
        let criteria = Criteria {
            service: &service(),
            model: Some((&model(), &self.engine)),
            class,
            precedence,
            duration: Span::from_millis(1_500),
            remaining: Span::from_secs(8),
            hall: &HallName::from("hall"),
            tried: &[],
            unlimited: false,
        };
        let view = View {
            limits: &HeadLimits::default(),
            roster: &self.roster,
            loads: &self.loads,
            notices: &Notices::default(),
        };
        choose(view, criteria, NOW, &mut self.rng)
    }

    /// Chooses a head as it is done for a service whose requests have one rank.
    fn choose_without_ranks(&mut self, class: AdmissionClass) -> Result<HostKey, Span> {
        let loads = &self.loads;
        let slots = self.engine.slots;
        let heads = self.heads();
        let load = |head: &HostKey| loads.in_flight(*head, NOW);
        let admitted: Vec<HostKey> = heads
            .iter()
            .copied()
            .filter(|head| load(head) < max_in_flight(slots, class))
            .collect();
        let drawn = admitted.choose_multiple(&mut self.rng, 2);
        if let Some(head) = drawn.min_by_key(|head| load(head)) {
            return Ok(*head);
        }
        let excess = heads.iter().map(|head| load(head).saturating_sub(slots));
        let excess = excess.min().unwrap_or_default();
        let drain_time = self.engine.mean_request_time().times(u64::from(excess));
        let jitter = Span::from_millis(self.rng.random_range(0..1_000));
        Err(Span::from_millis(1_200).max(drain_time) + jitter)
    }

    /// Compares the choice with that for a service whose requests have one rank.
    fn assert_same_as_without_ranks(&mut self, class: AdmissionClass, precedence: Precedence) {
        let seed = self.rng.random();
        self.rng = SmallRng::seed_from_u64(seed);
        let expected = self.choose_without_ranks(class);
        self.rng = SmallRng::seed_from_u64(seed);
        let found = match self.choose(class, precedence) {
            Ok(endpoint) => Ok(endpoint.host),
            Err(ChooseError::AllFull { retry_delay, .. }) => Err(retry_delay),
            Err(error) => panic!("heads serve: {error:?}"),
        };
        assert_eq!(found, expected, "{class:?}");
    }

    /// Returns a model's request of a rank.
    fn request<'a>(
        &'a self,
        names: &'a Names,
        rank: Rank,
        account: Option<&'a AccountName>,
    ) -> Request<'a> {
        Request {
            service: &names.service,
            model: &names.model,
            engine: &self.engine,
            rank,
            account,
            prompt_tokens: 1_115,
            answer_tokens: 152,
        }
    }
}

/// Names that requests refer to.
struct Names {
    service: hickoryledge::core::keys::ServiceName,
    model: hickoryledge::core::keys::ModelName,
}

fn names() -> Names {
    Names {
        service: service(),
        model: model(),
    }
}

/// Returns the rank of a priority in a service with three.
fn rank(priority: u8) -> Rank {
    Rank::new(priority, &BTreeSet::from([0, 1, 2]))
}

fn reserve(for_ranks: u32, for_accounts: u32) -> Precedence {
    Precedence {
        for_ranks,
        for_accounts,
        ..Precedence::default()
    }
}

const CLASSES: [AdmissionClass; 3] = [
    AdmissionClass::Resumed,
    AdmissionClass::OnTime,
    AdmissionClass::Late,
];

/// A service without ranks must be served as it was before there were any, whatever the load and
/// whatever was requested before.
#[test]
fn decides_as_before_without_ranks() {
    let mut contention = Contention::default();
    let names = names();
    let one_rank = Rank::new(3, &BTreeSet::from([3]));
    for seed in 0..600 {
        let mut env = TestEnv::new(seed);
        for head in env.heads() {
            let load = env.rng.random_range(20..60);
            env.report_load(head, load);
        }
        let request = env.request(&names, one_rank, None);
        contention.record_request(&request, NOW);
        let precedence = contention.precedence(&request, 61, NOW);
        assert_eq!(precedence, Precedence::default());
        for class in CLASSES {
            env.assert_same_as_without_ranks(class, precedence);
        }
    }
}

/// While a quarter of the slots is free, no rank and no account gets less than before.
#[test]
fn decides_as_before_without_contention() {
    let mut states = 0;
    for seed in 0..600 {
        let mut env = TestEnv::new(seed);
        let heads = env.heads();
        let loads: Vec<u32> = heads
            .iter()
            .map(|_| {
                env.rng
                    .random_range(0..60)
                    .min(env.rng.random_range(20..60))
            })
            .collect();
        let taken: u32 = loads.iter().map(|load| (*load).min(env.engine.slots)).sum();
        if f64::from(taken) >= 0.75 * f64::from(env.engine.slots) * heads.len() as f64 {
            continue;
        }
        states += 1;
        for (head, load) in heads.iter().zip(loads) {
            env.report_load(*head, load);
        }
        for class in CLASSES {
            env.assert_same_as_without_ranks(class, reserve(1_000, 1_000));
        }
    }
    assert!(states > 200, "{states} states without contention");
}

/// A refusal of a request that may have run would be a failure to its caller.
#[test]
fn request_that_may_have_run_goes_on_whatever_others_need() {
    let mut env = TestEnv::new(1);
    for load in [40, 47, 50, 90] {
        env.report_loads(load);
        let chosen = env.choose(AdmissionClass::Resumed, reserve(1_000, 1_000));
        assert!(chosen.is_ok(), "{load} requests at each head");
    }
}

fn reason(refused: &Result<Endpoint, ChooseError>) -> Option<FullReason> {
    match refused {
        Err(ChooseError::AllFull { reason, .. }) => Some(*reason),
        _ => None,
    }
}

#[test]
fn refusal_names_its_reason() {
    let mut env = TestEnv::new(1);
    // Two slots and the two beyond them are free at each of 13 heads.
    env.report_loads(46);
    let mut reason_of = |class, precedence| reason(&env.choose(class, precedence));
    let on_time = AdmissionClass::OnTime;
    assert_eq!(reason_of(on_time, reserve(51, 0)), None);
    assert_eq!(reason_of(on_time, reserve(52, 0)), Some(FullReason::Rank));
    assert_eq!(
        reason_of(on_time, reserve(51, 1)),
        Some(FullReason::Account)
    );
    let late = AdmissionClass::Late;
    assert_eq!(reason_of(late, reserve(0, 0)), Some(FullReason::Late));
    env.report_loads(50);
    let full = reason(&env.choose(on_time, reserve(10, 10)));
    assert_eq!(full, Some(FullReason::Full));
}

/// The estimate of what others need may be wrong by any factor, and must still not cause refusals
/// at heads that are half empty.
#[test]
fn no_reserve_exceeds_a_quarter_of_the_slots() {
    let mut env = TestEnv::new(1);
    env.report_loads(36);
    let chosen = env.choose(AdmissionClass::OnTime, reserve(u32::MAX / 2, u32::MAX / 2));
    assert!(chosen.is_ok(), "{chosen:?}");
}

/// Slots that nobody more urgent asks for must not stay free.
#[test]
fn leaves_slots_only_while_more_urgent_ranks_ask() {
    let env = TestEnv::new(1);
    let names = names();
    let mut contention = Contention::default();
    let for_ranks = |contention: &Contention, priority, now| {
        let request = env.request(&names, rank(priority), None);
        contention.precedence(&request, 61, now).for_ranks
    };
    for _ in 0..20 {
        contention.record_request(&env.request(&names, rank(2), None), NOW);
    }
    assert_eq!(for_ranks(&contention, 2, NOW), 0);
    contention.record_request(&env.request(&names, rank(1), None), NOW);
    let for_one_rank = for_ranks(&contention, 2, NOW);
    assert!(for_one_rank > 0);
    contention.record_request(&env.request(&names, rank(0), None), NOW);
    assert!(for_ranks(&contention, 2, NOW) > for_one_rank);
    assert_eq!(for_ranks(&contention, 0, NOW), 0, "nothing is more urgent");
    let later = NOW + Span::from_secs(12);
    assert_eq!(for_ranks(&contention, 2, later), 0);
}

#[test]
fn reserve_is_no_more_than_requests_take() {
    let second = Span::from_secs(1);
    assert!(slots_for(0.2, second) <= 0.2);
    assert!(slots_for(100.0, second) < 100.0 / 4.0);
    assert_eq!(slots_for(0.0, second), 0.0);
}

/// At four times the capacity all callers come back. They are to be spread over more time than at
/// an ordinary load, and those of the most urgent rank come first.
#[test]
fn less_urgent_callers_return_later_and_over_more_time() {
    let env = TestEnv::new(1);
    let names = names();
    let mut contention = Contention::default();
    for index in 0..40 {
        for priority in [0, 1, 2] {
            let request = env.request(&names, rank(priority), None);
            contention.record_request(&request, NOW);
            if priority == 0 || (priority == 1 && index % 4 == 0) {
                contention.record_admission(&request, NOW);
            }
        }
    }
    let of = |priority| contention.precedence(&env.request(&names, rank(priority), None), 8, NOW);
    let (first, second, third) = (of(0), of(1), of(2));
    assert_eq!(first.retry_offset, Span::ZERO);
    assert_eq!(first.retry_spread, Precedence::default().retry_spread);
    assert!(second.retry_offset > first.retry_offset);
    assert!(third.retry_offset > second.retry_offset);
    assert!(second.retry_spread > first.retry_spread);
    assert!(third.retry_spread > second.retry_spread);
    assert!(third.retry_spread <= first.retry_spread.times(4));
}

#[test]
fn backlog_of_rank_without_requests_is_none() {
    let mut demand = RankDemand::default();
    assert_eq!(demand.backlog_ratio(0), 1.0);
    for _ in 0..8 {
        demand.record_request(1, NOW);
    }
    assert_eq!(demand.backlog_ratio(0), 1.0);
    assert_eq!(demand.backlog_ratio(1), 8.0);
}

#[test]
fn level_divides_capacity_by_max_min_fairness() {
    assert_eq!(max_min_level(vec![1.0, 2.0, 3.0], 6.0), None);
    assert_eq!(max_min_level(vec![1.0, 2.0, 30.0], 6.0), Some(3.0));
    assert_eq!(max_min_level(vec![4.0, 4.0], 2.0), Some(1.0));
    assert_eq!(max_min_level(Vec::new(), 2.0), None);
}

/// An account may use everything while it is alone, and leaves slots free once others can't get
/// what they ask for.
#[test]
fn account_above_share_leaves_slots_only_beside_others() {
    let env = TestEnv::new(1);
    let names = names();
    let (large, small) = (AccountName::from("large"), AccountName::from("small"));
    let mut contention = Contention::default();
    let mut now = NOW;
    let mut ask = |contention: &mut Contention, accounts: &[&AccountName]| {
        for index in 0..200 {
            now = now + Span::from_millis(50);
            for account in accounts {
                let request = env.request(&names, rank(0), Some(account));
                contention.record_request(&request, now);
                // The account asks for three times what it gets, and gets most of it.
                let is_admitted = match **account == large {
                    true => index % 3 == 0,
                    false => index % 40 == 0,
                };
                if is_admitted {
                    contention.record_admission(&request, now);
                }
            }
        }
        now
    };
    let now = ask(&mut contention, &[&large]);
    let of = |contention: &Contention, account, now| {
        let request = env.request(&names, rank(0), Some(account));
        contention.precedence(&request, 61, now).for_accounts
    };
    assert_eq!(of(&contention, &large, now), 0, "alone");
    let now = ask(&mut contention, &[&large, &small]);
    assert!(of(&contention, &large, now) > 0);
    assert_eq!(of(&contention, &small, now), 0);
}

/// An account of an urgent rank that is above its share must still come before less urgent ranks.
#[test]
fn account_above_share_leaves_no_more_than_the_next_rank_does() {
    let slots = |rate| slots_for(rate, Span::from_secs(2));
    for others in [0.0, 0.3, 0.9, 1.0] {
        for rate in [0.1, 1.0, 10.0, 100.0] {
            assert!(slots(rate * others).floor() <= slots(rate).ceil());
        }
    }
}

#[test]
fn level_follows_order_of_priorities() {
    assert_eq!(rank(0).level(), RankLevel::First);
    assert_eq!(rank(1).level(), RankLevel::Middle);
    assert_eq!(rank(2).level(), RankLevel::Last);
    assert_eq!(Rank::default().level(), RankLevel::Last);
    assert!(!Rank::new(4, &BTreeSet::from([4])).is_ranked());
    // A priority that a newer configuration has removed.
    assert_eq!(
        Rank::new(9, &BTreeSet::from([0, 1])).level(),
        RankLevel::Last
    );
}

fn scene(policy: Policy, load: f64, largest: f64) -> Scene {
    Scene {
        policy,
        daemons: 61,
        load,
        largest,
        most_urgent: 0.25,
        account_priority: None,
        seed: 3,
    }
}

fn by_rank(figures: &Figures) -> Vec<Outcomes> {
    figures.ranks.values().copied().collect()
}

/// With twice the requests that the heads can serve, each rank was refused alike, and most of what
/// was served was late.
#[test]
fn more_urgent_ranks_are_served_first_under_overload() {
    let alike = by_rank(&simulate(scene(Policy::Alike, 2.0, 0.05), SPAN));
    assert!(
        alike[0].served() < 0.6 && alike[0].on_time() < 0.3,
        "{alike:?}"
    );
    let ranked = by_rank(&simulate(scene(Policy::Ranked, 2.0, 0.05), SPAN));
    assert!(ranked[0].served() > 0.95, "{ranked:?}");
    assert!(ranked[0].on_time() > 0.7, "{ranked:?}");
    assert!(ranked[0].served() > ranked[1].served(), "{ranked:?}");
    assert!(ranked[1].served() > ranked[2].served(), "{ranked:?}");
}

/// Slots left free for more urgent ranks must not cost the service as a whole.
#[test]
fn slots_are_used_under_overload() {
    let alike = simulate(scene(Policy::Alike, 1.3, 0.05), SPAN);
    let ranked = simulate(scene(Policy::Ranked, 1.3, 0.05), SPAN);
    assert!(ranked.taken > 0.92 && ranked.taken > alike.taken - 0.06);
    assert_eq!(ranked.refused_while_free, 0);
    let on_time = |figures: &Figures| -> u32 {
        figures
            .ranks
            .values()
            .map(|outcomes| outcomes.on_time)
            .sum()
    };
    assert!(on_time(&ranked) > on_time(&alike));
}

/// Below the capacity nobody is refused for the sake of others.
#[test]
fn all_ranks_are_served_below_capacity() {
    for outcomes in by_rank(&simulate(scene(Policy::Ranked, 0.7, 0.05), SPAN)) {
        assert!(outcomes.served() > 0.99, "{outcomes:?}");
    }
}

/// Guards against reserves that hold back the most urgent rank although it is alone. Single seeds differ
/// by chance, so means are compared.
#[test]
fn most_urgent_rank_alone_uses_all_slots() {
    let seeds = 1..=8;
    let mut served = [0.0, 0.0];
    for seed in seeds.clone() {
        let ranked = Scene {
            most_urgent: 1.0,
            seed,
            ..scene(Policy::Ranked, 1.5, 0.05)
        };
        let alike = Scene {
            policy: Policy::Alike,
            ..ranked
        };
        let figures = [ranked, alike].map(|scene| simulate(scene, SPAN));
        assert!((figures[0].taken - figures[1].taken).abs() < 0.01);
        for (sum, figures) in served.iter_mut().zip(&figures) {
            *sum += by_rank(figures)[0].served() / seeds.clone().count() as f64;
        }
    }
    let [ranked, alike] = served;
    assert!(ranked > alike - 0.03, "{ranked} {alike}");
}

/// One account with 41% of the demand took as large a part of the slots, and all others were
/// refused as often as it was.
#[test]
fn small_accounts_are_served_beside_large_one() {
    let figures = simulate(scene(Policy::Ranked, 2.0, 0.41), SPAN);
    let (large, small) = (figures.accounts[&0], figures.small_accounts());
    assert!(
        small.served() > large.served() + 0.12,
        "{large:?} {small:?}"
    );
    let alike = simulate(scene(Policy::Alike, 2.0, 0.41), SPAN);
    assert!(small.served() > alike.small_accounts().served() + 0.05);
    for outcomes in figures.accounts.values() {
        assert!(outcomes.served() > 0.25 * small.served(), "{outcomes:?}");
    }
}

/// An account of the least urgent rank got nothing for as long as the overload lasted. It must get a
/// quarter of what all get.
#[test]
fn account_of_least_urgent_rank_is_not_starved() {
    for load in [2.0, 4.0] {
        let scene = Scene {
            account_priority: Some(2),
            ..scene(Policy::Ranked, load, 0.05)
        };
        let figures = simulate(scene, Span::from_secs(60));
        let (last, all) = (figures.last_account(), figures.all());
        assert!(last.served() > 0.25 * all.served(), "{last:?} {all:?}");
        assert!(last.served() < all.served(), "{last:?} {all:?}");
    }
}

/// Guards against shares judged by the sample of one daemon, which with 195 daemons holds too few
/// requests of an account. On other seeds the account is still starved, see the next test.
#[test]
fn account_of_least_urgent_rank_gets_its_part_with_exchanged_work() {
    let scene = Scene {
        daemons: 195,
        account_priority: Some(2),
        ..scene(Policy::Exchanged, 4.0, 0.05)
    };
    let figures = simulate(scene, Span::from_secs(30));
    let (last, all) = (figures.last_account(), figures.all());
    assert!(last.served() > 0.25 * all.served(), "{last:?} {all:?}");
    assert!(last.served() < all.served(), "{last:?} {all:?}");
}

/// Guards against an account that gets less than a quarter of the average of all. Fails on some seeds,
/// see KNOWN-RED.txt.
#[test]
fn account_is_not_starved_on_any_seed_with_exchanged_work() {
    for seed in 8..=12 {
        let scene = Scene {
            daemons: 195,
            account_priority: Some(2),
            seed,
            ..scene(Policy::Exchanged, 4.0, 0.05)
        };
        let figures = simulate(scene, Span::from_secs(30));
        let (last, all) = (figures.last_account(), figures.all());
        assert!(
            last.served() > 0.25 * all.served(),
            "seed {seed}: {last:?} {all:?}"
        );
    }
}

/// Guards against slots that all daemons, which have the same totals, leave free at once for accounts
/// near the level: less urgent ranks would then take them.
#[test]
fn ranks_come_first_also_with_exchanged_work() {
    let ranks = [Policy::Ranked, Policy::Exchanged]
        .map(|policy| by_rank(&simulate(scene(policy, 4.0, 1.0 / 24.0), SPAN)));
    let [ranked, exchanged] = ranks.map(|ranks| ranks[0].served());
    assert!(exchanged > ranked - 0.03, "{exchanged} {ranked}");
}
