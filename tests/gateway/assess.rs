//! What an assessment reports, against what the selection does.

use crate::fleet::{Fleet, LARGE, SMALL, service};
use hickoryledge::{
    core::{
        keys::{HallName, ModelName},
        time::Span,
    },
    gateway::{
        admission::{AdmissionClass, Precedence},
        balancer::{
            Assessment, ChooseError, Criteria, Outcome, RefusalCause, Tier, Verdict, View, assess,
            choose,
        },
        head_limits::HeadLimits,
        load::{LoadReport, Loads, Total},
        load_exchange::estimate::HeadLoad,
        notices::{Notices, RateLimit},
        roster::HostKey,
        shares::SharePart,
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use std::collections::BTreeMap;

/// Number of randomly drawn states.
const STATES: usize = 5_000;

/// Draws in each of them.
const DRAWS: usize = 4;

/// Standard deviations by which the number of choices may differ from the expected one.
const MAX_DEVIATIONS: f64 = 4.0;

/// Randomly drawn state of the runners, and a request.
struct Scene {
    loads: Loads,
    notices: Notices,
    model: Option<&'static str>,
    class: AdmissionClass,
    precedence: Precedence,
    duration: Span,
    tried: Vec<HostKey>,
    unlimited: bool,
    /// Mean number of other daemons' requests at a head.
    mean: u32,
    /// True if totals of all daemons are known.
    has_totals: bool,
    /// Fraction of the heads that want no requests.
    held_back: f64,
}

impl Scene {
    fn draw(fleet: &mut Fleet, rng: &mut SmallRng) -> Self {
        let classes = [
            AdmissionClass::OnTime,
            AdmissionClass::OnTime,
            AdmissionClass::OnTime,
            AdmissionClass::Late,
            AdmissionClass::Resumed,
        ];
        let models = [Some(LARGE), Some(SMALL), Some(SMALL), Some("other"), None];
        let heads = heads(fleet);
        let mut scene = Self {
            loads: Loads::default(),
            notices: Notices::default(),
            model: *models.choose(rng).expect("some"),
            class: *classes.choose(rng).expect("some"),
            precedence: draw_precedence(rng),
            duration: Span::from_millis(rng.random_range(100..6_000)),
            tried: heads
                .iter()
                .copied()
                .filter(|_| rng.random_bool(0.05))
                .collect(),
            unlimited: rng.random_bool(0.1),
            mean: rng.random_range(0..40),
            has_totals: rng.random_bool(0.7),
            held_back: *[0.1, 0.1, 0.1, 1.0].choose(rng).expect("some"),
        };
        let slow_fraction = *[0.0, 0.3, 0.9].choose(rng).expect("some");
        let mut slow = BTreeMap::new();
        for head in heads {
            scene.draw_head(fleet, head, rng);
            let instance = fleet.roster.host(head).expect("known").instance();
            if rng.random_bool(slow_fraction) {
                slow.insert(instance, 5.0);
            }
        }
        fleet.roster.set_slow(slow);
        scene
    }

    fn draw_head(&mut self, fleet: &Fleet, head: HostKey, rng: &mut SmallRng) {
        let now = fleet.now;
        let ago = |rng: &mut SmallRng| now - Span::from_millis(rng.random_range(0..2_500));
        let others = rng.random_range(0..=2 * self.mean);
        (0..rng.random_range(0..4)).for_each(|_| self.loads.request_started(head));
        let report = LoadReport {
            running: others,
            waiting: 0,
            slots: 26,
        };
        self.loads.load_reported(head, report, ago(rng));
        if self.has_totals && rng.random_bool(0.9) {
            let load = HeadLoad {
                others,
                starts_per_s: rng.random_range(0.0..60.0),
                ends_per_s: rng.random_range(0.0..20.0),
                ..HeadLoad::default()
            };
            let total = Total {
                load,
                at: ago(rng),
                until: now + Span::from_millis(300),
                horizon: Span::from_millis(1_000),
            };
            self.loads.total_reported(head, total);
        }
        if rng.random_bool(0.1) {
            self.loads.runner_failed(head, ago(rng));
        }
        if rng.random_bool(self.held_back) {
            self.notices.record_limit(head, RateLimit::new(2.0), now);
            self.notices.hold_back(head, now + Span::from_millis(200));
        }
        if rng.random_bool(0.1) {
            self.notices
                .record_pause(head, ago(rng) + Span::from_secs(1));
        }
    }
}

fn draw_precedence(rng: &mut SmallRng) -> Precedence {
    let ahead = rng.random_range(0.0..1.0);
    let ranked = Precedence {
        ahead,
        own: rng.random_range(0.0..=1.0 - ahead),
        for_ranks: rng.random_range(0..20),
        for_accounts: rng.random_range(0..20),
        share: rng.random_bool(0.5).then(|| draw_share(rng)),
        ..Precedence::default()
    };
    match rng.random_bool(0.5) {
        true => ranked,
        false => Precedence::default(),
    }
}

/// Returns how much of the requests of an account, and of all, is within their shares; if it is all
/// of them, it is for each account.
fn draw_share(rng: &mut SmallRng) -> SharePart {
    let mut draw = |own| SharePart {
        own,
        all: rng.random_range(0.05..0.95),
    };
    let parts = [
        draw(0.0),
        draw(0.4),
        draw(1.0),
        SharePart { own: 1.0, all: 1.0 },
    ];
    *parts.choose(rng).expect("some")
}

fn heads(fleet: &Fleet) -> Vec<HostKey> {
    let groups = fleet.roster.groups().iter();
    groups.filter_map(|group| group.head()).collect()
}

/// Choices of runners, as counted and as expected.
#[derive(Default)]
struct Tally {
    chosen: f64,
    expected: f64,
    variance: f64,
}

impl Tally {
    fn add(&mut self, is_chosen: bool, probability: f64) {
        self.chosen += f64::from(is_chosen);
        self.expected += probability;
        self.variance += probability * (1.0 - probability);
    }

    fn check(&self, subject: &str) {
        let deviation = (self.chosen - self.expected) / self.variance.sqrt();
        assert!(
            self.variance > 100.0,
            "{subject}: too few uncertain choices"
        );
        assert!(
            deviation.abs() < MAX_DEVIATIONS,
            "{subject}: {deviation} standard deviations"
        );
    }
}

/// Returns the outcome of the position that the selection is going to draw.
fn expected_outcome<'a>(
    assessment: &'a Assessment,
    criteria: &Criteria<'_>,
    mut rng: SmallRng,
) -> &'a Outcome {
    let outlook = assessment.inputs.and_then(|inputs| inputs.outlook);
    let positions = outlook.map(|outlook| match criteria.class {
        AdmissionClass::Late => outlook.last_position(),
        _ => outlook.positions(criteria.precedence),
    });
    let position = positions.map_or(0.0, |positions| positions.draw(&mut rng));
    let mut outcomes = assessment.outcomes.iter();
    let found = outcomes.find(|outcome| position <= outcome.until);
    found.expect("an outcome")
}

/// An explanation that differs from what the daemon does misleads whoever looks for a fault.
#[test]
fn assessment_agrees_with_choice_for_the_same_draw() {
    let mut fleet = Fleet::new(4, 15);
    fleet.run_for(Span::from_secs(40));
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut first, mut likeliest, mut admitted) =
        (Tally::default(), Tally::default(), Tally::default());
    let mut kinds = [0; 5];
    for _ in 0..STATES {
        let scene = Scene::draw(&mut fleet, &mut rng);
        let spec = fleet.spec.clone();
        let engine = spec.services[0].engine.as_ref().expect("an engine");
        let (service, model) = (service(), scene.model.map(ModelName::from));
        let criteria = Criteria {
            service: &service,
            model: model.as_ref().map(|model| (model, engine)),
            class: scene.class,
            precedence: scene.precedence,
            duration: scene.duration,
            remaining: Span::from_secs(8),
            hall: &HallName::from("hall"),
            tried: &scene.tried,
            unlimited: scene.unlimited,
        };
        let view = View {
            roster: &fleet.roster,
            loads: &scene.loads,
            notices: &scene.notices,
            limits: &HeadLimits::default(),
        };
        let assessment = assess(view, criteria, fleet.now);
        let total: f64 = assessment.outcomes.iter().map(|one| one.probability).sum();
        assert!((total - 1.0).abs() < 1e-9, "{assessment:?}");
        for _ in 0..DRAWS {
            let expected = expected_outcome(&assessment, &criteria, rng.clone());
            let chosen = choose(view, criteria, fleet.now, &mut rng);
            let kind = match (&expected.verdict, &chosen) {
                (Verdict::Sent { tier, runners }, Ok(endpoint)) => {
                    let total: f64 = runners.iter().map(|(_, drawn)| drawn).sum();
                    assert!((total - 1.0).abs() < 1e-9, "{assessment:?}");
                    let drawn = runners.iter().find(|(host, _)| *host == endpoint.host);
                    assert!(
                        drawn.is_some_and(|(_, drawn)| *drawn > 0.0),
                        "{assessment:?}"
                    );
                    let is = |host: HostKey| endpoint.host == host;
                    let by_probability =
                        |a: &&(HostKey, f64), b: &&(HostKey, f64)| a.1.total_cmp(&b.1);
                    let most = runners.iter().max_by(by_probability).expect("some");
                    first.add(is(runners[0].0), runners[0].1);
                    likeliest.add(is(most.0), most.1);
                    match tier {
                        Tier::Fast => 0,
                        Tier::Slow => 4,
                    }
                }
                (
                    Verdict::Refused(RefusalCause::AllFull(reason, delay)),
                    Err(ChooseError::AllFull {
                        reason: other,
                        retry_delay,
                        ..
                    }),
                ) => {
                    assert_eq!(reason, other, "{assessment:?}");
                    let is_in_range =
                        *retry_delay >= delay.min && *retry_delay <= delay.min + delay.spread;
                    assert!(is_in_range, "{retry_delay:?} {delay:?}");
                    1
                }
                (
                    Verdict::Refused(RefusalCause::HeldBack(_)),
                    Err(ChooseError::HeldBack { .. }),
                ) => 2,
                (Verdict::Refused(RefusalCause::NoneServing), Err(ChooseError::NoneServing)) => 3,
                _ => panic!("{expected:?} is expected, and not {chosen:?}"),
            };
            kinds[kind] += 1;
            admitted.add(chosen.is_ok(), assessment.admitted());
        }
    }
    assert!(kinds.iter().all(|count| *count > 100), "{kinds:?}");
    first.check("first runner");
    likeliest.check("likeliest runner");
    admitted.check("admitted");
}

/// Guards against a refusal although slow heads have room and nothing else is expected.
#[test]
fn slow_heads_take_requests_if_there_are_no_others() {
    let mut fleet = Fleet::new(4, 15);
    fleet.run_for(Span::from_secs(40));
    let mut loads = Loads::default();
    let mut slow = BTreeMap::new();
    for head in heads(&fleet) {
        let total = Total {
            load: HeadLoad::default(),
            at: fleet.now,
            until: fleet.now + Span::from_millis(300),
            horizon: Span::from_millis(1_000),
        };
        loads.total_reported(head, total);
        let instance = fleet.roster.host(head).expect("known").instance();
        slow.insert(instance, 5.0);
    }
    fleet.roster.set_slow(slow);
    let spec = fleet.spec.clone();
    let engine = spec.services[0].engine.as_ref().expect("an engine");
    let (service, model) = (service(), ModelName::from(SMALL));
    let criteria = Criteria {
        service: &service,
        model: Some((&model, engine)),
        class: AdmissionClass::OnTime,
        precedence: Precedence::default(),
        duration: Span::from_millis(500),
        remaining: Span::from_secs(8),
        hall: &HallName::from("hall"),
        tried: &[],
        unlimited: false,
    };
    let view = View {
        roster: &fleet.roster,
        loads: &loads,
        notices: &Notices::default(),
        limits: &HeadLimits::default(),
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let chosen = choose(view, criteria, fleet.now, &mut rng);
    assert!(chosen.is_ok(), "{chosen:?}");
}
