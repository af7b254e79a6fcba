//! Exchange of request counts between daemons: who sums them, and what the sums tell.

use hickoryledge::{
    core::{
        keys::{DaemonName, Epoch, HallName, Revision},
        time::{Span, Time},
    },
    gateway::{
        admission::Precedence,
        load::{LoadReport as RunnerReport, Loads, Total},
        load_exchange::{
            choice::{aggregators, interval, is_needed},
            estimate::{HeadLoad, SentReports, Unusable},
            message::{HeadCount, HeadCounts, LoadDigest, RATE_WINDOW_S},
            tally::Tally,
        },
        outlook::Outlook,
        peers::{DaemonEntry, Peers},
        roster::HostKey,
        settings::{LoadExchangeMode, Settings},
        water_filling::{HeadCost, draw, level},
    },
};
use rand::{SeedableRng as _, rngs::SmallRng};
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

const INTERVAL: Span = Span::from_millis(200);

fn millis(millis: u64) -> Time {
    Time(0) + Span::from_millis(millis)
}

fn address(index: u16) -> SocketAddr {
    ([10, 0, 0, 1], 1_000 + index).into()
}

fn entry(index: u16, processor_percent: u32) -> DaemonEntry {
    DaemonEntry {
        caller: address(index),
        hall: HallName::from("hall"),
        peer: Some(address(index)),
        relay: None,
        processor_percent,
    }
}

/// Returns the addresses of the daemons with an entry.
fn known() -> BTreeSet<SocketAddr> {
    BTreeSet::from([address(1), address(2)])
}

/// Returns the counts of one head.
fn at_head(epoch: i64, in_flight: u32, started: u32) -> BTreeMap<Epoch, HeadCount> {
    let count = HeadCount {
        in_flight,
        started,
        ..HeadCount::default()
    };
    BTreeMap::from([(Epoch(epoch), count)])
}

#[test]
fn aggregators_have_most_processor_time_and_not_the_duty() {
    let mut peers = Peers::default();
    for (index, percent) in [12, 50, 12, 50, 50].into_iter().enumerate() {
        let name = DaemonName::from(format!("d{index}"));
        peers.put(name, entry(index as u16, percent));
    }
    peers.claim = Some((DaemonName::from("d1"), Revision(1)));
    let chosen = aggregators(&peers);
    let names: Vec<&str> = chosen.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["d3", "d4"]);
}

/// A hall may be lost, and its daemons' entries stay for three seconds.
#[test]
fn aggregators_are_in_different_halls_if_processor_time_allows() {
    let mut peers = Peers::default();
    let daemons = [("a", 50), ("a", 50), ("b", 50), ("b", 12)];
    for (index, (hall, percent)) in daemons.into_iter().enumerate() {
        let entry = DaemonEntry {
            hall: HallName::from(hall),
            ..entry(index as u16, percent)
        };
        peers.put(DaemonName::from(format!("d{index}")), entry);
    }
    let names = |peers: &Peers| -> Vec<String> {
        let chosen = aggregators(peers).into_iter();
        chosen.map(|(name, _)| name.to_string()).collect()
    };
    assert_eq!(names(&peers), ["d0", "d2"]);
    peers.remove(&DaemonName::from("d2"), Time(0));
    assert_eq!(names(&peers), ["d0", "d1"]);
    peers.remove(&DaemonName::from("d0"), Time(0));
    peers.remove(&DaemonName::from("d1"), Time(0));
    assert_eq!(names(&peers), ["d3"]);
}

/// An aggregator's work must not grow with the number of daemons beyond a bound.
#[test]
fn interval_keeps_number_of_digests_constant() {
    assert_eq!(interval(61), Span::from_millis(200));
    for daemons in [64, 195, 340] {
        let digests = daemons as f64 / interval(daemons).as_secs_f64();
        assert!(digests < 321.0, "{digests} a second with {daemons} daemons");
    }
}

#[test]
fn exchange_is_turned_off_by_setting() {
    let text = "
name: d1
hall: hall
listen: {caller: '127.0.0.1:1', ready: '127.0.0.1:2', directory: '127.0.0.1:3'}
store: 127.0.0.1:4
retry: {ratio: 0.2, slack: 134, window_s: 10}
grace_ms: 3000
entries_ms: 2000
";
    let mode = |text: &str| Settings::parse(text).map(|settings| settings.load_exchange);
    assert_eq!(mode(text).expect("valid"), LoadExchangeMode::Auto);
    for (value, expected) in [
        ("auto", LoadExchangeMode::Auto),
        ("off", LoadExchangeMode::Off),
    ] {
        let text = format!("{text}load_exchange: {value}\n");
        assert_eq!(mode(&text).expect("valid"), expected);
    }
    assert!(mode(&format!("{text}load_exchange: sometimes\n")).is_err());
}

#[test]
fn exchange_is_needed_with_more_daemons_than_slots() {
    assert!(is_needed(49, 48));
    assert!(!is_needed(48, 48));
}

#[test]
fn compact_counts_keep_every_epoch() {
    let epochs = [i64::MIN, -5, 0, 7, 1 << 40, i64::MAX];
    let counts: BTreeMap<Epoch, HeadCount> = epochs
        .iter()
        .map(|epoch| (Epoch(*epoch), at_head(0, 3, 4)[&Epoch(0)]))
        .collect();
    let packed = HeadCounts::new(&counts);
    assert_eq!(packed.iter().collect::<BTreeMap<_, _>>(), counts);
}

/// At the size that the system is built towards, a digest of all heads must fit into one datagram.
#[test]
fn digest_of_many_heads_is_small() {
    let count = HeadCount {
        in_flight: 52,
        started: (25.0 * RATE_WINDOW_S) as u32,
        ended: (24.0 * RATE_WINDOW_S) as u32,
        refused: (12.0 * RATE_WINDOW_S) as u32,
        late: (8.0 * RATE_WINDOW_S) as u32,
    };
    let counts = (0..112).map(|group| (Epoch((7 << 40) + (group << 6)), count));
    let digest = LoadDigest {
        reporters: 340,
        silent: 0,
        age_ms: 531,
        heads: HeadCounts::new(&counts.collect()),
    };
    let bytes = postcard::to_stdvec(&digest).expect("serializes");
    assert!(bytes.len() < 1_000, "{} bytes", bytes.len());
}

#[test]
fn digest_without_own_share_tells_the_others_load() {
    let mut own = SentReports::new(1);
    let mut other = SentReports::new(2);
    let mut tally = Tally::default();
    for (at, own_started, other_started) in [(0, 0, 0), (200, 4, 10)] {
        tally.record(
            address(1),
            own.report(at_head(9, 5, own_started), millis(at)),
            millis(at),
        );
        let report = other.report(at_head(9, 20, other_started), millis(at));
        tally.record(address(2), report, millis(at));
    }
    let digest = tally.digest(&known(), INTERVAL, millis(300));
    assert_eq!((digest.reporters, digest.age_ms), (2, 100));
    let contained = tally.contained(address(1));
    let totals = own
        .interpret(&digest, contained, 2, INTERVAL, millis(310))
        .expect("usable");
    let at_head = totals.heads[&Epoch(9)];
    assert_eq!(at_head.others, 20);
    assert!((at_head.starts_per_s - 70.0).abs() < 0.2, "{at_head:?}");
    assert_eq!((totals.at, totals.until), (millis(210), millis(800)));
}

/// A paused aggregator reads old reports from its socket when it goes on, and would send their sum
/// as a new one.
#[test]
fn digest_with_old_own_report_is_not_used() {
    let mut own = SentReports::new(1);
    let mut tally = Tally::default();
    tally.record(
        address(1),
        own.report(at_head(9, 5, 0), millis(0)),
        millis(900),
    );
    let digest = tally.digest(&known(), INTERVAL, millis(900));
    let contained = tally.contained(address(1));
    let read = own.interpret(&digest, contained, 1, INTERVAL, millis(901));
    assert_eq!(read, Err(Unusable::Outdated));
}

/// The requests of a daemon's former run have ended with it. A digest that still counts them isn't
/// taken for one with this run's own share.
#[test]
fn digest_with_report_of_former_run_is_not_used() {
    let mut former = SentReports::new(1);
    let mut tally = Tally::default();
    let report = former.report(at_head(9, 5, 0), millis(0));
    assert!(tally.record(address(1), report, millis(0)));
    let digest = tally.digest(&known(), INTERVAL, millis(10));
    let mut own = SentReports::new(2);
    let report = own.report(at_head(9, 0, 0), millis(20));
    let contained = tally.contained(address(1));
    let read = own.interpret(&digest, contained, 1, INTERVAL, millis(20));
    assert_eq!(read, Err(Unusable::Unmatched));
    assert!(tally.record(address(1), report, millis(20)));
    let digest = tally.digest(&known(), INTERVAL, millis(30));
    assert_eq!(digest.heads.iter().count(), 0);
}

#[test]
fn aggregator_that_misses_most_daemons_is_not_used() {
    let mut own = SentReports::new(1);
    let mut tally = Tally::default();
    tally.record(
        address(1),
        own.report(at_head(9, 5, 0), millis(0)),
        millis(0),
    );
    let digest = tally.digest(&known(), INTERVAL, millis(10));
    let contained = tally.contained(address(1));
    let read = own.interpret(&digest, contained, 3, INTERVAL, millis(20));
    assert_eq!(read, Err(Unusable::Partial));
}

#[test]
fn reordered_report_is_ignored() {
    let mut sender = SentReports::new(1);
    let mut tally = Tally::default();
    let first = sender.report(at_head(9, 5, 0), millis(0));
    let second = sender.report(at_head(9, 7, 0), millis(200));
    assert!(tally.record(address(1), second, millis(201)));
    assert!(!tally.record(address(1), first, millis(202)));
    let digest = tally.digest(&known(), INTERVAL, millis(210));
    let in_flight = digest.heads.iter().map(|(_, count)| count.in_flight);
    assert_eq!(in_flight.collect::<Vec<_>>(), [7]);
}

#[test]
fn silent_and_unknown_daemons_are_left_out() {
    let mut tally = Tally::default();
    for daemon in 1..=3_u64 {
        let report = SentReports::new(1).report(at_head(9, 1, 0), millis(0));
        tally.record(address(daemon as u16), report, millis(daemon * 200));
    }
    let known = BTreeSet::from([address(1), address(2)]);
    let digest = tally.digest(&known, INTERVAL, millis(850));
    assert_eq!(digest.reporters, 1, "only the second is recent and known");
}

/// During an upgrade, daemons of the former version send requests and don't report them.
#[test]
fn totals_include_part_of_daemons_that_report_nothing() {
    let mut own = SentReports::new(1);
    let mut other = SentReports::new(2);
    let mut tally = Tally::default();
    let daemons: BTreeSet<SocketAddr> = (1..=3).map(address).collect();
    tally.digest(&daemons, INTERVAL, millis(0));
    let at = millis(5_000);
    tally.record(address(1), own.report(at_head(9, 6, 0), at), at);
    tally.record(address(2), other.report(at_head(9, 10, 0), at), at);
    let digest = tally.digest(&daemons, INTERVAL, at);
    assert_eq!((digest.reporters, digest.silent), (2, 1));
    let contained = tally.contained(address(1));
    let totals = own
        .interpret(&digest, contained, 3, INTERVAL, at)
        .expect("usable");
    assert_eq!(totals.heads[&Epoch(9)].others, 20);
}

fn host() -> HostKey {
    SlotMap::<HostKey, ()>::with_key().insert(())
}

fn total(others: u32, at: Time) -> Total {
    Total {
        load: HeadLoad {
            others,
            starts_per_s: 20.0,
            ends_per_s: 10.0,
            refusals_per_s: 0.0,
            late_per_s: 0.0,
        },
        at,
        until: at + Span::from_millis(600),
        horizon: Span::from_millis(1_000),
    }
}

#[test]
fn fresher_of_digest_and_response_counts() {
    let head = host();
    let mut loads = Loads::default();
    loads.request_started(head);
    let response = RunnerReport {
        running: 11,
        waiting: 0,
        slots: 48,
    };
    loads.load_reported(head, response, millis(900));
    loads.total_reported(head, total(30, millis(1_000)));
    assert_eq!(loads.in_flight(head, millis(1_100)), 31);
    loads.load_reported(head, response, millis(1_200));
    assert_eq!(loads.in_flight(head, millis(1_300)), 11);
    loads.total_reported(head, total(3, millis(800)));
    let kept = loads.total(head, millis(1_300)).expect("current");
    assert_eq!(
        kept.load.others, 30,
        "the digest of an aggregator that lags is not used"
    );
    assert_eq!(loads.total(head, millis(1_600)), None, "out of date");
    assert_eq!(loads.in_flight(head, millis(1_600)), 11);
}

/// Changes between two reports are counted once.
#[test]
fn own_requests_are_reported_with_changes_since_last_report() {
    let head = host();
    let mut loads = Loads::default();
    (0..3).for_each(|_| loads.request_started(head));
    loads.request_ended(head);
    loads.request_refused(head);
    let count = HeadCount {
        in_flight: 2,
        started: 3,
        ended: 1,
        refused: 1,
        ..HeadCount::default()
    };
    assert_eq!(loads.take_own_requests(head), count);
    let unchanged = HeadCount {
        in_flight: 2,
        ..HeadCount::default()
    };
    assert_eq!(loads.take_own_requests(head), unchanged);
}

/// Under overload all daemons see the same free slots at the same time. Together they must start no
/// more requests than there is room for.
#[test]
fn admitted_part_of_requests_fits_the_room() {
    let mut loads = Loads::default();
    let mut heads = SlotMap::<HostKey, ()>::with_key();
    let heads: Vec<HostKey> = (0..4).map(|_| heads.insert(())).collect();
    let now = millis(1_000);
    for head in &heads {
        loads.total_reported(*head, total(40, now));
    }
    let outlook = Outlook::new(&loads, heads.iter().copied(), now).expect("totals are known");
    assert_eq!((outlook.arrivals, outlook.ends_each), (80.0, 10.0));
    let room = 4.0 * outlook.room(42.0, 40);
    assert_eq!(room, 48.0);
    let mut rng = SmallRng::seed_from_u64(1);
    let positions = outlook.positions(Precedence::default());
    let admitted = (0..10_000).filter(|_| positions.draw(&mut rng) <= room);
    let share = admitted.count() as f64 / 1e4;
    assert!((share - 0.6).abs() < 0.02, "{share}");
    let all_fit = (0..100).all(|_| positions.draw(&mut rng) <= 80.0);
    assert!(all_fit);
    assert_eq!(Outlook::new(&loads, [host()], millis(2_000)), None);
}

/// A head that has just opened has no requests. All daemons see that at once, and would send it
/// all their requests until the next totals.
#[test]
fn empty_head_gets_no_more_than_it_takes_to_reach_the_level() {
    let mut rng = SmallRng::seed_from_u64(1);
    let bases = [1.0, 40.0, 40.0, 40.0];
    let costs = bases.map(|base| HeadCost {
        base,
        per_request: 1.0,
    });
    let share = |requests: f64, rng: &mut SmallRng| {
        let drawn = (0..10_000).filter(|_| draw(&costs, requests, rng) == Some(0));
        drawn.count() as f64 / 1e4
    };
    assert_eq!(share(20.0, &mut rng), 1.0);
    let at_level = share(78.0, &mut rng);
    // 39 fill the empty head up to the others, the other 39 raise all four.
    assert!((at_level - 48.75 / 78.0).abs() < 0.02, "{at_level}");
}

#[test]
fn slow_head_takes_fewer_requests() {
    let head = |factor| HeadCost {
        base: factor,
        per_request: factor,
    };
    let costs = [head(1.0), head(3.0)];
    let reached = level(&costs, 38.0);
    assert!((reached - 30.0).abs() < 0.01, "{reached}");
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(draw(&[], 1.0, &mut rng), None);
    assert_eq!(draw(&costs, 1.0, &mut rng), Some(0));
}
