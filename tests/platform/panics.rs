//! A daemon whose tasks panic: a real daemon whose adapter panics at an entry of the store.

use super::env::{Daemon, DaemonSettings, TestEnv};
use bytes::Bytes;
use hickoryledge::{
    core::{
        keys::{HallName, HostName},
        time::Span,
    },
    gateway::{
        self,
        adapter::{Adapter, CallHead, DecodeError, ForwardHeaders, ProbeReport, ResponseHead},
        order::Order,
        roster::Runner,
        settings::Settings,
        spec::Spec,
    },
    platform::{Platform, SETTINGS_VARIABLE},
};
use http::{HeaderMap, request, response};
use slog::{Drain as _, Logger, o};
use std::{
    io::stdout,
    net::SocketAddr,
    path::Path,
    process::Command,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Test that is the daemon if the variable of the settings file is set.
const DAEMON_TEST: &str = "panics::faulty_daemon";

/// Start of an entry at which the daemon panics, followed by how often it does.
const PANIC_MARK: &str = "panic ";

/// Number of panics so far.
static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Adapter of the platform that panics at marked entries of runners.
struct Faulty;

impl Adapter for Faulty {
    type Store = <Platform as Adapter>::Store;
    const SPEC_KEY: &'static str = Platform::SPEC_KEY;
    const OPERATOR_PREFIX: &'static str = Platform::OPERATOR_PREFIX;
    const RUNNER_PREFIX: &'static str = Platform::RUNNER_PREFIX;
    const OWN_PREFIX: &'static str = Platform::OWN_PREFIX;

    fn decode_runner(text: &str) -> Result<Runner, DecodeError> {
        if let Some(count) = text.strip_prefix(PANIC_MARK) {
            let count = count.parse().expect("a number");
            let before = PANICS.fetch_add(1, Ordering::Relaxed);
            assert!(before >= count, "the adapter panics at this entry");
        }
        Platform::decode_runner(text)
    }

    fn store(address: SocketAddr) -> Self::Store {
        Platform::store(address)
    }

    fn decode_spec(text: &str) -> Result<Spec, DecodeError> {
        Platform::decode_spec(text)
    }

    fn decode_evacuation(key: &str) -> Option<Result<HallName, DecodeError>> {
        Platform::decode_evacuation(key)
    }

    fn decode_report(text: &[u8]) -> Result<ProbeReport, DecodeError> {
        Platform::decode_report(text)
    }

    fn probe_path() -> &'static str {
        Platform::probe_path()
    }

    fn set_expected_host(headers: &mut HeaderMap, host: &HostName) {
        Platform::set_expected_host(headers, host);
    }

    fn encode_order(order: &Order) -> (&'static str, Bytes) {
        Platform::encode_order(order)
    }

    fn decode_call(head: &request::Parts) -> CallHead {
        Platform::decode_call(head)
    }

    fn set_headers(headers: &mut HeaderMap, values: &ForwardHeaders<'_>) {
        Platform::set_headers(headers, values);
    }

    fn set_relay_headers(headers: &mut HeaderMap, remaining: Span, resume_after: Option<u64>) {
        Platform::set_relay_headers(headers, remaining, resume_after);
    }

    fn decode_response(head: &response::Parts) -> ResponseHead {
        Platform::decode_response(head)
    }

    fn is_directory_request(head: &request::Parts) -> bool {
        Platform::is_directory_request(head)
    }

    fn encode_addresses(addresses: &[SocketAddr], ttl: Span) -> Bytes {
        Platform::encode_addresses(addresses, ttl)
    }

    fn is_readiness_probe(head: &request::Parts) -> bool {
        Platform::is_readiness_probe(head)
    }
}

/// Not a test by itself: the process that [`start_faulty`] starts.
#[test]
fn faulty_daemon() {
    let Some(path) = std::env::var_os(SETTINGS_VARIABLE) else {
        return;
    };
    let settings = Settings::read(Path::new(&path)).expect("settings");
    let json = slog_json::Json::default(stdout());
    let log = Logger::root(Mutex::new(json).ignore_res(), o!());
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let ended = runtime.block_on(gateway::run::<Faulty>(settings, log));
    let code = ended.map_or_else(
        |error| {
            println!("failed to run the daemon: {error:#}");
            1
        },
        |()| 0,
    );
    std::process::exit(code);
}

fn start_faulty(env: &TestEnv) -> Daemon {
    let program = std::env::current_exe().expect("the test knows its program");
    let mut command = Command::new(program);
    command.args(["--exact", DAEMON_TEST, "--nocapture"]);
    let mut settings = DaemonSettings::new("d2", env.store_address());
    settings.log = Some(env.log_path("d2"));
    let mut daemon = Daemon::start_command(command, &settings);
    daemon.may_panic = true;
    env.eventually("the faulty daemon serves", |env| serves(env, &daemon));
    daemon
}

fn serves(env: &TestEnv, daemon: &Daemon) -> bool {
    env.call_at(daemon, "GET", "/read/x", &[], "").status == 200
}

fn put_panic(env: &TestEnv, count: usize) {
    let key = format!("{}bad", Platform::RUNNER_PREFIX);
    env.store.put(&key, &format!("{PANIC_MARK}{count}"));
}

/// Guards against a daemon that goes on without a task that it needs: one whose watch had panicked
/// sent requests to runners that were gone, and knew none of the new ones.
#[test]
fn watch_goes_on_after_a_panic() {
    let env = TestEnv::start();
    let faulty = start_faulty(&env);
    put_panic(&env, 2);
    let restarts = format!(
        "hickoryledge_task_restarts_total{{task=\"{}\"}}",
        Platform::RUNNER_PREFIX
    );
    env.eventually("the watch was restarted twice", |_| {
        faulty.metric(&restarts) == 2.0
    });
    for runner in &env.plain_runners {
        runner.restart();
        let before = runner.requests().len();
        env.eventually("the new run of the runner is used", |env| {
            serves(env, &faulty) && runner.requests().len() > before
        });
    }
    let log = env.log_of("d2");
    assert_eq!(log.matches("task panicked and is restarted").count(), 2);
}

/// Guards against a daemon that restarts a task for ever: it fails, so that the platform starts it
/// again elsewhere, after the request that it serves has ended.
#[test]
fn daemon_ends_with_an_error_after_too_many_panics() {
    let env = TestEnv::start();
    let mut faulty = start_faulty(&env);
    let status = std::thread::scope(|scope| {
        let served = scope.spawn(|| env.call_at(&faulty, "GET", "/read/x?delay_ms=1500", &[], ""));
        std::thread::sleep(Duration::from_millis(300));
        put_panic(&env, usize::MAX);
        served.join().expect("called").status
    });
    assert_eq!(status, 200);
    env.eventually("the daemon has logged its end", |env| {
        let log = env.log_of("d2");
        log.contains("task panicked and is not restarted") && log.contains("failed to run")
    });
    assert_eq!(faulty.wait().code(), Some(1));
}
