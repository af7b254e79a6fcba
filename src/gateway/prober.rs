//! Finds group members that no longer answer.
//!
//! A head keeps taking requests for seconds after it has lost a member, and
//! entries in the store lag behind, so the holder of the duty asks each member
//! itself over a connection kept open. A member counts as lost after fresh
//! connections have failed too. When very many fail at once, it is this daemon
//! that is cut off, and nothing is concluded.

use super::{
    adapter::Adapter,
    exchange::{CONNECT_TIMEOUT, Exchange, SendError},
    roster::{Failure, Host, HostKey, RunnerInstance, SLOW_FACTOR},
    state::Site,
};
use crate::core::{
    keys::HostName,
    time::{Span, Time},
};
use bytes::Bytes;
use futures_util::future::join;
use http::Request;
use http_body_util::{BodyExt as _, Full, Limited};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// How often a member is asked.
const PROBE_INTERVAL: Span = Span::from_millis(500);

/// How long an answer over the connection kept open may take.
const KEPT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long an answer over a fresh connection may take.
const FRESH_TIMEOUT: Duration = Duration::from_millis(350);

/// The longest report taken, in bytes.
const MAX_REPORT: usize = 256 << 10;

/// The part of all members that may be lost at once.
const MOST_LOST: f64 = 0.4;

/// The members that are asked, and what came of it.
#[derive(Default)]
struct Probes {
    entries: BTreeMap<HostKey, Probe>,
}

struct Probe {
    name: HostName,
    born: u64,
    exchange: Option<Exchange>,
    /// When it was asked last.
    asked: Option<Time>,
    is_asking: bool,
    is_lost: bool,
    /// How many times slower than usual it works, in halves.
    pace: f64,
}

impl Probe {
    fn is_due(&self, now: Time) -> bool {
        let waited = self.asked.map(|at| now.since(at));
        !self.is_asking && waited.is_none_or(|waited| waited >= PROBE_INTERVAL)
    }
}

/// Asks the members of groups whether they live.
pub struct Prober<A> {
    site: Rc<Site>,
    probes: Rc<RefCell<Probes>>,
    adapter: PhantomData<A>,
}

impl<A> Prober<A>
where
    A: Adapter,
{
    /// A prober that has asked nobody yet.
    pub fn new(site: Rc<Site>) -> Self {
        Self {
            site,
            probes: Rc::default(),
            adapter: PhantomData,
        }
    }

    /// Asks those whose turn it is.
    pub fn step(&self) {
        let now = self.site.now();
        self.refresh();
        let due: Vec<HostKey> = self
            .probes
            .borrow()
            .entries
            .iter()
            .filter(|(_, probe)| probe.is_due(now))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.ask(key, now);
        }
    }

    /// The lifetimes found dead; none if it is this daemon that is cut off.
    pub fn lost(&self) -> BTreeSet<RunnerInstance> {
        let probes = self.probes.borrow();
        let lost: BTreeSet<RunnerInstance> = probes
            .entries
            .values()
            .filter(|probe| probe.is_lost)
            .map(|probe| (probe.name.clone(), probe.born))
            .collect();
        if lost.len() as f64 > MOST_LOST * probes.entries.len() as f64 {
            return BTreeSet::new();
        }
        lost
    }

    /// The lifetimes that are slow, and how many times slower they work.
    pub fn slow(&self) -> BTreeMap<RunnerInstance, f64> {
        let probes = self.probes.borrow();
        let slow = probes
            .entries
            .values()
            .filter(|probe| probe.pace >= SLOW_FACTOR);
        slow.map(|probe| ((probe.name.clone(), probe.born), probe.pace))
            .collect()
    }

    /// Begins to ask new members, and forgets those that are members no more.
    fn refresh(&self) {
        let roster = self.site.roster.borrow();
        let members: BTreeMap<HostKey, &Host> = roster
            .hosts()
            .filter(|(_, host)| host.runner.member.is_some() || host.is_unreachable())
            .collect();
        let mut probes = self.probes.borrow_mut();
        probes.entries.retain(|key, _| members.contains_key(key));
        for (key, host) in members {
            probes.entries.entry(key).or_insert_with(|| Probe {
                name: host.name.clone(),
                born: host.runner.born,
                exchange: None,
                asked: None,
                is_asking: false,
                is_lost: host.is_unreachable(),
                pace: host.pace(),
            });
        }
    }

    fn ask(&self, key: HostKey, now: Time) {
        let Some(address) = self
            .site
            .roster
            .borrow()
            .host(key)
            .map(|host| host.runner.address)
        else {
            return;
        };
        let mut probes = self.probes.borrow_mut();
        let Some(probe) = probes.entries.get_mut(&key) else {
            return;
        };
        probe.asked = Some(now);
        probe.is_asking = true;
        let kept = probe.exchange.take();
        let (site, probes) = (self.site.clone(), self.probes.clone());
        compio::runtime::spawn(async move {
            let answered = probe_host::<A>(address, kept).await;
            finish::<A>(&site, &probes, key, answered);
        })
        .detach();
    }
}

/// Takes in the outcome of a probe.
fn finish<A>(
    site: &Site,
    probes: &RefCell<Probes>,
    key: HostKey,
    answered: Result<(Exchange, Bytes), Failure>,
) where
    A: Adapter,
{
    let mut probes = probes.borrow_mut();
    let Some(probe) = probes.entries.get_mut(&key) else {
        return;
    };
    probe.is_asking = false;
    let is_lost = answered.is_err();
    if is_lost != probe.is_lost {
        slog::info!(site.log, "member probed";
            "host" => probe.name.as_str(), "lost" => is_lost);
    }
    probe.is_lost = is_lost;
    let mut roster = site.roster.borrow_mut();
    let (exchange, text) = match answered {
        Ok(answered) => answered,
        Err(failure) => return roster.missed(&probe.name, failure),
    };
    probe.exchange = Some(exchange);
    match A::report(&text) {
        Ok(report) => {
            // Coarse steps: the verdict is written anew with each change.
            probe.pace = (report.pace * 2.0).round() / 2.0;
            roster.report(&probe.name, report.member, site.now());
        }
        Err(error) => slog::warn!(site.log, "report refused";
            "host" => probe.name.as_str(), "cause" => error.to_string()),
    }
}

/// Asks over the connection kept open, then over fresh ones.
async fn probe_host<A>(
    address: SocketAddr,
    kept: Option<Exchange>,
) -> Result<(Exchange, Bytes), Failure>
where
    A: Adapter,
{
    if let Some(exchange) = kept
        && let Ok(answered) = within(KEPT_TIMEOUT, read::<A>(exchange, address)).await
    {
        return Ok(answered);
    }
    let fresh = || async {
        let exchange = Exchange::open(address, CONNECT_TIMEOUT).await;
        read::<A>(exchange.map_err(failure)?, address).await
    };
    // Two at once: one lost packet says nothing of the member.
    let (first, second) = join(
        within(FRESH_TIMEOUT, fresh()),
        within(FRESH_TIMEOUT, fresh()),
    )
    .await;
    match (first, second) {
        (Ok(answered), _) | (_, Ok(answered)) => Ok(answered),
        (Err(Failure::Refused), _) | (_, Err(Failure::Refused)) => Err(Failure::Refused),
        _ => Err(Failure::Silent),
    }
}

async fn within<F, T>(timeout: Duration, asked: F) -> Result<T, Failure>
where
    F: Future<Output = Result<T, Failure>>,
{
    let answered = compio::time::timeout(timeout, asked).await;
    answered.unwrap_or(Err(Failure::Silent))
}

fn failure(error: SendError) -> Failure {
    match error {
        SendError::NotSent => Failure::Silent,
        // A connection that was cut was cut by somebody.
        SendError::Refused | SendError::Cut => Failure::Refused,
    }
}

async fn read<A>(mut exchange: Exchange, address: SocketAddr) -> Result<(Exchange, Bytes), Failure>
where
    A: Adapter,
{
    let request = Request::get(A::report_path())
        .header("host", address.to_string())
        .body(Full::default())
        .expect("a probe's head is well formed");
    let answer = exchange.send(request).await.map_err(failure)?;
    if !answer.status().is_success() {
        return Err(Failure::Refused);
    }
    let body = Limited::new(answer.into_body(), MAX_REPORT);
    let whole = body.collect().await.map_err(|_| Failure::Refused)?;
    Ok((exchange, whole.to_bytes()))
}
