//! Runners that are cold, and tolerate few requests a second from all daemons together.

use super::{
    config,
    env::{Daemon, TestEnv},
    http::RecordedRequest,
    runner::Runner,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Requests a second that a cold runner tolerates.
const COLD_RATE: f64 = 8.0;

/// Requests that a cold runner may get in any second.
const MAX_IN_SECOND: usize = 17;

/// Bound of an evacuation in the daemons' settings.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Time for which the callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two entries that a runner writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a runner says that it stays cold; longer than any test.
const COLD_TIME: Duration = Duration::from_secs(120);

/// Three daemons, and runners of a service with a cold rate.
struct ColdEnv {
    env: TestEnv,
    others: [Daemon; 2],
}

impl ColdEnv {
    fn start() -> Self {
        let env = TestEnv::start();
        config::write_with(&env.store, 3, Some(COLD_RATE));
        let others = ["d2", "d3"].map(|name| env.start_daemon(name));
        let cold = Self { env, others };
        for daemon in cold.daemons() {
            cold.env.eventually("a daemon serves", |env| {
                let is_current = daemon.metric("hickoryledge_configuration_version") == 3.0;
                is_current && env.call_at(daemon, "GET", "/read/x", &[], "").status == 200
            });
        }
        cold
    }

    fn daemons(&self) -> Vec<&Daemon> {
        [&self.env.daemon].into_iter().chain(&self.others).collect()
    }

    /// Has runners write for how long they stay cold, until all daemons count so many as cold.
    fn report_cold(&self, runners: &[Arc<Runner>], left: Duration, cold: usize) {
        for daemon in self.daemons() {
            self.env.eventually("the daemon knows who is cold", |_| {
                runners.iter().for_each(|runner| runner.report_cold(left));
                thread::sleep(WRITE_INTERVAL);
                daemon.metric("hickoryledge_cold_runners") == cold as f64
            });
        }
    }

    /// Sends requests to all daemons at once, from two callers each; returns the statuses.
    fn load(&self) -> Vec<u16> {
        let end = Instant::now() + LOAD_TIME;
        thread::scope(|scope| {
            let daemons = self.daemons().into_iter().flat_map(|daemon| [daemon; 2]);
            let callers: Vec<_> = daemons
                .map(|daemon| scope.spawn(move || self.call_until(daemon, end)))
                .collect();
            let statuses = callers.into_iter().map(|caller| caller.join());
            statuses
                .flat_map(|statuses| statuses.expect("called"))
                .collect()
        })
    }

    fn call_until(&self, daemon: &Daemon, end: Instant) -> Vec<u16> {
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let response = self.env.call_at(daemon, "GET", "/read/x", &[], "");
            statuses.push(response.status);
            thread::sleep(REQUEST_INTERVAL);
        }
        statuses
    }
}

/// Returns the requests that a runner has got since `since`.
fn received(runner: &Runner, since: Instant) -> Vec<RecordedRequest> {
    let requests = runner.requests().into_iter();
    requests.filter(|request| request.at >= since).collect()
}

/// Returns the largest number of requests in a second.
fn worst_second(requests: &[RecordedRequest]) -> usize {
    let second = Duration::from_secs(1);
    let in_second = |(first, start): (usize, &RecordedRequest)| {
        let later = requests[first..].iter();
        later
            .take_while(|request| request.at - start.at < second)
            .count()
    };
    requests
        .iter()
        .enumerate()
        .map(in_second)
        .max()
        .unwrap_or(0)
}

fn count(statuses: &[u16], status: u16) -> usize {
    statuses.iter().filter(|other| **other == status).count()
}

// A cold runner received 48 requests in a second where 44 were allowed.
#[test]
fn daemons_together_keep_the_rate_of_a_cold_runner() {
    let cold = ColdEnv::start();
    let [runner, other] = &cold.env.plain_runners;
    cold.report_cold(&cold.env.plain_runners[..1], COLD_TIME, 1);
    let since = Instant::now();
    let statuses = cold.load();
    let worst = worst_second(&received(runner, since));
    assert!(worst <= MAX_IN_SECOND, "{worst} requests in a second");
    assert!(worst > 0, "the rate is used");
    let elsewhere = worst_second(&received(other, since));
    assert!(elsewhere > MAX_IN_SECOND, "{elsewhere}: there was no load");
    assert_eq!(count(&statuses, 200), statuses.len(), "one isn't cold");
}

// After a mass restart nobody else can take the requests: the rate must be used, and what is beyond
// it refused at once.
#[test]
fn rate_of_cold_runners_is_used_if_all_are_cold() {
    let cold = ColdEnv::start();
    let runners = &cold.env.plain_runners;
    cold.report_cold(runners, COLD_TIME, 2);
    let since = Instant::now();
    let statuses = cold.load();
    let elapsed = since.elapsed().as_secs_f64();
    let mut used = 0;
    for runner in runners {
        let requests = received(runner, since);
        let worst = worst_second(&requests);
        assert!(worst <= MAX_IN_SECOND, "{worst} requests in a second");
        used += requests.len();
    }
    let share = used as f64 / (COLD_RATE * runners.len() as f64 * elapsed);
    assert!(share >= 0.6, "{share} of the rate is used");
    let answered = count(&statuses, 200) + count(&statuses, 503);
    assert_eq!(answered, statuses.len());
    assert!(count(&statuses, 503) > 0, "there was too little load");
}

// The time may rise from zero at any moment, without a start.
#[test]
fn runner_that_becomes_cold_again_is_limited_again() {
    let cold = ColdEnv::start();
    let runners = &cold.env.plain_runners[..1];
    for _ in 0..2 {
        cold.report_cold(runners, COLD_TIME, 1);
        let since = Instant::now();
        cold.load();
        let worst = worst_second(&received(&runners[0], since));
        assert!(worst <= MAX_IN_SECOND, "{worst} requests in a second");
        cold.report_cold(runners, Duration::ZERO, 0);
        let since = Instant::now();
        cold.load();
        let worst = worst_second(&received(&runners[0], since));
        assert!(worst > MAX_IN_SECOND, "{worst}: it isn't used");
    }
}

#[test]
fn service_without_cold_rate_takes_no_notice_of_cold_runners() {
    let cold = ColdEnv::start();
    cold.env.configure(5);
    for daemon in cold.daemons() {
        cold.env.eventually("the configuration is in force", |_| {
            daemon.metric("hickoryledge_configuration_version") == 5.0
        });
    }
    let runners = &cold.env.plain_runners[..1];
    cold.report_cold(runners, COLD_TIME, 0);
    let since = Instant::now();
    cold.load();
    let worst = worst_second(&received(&runners[0], since));
    assert!(worst > MAX_IN_SECOND, "{worst}: it is limited");
}

/// First kinds of datagrams, as a daemon of an earlier build has them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierDatagram {
    Progress(Vec<u8>),
    PermitRequest {
        id: u64,
        /// Host and start of the runner.
        runner: (String, u64),
        rate_limit: Option<f64>,
        age: u64,
        is_leaving: bool,
    },
    PermitResponse {
        id: u64,
        verdict: EarlierVerdict,
    },
}

/// Response to a request for a permit, as a daemon of an earlier build has it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierVerdict {
    Granted,
    Denied { wait: u64 },
}

/// Socket of a daemon of another build, beside one daemon of this build.
struct Peer {
    socket: UdpSocket,
    address: SocketAddr,
}

impl Peer {
    fn start(env: &TestEnv) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        let timeout = Some(Duration::from_secs(10));
        socket.set_read_timeout(timeout).expect("a timeout is set");
        let entry = env.store.value("hickoryledge/daemons/d1");
        let entry: Value = serde_json::from_str(&entry).expect("an entry");
        let address = entry["peer"].as_str().expect("an address");
        let address = address.parse().expect("an address");
        Self { socket, address }
    }

    fn send(&self, bytes: &[u8]) {
        let sent = self.socket.send_to(bytes, self.address);
        assert_eq!(sent.expect("sent"), bytes.len());
    }

    /// Asks for a permit for the first runner, of which this daemon knows nothing.
    fn ask(&self, id: u64) -> EarlierVerdict {
        let request = EarlierDatagram::PermitRequest {
            id,
            runner: ("p1".to_owned(), 7),
            rate_limit: None,
            age: 1 << 40,
            is_leaving: false,
        };
        self.send(&postcard::to_stdvec(&request).expect("a datagram"));
        let mut buffer = [0; 2_048];
        let (length, _) = self.socket.recv_from(&mut buffer).expect("a response");
        match postcard::from_bytes(&buffer[..length]).expect("a response") {
            EarlierDatagram::PermitResponse { id: other, verdict } if other == id => verdict,
            other => panic!("another response: {other:?}"),
        }
    }
}

// During an upgrade daemons of both builds serve, and the earlier ones know no cold runners.
#[test]
fn permits_of_a_daemon_of_an_earlier_build_count_too() {
    let env = TestEnv::start();
    config::write_with(&env.store, 3, Some(COLD_RATE));
    let peer = Peer::start(&env);
    assert_eq!(peer.ask(1), EarlierVerdict::Granted);
    env.eventually("the daemon knows who is cold", |env| {
        env.plain_runners[0].report_cold(COLD_TIME);
        thread::sleep(WRITE_INTERVAL);
        env.daemon.metric("hickoryledge_cold_runners") == 1.0
    });
    let verdicts = (2..42).map(|id| peer.ask(id));
    let granted = verdicts.filter(|verdict| *verdict == EarlierVerdict::Granted);
    assert!(granted.count() <= MAX_IN_SECOND);
}

// A later build may send kinds of datagrams that this one doesn't have.
#[test]
fn unknown_and_cut_datagrams_change_nothing() {
    let env = TestEnv::start();
    config::write_with(&env.store, 3, Some(COLD_RATE));
    let peer = Peer::start(&env);
    let host = b"\x02p1\x07";
    let cold = [&[11_u8, 9][..], host, &[0, 0, 0]].concat();
    for bytes in [
        &[200_u8, 1, 2, 3][..],
        &[14],
        &cold,
        &[13, 255],
        b"",
        &[255; 2_000],
    ] {
        peer.send(bytes);
    }
    assert_eq!(peer.ask(1), EarlierVerdict::Granted);
    assert_eq!(env.call("GET", "/read/x", &[], "").status, 200);
    assert_eq!(env.daemon.metric("hickoryledge_cold_runners"), 0.0);
}

// A hall's runners may have become cold while it was evacuated, and their entries tell it late: all at
// once they got as many requests as warm ones.
#[test]
fn runners_of_a_hall_count_as_cold_when_its_evacuation_ends() {
    let env = TestEnv::unconfigured_in(["east", "west"], Some(EVACUATION_BOUND)).served();
    config::write_with(&env.store, 3, Some(COLD_RATE));
    let cold = |env: &TestEnv| env.daemon.metric("hickoryledge_cold_runners");
    let evacuated = "hickoryledge_hall_evacuated{hall=\"east\"}";
    env.store.put("op/evacuate/east", "{}");
    env.eventually("the hall is evacuated and no runner is cold", |env| {
        let version = env.daemon.metric("hickoryledge_configuration_version");
        version == 3.0 && env.daemon.metric(evacuated) == 1.0 && cold(env) == 0.0
    });
    env.store.delete("op/evacuate/east");
    env.eventually("the hall's plain runner is cold", |env| cold(env) == 1.0);
}
