//! Cases of the review that can't be put as days of the bench: `review-rig CASE RECORD`.
//!
//! Starts the project's daemons as separate processes, and plays the platform's store, the runners
//! and the clients. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
//! run. With TROUBLE=0 the disruption is left out.

mod cases;
mod daemon;
mod half;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::{panic::catch_unwind, process::exit, time::Duration};

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    Unable(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, mode, id] = args.as_slice()
        && mode == "half-runner"
    {
        return half::run(id);
    }
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-rig CASE RECORD");
        exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(118));
        eprintln!("the case takes too long");
        exit(2);
    });
    let record = record::Record::create(path);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
    let played = catch_unwind(|| cases::run(case, &record, has_trouble, &folder));
    let verdict = played.unwrap_or_else(|_| Verdict::Unable("a stand-in failed".to_owned()));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::Unable(cause) => (format!("the case couldn't run: {cause}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
