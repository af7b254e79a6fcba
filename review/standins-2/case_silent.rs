//! The connection on which a daemon waits for changes of the configuration falls silent.

use crate::base::fetch;
use crate::daemon::Daemon;
use crate::proxy::Proxy;
use crate::site::{app_kind, config, plain, Model, Site};
use crate::Stage;
use std::thread;
use std::time::{Duration, Instant};

pub fn play(stage: &Stage) -> i32 {
    let record = &stage.record;
    let mut site = Site::new();
    let model = Model {
        size: 2,
        load_s: 16.0,
        warm_s: 1.6,
    };
    site.add_apps(3, &app_kind(20));
    site.store.put("op/config", &config(7, 26, &model));
    site.start_daemons(stage, 2);
    let proxy = Proxy::start(site.store.address);
    let third = Daemon::start(&stage.folder, "front-3", "hall-a", proxy.address);
    site.daemons.push(third);
    if !site.until(Duration::from_secs(20), |site| {
        site.daemons.iter().all(|d| d.is_ready())
    }) {
        return 2;
    }
    thread::sleep(Duration::from_secs(5));
    // Just after a long poll has begun.
    let call = "kv-watch?Prefix=op/config";
    let before = proxy.last(call);
    site.until(Duration::from_secs(6), |_| proxy.last(call) > before);
    thread::sleep(Duration::from_millis(50));
    let silent_at = Instant::now();
    if stage.has_trouble {
        let at = proxy.silence(call);
        record.say(&format!(
            "the open connection with the poll of front-3 falls silent, {:?} after the poll began",
            at.map(|a| a.elapsed())
        ));
    }
    thread::sleep(Duration::from_millis(300));
    let next = config(9, 26, &model).replace("\"/read/\"", "\"/moved/\"");
    site.store.put("op/config", &next);
    let confirmed = Instant::now();
    record.say("version 9, without the route /read/, is confirmed");
    let mut late = Vec::new();
    let mut number = 0;
    while silent_at.elapsed() < Duration::from_secs(9) {
        thread::sleep(Duration::from_millis(50));
        for daemon in &site.daemons {
            number += 1;
            let id = format!("{}-{number}", daemon.name);
            let at = Instant::now();
            let answer = fetch(
                daemon.caller,
                &plain("GET", "/read/2f", &id),
                Duration::from_secs(4),
            );
            record.add_at(at, &format!("client sent {id}; answer: {}", answer.status));
            let in_touch = at > silent_at + Duration::from_millis(3_000);
            if answer.status == 200 && in_touch && at > confirmed + Duration::from_millis(2_000) {
                late.push((id, at.duration_since(confirmed)));
            }
        }
    }
    let last = late.last().map(|l| l.1);
    record.say(&format!("requests run with the dropped route later than ConfigMs, by machines in touch: {}; the last {last:?} after the confirmation", late.len()));
    record.say(if late.is_empty() {
        "CONFIG holds"
    } else {
        "CONFIG is broken"
    });
    i32::from(!late.is_empty())
}
