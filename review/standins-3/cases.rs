//! The cases.

use crate::{
    Verdict,
    daemon::Daemon,
    half,
    http::{self, Message},
    json::Json,
    record::Record,
    runner::{BAD_PART, Heads, Runner, Spec},
    store::Store,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

const HOST: &str = "review.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub fn run(case: &str, record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Verdict {
    match case {
        "incomplete-entry" => incomplete_entry(record, has_trouble, folder),
        "new-template" => new_template(record, has_trouble, folder),
        "killed-midway" => killed_midway(record, has_trouble, folder),
        "after-release" => after_release(record, has_trouble, folder),
        "long-prompt" => long_prompt(record, has_trouble, folder),
        _ => Verdict::Unable("no such case".to_owned()),
    }
}

/// Returns a config with a streaming service and a plain one.
fn config(version: i64, size: i64) -> Json {
    let text = format!(
        r#"{{"Version":{version},"Routes":[
        {{"Name":"gen","Host":"{HOST}","Prefix":"/gen/","Kind":"stream","TimeoutMs":8000,"SloMs":400,"Priority":1,"Service":"llm","Attempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapAimMs":250}},
        {{"Name":"get","Host":"{HOST}","Prefix":"/get/","Kind":"safe","TimeoutMs":8000,"SloMs":300,"Priority":2,"Service":"app","Attempts":2,"Public":false,"Sticky":false,"Resumable":false}},
        {{"Name":"tell","Host":"{HOST}","Prefix":"/tell/","Kind":"stream","TimeoutMs":8000,"SloMs":300,"Priority":2,"Service":"app","Attempts":2,"Public":false,"Sticky":false,"Resumable":false,"GapAimMs":2000}},
        {{"Name":"do","Host":"{HOST}","Prefix":"/do/","Kind":"unsafe","TimeoutMs":8000,"SloMs":300,"Priority":2,"Service":"app","Attempts":2,"Public":false,"Sticky":false,"Resumable":false}}],
        "Services":[
        {{"Name":"llm","HealthPath":"/healthz","MaxConns":314,"Protocol":"h1","Tls":false,"Engine":{{"Slots":26,"KvCacheTokens":2470000,"KvTokenBytes":35136,"LinkMbps":400000.0,"Stride":6,"Models":[{{"Name":"m1","size":{size},"Share":1.0,"pace":1.0,"LoadS":1.5,"WarmS":0.8}}],"step_ms":6.45,"per_seq_ms":0.0967,"context_per_k":0.00293,"read_per_s":56100.0,"pairs_per_m":0.309,"chunk":2048,"report_lag_ms":200.0,"LoadsPerS":5.5,"loads_at_once":8,"delays":[],"usual":{{"prompt":1115,"answer":152}},"Keeps":1,"far_x":4.0,"FormMs":300.0}}}},
        {{"Name":"app","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}}],
        "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
        "Tenants":[{{"Name":"hule930","ApiKeys":["{KEY}"],"Priority":1}}]}}"#
    );
    Json::parse(&text).expect("the config is valid")
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn next_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed) * 0x9e37_79b9_7f4a_7c15 % u64::MAX)
}

/// Sends a generation as a client does, and returns the response.
fn generate(front: SocketAddr, id: &str) -> std::io::Result<Message> {
    generate_on(front, id, "5c1e07a2:600")
}

/// Sends a generation on a prompt with these shared parts.
fn generate_on(front: SocketAddr, id: &str, shared: &str) -> std::io::Result<Message> {
    let head = format!(
        "POST /gen/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
         X-Model: m1\r\nX-Token-Count: 700,60\r\nX-Prompt-Prefix: {shared},{id}:100\r\n\
         Authorization: Bearer {KEY}\r\n"
    );
    http::call(front, &head, format!("prompt of {id}").as_bytes(), Duration::from_secs(9), |_| {})
}

fn wait_for(timeout: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

fn is_ready(daemon: &Daemon) -> bool {
    let head = "GET /readyz HTTP/1.1\r\nHost: x\r\n";
    let answered = http::call(daemon.ready, head, b"", Duration::from_secs(1), |_| {});
    answered.is_ok_and(|response| response.status() == 200)
}

/// Five runners of one domain, whose model has groups of three: one group serves and two are spare.
/// Then the entry of the group's head is overwritten once by another writer, with a field missing.
fn incomplete_entry(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Verdict {
    let store = Store::start();
    store.put("op/config", &config(7, 3));
    let heads = Heads::default();
    let runners: Vec<Arc<Runner>> = ["i-01", "i-02", "i-03", "i-04", "i-05"]
        .into_iter()
        .map(|id| {
            let spec = Spec {
                id,
                service: "llm",
                zone: "hall-a",
                domain: Some("d1"),
                events: 30,
                pause: Duration::from_millis(50),
                crashes_from: 1,
            };
            Runner::start(spec, &heads, &store, record)
        })
        .collect();
    let daemons: Vec<Daemon> = ["front-1", "front-2", "front-3"]
        .into_iter()
        .map(|name| Daemon::start(name, "hall-a", store.address, folder, 8))
        .collect();
    if !wait_for(Duration::from_secs(10), || daemons.iter().all(is_ready)) {
        return Verdict::Unable("the daemons don't become ready".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let front = daemons[number % daemons.len()].front;
            let (stop, outcomes, record) = (stop.clone(), outcomes.clone(), record.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = next_id();
                    record.line(&format!("client sends {id}"));
                    let outcome = match generate(front, &id) {
                        Ok(response) if response.status() == 200 && !response.whole => "200 broken off".to_owned(),
                        Ok(response) => response.status().to_string(),
                        Err(error) => error.kind().to_string(),
                    };
                    record.line(&format!("client got {outcome} for {id}"));
                    let pause = if outcome == "200" { 100 } else { 500 };
                    *outcomes.lock().unwrap().entry(outcome).or_default() += 1;
                    std::thread::sleep(Duration::from_millis(pause));
                }
            })
        })
        .collect();
    let open_head = || {
        let is_open = |runner: &&Arc<Runner>| {
            runner.member().is_some_and(|member| member.rank == 0 && member.state == "open")
        };
        runners.iter().find(is_open).cloned()
    };
    let spares_staged = || {
        let spares = runners.iter().filter(|runner| runner.member().is_none());
        let staged = spares.filter(|runner| runner.staged().contains(&"m1".to_owned()));
        staged.count() >= 2
    };
    let is_up = wait_for(Duration::from_secs(40), || open_head().is_some() && spares_staged());
    if !is_up {
        return Verdict::Unable("no group serves beside two staged spares".to_owned());
    }
    std::thread::sleep(Duration::from_secs(6));
    let Some(head) = open_head() else {
        return Verdict::Unable("the group has closed by itself".to_owned());
    };
    record.line(&format!("the head of the open group is {}", head.id));
    if has_trouble {
        // Once, just after the runner's own write; the runner writes again within HeartbeatMs.
        head.beat();
        let foreign = head.entry().without(&["group"]);
        record.line(&format!("another writer puts {}: {foreign}", head.key()));
        store.put(&head.key(), &foreign);
    }
    std::thread::sleep(Duration::from_secs(10));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.line(&format!("outcomes: {:?}", outcomes.lock().unwrap()));
    let breaks: Vec<String> =
        runners.iter().flat_map(|runner| runner.breaks.lock().unwrap().clone()).collect();
    breaks.iter().for_each(|text| println!("{text}"));
    match breaks.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// Share of the sound requests that began at the first attempt.
#[derive(Default)]
struct Begun {
    sent: usize,
    begun: usize,
}

impl Begun {
    fn share(&self) -> f64 {
        self.begun as f64 / self.sent.max(1) as f64
    }
}

/// A caller's requests get another first part, on which nothing has been answered yet; from then on
/// some of them also hold a part that crashes runners.
fn new_template(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Verdict {
    let prompts = Prompts {
        before: "5c1e07a2:600",
        after: "a1a1:500",
        bad: format!("a1a1:500,{BAD_PART}:100"),
        has_release: false,
    };
    crashing_part(record, has_trouble, folder, prompts)
}

/// Some prompts are those of long sessions, with many parts; a late one of them crashes runners.
fn long_prompt(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Verdict {
    // `@` stands for the request, as each session has parts of its own.
    let turns = std::env::var("TURNS").ok().and_then(|text| text.parse().ok()).unwrap_or(35);
    let turns: String = (1..=turns).map(|turn| format!("{turn:04x}@:20,")).collect();
    let prompts = Prompts {
        before: "5c1e07a2:600",
        after: "5c1e07a2:600",
        bad: format!("5c1e07a2:600,{turns}{BAD_PART}:20"),
        has_release: false,
    };
    crashing_part(record, has_trouble, folder, prompts)
}

/// Shared parts of the prompts in a case.
struct Prompts {
    /// Those of sound requests before the bad ones come.
    before: &'static str,
    /// Those of sound requests from then on.
    after: &'static str,
    /// Those of the bad requests.
    bad: String,
    /// True if these are sound at first, and crash runners only after an upgrade of their software.
    has_release: bool,
}

/// A part of prompts in daily use crashes runners once their software has been upgraded.
fn after_release(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Verdict {
    let prompts = Prompts {
        before: "5c1e07a2:600",
        after: "5c1e07a2:600",
        bad: format!("5c1e07a2:600,{BAD_PART}:100"),
        has_release: true,
    };
    crashing_part(record, has_trouble, folder, prompts)
}

/// Sends sound requests, and from some time on also bad ones, and compares how many of the sound ones
/// begin at the first attempt.
fn crashing_part(record: &Arc<Record>, has_trouble: bool, folder: &Path, prompts: Prompts) -> Verdict {
    const TOUCH: Duration = Duration::from_secs(3);
    // Each of the three daemons gets such a request every three seconds.
    let bad_pause = 3_000;
    let store = Store::start();
    store.put("op/config", &config(7, 3));
    let heads = Heads::default();
    let runners: Vec<Arc<Runner>> = (1..=10)
        .map(|number| {
            let spec = Spec {
                id: &format!("i-{number:02}"),
                service: "llm",
                zone: "hall-a",
                domain: Some(if number <= 5 { "d1" } else { "d2" }),
                events: 30,
                pause: Duration::from_millis(40),
                crashes_from: if prompts.has_release { 2 } else { 1 },
            };
            Runner::start(spec, &heads, &store, record)
        })
        .collect();
    let daemons: Vec<Daemon> = ["front-1", "front-2", "front-3"]
        .into_iter()
        .map(|name| Daemon::start(name, "hall-a", store.address, folder, 8))
        .collect();
    if !wait_for(Duration::from_secs(10), || daemons.iter().all(is_ready)) {
        return Verdict::Unable("the daemons don't become ready".to_owned());
    }
    let open_heads = || {
        let is_open = |runner: &&Arc<Runner>| {
            runner.member().is_some_and(|member| member.rank == 0 && member.state == "open")
        };
        runners.iter().filter(is_open).count()
    };
    if !wait_for(Duration::from_secs(40), || open_heads() == 2) {
        return Verdict::Unable("no two groups serve".to_owned());
    }
    let crashes = || {
        let mut times: Vec<Instant> =
            runners.iter().flat_map(|runner| runner.crashes.lock().unwrap().clone()).collect();
        times.sort();
        times
    };
    let stop = Arc::new(AtomicBool::new(false));
    let template = Arc::new(Mutex::new(prompts.before));
    let sends_bad = Arc::new(AtomicBool::new(false));
    // Time at which each sound request was sent, and whether it began.
    let log: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..9 {
        let front = daemons[number % daemons.len()].front;
        let (stop, template, log, record) = (stop.clone(), template.clone(), log.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let id = next_id();
                let shared = *template.lock().unwrap();
                let sent = Instant::now();
                record.line(&format!("client sends {id} on {shared}"));
                let answer = generate_on(front, &id, shared);
                let status = answer.as_ref().map_or(0, Message::status);
                let begun = answer.is_ok_and(|answer| answer.status() == 200 && !answer.body.is_empty());
                record.line(&format!("client got {status} for {id}, begun: {begun}"));
                log.lock().unwrap().push((sent, begun));
                std::thread::sleep(Duration::from_millis(300));
            }
        }));
    }
    for number in 0..daemons.len() {
        let front = daemons[number].front;
        let (stop, sends_bad, record) = (stop.clone(), sends_bad.clone(), record.clone());
        let bad = prompts.bad.clone();
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(bad_pause / 3 * number as u64));
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(bad_pause));
                if sends_bad.load(Ordering::Relaxed) {
                    let (id, record, bad) = (next_id(), record.clone(), bad.clone());
                    std::thread::spawn(move || {
                        record.line(&format!("client sends {id} with the bad part"));
                        let answer = generate_on(front, &id, &bad.replace('@', &id[4..]));
                        let status = answer.as_ref().map_or(0, Message::status);
                        record.line(&format!("client got {status} for {id} with the bad part"));
                    });
                }
            }
        }));
    }
    // Before a release the part is sound, and its requests come like all others.
    sends_bad.store(prompts.has_release, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(15));
    let baseline_end = Instant::now();
    if prompts.has_release {
        sends_bad.store(false, Ordering::Relaxed);
        record.line("the runners are replaced, one each second, in releases of four in ten");
        for part in runners.chunks(4) {
            let upgrades: Vec<_> = part
                .iter()
                .map(|runner| {
                    let runner = runner.clone();
                    std::thread::sleep(Duration::from_secs(1));
                    std::thread::spawn(move || runner.upgrade())
                })
                .collect();
            upgrades.into_iter().for_each(|upgrade| drop(upgrade.join()));
            std::thread::sleep(Duration::from_secs(2));
        }
        if !wait_for(Duration::from_secs(15), || open_heads() == 2) {
            return Verdict::Unable("no two groups serve after the release".to_owned());
        }
    }
    let changed = Instant::now();
    *template.lock().unwrap() = prompts.after;
    sends_bad.store(has_trouble, Ordering::Relaxed);
    record.line("the bad requests come from here on");
    if has_trouble {
        wait_for(Duration::from_secs(25), || crashes().len() >= 5);
    }
    // The fifth crash, or the last if there are fewer.
    let crash = crashes().into_iter().take(5).last();
    let from = crash.unwrap_or(changed) + 2 * TOUCH;
    std::thread::sleep((from + Duration::from_secs(25)).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let (mut before, mut after) = (Begun::default(), Begun::default());
    for (sent, begun) in log.lock().unwrap().iter() {
        let counted = match *sent {
            sent if sent < baseline_end => &mut before,
            sent if sent >= from => &mut after,
            _ => continue,
        };
        counted.sent += 1;
        counted.begun += usize::from(*begun);
    }
    let text = format!(
        "{} crashes; sound requests begun: {} of {} before, {} of {} from 2 x StableWindowMs after the fifth crash, or the last",
        crashes().len(),
        before.begun, before.sent, after.begun, after.sent
    );
    record.line(&text);
    println!("{text}");
    if before.sent < 20 || after.sent < 20 {
        return Verdict::Unable("too few requests".to_owned());
    }
    match after.share() < before.share() / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// A runner whose answers have neither a length nor chunks, as a process of its own.
struct HalfRunner {
    process: std::process::Child,
    lines: std::sync::mpsc::Receiver<String>,
    stop: Arc<AtomicBool>,
}

impl HalfRunner {
    fn start(id: &str, store: &Arc<Store>) -> Self {
        use std::io::BufRead as _;
        let program = std::env::current_exe().expect("this program has a path");
        let mut process = std::process::Command::new(program)
            .args(["half-runner", id])
            .stdout(std::process::Stdio::piped())
            .spawn()
            .expect("this program starts again");
        let output = process.stdout.take().expect("the output is piped");
        let (sender, lines) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in std::io::BufReader::new(output).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        let address = lines.recv().expect("the runner tells its address");
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = born.expect("the clock is set").as_millis();
        let stop = Arc::new(AtomicBool::new(false));
        let (store, stopped, id) = (store.clone(), stop.clone(), id.to_owned());
        // Its entry, written for it; it lapses as PROTOCOL.md says once the runner is gone.
        std::thread::spawn(move || {
            let mut seq = 0;
            while !stopped.load(Ordering::Relaxed) {
                seq += 1;
                let entry = format!(
                    r#"{{"Service":"app","Address":"{address}","Zone":"hall-a","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":{seq},"born":{born}}}"#
                );
                store.put(&format!("servers/{id}"), &Json::parse(&entry).expect("valid"));
                std::thread::sleep(Duration::from_millis(1_200));
            }
            std::thread::sleep(Duration::from_millis(3_600));
            store.delete(&format!("servers/{id}"));
        });
        Self { process, lines, stop }
    }

    fn kill(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for HalfRunner {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runners are killed in the middle of answers that end with their connections.
fn killed_midway(record: &Arc<Record>, has_trouble: bool, folder: &Path) -> Verdict {
    let store = Store::start();
    store.put("op/config", &config(7, 3));
    let daemons: Vec<Daemon> = ["front-1", "front-2"]
        .into_iter()
        .map(|name| Daemon::start(name, "hall-a", store.address, folder, 8))
        .collect();
    let mut broken = Vec::new();
    let requests = [("do", "POST"), ("get", "GET"), ("tell", "POST")];
    for (number, (route, method)) in requests.into_iter().enumerate() {
        // One of six runners is killed: 17 in 100 of them.
        let mut runners: Vec<(String, HalfRunner)> = (1..=6)
            .map(|index| format!("i-{number}{index}"))
            .map(|id| (id.clone(), HalfRunner::start(&id, &store)))
            .collect();
        let daemon = &daemons[number % daemons.len()];
        if !wait_for(Duration::from_secs(10), || is_ready(daemon)) {
            return Verdict::Unable("a daemon doesn't become ready".to_owned());
        }
        std::thread::sleep(Duration::from_secs(2));
        let id = next_id();
        let path = format!("/{route}/x");
        let (front, head) = (
            daemon.front,
            format!(
                "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\n\
                 Authorization: Bearer {KEY}\r\n"
            ),
        );
        record.line(&format!("client sends {id}: {method} {path}"));
        let client =
            std::thread::spawn(move || http::call(front, &head, b"", Duration::from_secs(7), |_| {}));
        let mut chosen = None;
        wait_for(Duration::from_secs(5), || {
            chosen = runners.iter().position(|(_, runner)| runner.lines.try_recv().as_deref() == Ok(id.as_str()));
            chosen.is_some()
        });
        let Some((name, runner)) = chosen.map(|index| &mut runners[index]) else {
            return Verdict::Unable(format!("no runner began to answer {id}"));
        };
        record.line(&format!("runner {name} has written the first half of its answer to {id}"));
        std::thread::sleep(Duration::from_millis(300));
        if has_trouble {
            runner.kill();
            record.line(&format!("runner {name} is killed"));
        }
        let (first, second) = half::halves(&path, &id);
        let whole = first + &second;
        let Ok(Ok(answer)) = client.join() else {
            record.line(&format!("client got no answer to {id}"));
            continue;
        };
        let is_success = (200..300).contains(&answer.status());
        record.line(&format!(
            "client got {} with {} of {} bytes, complete as HTTP: {}, stamp: {:?}",
            answer.status(),
            answer.body.len(),
            whole.len(),
            answer.whole,
            answer.header("x-response-stamp")
        ));
        if is_success && answer.whole && answer.text() != whole {
            let text = format!("MIXED: {method} {path} got a success with {} of {} bytes that looks complete", answer.body.len(), whole.len());
            record.line(&text);
            println!("{text}");
            broken.push(text);
        }
        if !has_trouble && !(is_success && answer.whole && answer.text() == whole) {
            return Verdict::Unable(format!("{method} {path} failed without a disruption"));
        }
    }
    match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
