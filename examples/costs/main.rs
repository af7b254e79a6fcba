//! Measures the cost of request handling in the decision logic: time per request
//! and per token, and memory per open and per queued request, at two sizes of the
//! cluster. The results include the cost of the test harness.

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
const PROMPT_BLOCKS: u64 = 16;

/// Tokens of each request when the time per token is measured.
const OUTPUT_TOKENS: u32 = 64;

/// Measures the cost of request handling.
#[derive(FromArgs)]
struct Args {
    /// number of requests per measurement
    #[argh(option, default = "100_000")]
    requests: usize,
}

/// Size of the cluster.
struct Size {
    daemons: u16,
    groups: usize,
    /// Hosts per group.
    group_size: usize,
}

/// Returns the harness of one daemon in a cluster of the size, with a slot for every request.
fn new_rig(size: &Size) -> Rig {
    let mut rig = Rig::for_daemon(1, 1, &[]);
    rig.put_groups("m", &vec![size.group_size; size.groups]);
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

/// Returns a request with one of 500 prompts.
fn new_request(number: usize) -> CallRequest {
    let prompt = number as u64 % 500;
    CallRequest {
        prefix: (0..PROMPT_BLOCKS)
            .map(|block| prompt * PROMPT_BLOCKS + block)
            .collect(),
        prompt_tokens: 1_024,
        ..model_call("m")
    }
}

/// Makes a call whose attempt the runner accepts.
fn open_request(rig: &mut Rig, request: CallRequest) -> Sent {
    rig.call(request);
    let sent = rig.sent_one();
    rig.accept(&sent);
    sent
}

/// Ends a request.
fn finish_request(rig: &mut Rig, sent: &Sent) {
    rig.runner_event(RunnerInput::Finished {
        attempt: sent.attempt,
    });
    rig.outputs.clear();
}

/// Returns the microseconds per request, from arrival to end, without tokens.
fn request_cost(size: &Size, requests: usize) -> f64 {
    let mut rig = new_rig(size);
    let began = Instant::now();
    for number in 0..requests {
        let sent = open_request(&mut rig, new_request(number));
        finish_request(&mut rig, &sent);
    }
    mean_micros(began, requests)
}

/// Returns the microseconds per token.
fn token_cost(size: &Size, requests: usize) -> f64 {
    let mut rig = new_rig(size);
    let count = requests / OUTPUT_TOKENS as usize;
    let requests: Vec<Sent> = (0..count)
        .map(|number| open_request(&mut rig, new_request(number)))
        .collect();
    let began = Instant::now();
    for offset in 0..OUTPUT_TOKENS {
        for sent in &requests {
            rig.chunk(sent.attempt, offset, 1);
        }
        black_box(&rig.outputs);
        rig.outputs.clear();
    }
    mean_micros(began, count * OUTPUT_TOKENS as usize)
}

/// Returns the mean time since a start, in microseconds.
fn mean_micros(began: Instant, count: usize) -> f64 {
    began.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Returns the bytes of memory per request, open or queued.
fn memory_cost(size: &Size, requests: usize, is_queued: bool) -> f64 {
    let mut rig = new_rig(size);
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
    let before = resident_bytes();
    for number in 0..requests {
        let mut call = new_request(number);
        call.credential.0 = [2 + (number % 249) as u8; 32];
        if is_queued {
            rig.call(call);
        } else {
            open_request(&mut rig, call);
        }
        rig.outputs.clear();
    }
    let bytes = resident_bytes().saturating_sub(before);
    let count = rig.requests.open_count();
    assert_eq!(count, requests, "every request is open or queued");
    std::mem::forget(rig);
    bytes as f64 / count as f64
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
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
            group_size: 4,
        },
        Size {
            daemons: 340,
            groups: 112,
            group_size: 16,
        },
    ];
    println!("| daemons | runners | request us | token us | open B | queued B |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let memories = sizes.iter().map(|size| {
        (
            memory_cost(size, 20_000, false),
            memory_cost(size, 4_000, true),
        )
    });
    let memories: Vec<_> = memories.collect();
    for (size, (open, queued)) in sizes.iter().zip(memories) {
        println!(
            "| {} | {} | {:.1} | {:.2} | {open:.0} | {queued:.0} |",
            size.daemons,
            size.groups * size.group_size,
            request_cost(size, args.requests),
            token_cost(size, args.requests * 10),
        );
    }
}
