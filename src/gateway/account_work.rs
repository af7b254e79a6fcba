//! Work that accounts ask for and get, in the form in which daemons exchange it.
//!
//! It follows the counts of the heads in the same datagrams. A daemon of an older
//! version ignores what follows, and one that sends nothing there counts as one
//! without work.

use crate::core::{
    keys::{AccountName, ServiceName},
    time::Span,
};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    ops::AddAssign,
};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum time between two reports, or two totals, of accounts' work. Shares follow the work of
/// many seconds, so they need not be sent as often as the counts of heads.
pub const WORK_INTERVAL: Span = Span::from_secs(1);

/// Intervals after which reports and totals of work are out of date.
pub const WORK_TTL_INTERVALS: u64 = 3;

/// Maximum encoded size of the counts in a report, in bytes, without its span.
pub const MAX_REPORT_BYTES: usize = 512;

/// Maximum number of bytes that totals take for accounts' work.
pub const MAX_TOTALS_BYTES: usize = 1_024;

/// Maximum number of bytes of the number of ranks.
const RANKS_BYTES: usize = 2;

/// Maximum number of bytes of a rank's service, priority and number of accounts.
const RANK_HEADER_BYTES: usize = 7;

/// Bits of a number in each byte of its encoded form.
const BITS_PER_BYTE: u32 = 7;

crate::key! {
    /// Hash of an account's name; 0 for requests without an account.
    pub struct AccountKey(u32);

    /// Hash of a service's name.
    pub struct ServiceKey(u32);

    /// An account's requests of one priority to one service.
    pub struct ShareKey {
        /// The service.
        pub service: ServiceKey,
        /// Priority of the requests.
        pub priority: u8,
        /// The account.
        pub account: AccountKey,
    }
}

impl AccountKey {
    /// Returns the key of an account, or that of all requests without one.
    pub fn new(account: Option<&AccountName>) -> Self {
        Self(account.map_or(0, |name| hash(name.as_str())))
    }
}

impl ServiceKey {
    /// Returns the key of a service.
    pub fn new(service: &ServiceName) -> Self {
        Self(hash(service.as_str()))
    }
}

fn hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Work of an account, in seconds of a replica's time; `requests` is a count.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Number of requests that arrived.
    pub requests: f64,
    /// Work of these.
    pub requested: f64,
    /// Work of those that could still be on time.
    pub on_time: f64,
    /// Work of the requests that were sent to a head.
    pub admitted: f64,
}

impl Work {
    /// Returns the work of a request that arrived.
    pub fn of_request(work: Span) -> Self {
        Self {
            requests: 1.0,
            requested: work.as_secs_f64(),
            on_time: work.as_secs_f64(),
            admitted: 0.0,
        }
    }

    /// Returns the work of a request that arrived after its objective.
    pub fn of_late_request(work: Span) -> Self {
        Self {
            on_time: 0.0,
            ..Self::of_request(work)
        }
    }

    /// Returns the work of a request that is sent to a head.
    pub fn of_admission(work: Span) -> Self {
        Self {
            admitted: work.as_secs_f64(),
            ..Self::default()
        }
    }

    /// Returns the work times a factor.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            requested: self.requested * factor,
            on_time: self.on_time * factor,
            admitted: self.admitted * factor,
        }
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.requested += other.requested;
        self.on_time += other.on_time;
        self.admitted += other.admitted;
    }
}

crate::record! {
    /// Work of an account in whole milliseconds of a replica.
    #[derive(Copy, Default, Eq)]
    pub struct WorkCount {
        requests: u32,
        requested_ms: u32,
        on_time_ms: u32,
        admitted_ms: u32,
    }

    /// Work of the accounts of one rank. Hashes take a fixed number of bytes, as most are large.
    #[derive(Eq)]
    struct RankWork {
        service: [u8; 4],
        priority: u8,
        accounts: Vec<([u8; 4], WorkCount)>,
    }

    /// Work of several accounts, by rank.
    #[derive(Default, Eq)]
    pub struct WorkCounts(Vec<RankWork>);

    /// Work of the accounts at one daemon since its former report.
    #[derive(Default, Eq)]
    pub struct WorkReport {
        /// Time since the former report, in milliseconds.
        pub span_ms: u32,
        /// Work in this time.
        pub counts: WorkCounts,
    }
}

impl WorkCount {
    fn rounded(work: Work) -> Self {
        Self {
            requests: work.requests.round() as u32,
            requested_ms: (work.requested * 1e3).round() as u32,
            on_time_ms: (work.on_time * 1e3).round() as u32,
            admitted_ms: (work.admitted * 1e3).round() as u32,
        }
    }

    fn work(self) -> Work {
        Work {
            requests: f64::from(self.requests),
            requested: f64::from(self.requested_ms) / 1e3,
            on_time: f64::from(self.on_time_ms) / 1e3,
            admitted: f64::from(self.admitted_ms) / 1e3,
        }
    }

    /// Returns the number of bytes of the encoded form, with the account's hash.
    fn encoded_bytes(self) -> usize {
        let numbers = [
            self.requests,
            self.requested_ms,
            self.on_time_ms,
            self.admitted_ms,
        ];
        let bytes = numbers.map(|number| {
            let bits = u32::BITS - (number | 1).leading_zeros();
            bits.div_ceil(BITS_PER_BYTE) as usize
        });
        size_of::<AccountKey>() + bytes.iter().sum::<usize>()
    }
}

impl RankWork {
    fn contains(&self, key: ShareKey) -> bool {
        self.service == key.service.0.to_le_bytes() && self.priority == key.priority
    }
}

impl WorkCounts {
    /// Creates the compact form of the work that fits into this number of bytes, that of the
    /// accounts with the most work.
    pub fn new(works: &BTreeMap<ShareKey, Work>, max_bytes: usize) -> Self {
        let mut ranks: Vec<RankWork> = Vec::new();
        for (key, count) in largest(works, max_bytes) {
            let account = (key.account.0.to_le_bytes(), count);
            match ranks.last_mut().filter(|rank| rank.contains(key)) {
                Some(rank) => rank.accounts.push(account),
                None => ranks.push(RankWork {
                    service: key.service.0.to_le_bytes(),
                    priority: key.priority,
                    accounts: vec![account],
                }),
            }
        }
        Self(ranks)
    }

    /// Returns the work of each account.
    pub fn iter(&self) -> impl Iterator<Item = (ShareKey, Work)> {
        self.0.iter().flat_map(|rank| {
            rank.accounts.iter().map(|(account, count)| {
                let key = ShareKey {
                    service: ServiceKey(u32::from_le_bytes(rank.service)),
                    priority: rank.priority,
                    account: AccountKey(u32::from_le_bytes(*account)),
                };
                (key, count.work())
            })
        })
    }

    /// Returns the number of accounts, counted in each of their ranks.
    pub fn len(&self) -> usize {
        self.0.iter().map(|rank| rank.accounts.len()).sum()
    }

    /// Returns true if it contains no work.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Returns the counts of the accounts with the most work whose encoded form fits into this number of
/// bytes.
fn largest(works: &BTreeMap<ShareKey, Work>, max_bytes: usize) -> BTreeMap<ShareKey, WorkCount> {
    let counts = works.iter();
    let counts = counts.map(|(key, work)| (*key, WorkCount::rounded(*work)));
    let mut counts: Vec<(ShareKey, WorkCount)> = counts
        .filter(|(_, count)| *count != WorkCount::default())
        .collect();
    counts.sort_by_key(|(_, count)| Reverse(count.requested_ms));
    let mut bytes = RANKS_BYTES;
    let mut ranks = BTreeSet::new();
    let fitting = counts.into_iter().take_while(|(key, count)| {
        let is_new = ranks.insert((key.service, key.priority));
        let header = if is_new { RANK_HEADER_BYTES } else { 0 };
        bytes += header + count.encoded_bytes();
        bytes <= max_bytes
    });
    fitting.collect()
}

/// Appends work to a datagram.
pub fn append<T>(datagram: Vec<u8>, work: &T) -> Vec<u8>
where
    T: Serialize,
{
    postcard::to_extend(work, datagram).expect("work serializes")
}

/// Decodes the work that follows the rest of a datagram; none if the datagram ends there.
///
/// # Errors
///
/// Fails if the bytes are in another format.
pub fn read<T>(bytes: &[u8]) -> Result<Option<T>, postcard::Error>
where
    T: DeserializeOwned,
{
    match bytes.is_empty() {
        true => Ok(None),
        false => postcard::from_bytes(bytes).map(Some),
    }
}
