//! Work of accounts that daemons exchange: what is sent, what is summed, and what fails.

use crate::engine_heads::{engine, model, service};
use hickoryledge::{
    core::{
        keys::AccountName,
        time::{Span, Time},
    },
    gateway::{
        account_work::{
            AccountKey, MAX_REPORT_BYTES, MAX_TOTALS_BYTES, ServiceKey, ShareKey, Work, WorkCounts,
            WorkReport, append, read,
        },
        admission::Precedence,
        contention::{Contention, Request},
        load_exchange::{
            choice::interval,
            message::{HeadCounts, LoadReport, ReportId},
            work_tally::{PendingWork, WorkTally},
        },
        rank::Rank,
        shares::SharePart,
    },
};
use rand::{SeedableRng as _, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

const INTERVAL: Span = Span::from_millis(200);

fn second(second: u64) -> Time {
    Time(0) + Span::from_secs(second)
}

fn address(index: u16) -> SocketAddr {
    ([10, 0, 0, 1], 1_000 + index).into()
}

fn account(index: usize) -> AccountName {
    AccountName::from(format!("a{index}"))
}

fn key(index: usize) -> ShareKey {
    ShareKey {
        service: ServiceKey::new(&service()),
        priority: (index % 3) as u8,
        account: AccountKey::new(Some(&account(index))),
    }
}

fn work(requested: f64, admitted: f64) -> Work {
    Work {
        requests: (requested * 20.0).ceil(),
        requested,
        on_time: requested,
        admitted,
    }
}

fn counts<I>(works: I, max_bytes: usize) -> WorkCounts
where
    I: IntoIterator<Item = (ShareKey, Work)>,
{
    WorkCounts::new(&works.into_iter().collect(), max_bytes)
}

fn report(index: usize, requested: f64) -> WorkReport {
    WorkReport {
        span_ms: 1_000,
        counts: counts([(key(index), work(requested, 0.0))], MAX_REPORT_BYTES),
    }
}

/// Number of aggregators that a daemon reports to.
const AGGREGATORS: usize = 2;

/// Half of what a daemon may use for all exchanges between daemons.
const MAX_BYTES_PER_S: f64 = 3_000.0;

/// A datagram over its limit would be cut by the receiver. Of too many accounts, those with the least
/// work are left out.
#[test]
fn work_fits_its_bytes_with_the_largest_accounts() {
    let works = |number| (0..number).map(|index| (key(index), work(index as f64, 0.5)));
    let all = counts(works(40), MAX_TOTALS_BYTES);
    assert_eq!(all.iter().collect::<BTreeMap<_, _>>(), works(40).collect());
    for max_bytes in [0, 40, MAX_REPORT_BYTES, MAX_TOTALS_BYTES] {
        let cut = counts(works(1_000), max_bytes);
        let bytes = postcard::to_stdvec(&cut).expect("serializes").len();
        assert!(bytes <= max_bytes.max(1), "{bytes} of {max_bytes} bytes");
        let largest: BTreeMap<_, _> = works(1_000).skip(1_000 - cut.len()).collect();
        assert_eq!(cut.iter().collect::<BTreeMap<_, _>>(), largest);
    }
}

/// During an upgrade, daemons of the former version must read the heads' counts of the new one, and
/// the new one those of the former.
#[test]
fn former_version_reads_the_counts_before_the_work() {
    let load = LoadReport {
        id: ReportId::default(),
        span_ms: 200,
        heads: HeadCounts::default(),
    };
    let former = postcard::to_stdvec(&load).expect("serializes");
    let datagram = append(former.clone(), &report(1, 2.0));
    let known = postcard::from_bytes::<LoadReport>(&datagram);
    assert_eq!(known, Ok(load.clone()), "as the former version reads it");
    let taken = postcard::take_from_bytes::<LoadReport>(&datagram);
    let (known, rest) = taken.expect("valid");
    assert_eq!((known, read(rest)), (load, Ok(Some(report(1, 2.0)))));
    assert_eq!(read::<WorkReport>(&[]), Ok(None));
    assert!(read::<WorkReport>(&rest[..rest.len() - 1]).is_err());
}

/// At the size that the system is built towards, all control takes less than 6 KB a second.
#[test]
fn work_of_accounts_takes_a_bounded_part_of_the_bytes() {
    let each_interval = AGGREGATORS * (MAX_REPORT_BYTES + MAX_TOTALS_BYTES);
    let bytes = each_interval as f64 / interval(340).as_secs_f64();
    assert!(bytes < MAX_BYTES_PER_S, "{bytes} a second");
}

/// Before the exchange begins, and once it is off, work must not pile up for a report.
#[test]
fn work_is_kept_for_a_report_only_while_there_are_reports() {
    let mut pending = PendingWork::default();
    pending.add(key(1), work(9.0, 9.0));
    assert_eq!(pending.take(second(10)), None, "the span isn't known");
    pending.add(key(1), work(2.0, 0.0));
    assert_eq!(pending.take(second(10) + INTERVAL), None, "not due");
    assert_eq!(pending.take(second(11)), Some(report(1, 2.0)));
    assert_eq!(pending.take(second(12)), None, "no work");
    pending.add(key(1), work(2.0, 0.0));
    pending.stop();
    pending.add(key(1), work(2.0, 0.0));
    assert_eq!(pending.take(second(13)), None);
    assert_eq!(pending.take(second(14)), None);
}

/// A daemon that reports nothing any more, or has no entry, adds nothing; a report counts by its span.
#[test]
fn rates_are_those_of_the_daemons_that_report() {
    let daemons: BTreeSet<SocketAddr> = (1..=3).map(address).collect();
    let mut tally = WorkTally::default();
    let slow = WorkReport {
        span_ms: 2_000,
        ..report(1, 4.0)
    };
    tally.record(address(1), slow, second(10));
    tally.record(address(2), report(2, 1.0), second(8));
    tally.record(address(9), report(3, 1.0), second(10));
    let rates = tally.take_rates(&daemons, INTERVAL, second(11));
    let expected = work(4.0, 0.0).scaled(0.5);
    assert_eq!(rates, Some(BTreeMap::from([(key(1), expected)])));
    assert_eq!(
        tally.take_rates(&daemons, INTERVAL, second(11)),
        None,
        "not due"
    );
    assert_eq!(
        tally.take_rates(&daemons, INTERVAL, second(13)),
        None,
        "old"
    );
}

/// Contention state of a daemon that gets totals of the accounts 0 and 3, both of the most urgent rank.
struct Accounts {
    contention: Contention,
}

impl Accounts {
    fn add(&mut self, large: Work, small: Work, now: Time) {
        let works = [(key(0), large), (key(3), small)];
        let rates = counts(works, MAX_TOTALS_BYTES);
        self.contention.add_totals(&rates, INTERVAL, now);
    }

    /// Returns the slots that an account leaves to others, by a daemon that sees one request.
    fn for_accounts(&mut self, index: usize, now: Time) -> u32 {
        let rank = Rank::new(0, &BTreeSet::from([0, 1]));
        self.precedence(index, rank, now).for_accounts
    }

    fn precedence(&mut self, index: usize, rank: Rank, now: Time) -> Precedence {
        let (service, model, engine, account) = (service(), model(), engine(), account(index));
        let request = Request {
            service: &service,
            model: &model,
            engine: &engine,
            rank,
            account: Some(&account),
            prompt_tokens: 1_115,
            answer_tokens: 152,
        };
        self.contention.record_request(&request, now);
        self.contention.precedence(&request, 195, now)
    }
}

/// An aggregator that has just started sums few daemons, a digest may be lost or come late, and a
/// daemon that has no digest goes by its own sample. None of it may change the shares at once.
#[test]
fn shares_by_totals_change_slowly() {
    let mut accounts = Accounts {
        contention: Contention::default(),
    };
    assert_eq!(accounts.for_accounts(0, second(0)), 0, "own sample");
    for at in 1..=30 {
        accounts.add(work(9.0, 5.0), work(3.0, 1.0), second(at));
    }
    assert!(accounts.for_accounts(0, second(30)) > 0);
    assert_eq!(accounts.for_accounts(3, second(30)), 0);
    accounts.add(Work::default(), work(0.2, 0.1), second(31));
    assert!(
        accounts.for_accounts(0, second(31)) > 0,
        "few daemons summed"
    );
    assert!(accounts.for_accounts(0, second(33)) > 0, "two digests lost");
    assert_eq!(accounts.for_accounts(0, second(35)), 0, "own sample");
    accounts.add(work(1.0, 0.0), work(9.0, 3.0), second(55));
    assert!(
        accounts.for_accounts(0, second(55)) > 0,
        "one digest after a gap"
    );
    for at in 56..=120 {
        accounts.add(work(2.0, 0.2), work(9.0, 4.0), second(at));
    }
    assert_eq!(accounts.for_accounts(0, second(120)), 0);
    assert!(accounts.for_accounts(3, second(120)) > 0);
}

/// Without ranks, an account that asked for many times its usual got as large a part of the admitted
/// requests, and all others were refused as often as it was.
#[test]
fn requests_within_shares_come_first_also_without_ranks() {
    let mut accounts = Accounts {
        contention: Contention::default(),
    };
    let now = second(30);
    let unranked = Rank::default();
    assert_eq!(accounts.precedence(0, unranked, now), Precedence::default());
    // Of 11 units that are asked for, 5 can be had.
    (1..=30).for_each(|at| accounts.add(work(9.0, 2.5), work(2.0, 2.5), second(at)));
    let shares = [0, 3].map(|index| accounts.precedence(index, unranked, now).share);
    let [large, small] = shares.map(|share| share.expect("totals are known"));
    assert!((large.own - 3.0 / 9.0).abs() < 0.01, "{large:?}");
    assert_eq!(small.own, 1.0);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut admitted = |share: SharePart| {
        let draws = (0..10_000).filter(|_| share.draw_position(&mut rng) <= 5.0 / 11.0);
        draws.count() as f64 / 1e4
    };
    let (large, small) = (admitted(large), admitted(small));
    assert!(small > 0.95, "{small}");
    // Together no more are admitted than there is room for.
    let together = (9.0 * large + 2.0 * small) / 11.0;
    assert!((together - 5.0 / 11.0).abs() < 0.02, "{together}");
    assert_eq!(
        accounts.precedence(0, unranked, now + Span::from_secs(4)),
        Precedence::default(),
        "no current digest"
    );
}
