//! Matching of requests to routes, services and accounts.

use hickoryledge::{
    core::{
        keys::{AccountName, KeyHash, ServiceName},
        time::Span,
    },
    gateway::{
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
