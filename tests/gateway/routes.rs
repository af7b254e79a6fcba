//! Matching of requests to routes, services and accounts.

use hickoryledge::{
    core::{
        keys::{AccountName, KeyHash, ServiceName},
        time::Span,
    },
    gateway::{
        rank::Rank,
        routes::RouteTable,
        spec::{Account, Route, RouteKind, Share, Spec},
    },
};

fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Once,
        split: split
            .iter()
            .map(|(service, weight)| Share {
                service: ServiceName::from(*service),
                weight: *weight,
            })
            .collect(),
        attempts: 1,
        timeout: Span::from_secs(2),
        objective: Span::from_millis(300),
        gap: Span::ZERO,
        priority: 1,
        public: false,
        resumable: false,
    }
}

fn table() -> RouteTable {
    RouteTable::new(Spec {
        version: 3,
        routes: vec![
            route("short", "a.example", "/x/", &[("s", 1)]),
            route("long", "a.example", "/x/y/", &[("s", 1)]),
            route("other", "b.example", "/", &[("t", 90), ("u", 10)]),
        ],
        accounts: vec![Account {
            name: AccountName::from("first"),
            keys: vec![KeyHash([1; 32]), KeyHash([2; 32])],
            priority: None,
        }],
        ..Spec::default()
    })
}

#[test]
fn longest_prefix_wins() {
    let table = table();
    let name = |host, path| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x/z").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/z").as_deref(), None);
    assert_eq!(name("b.example", "/x/y/z").as_deref(), Some("other"));
    assert_eq!(name("c.example", "/x/y/z").as_deref(), None);
}

#[test]
fn services_share_route_by_weight() {
    let table = table();
    let route = table.find("b.example", "/").expect("a route");
    let service = |draw| route.pick_service(draw).map(ServiceName::as_str);
    assert_eq!(service(0.0), Some("t"));
    assert_eq!(service(0.899), Some("t"));
    assert_eq!(service(0.901), Some("u"));
    assert_eq!(service(0.999), Some("u"));
}

#[test]
fn finds_account_by_each_of_its_keys() {
    let table = table();
    let account = |byte| table.account(&KeyHash([byte; 32])).map(AccountName::as_str);
    assert_eq!(account(1), Some("first"));
    assert_eq!(account(2), Some("first"));
    assert_eq!(account(3), None);
}

fn ranked_table(routes: [(u8, &str); 2], accounts: &[Option<u8>]) -> RouteTable {
    let route = |(priority, service): (u8, &str)| Route {
        priority,
        ..route("r", "a.example", "/", &[(service, 1)])
    };
    let account = |(number, priority): (usize, &Option<u8>)| Account {
        name: AccountName::from(format!("a{number}")),
        keys: Vec::new(),
        priority: *priority,
    };
    RouteTable::new(Spec {
        routes: routes.map(route).to_vec(),
        accounts: accounts.iter().enumerate().map(account).collect(),
        ..Spec::default()
    })
}

fn rank(table: &RouteTable, route: usize, service: &str, account: Option<&str>) -> Rank {
    let route = &table.spec().routes[route];
    let account = account.map(AccountName::from);
    table.rank(&ServiceName::from(service), route, account.as_ref())
}

#[test]
fn account_priority_takes_precedence_over_that_of_route() {
    let table = ranked_table([(1, "s"), (2, "s")], &[None, Some(0)]);
    assert_eq!(rank(&table, 1, "s", None).priority(), 2);
    assert_eq!(rank(&table, 1, "s", Some("a0")).priority(), 2);
    let urgent = rank(&table, 1, "s", Some("a1"));
    assert_eq!((urgent.priority(), urgent.position()), (0, 0));
    assert_eq!(rank(&table, 1, "s", None).position(), 2);
}

/// Ranks must not change how a service is served whose requests all have the same one.
#[test]
fn ranks_count_only_within_services_where_they_differ() {
    let apart = ranked_table([(1, "s"), (2, "t")], &[None]);
    assert_eq!(rank(&apart, 0, "s", None), Rank::default());
    assert_eq!(rank(&apart, 1, "t", None), Rank::default());
    let together = ranked_table([(1, "s"), (2, "s")], &[None]);
    assert!(rank(&together, 0, "s", None).is_ranked());
    let by_account = ranked_table([(1, "s"), (1, "t")], &[None, Some(3)]);
    assert!(rank(&by_account, 0, "s", None).is_ranked());
    // All accounts have the same priority, so that those of the routes don't count.
    let overridden = ranked_table([(1, "s"), (2, "s")], &[Some(5), Some(5)]);
    assert!(!rank(&overridden, 0, "s", Some("a0")).is_ranked());
}
