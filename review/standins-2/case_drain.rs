//! A runner leaves, and the store comes back from a copy in which it is still listed.

use crate::base::fetch;
use crate::site::{app_kind, config, model_kind, plain, Model, Site};
use crate::Stage;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(2_000);

pub fn play(stage: &Stage) -> i32 {
    let record = &stage.record;
    let mut site = Site::new();
    let model = Model {
        size: 2,
        load_s: 16.0,
        warm_s: 1.6,
    };
    site.add_models(8, &model_kind());
    site.add_apps(3, &app_kind(100));
    site.store.put("op/config", &config(7, 26, &model));
    site.start_daemons(stage, 3);
    let is_up = |site: &Site| site.open_heads() >= 3 && site.daemons.iter().all(|d| d.is_ready());
    if !site.until(Duration::from_secs(20), is_up) {
        record.say("the deployment doesn't come up");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(Instant, String, u16)>>> = Arc::default();
    for daemon in &site.daemons {
        let (to, stop, name, sent) = (
            daemon.caller,
            stop.clone(),
            daemon.name.clone(),
            sent.clone(),
        );
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(50));
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
    let copy = site.store.copy();
    let copied_at = Instant::now();
    thread::sleep(Duration::from_secs(1));
    let leaver = site.apps[2].clone();
    leaver.leave_unannounced();
    let left_at = Instant::now();
    record.say(&format!(
        "{} leaves: its entry is removed, and it serves on",
        leaver.id
    ));
    thread::sleep(Duration::from_millis(2_500));
    if stage.has_trouble {
        site.store.set_down(true);
        record.say("the store is away");
        thread::sleep(Duration::from_millis(500));
        site.store.restore(copy);
        record.say(&format!(
            "the store is back from a copy {} ms old",
            copied_at.elapsed().as_millis()
        ));
    }
    // It serves on for some seconds more, and then exits.
    thread::sleep(
        (left_at + Duration::from_millis(6_600)).saturating_duration_since(Instant::now()),
    );
    leaver.crash();
    record.say(&format!("{} exits", leaver.id));
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(1));
    let sent = sent.lock().unwrap();
    for (at, id, status) in sent.iter() {
        record.add_at(*at, &format!("client sent {id}, answer {status}"));
    }
    let seen = site.journal.all();
    seen.iter()
        .for_each(|s| record.add_at(s.at, &format!("{} {} {}", s.runner, s.id, s.what)));
    // All daemons have acknowledged its leaving once none sends it a request any more.
    let at_leaver: Vec<_> = seen
        .iter()
        .filter(|s| s.runner == leaver.id && s.what == "runs")
        .collect();
    let late: Vec<_> = at_leaver
        .iter()
        .filter(|s| s.at > left_at + Duration::from_millis(1_000) + DRAIN)
        .collect();
    late.iter().for_each(|s| {
        record.say(&format!(
            "{} reached {} {} ms after its entry was removed",
            s.id,
            s.runner,
            s.at.duration_since(left_at).as_millis()
        ))
    });
    let lost = late
        .iter()
        .filter(|s| {
            sent.iter()
                .any(|(_, id, status)| *id == s.id && *status != 200)
        })
        .count();
    record.say(&format!("of these, answered without success: {lost}"));
    record.say(if late.is_empty() {
        "DRAIN holds"
    } else {
        "DRAIN is broken"
    });
    i32::from(!late.is_empty())
}
