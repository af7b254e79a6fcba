//! Decoding of runner entries and of the configuration, and encoding of orders.

use hickoryledge::{
    core::{
        keys::{Epoch, GroupName, HostName, PromptPart},
        time::Span,
    },
    gateway::{
        adapter::{Adapter as _, ForwardHeaders},
        admission::AdmissionClass,
        notices::{Notice, RateLimit, Stated},
        order::Order,
        rank::RankLevel,
        roster::{MemberState, Runner},
        spec::{ColdRate, RouteKind},
    },
    platform::Platform,
};
use http::{HeaderMap, Request, Response};

const ENTRY: &str = r#"{"Service":"s","Address":"10.0.0.9:80","Zone":"hall","Version":"v1",
    "Slots":26,"State":"ready","ColdLeftMs":0,"Domain":"d1","Staged":["m"],"born":1700,
    "Models":[{"Name":"m","Version":1,"Adapters":[]}],"Seq":4,
    "group":{"Name":"g7","epoch":12,"rank":1,"State":"closing"}}"#;

fn decode_entry(text: &str) -> Option<Runner> {
    Platform::decode_runner(text).ok()
}

#[test]
fn decodes_group_membership_of_runner() {
    let runner = decode_entry(ENTRY).expect("an entry");
    let member = runner.member.expect("a member");
    assert_eq!((member.group.as_str(), member.epoch.0), ("g7", 12));
    assert_eq!((member.rank, member.state), (1, MemberState::Closing));
    assert_eq!(runner.born, 1_700);
    assert!(!runner.draining);
}

#[test]
fn rejects_invalid_runner_entries() {
    assert!(decode_entry("").is_none());
    assert!(decode_entry("[]").is_none());
    assert!(decode_entry(&ENTRY.replace("\"ready\"", "\"odd\"")).is_none());
    assert!(decode_entry(&ENTRY.replace("\"closing\"", "\"odd\"")).is_none());
    assert!(decode_entry(&ENTRY.replace("10.0.0.9:80", "nowhere")).is_none());
    assert!(decode_entry(&ENTRY.replace("1700", "\"soon\"")).is_none());
    assert!(decode_entry(&ENTRY.replace("\"Service\":\"s\",", "")).is_none());
}

#[test]
fn ignores_unknown_fields_of_entry() {
    assert!(decode_entry(&ENTRY.replace("\"Seq\":4", "\"Seq\":4,\"Later\":{}")).is_some());
}

/// Returns the time for which the runner of an entry with this value stays cold.
fn cold_left(value: &str) -> Stated<Span> {
    let field = match value {
        "" => String::new(),
        _ => format!("\"ColdLeftMs\":{value},"),
    };
    let entry = ENTRY.replace("\"ColdLeftMs\":0,", &field);
    decode_entry(&entry).expect("an entry").cold_left
}

// An entry that counted as invalid as a whole would take the runner out of service.
#[test]
fn decodes_cold_time_of_entry() {
    let day = Span::from_secs(24 * 60 * 60);
    assert_eq!(cold_left("0"), Stated::Value(Span::ZERO));
    assert_eq!(cold_left("1500"), Stated::Value(Span::from_millis(1_500)));
    assert_eq!(cold_left("0.5"), Stated::Value(Span(500)));
    assert_eq!(cold_left("86400000"), Stated::Value(day));
    assert_eq!(cold_left(""), Stated::Absent);
    assert_eq!(cold_left("null"), Stated::Absent);
    for invalid in [
        "-1", "\"3000\"", "\"\"", "86400001", "1e300", "[]", "{}", "true",
    ] {
        assert_eq!(cold_left(invalid), Stated::Invalid, "{invalid}");
    }
}

#[test]
fn decodes_cold_time_of_response() {
    let left_of = |value| notice_of(200, "X-Cold-Ms", value).cold_left;
    assert_eq!(left_of("1500"), Stated::Value(Span::from_millis(1_500)));
    assert_eq!(left_of(" 0 "), Stated::Value(Span::ZERO));
    for invalid in ["", "-1", "soon", "NaN", "inf", "86400001", "1,2"] {
        assert_eq!(left_of(invalid), Stated::Invalid, "{invalid:?}");
    }
    assert_eq!(notice_of(200, "Date", "").cold_left, Stated::Absent);
    let response = Response::builder().header("X-Cold-Ms", "0").body(());
    let (parts, ()) = response.expect("a response").into_parts();
    let unknown = Platform::decode_response(&parts).unknown_headers;
    assert!(unknown.is_empty(), "{unknown:?}");
}

/// Decodes the cold rate of a service with these fields; none if the configuration is invalid.
fn cold_rate(fields: &str) -> Option<Option<ColdRate>> {
    let config = format!(r#"{{"Version":1,"Services":[{{"Name":"s"{fields}}}]}}"#);
    let spec = Platform::decode_spec(&config).ok()?;
    Some(spec.services[0].cold)
}

// A configuration that is invalid leaves the one before it in force.
#[test]
fn decodes_cold_rate_of_service() {
    let rate = |seconds, per_second| {
        let limit = RateLimit::new(per_second).expect("valid");
        let period = Span::from_secs(seconds);
        Some(Some(ColdRate { period, limit }))
    };
    assert_eq!(cold_rate(r#","ColdS":8,"ColdPerS":26"#), rate(8, 26.0));
    assert_eq!(cold_rate(r#","ColdPerS":0.5"#), rate(0, 0.5));
    assert_eq!(cold_rate(""), Some(None));
    assert_eq!(cold_rate(r#","ColdS":8"#), Some(None));
    assert_eq!(cold_rate(r#","ColdS":8,"ColdPerS":0"#), Some(None));
    for invalid in [
        r#","ColdS":8,"ColdPerS":-1"#,
        r#","ColdS":-1,"ColdPerS":26"#,
        r#","ColdS":86401,"ColdPerS":26"#,
        r#","ColdS":8,"ColdPerS":"26""#,
        r#","ColdS":"8","ColdPerS":26"#,
    ] {
        assert_eq!(cold_rate(invalid), None, "{invalid}");
    }
}

#[test]
fn decodes_single_service_and_split_of_route() {
    let config = r#"{"Version":3,"Routes":[
        {"Name":"a","Host":"h","Prefix":"/a/","Kind":"safe","TimeoutMs":2000,"SloMs":300,"Service":"s"},
        {"Name":"b","Host":"h","Prefix":"/b/","Kind":"unsafe","TimeoutMs":2000,
         "Split":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}]}]}"#;
    let spec = Platform::decode_spec(config).expect("a configuration");
    assert_eq!(spec.version, 3);
    assert_eq!(spec.routes[0].kind, RouteKind::Idempotent);
    assert_eq!(spec.routes[0].objective, Span::from_millis(300));
    assert_eq!(spec.routes[0].split.len(), 1);
    assert_eq!(spec.routes[1].split[1].weight, 10);
    assert!(Platform::decode_spec("{}").is_err());
}

#[test]
fn encodes_order_to_leave() {
    let order = Order::Leave {
        group: GroupName::from("g7"),
        epoch: Epoch(12),
    };
    let (path, body) = Platform::encode_order(&order);
    let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
    assert_eq!(path, "/order");
    assert_eq!(
        body,
        serde_json::json!({"Op": "leave", "group": "g7", "epoch": 12})
    );
}

// A runner's header that nobody reads may be a request to the daemons.
#[test]
fn reports_unknown_headers_of_response() {
    let response = Response::builder()
        .header("X-Server-Load", "1,0,8")
        .header("Server-News", "1")
        .body(());
    let (parts, ()) = response.expect("a response").into_parts();
    let head = Platform::decode_response(&parts);
    assert_eq!(head.unknown_headers, ["server-news"]);
}

/// Returns the notice in a response with a header.
fn notice_of(status: u16, name: &str, value: &str) -> Notice {
    let response = Response::builder().status(status).header(name, value);
    let (parts, ()) = response.body(()).expect("a response").into_parts();
    Platform::decode_response(&parts).notice
}

#[test]
fn decodes_rate_limit_of_response() {
    let limit_of = |value| notice_of(200, "Server-Limit", value).rate_limit;
    let limited = |per_second| Stated::from_valid(RateLimit::new(per_second));
    assert_eq!(limit_of("3.4"), limited(3.4));
    assert_eq!(limit_of(" 12 "), limited(12.0));
    assert_eq!(limit_of("0"), limited(0.0));
    assert_eq!(limit_of("0.2"), limited(0.2));
    assert_eq!(limit_of("1000000000000"), limited(1e12));
    for invalid in ["", "-1", "many", "NaN", "inf", "3,4"] {
        assert_eq!(limit_of(invalid), Stated::Invalid, "{invalid:?}");
    }
    assert_eq!(notice_of(200, "Date", "").rate_limit, Stated::Absent);
}

#[test]
fn decodes_pause_that_declining_runner_asks_for() {
    let pause_of = |value| notice_of(503, "Retry-After", value).pause;
    assert_eq!(pause_of("2"), Stated::Value(Span::from_secs(2)));
    assert_eq!(pause_of("0.25"), Stated::Value(Span::from_millis(250)));
    assert_eq!(pause_of("0"), Stated::Value(Span::ZERO));
    let day = Span::from_secs(24 * 60 * 60);
    assert_eq!(pause_of("1e30"), Stated::Value(day));
    for invalid in [
        "",
        "-1",
        "soon",
        "NaN",
        "inf",
        "Fri, 04 Dec 2026 08:00:00 GMT",
    ] {
        assert_eq!(pause_of(invalid), Stated::Invalid, "{invalid:?}");
    }
    assert_eq!(notice_of(200, "Retry-After", "2").pause, Stated::Absent);
}

#[test]
fn decodes_that_runner_leaves() {
    assert!(notice_of(200, "Server-Leaving", "1").is_leaving);
    assert!(notice_of(503, "Server-Leaving", " 1 ").is_leaving);
    assert!(!notice_of(200, "Server-Leaving", "0").is_leaving);
    assert!(!notice_of(200, "Server-Leaving", "").is_leaving);
}

/// Returns the parts of a prompt that a request with this header may share with others.
fn shared_parts(header: &str) -> Vec<PromptPart> {
    let request = Request::get("/").header("X-Prompt-Prefix", header);
    let (head, ()) = request.body(()).expect("a request").into_parts();
    Platform::decode_call(&head).shared_parts
}

#[test]
fn decodes_all_parts_of_prompt_but_the_last() {
    let parts = shared_parts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    assert_eq!(parts, [PromptPart(0x5c1e07a2), PromptPart(0x91bd3f06)]);
    assert_eq!(shared_parts("e4402b7d:250"), []);
    assert_eq!(shared_parts(""), []);
    let long = "0123456789abcdef0";
    let [part] = shared_parts(&format!("{long}:1,2:1"))[..] else {
        panic!("one shared part");
    };
    assert_eq!(shared_parts(&format!("{long}:7,3:1")), [part]);
    let many: String = (0..999).map(|part| format!("{part:x}:1,")).collect();
    assert!(shared_parts(&(many + "7:1")).len() <= 32);
}

/// A priority that makes no sense must not cost the account its keys, nor daemons the configuration.
#[test]
fn ignores_priority_of_account_that_is_none() {
    let priority = |text: &str| {
        let config =
            format!(r#"{{"Version":3,"Tenants":[{{"Name":"first","ApiKeys":["k"]{text}}}]}}"#);
        let spec = Platform::decode_spec(&config).expect("a configuration");
        assert_eq!(spec.accounts[0].keys.len(), 1);
        spec.accounts[0].priority
    };
    assert_eq!(priority(""), None);
    assert_eq!(priority(r#","Priority":0"#), Some(0));
    assert_eq!(priority(r#","Priority":2"#), Some(2));
    for invalid in ["null", "-1", "256", "1.5", "\"urgent\"", "[]", "{}", "true"] {
        assert_eq!(priority(&format!(r#","Priority":{invalid}"#)), None);
    }
}

/// Runners start requests in the order of their urgency: by class, then by rank. A service with one
/// rank gets the values that it had before there were ranks.
#[test]
fn urgency_follows_class_and_rank() {
    let urgency = |class, rank| {
        let mut headers = HeaderMap::new();
        let values = ForwardHeaders {
            remaining: Span::from_secs(1),
            host: &HostName::from("h"),
            account: None,
            resume_after: None,
            class,
            rank,
        };
        Platform::set_headers(&mut headers, &values);
        let value = headers.get("x-urgency").expect("a value");
        value.to_str().expect("text").to_owned()
    };
    let values = [
        AdmissionClass::Resumed,
        AdmissionClass::OnTime,
        AdmissionClass::Late,
    ]
    .map(|class| {
        [RankLevel::First, RankLevel::Middle, RankLevel::Last].map(|rank| urgency(class, rank))
    });
    assert_eq!(values, [["0", "1", "2"], ["3", "4", "5"], ["6", "7", "8"]]);
}
