//! Plays one case of the review: `rig CASE FOLDER`, in the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod base;
mod case_drain;
mod case_part;
mod case_silent;
mod case_stranger;
mod case_tie;
mod daemon;
mod proxy;
mod runner;
mod site;
mod store;

use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time after which a case is given up.
const MAX_TIME: Duration = Duration::from_secs(115);

/// Record of a case: what was sent, answered and run.
pub struct Record {
    started: Instant,
    file: Mutex<std::fs::File>,
}

impl Record {
    pub fn add(&self, text: &str) {
        self.add_at(Instant::now(), text);
    }
    pub fn add_at(&self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.started).as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} ms  {text}");
    }
    pub fn say(&self, text: &str) {
        self.add(text);
        println!("{text}");
    }
}

pub struct Stage {
    pub record: Record,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// False if the case is to be played without its disruption.
    pub has_trouble: bool,
}

/// Returns a variable's number.
fn number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        println!("rig CASE FOLDER");
        std::process::exit(2);
    };
    let path = PathBuf::from(folder).join("record.txt");
    let temporary = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
    let opened = std::fs::create_dir_all(&temporary).and_then(|()| std::fs::File::create(path));
    let Ok(file) = opened else {
        println!("the record can't be written");
        std::process::exit(2);
    };
    let stage = Stage {
        record: Record {
            started: Instant::now(),
            file: Mutex::new(file),
        },
        folder: temporary.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        println!("the case takes too long");
        daemon::end_all();
        std::process::exit(2);
    });
    let play = || match case.as_str() {
        "tie" => case_tie::play(&stage),
        "part" => case_part::play(
            &stage,
            number("AHEAD", 32) as usize,
            Duration::ZERO,
            site::LONG,
        ),
        "late" => {
            let after = Duration::from_millis(number("AFTER_MS", 20));
            case_part::play(&stage, 1, after, number("TOKENS", 6) as u32)
        }
        "stranger" => case_stranger::play(&stage),
        "silent" => case_silent::play(&stage),
        "drain" => case_drain::play(&stage),
        _ => 2,
    };
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play)).unwrap_or(2);
    daemon::end_all();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(temporary);
    } else {
        println!("kept {}", temporary.display());
    }
    std::process::exit(outcome);
}
