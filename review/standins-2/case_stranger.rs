//! Another writer leaves an entry among those of the runners, without the start that each runner tells.

use crate::base::{fetch, free_address, Conn};
use crate::site::{app_kind, config, plain, Model, Site};
use crate::Stage;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Server of somebody else: it answers whatever comes, and knows nothing of the platform's headers.
fn serve_stranger(listener: TcpListener, journal: Arc<crate::runner::Journal>) {
    for stream in listener.incoming().flatten() {
        let journal = journal.clone();
        thread::spawn(move || {
            let mut conn = Conn::new(stream);
            while let Some(head) = conn.head() {
                if conn.body(&head, false).is_none() {
                    return;
                }
                let id = head.get("x-request-id").unwrap_or("").to_owned();
                journal.add("stranger", &id, &format!("runs {}", head.first));
                if !conn.json(200, "", "{\"ok\":true}") {
                    return;
                }
            }
        });
    }
}

pub fn play(stage: &Stage) -> i32 {
    let record = &stage.record;
    let mut site = Site::new();
    let model = Model {
        size: 2,
        load_s: 16.0,
        warm_s: 1.6,
    };
    site.add_apps(3, &app_kind(60));
    site.store.put("op/config", &config(7, 26, &model));
    site.start_daemons(stage, 3);
    if !site.until(Duration::from_secs(20), |site| {
        site.daemons.iter().all(|d| d.is_ready())
    }) {
        record.say("the deployment doesn't come up");
        return 2;
    }
    record.say("3 daemons are ready");
    let address = free_address();
    let listener = TcpListener::bind(address).expect("bind the stranger");
    let journal = site.journal.clone();
    thread::spawn(move || serve_stranger(listener, journal));
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(Instant, String, u16)>>> = Arc::default();
    for daemon in &site.daemons {
        let (to, name) = (daemon.caller, daemon.name.clone());
        let (stop, sent) = (stop.clone(), sent.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(100));
                number += 1;
                let (id, sent) = (format!("{name}-{number}"), sent.clone());
                thread::spawn(move || {
                    let at = Instant::now();
                    let answer = fetch(to, &plain("POST", "/once/2f", &id), Duration::from_secs(4));
                    sent.lock().unwrap().push((at, id, answer.status));
                });
            }
        });
    }
    thread::sleep(Duration::from_secs(3));
    if stage.has_trouble {
        // Fields are missing: Version, Slots, Models, Seq and born.
        let entry = format!("{{\"Service\":\"app\",\"Address\":\"{address}\",\"Zone\":\"hall-a\",\"State\":\"ready\"}}");
        record.say(&format!("another writer puts servers/x-31f0: {entry}"));
        site.store.put("servers/x-31f0", &entry);
    }
    thread::sleep(Duration::from_secs(10));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    let seen = site.journal.all();
    let sent = sent.lock().unwrap();
    for (at, id, status) in sent.iter() {
        record.add_at(*at, &format!("client sent {id}; answer: {status}"));
    }
    seen.iter()
        .for_each(|s| record.add_at(s.at, &format!("{} {} {}", s.runner, s.id, s.what)));
    let strange: Vec<&str> = seen
        .iter()
        .filter(|s| s.runner == "stranger")
        .map(|s| s.id.as_str())
        .collect();
    let lost = sent
        .iter()
        .filter(|(_, id, status)| strange.contains(&id.as_str()) && *status != 200)
        .count();
    record.say(&format!(
        "requests: {}; run by the stranger: {}; of these answered without success: {lost}",
        sent.len(),
        strange.len()
    ));
    record.say(if strange.is_empty() {
        "ROUTE holds"
    } else {
        "ROUTE is broken"
    });
    i32::from(!strange.is_empty())
}
