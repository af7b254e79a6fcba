//! What `explain` reports of a daemon's state.

use crate::{
    entries::state,
    fleet::{self, Fleet, LARGE, service},
};
use hickoryledge::{
    core::{
        keys::{AccountName, ModelName},
        time::Span,
    },
    gateway::{
        balancer::Exclusion,
        explain::{
            explain,
            report::{Excluded, Explanation, LeavingSource, Query, Reason, Unknown},
        },
        load::{EstimateSource, LoadReport},
        notices::RateLimit,
        operator_token::OperatorToken,
        roster::{HostKey, Obstacle},
        settings::Settings,
        spec::{Account, Route, RouteKind, Share, Spec},
        state::GatewayState,
    },
};
use std::rc::Rc;

/// Returns the state of a daemon with a route to the model runners of a fleet.
fn serving_state() -> Rc<GatewayState> {
    let mut fleet = Fleet::new(3, 15);
    fleet.run_for(Span::from_secs(40));
    let route = Route {
        name: "chat".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/chat/".to_owned(),
        kind: RouteKind::Stream,
        split: vec![Share {
            service: service(),
            weight: 1,
        }],
        attempts: 2,
        timeout: Span::from_secs(8),
        objective: Span::from_millis(400),
        gap: Span::from_millis(250),
        priority: 1,
        public: false,
        resumable: true,
    };
    let account = Account {
        name: AccountName::from("first"),
        keys: Vec::new(),
        priority: Some(0),
    };
    let spec = Spec {
        routes: vec![route],
        accounts: vec![account],
        ..fleet::spec()
    };
    let state = state();
    let now = state.now();
    fleet.roster.store_recovered(now);
    *state.roster.borrow_mut() = fleet.roster;
    state.apply_spec(spec);
    state
}

fn query() -> Query {
    Query {
        host: "a.example".to_owned(),
        path: "/chat/x".to_owned(),
        account: Some(AccountName::from("first")),
        model: Some(ModelName::from(LARGE)),
        prompt_tokens: 1_000,
        answer_tokens: 100,
    }
}

fn refusal(explanation: &Explanation) -> Option<(Reason, u16)> {
    let outcomes = explanation
        .services
        .iter()
        .flat_map(|service| &service.outcomes);
    let later = outcomes.filter_map(|outcome| outcome.refusal.as_ref());
    let refusal = explanation.refusal.iter().chain(later).next()?;
    Some((refusal.reason, refusal.status))
}

/// A typing error in a query is no fault of the daemon, and must show as the refusal that a caller
/// would get.
#[test]
fn unknown_names_are_reported_as_refusals() {
    let state = serving_state();
    let explanation = explain(&state, &query());
    assert_eq!(refusal(&explanation), None);
    assert!((explanation.admitted - 1.0).abs() < 1e-9, "{explanation:?}");
    let candidates = &explanation.services[0].candidates;
    let chosen: f64 = candidates.iter().map(|one| one.probability).sum();
    assert!((chosen - 1.0).abs() < 1e-9, "{candidates:?}");
    let refused = |change: fn(&mut Query)| {
        let mut query = query();
        change(&mut query);
        refusal(&explain(&state, &query))
    };
    let no_route = Some((Reason::NoRoute, 404));
    assert_eq!(
        refused(|query| query.host = "b.example".to_owned()),
        no_route
    );
    assert_eq!(refused(|query| query.path = "/other".to_owned()), no_route);
    let no_account = Some((Reason::NoAccount, 401));
    assert_eq!(refused(|query| query.account = None), no_account);
    assert_eq!(
        refused(|query| query.account = Some("third".into())),
        no_account
    );
    let unknown_model = Some((Reason::UnknownModel, 503));
    assert_eq!(
        refused(|query| query.model = Some("other".into())),
        unknown_model
    );
    let unconfigured = explain(&crate::entries::state(), &query());
    assert_eq!(refusal(&unconfigured), Some((Reason::NotConfigured, 503)));
}

/// Without the inputs an operator sees only that a head gets nothing, and not what to mend.
#[test]
fn candidates_show_why_they_take_no_request() {
    let state = serving_state();
    let now = state.now();
    let heads: Vec<HostKey> = {
        let roster = state.roster.borrow();
        let groups = roster.groups().iter();
        let large = groups.filter(|group| group.model.as_str() == LARGE);
        large.filter_map(|group| group.head()).collect()
    };
    assert!(heads.len() > 2, "{heads:?}");
    let (paused, limited) = (heads[0], heads[1]);
    state.record_pause(paused, Span::from_secs(60));
    state.record_rate_limit(limited, RateLimit::new(3.0), now);
    heads[2..].iter().for_each(|head| {
        state.record_leaving(*head, false);
    });
    let report = LoadReport {
        running: 5,
        waiting: 1,
        slots: 26,
    };
    state.loads.borrow_mut().load_reported(limited, report, now);
    let explanation = explain(&state, &query());
    let facts = |host: HostKey| {
        let name = state
            .roster
            .borrow()
            .host(host)
            .expect("known")
            .name
            .clone();
        let mut candidates = explanation.services[0].candidates.iter();
        candidates
            .find(|facts| facts.host == name)
            .expect("described")
    };
    let excluded = Some(Excluded::Choice(Exclusion::HeldBack));
    assert_eq!(facts(paused).excluded, excluded);
    assert!(facts(paused).paused_ms > 50_000);
    for head in &heads[2..] {
        let excluded = Some(Excluded::State(Obstacle::Leaving));
        assert_eq!(facts(*head).excluded, excluded);
        assert_eq!(facts(*head).leaving, Some(LeavingSource::Response));
    }
    let limited = facts(limited);
    assert_eq!((limited.excluded, limited.probability), (None, 1.0));
    assert_eq!(
        limited.limit.as_ref().map(|limit| limit.per_second),
        Some(3.0)
    );
    assert_eq!(
        (limited.requests.others, limited.requests.source),
        (6, EstimateSource::Report)
    );
    assert!(explanation.unknown.contains(&Unknown::Permit));
}

/// A query that counted as a request, or drew from the daemon's generator, would change what it
/// explains.
#[test]
fn query_changes_no_state() {
    let state = serving_state();
    let snapshot = || {
        (
            state.rng.borrow().clone(),
            state.accepted.get(),
            format!("{:?}", state.loads.borrow()),
            format!("{:?}", state.notices.borrow()),
            format!("{:?}", state.contention.borrow()),
            format!("{:?}", state.demand.borrow()),
        )
    };
    let before = snapshot();
    (0..100).for_each(|_| {
        explain(&state, &query());
    });
    assert_eq!(snapshot(), before);
}

/// Queries answered by mistake would show the load of the system to anybody.
#[test]
fn operator_token_is_validated() {
    const SETTINGS: &str = "{name: d, hall: h, store: '127.0.0.1:4', grace_ms: 1, entries_ms: 1, \
        retry: {ratio: 0.2, slack: 1, window_s: 10}, listen: {caller: '127.0.0.1:1', \
        ready: '127.0.0.1:2', directory: '127.0.0.1:3'}";
    let parse = |token: &str| {
        let settings = Settings::parse(&format!("{SETTINGS}, operator_token: {token}}}"));
        settings.map(|settings| settings.operator_token)
    };
    let absent = Settings::parse(&format!("{SETTINGS}}}")).expect("valid settings");
    assert_eq!(absent.operator_token, None);
    for empty in ["''", "'{{Operators.Token}}'"] {
        assert_eq!(parse(empty).expect("valid settings"), None);
    }
    let token = "a token of the operators";
    let by_value = parse(&format!("'{token}'")).expect("valid settings");
    assert_eq!(by_value, OperatorToken::parse(token).ok());
    let hash = format!("'blake3:{}'", blake3::hash(token.as_bytes()));
    assert_eq!(parse(&hash).expect("valid settings"), by_value);
    for invalid in ["short", "'blake3:12'", "12"] {
        assert!(parse(invalid).is_err(), "{invalid}");
    }
}
