//! Which runners count as cold.

use hickoryledge::{
    core::{
        keys::{Epoch, Revision, ServiceName},
        time::{Span, Time},
    },
    gateway::{
        coldness::{ColdChange, ColdEntry, Coldness, EntrySource, cold_time},
        notices::{AppliedLimit, LimitReason, Notices, RateLimit},
        roster::HostKey,
        spec::{ColdRate, Service, Spec},
        stated::Stated,
    },
};
use slotmap::SlotMap;

/// Cold period of the service.
const PERIOD: Span = Span::from_secs(10);

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("valid")
}

fn service() -> ServiceName {
    ServiceName::from("engines")
}

/// Returns a configuration with one service, whose runners may be cold or not.
fn spec(may_be_cold: bool) -> Spec {
    let cold = ColdRate {
        period: PERIOD,
        limit: limit(26.0),
    };
    Spec {
        version: 1,
        services: vec![Service {
            name: service(),
            max_connections: 300,
            engine: None,
            cold: may_be_cold.then_some(cold),
        }],
        ..Spec::default()
    }
}

/// One runner of a service with a cold rate.
struct TestEnv {
    hosts: SlotMap<HostKey, ()>,
    host: HostKey,
    coldness: Coldness,
    revision: i64,
}

impl TestEnv {
    fn new() -> Self {
        let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
        let host = hosts.insert(());
        let mut coldness = Coldness::default();
        coldness.configure(&spec(true));
        Self {
            hosts,
            host,
            coldness,
            revision: 0,
        }
    }

    /// Creates a runner that was listed first and isn't cold.
    fn listed() -> Self {
        let mut env = Self::new();
        env.record(Stated::Value(Span::ZERO), EntrySource::FirstList, at(0));
        env
    }

    /// Records a new entry of the runner.
    fn record(&mut self, cold_left: Stated<Span>, source: EntrySource, now: Time) -> ColdChange {
        self.record_open(cold_left, None, source, now)
    }

    fn record_open(
        &mut self,
        cold_left: Stated<Span>,
        open_epoch: Option<Epoch>,
        source: EntrySource,
        now: Time,
    ) -> ColdChange {
        self.revision += 1;
        let entry = ColdEntry {
            service: service(),
            cold_left,
            open_epoch,
            revision: Revision(self.revision),
            source,
        };
        self.coldness.record_entry(self.host, &entry, now)
    }

    /// Records a new entry with a cold time.
    fn put(&mut self, left_ms: u64, now: Time) -> ColdChange {
        let left = Stated::Value(Span::from_millis(left_ms));
        self.record(left, EntrySource::Current, now)
    }

    fn is_cold(&self, now: Time) -> bool {
        self.coldness.is_cold(self.host, now)
    }
}

#[test]
fn cold_time_is_finite_and_a_day_at_most() {
    assert_eq!(cold_time(0.0), Some(Span::ZERO));
    assert_eq!(cold_time(1_500.5), Some(Span(1_500_500)));
    assert_eq!(cold_time(86_400_000.0), Some(Span::from_secs(86_400)));
    for invalid in [86_400_001.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
        assert_eq!(cold_time(invalid), None, "{invalid}");
    }
}

#[test]
fn runner_is_cold_until_the_time_in_its_entry() {
    let mut env = TestEnv::listed();
    assert!(env.put(3_000, at(1_000)).is_start);
    assert_eq!(env.coldness.limit(env.host, at(3_999)), Some(limit(26.0)));
    assert!(!env.is_cold(at(4_000)));
    assert!(!env.put(0, at(5_000)).is_start);
}

// A runner may become cold at any moment, without a new start.
#[test]
fn runner_becomes_cold_again_when_its_cold_time_rises() {
    let mut env = TestEnv::listed();
    env.put(3_000, at(1_000));
    env.put(0, at(2_200));
    assert!(!env.is_cold(at(2_200)));
    assert!(env.put(9_000, at(3_400)).is_start);
    assert!(env.is_cold(at(12_399)));
}

#[test]
fn runners_of_service_without_cold_rate_are_never_cold() {
    let mut env = TestEnv::listed();
    env.put(3_000, at(1_000));
    env.coldness.configure(&spec(false));
    assert!(!env.is_cold(at(1_000)));
    assert_eq!(env.coldness.claim(env.host, at(1_000)), None);
    let unreadable = env.record(Stated::Invalid, EntrySource::Current, at(1_100));
    assert!(!unreadable.is_unreadable);
}

// After a gap in the watch the entries are listed again, which would otherwise count from then.
#[test]
fn entry_that_is_read_twice_does_not_prolong_the_cold_time() {
    let mut env = TestEnv::listed();
    env.put(3_000, at(1_000));
    env.revision -= 1;
    env.put(3_000, at(3_000));
    assert!(!env.is_cold(at(4_000)));
}

#[test]
fn new_instance_that_states_nothing_is_cold_for_the_cold_period() {
    let mut env = TestEnv::new();
    let first = env.record(Stated::Absent, EntrySource::Current, at(1_000));
    assert!(first.is_start);
    env.record(Stated::Absent, EntrySource::Current, at(2_000));
    assert!(env.is_cold(at(10_999)));
    assert!(!env.is_cold(at(11_000)));
}

#[test]
fn new_instance_is_not_cold_if_an_entry_says_so() {
    let mut env = TestEnv::new();
    env.record(Stated::Absent, EntrySource::Current, at(1_000));
    env.put(0, at(1_100));
    assert!(!env.is_cold(at(1_100)));
    let mut other = TestEnv::new();
    assert!(!other.put(0, at(1_000)).is_start);
}

// All runners of a deployment that starts would otherwise be limited although none is cold.
#[test]
fn instance_in_the_first_list_is_not_presumed_to_be_cold() {
    let mut env = TestEnv::new();
    env.record(Stated::Absent, EntrySource::FirstList, at(1_000));
    assert!(!env.is_cold(at(1_000)));
    let mut stated = TestEnv::new();
    let left = Stated::Value(Span::from_secs(3));
    stated.record(left, EntrySource::FirstList, at(1_000));
    assert!(stated.is_cold(at(1_000)));
}

#[test]
fn restarted_runner_is_cold_although_the_earlier_run_was_not() {
    let mut env = TestEnv::listed();
    env.hosts.remove(env.host);
    env.host = env.hosts.insert(());
    env.record(Stated::Absent, EntrySource::Current, at(1_000));
    assert!(env.is_cold(at(1_000)));
}

#[test]
fn value_that_cannot_be_read_changes_nothing_and_is_reported_once() {
    let mut env = TestEnv::listed();
    env.put(3_000, at(1_000));
    let first = env.record(Stated::Invalid, EntrySource::Current, at(2_000));
    let second = env.record(Stated::Absent, EntrySource::Current, at(3_000));
    assert!(first.is_unreadable && !second.is_unreadable);
    assert!(env.is_cold(at(3_999)) && !env.is_cold(at(4_000)));
    env.put(0, at(5_000));
    let again = env.record(Stated::Invalid, EntrySource::Current, at(6_000));
    assert!(again.is_unreadable);
}

// An older copy of the store may lack the start of a cold time.
#[test]
fn list_from_older_copy_ends_no_cold_time() {
    let mut env = TestEnv::listed();
    env.put(5_000, at(1_000));
    let none = Stated::Value(Span::ZERO);
    env.record(none, EntrySource::OlderList, at(2_000));
    assert!(env.is_cold(at(5_999)));
    let longer = Stated::Value(Span::from_secs(9));
    env.record(longer, EntrySource::OlderList, at(3_000));
    assert!(env.is_cold(at(11_999)));
    env.put(0, at(4_000));
    assert!(!env.is_cold(at(4_000)));
}

// An empty head would otherwise have all its slots filled within one second.
#[test]
fn head_of_group_that_has_been_opened_is_cold_whatever_its_entry_says() {
    let mut env = TestEnv::listed();
    let none = Stated::Value(Span::ZERO);
    let current = EntrySource::Current;
    let opened = env.record_open(none, Some(Epoch(4)), current, at(1_000));
    assert!(opened.is_start);
    env.record_open(none, Some(Epoch(4)), current, at(2_200));
    assert!(env.is_cold(at(10_999)) && !env.is_cold(at(11_000)));
    env.record_open(none, None, current, at(12_000));
    assert!(!env.is_cold(at(12_000)));
    env.record_open(none, Some(Epoch(4)), current, at(13_000));
    assert!(env.is_cold(at(13_000)), "its slots are free again");
    let mut listed = TestEnv::new();
    listed.record_open(none, Some(Epoch(4)), EntrySource::FirstList, at(1_000));
    assert!(!listed.is_cold(at(1_000)), "it may have served for long");
}

// The runners may have become cold just before, and their entries be older.
#[test]
fn runner_is_cold_after_evacuation_until_a_later_entry_says_otherwise() {
    let mut env = TestEnv::listed();
    assert!(env.coldness.record_evacuation_end(env.host, at(20_000)));
    env.put(0, at(20_800));
    assert!(env.is_cold(at(20_800)), "written before the end");
    env.put(0, at(21_500));
    assert!(!env.is_cold(at(21_500)));
    env.coldness.record_evacuation_end(env.host, at(30_000));
    assert!(env.is_cold(at(39_999)) && !env.is_cold(at(40_000)));
}

// An entry that was written before a response may arrive after it.
#[test]
fn response_and_entry_end_each_other_only_after_some_time() {
    let mut env = TestEnv::listed();
    let seconds = Span::from_secs;
    assert!(
        env.coldness
            .record_response(env.host, seconds(9), at(1_000))
    );
    env.put(0, at(1_800));
    assert!(env.is_cold(at(1_800)));
    env.put(0, at(3_000));
    assert!(!env.is_cold(at(3_000)));
    env.put(9_000, at(4_200));
    env.coldness
        .record_response(env.host, Span::ZERO, at(4_300));
    assert!(env.is_cold(at(4_300)));
    env.coldness
        .record_response(env.host, Span::ZERO, at(5_700));
    assert!(!env.is_cold(at(5_700)));
}

#[test]
fn claim_of_another_daemon_counts_until_its_end_or_a_later_entry() {
    let mut env = TestEnv::listed();
    assert!(
        env.coldness
            .record_claim(env.host, Span::from_secs(5), at(1_000))
    );
    assert!(
        !env.coldness
            .record_claim(env.host, Span::from_secs(2), at(1_100))
    );
    assert!(env.is_cold(at(5_999)) && !env.is_cold(at(6_000)));
    env.coldness
        .record_claim(env.host, Span::from_secs(5), at(6_000));
    env.put(0, at(6_500));
    assert!(env.is_cold(at(6_500)));
    env.put(0, at(7_700));
    assert!(!env.is_cold(at(7_700)));
    let endless = Span(u64::MAX);
    env.coldness.record_claim(env.host, endless, at(8_000));
    assert!(!env.is_cold(at(8_000) + Span::from_secs(24 * 60 * 60)));
}

// Each would otherwise add the delay of a datagram to what the other one has said.
#[test]
fn daemons_do_not_prolong_a_cold_time_by_telling_each_other() {
    let mut envs = [TestEnv::listed(), TestEnv::listed()];
    envs[0].put(5_000, at(1_000));
    let mut now = at(1_000);
    for round in 0..1_000 {
        let (from, to) = (round % 2, (round + 1) % 2);
        let claim = envs[from].coldness.claim(envs[from].host, now);
        now = now + Span::from_millis(90);
        if let Some(claim) = claim {
            let host = envs[to].host;
            envs[to].coldness.record_claim(host, claim.left, now);
        }
    }
    assert!(envs.iter().all(|env| !env.is_cold(at(6_100))));
}

#[test]
fn lower_limit_applies_to_cold_runner_that_names_one() {
    let mut env = TestEnv::listed();
    env.put(3_000, at(1_000));
    let mut notices = Notices::default();
    notices.coldness = env.coldness;
    let host = env.host;
    let of = |notices: &Notices, now| notices.limit(host, now);
    assert_eq!(
        of(&notices, at(1_000)),
        Some(AppliedLimit::cold(limit(26.0)))
    );
    notices.record_limit(host, Some(limit(3.0)), at(1_000));
    let named = AppliedLimit::from(limit(3.0));
    assert_eq!(named.reason, LimitReason::Limited);
    assert_eq!(of(&notices, at(1_000)), Some(named));
    notices.record_limit(host, Some(limit(60.0)), at(2_000));
    assert_eq!(
        of(&notices, at(2_000)),
        Some(AppliedLimit::cold(limit(26.0)))
    );
    let warm = of(&notices, at(4_000));
    assert_eq!(warm, Some(AppliedLimit::from(limit(60.0))));
}
