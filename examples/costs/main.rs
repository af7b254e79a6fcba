//! Measures what a decision costs: time for each request and each token, and
//! memory for each open and each queued request, at two sizes of the fleet.
//! The harness around the request part is in the figures.

#[path = "../../tests/request/harness.rs"]
#[allow(dead_code)]
mod harness;

use argh::FromArgs;
use harness::{Rig, Sent, model_call};
use hickoryledge::core::{
    input::{CallRequest, LoadReport, RunnerInput},
    time::Span,
};
use std::{hint::black_box, time::Instant};

/// Prompt blocks of each request.
const BLOCKS: u64 = 16;

/// Tokens of each request for the cost of a token.
const TOKENS: u32 = 64;

/// Measures the cost of decisions.
#[derive(FromArgs)]
struct Args {
    /// requests for each figure
    #[argh(option, default = "100_000")]
    requests: usize,
}

struct Size {
    daemons: u16,
    groups: usize,
    hosts: usize,
}

fn rig(size: &Size) -> Rig {
    let mut rig = Rig::for_daemon(1, 1, &[]);
    rig.put_groups("m", &vec![size.hosts; size.groups]);
    for daemon in 2..=size.daemons {
        rig.put_daemon(daemon, 1);
    }
    for group in 0..size.groups {
        let report = LoadReport {
            running: 10,
            slots: 4_000_000,
            token_gap: Span::from_millis(10),
            ..LoadReport::default()
        };
        rig.report_load(format!("m-{group}-0").as_str().into(), Some(report));
    }
    rig
}

fn request(number: usize) -> CallRequest {
    let family = number as u64 % 500;
    CallRequest {
        prefix: (0..BLOCKS).map(|block| family * BLOCKS + block).collect(),
        prompt_tokens: 1_024,
        ..model_call("m")
    }
}

fn open(rig: &mut Rig, request: CallRequest) -> Sent {
    rig.call(request);
    let sent = rig.sent_one();
    rig.accept(&sent);
    sent
}

fn finish(rig: &mut Rig, sent: &Sent) {
    rig.runner_event(RunnerInput::Finished {
        attempt: sent.attempt,
    });
    rig.outputs.clear();
}

/// Microseconds for each request, from arrival to end, without tokens.
fn request_cost(size: &Size, requests: usize) -> f64 {
    let mut rig = rig(size);
    let began = Instant::now();
    for number in 0..requests {
        let sent = open(&mut rig, request(number));
        finish(&mut rig, &sent);
    }
    micros(began, requests)
}

/// Microseconds for each token.
fn token_cost(size: &Size, requests: usize) -> f64 {
    let mut rig = rig(size);
    let count = requests / TOKENS as usize;
    let open: Vec<Sent> = (0..count)
        .map(|number| open(&mut rig, request(number)))
        .collect();
    let began = Instant::now();
    for offset in 0..TOKENS {
        for sent in &open {
            rig.chunk(sent.attempt, offset, 1);
        }
        black_box(&rig.outputs);
        rig.outputs.clear();
    }
    micros(began, count * TOKENS as usize)
}

fn micros(began: Instant, count: usize) -> f64 {
    began.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Bytes for each request, open or queued.
fn memory(size: &Size, requests: usize, is_queued: bool) -> f64 {
    let mut rig = rig(size);
    if is_queued {
        for group in 0..size.groups {
            let report = LoadReport {
                running: 4_000_000,
                slots: 1,
                ..LoadReport::default()
            };
            rig.report_load(format!("m-{group}-0").as_str().into(), Some(report));
        }
    }
    for key in 2..=250 {
        rig.put_account(&format!("a{key}"), key, serde_json::json!({}));
    }
    let before = resident();
    for number in 0..requests {
        let mut asked = request(number);
        asked.credential.0 = [2 + (number % 249) as u8; 32];
        if is_queued {
            rig.call(asked);
        } else {
            open(&mut rig, asked);
        }
        rig.outputs.clear();
    }
    let bytes = resident().saturating_sub(before);
    let held = rig.requests.open_count();
    assert_eq!(held, requests, "every request is held");
    std::mem::forget(rig);
    bytes as f64 / held as f64
}

/// Memory in use, in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0) * 4_096
}

fn main() {
    let args: Args = argh::from_env();
    let sizes = [
        Size {
            daemons: 8,
            groups: 17,
            hosts: 4,
        },
        Size {
            daemons: 340,
            groups: 112,
            hosts: 16,
        },
    ];
    println!("| daemons | runners | request us | token us | open B | queued B |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let memories = sizes
        .iter()
        .map(|size| (memory(size, 20_000, false), memory(size, 4_000, true)));
    let memories: Vec<_> = memories.collect();
    for (size, (open, queued)) in sizes.iter().zip(memories) {
        println!(
            "| {} | {} | {:.1} | {:.2} | {open:.0} | {queued:.0} |",
            size.daemons,
            size.groups * size.hosts,
            request_cost(size, args.requests),
            token_cost(size, args.requests * 10),
        );
    }
}
