//! A part of prompts crashes runners: one that stands behind many other shared parts, or one on which
//! a short answer is complete just before the crash.

use crate::site::{config, model_kind, send_chat, Model, Site, KEY, LONG};
use crate::Stage;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const STABLE: Duration = Duration::from_millis(3_000);

/// Plays it with a number of shared parts ahead of the bad one, a time from the first event to the
/// crash, and the tokens of the bad requests' answers.
pub fn play(stage: &Stage, ahead: usize, crash_after: Duration, tokens: u32) -> i32 {
    let record = &stage.record;
    let mut site = Site::new();
    let model = Model {
        size: 2,
        load_s: 16.0,
        warm_s: 1.6,
    };
    site.add_models(8, &model_kind());
    for runner in &site.models {
        *runner.bad_part.lock().unwrap() = Some("bad5".into());
        *runner.crash_after.lock().unwrap() = crash_after;
    }
    site.store.put("op/config", &config(7, 26, &model));
    site.start_daemons(stage, 3);
    let is_up = |site: &Site| site.open_heads() >= 3 && site.daemons.iter().all(|d| d.is_ready());
    if !site.until(Duration::from_secs(20), is_up) {
        record.say("the deployment doesn't come up");
        return 2;
    }
    record.say("groups are open, 3 daemons are ready");
    let shared: Vec<String> = (0..ahead).map(|n| format!("{:x}:40", 0xaa01 + n)).collect();
    let shared = shared.join(",");
    record.say(&format!("each prompt begins with {ahead} shared parts"));
    let addresses: Vec<_> = site.daemons.iter().map(|d| d.caller).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(Instant, String, u16)>>> = Arc::default();
    let bad = Arc::new(AtomicBool::new(false));
    let bad_sent = Arc::new(AtomicU64::new(0));
    for (name, gap, is_bad) in [("sound", 50, false), ("bad", 500, true)] {
        let (stop, sent, bad, count) = (stop.clone(), sent.clone(), bad.clone(), bad_sent.clone());
        let (addresses, shared) = (addresses.clone(), shared.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(gap));
                if is_bad && !bad.load(Ordering::SeqCst) {
                    continue;
                }
                number += 1;
                let to = addresses[number % addresses.len()];
                let id = format!("{name}-{number}");
                if is_bad {
                    count.fetch_add(1, Ordering::SeqCst);
                }
                let (sent, shared) = (sent.clone(), shared.clone());
                thread::spawn(move || {
                    let at = Instant::now();
                    let parts = match is_bad {
                        true => format!("{shared},bad5:30,{:x}:90", 0xe000 + number),
                        false => format!("{shared},{:x}:120", 0xc0000 + number),
                    };
                    let answer =
                        send_chat(to, KEY, &id, &parts, if is_bad { tokens } else { LONG });
                    sent.lock().unwrap().push((at, id, answer.status));
                });
            }
        });
    }
    thread::sleep(Duration::from_secs(6));
    let calm = (
        Instant::now() - Duration::from_secs(5),
        Instant::now() - Duration::from_millis(500),
    );
    if stage.has_trouble {
        bad.store(true, Ordering::SeqCst);
        record.say("requests with a part that crashes runners come from now on");
    }
    let crash_times = |site: &Site| -> Vec<Instant> {
        let seen = site.journal.all().into_iter();
        seen.filter(|s| s.what == "crashes on it")
            .map(|s| s.at)
            .collect()
    };
    site.until(Duration::from_secs(20), |site| crash_times(site).len() >= 5);
    thread::sleep(Duration::from_secs(24));
    stop.store(true, Ordering::SeqCst);
    let ended = Instant::now() - Duration::from_millis(500);
    thread::sleep(Duration::from_secs(3));
    let seen = site.journal.all();
    seen.iter()
        .for_each(|s| record.add_at(s.at, &format!("{} {} {}", s.runner, s.id, s.what)));
    let mut answers: BTreeMap<(bool, u16), u32> = BTreeMap::new();
    for (at, id, status) in sent.lock().unwrap().iter() {
        record.add_at(*at, &format!("client sent {id}, answer {status}"));
        *answers.entry((id.starts_with("bad"), *status)).or_default() += 1;
    }
    for daemon in &site.daemons {
        for line in daemon
            .log_lines()
            .iter()
            .filter(|l| l.contains("quarantine changed"))
        {
            record.add(&format!("log of {}: {line}", daemon.name));
        }
    }
    let times = crash_times(&site);
    record.say(&format!(
        "crashes: {}; requests with the part: {}",
        times.len(),
        bad_sent.load(Ordering::SeqCst)
    ));
    record.say(&format!("answers to (with the part, status): {answers:?}"));
    let from = times.get(4).map(|at| *at + STABLE);
    let late = seen.iter().filter(|s| {
        s.what == "reached" && s.id.starts_with("bad") && from.is_some_and(|from| s.at > from)
    });
    let late = late.count();
    // A sound request begins at its first attempt if a runner writes its first event at once.
    let begun: BTreeSet<&str> = seen
        .iter()
        .filter(|s| s.what == "runs")
        .map(|s| s.id.as_str())
        .collect();
    let share = |from: Instant, to: Instant| {
        let sent = sent.lock().unwrap();
        let all: Vec<&str> = sent
            .iter()
            .filter(|s| s.1.starts_with("sound") && s.0 >= from && s.0 < to)
            .map(|s| s.1.as_str())
            .collect();
        (
            all.iter().filter(|id| begun.contains(*id)).count(),
            all.len(),
        )
    };
    let (before, after) = (
        share(calm.0, calm.1),
        share(times.get(4).map_or(calm.1, |at| *at + 2 * STABLE), ended),
    );
    record.say(&format!(
        "sound requests that began, before: {} of {}",
        before.0, before.1
    ));
    record.say(&format!(
        "sound requests that began, from 2 x StableWindowMs after the fifth crash on: {} of {}",
        after.0, after.1
    ));
    let is_lost = after.1 >= 20
        && (after.0 as f64 / after.1 as f64) < 0.5 * (before.0 as f64 / before.1.max(1) as f64);
    record.say(if is_lost {
        "LOST is broken"
    } else {
        "LOST holds"
    });
    record.say(&format!("requests with the part that reached runners later than StableWindowMs after the fifth crash: {late}; allowed are 3"));
    record.say(if late > 3 {
        "BUDGET is broken"
    } else {
        "BUDGET holds"
    });
    i32::from(late > 3 || is_lost)
}
