//! Tables of what a run found.

use super::{
    judge::{Findings, Judged, Verdict, ended_wrongly},
    records::{CallEnd, Kind, Life},
};
use std::{
    collections::BTreeMap,
    os::unix::process::ExitStatusExt as _,
    process::ExitStatus,
    time::{Duration, Instant},
};

/// Verdicts that are counted, with their names.
const VERDICTS: [(Verdict, &str); 10] = [
    (Verdict::Served, "served"),
    (Verdict::Refused, "refused"),
    (Verdict::Crossed, "crossed"),
    (Verdict::Overdue, "overdue"),
    (Verdict::BrokenOff, "broken off"),
    (Verdict::TooLong, "too long"),
    (Verdict::Lost, "LOST"),
    (Verdict::Untruthful, "UNTRUTHFUL"),
    (Verdict::Failed, "FAILED"),
    (Verdict::Garbled, "GARBLED"),
];

/// Prints what a run found.
pub fn print(findings: &Findings) {
    println!("== seed {}", findings.seed);
    for kind in Kind::ALL {
        println!("{}", counts(findings, kind));
    }
    for (index, life) in findings.lives.iter().enumerate() {
        if life.stop().is_some() || life.end.is_some() {
            println!("{}", life_line(findings, index, life));
        }
    }
    let mut cuts: Vec<&Judged> = findings
        .calls
        .iter()
        .filter(|call| is_shown(call))
        .collect();
    cuts.sort_by_key(|call| call.call.ended);
    cuts.iter()
        .for_each(|call| println!("{}", call_line(findings, call)));
    if findings.has_faults() {
        println!("logs are kept in {}", findings.log_dir.display());
    }
}

/// Prints the faults of all seeds by the end of the daemon's process, with the times of the first
/// and the last cut after SIGTERM.
pub fn print_summary(all: &[Findings]) {
    let mut groups: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
    for findings in all {
        for call in findings.calls.iter().filter(|call| call.verdict.is_fault()) {
            let life = &findings.lives[call.life];
            let group = match (life.stop(), life.end) {
                (Some(_), Some((_, status))) => format!("stopped, ended {}", reason(status)),
                (None, Some((_, status))) => format!("not stopped, ended {}", reason(status)),
                (_, None) => "still running".to_owned(),
            };
            let origin = life.stop().unwrap_or(life.started);
            let offset = call.call.ended.saturating_duration_since(origin);
            groups.entry(group).or_default().push(offset);
        }
    }
    for (group, offsets) in groups {
        let first = offsets.iter().min().copied().unwrap_or_default();
        let last = offsets.iter().max().copied().unwrap_or_default();
        println!(
            "{} faults at daemons that {group}, from {:+.3} to {:+.3}",
            offsets.len(),
            first.as_secs_f64(),
            last.as_secs_f64()
        );
    }
    let lives = all.iter().flat_map(|findings| &findings.lives);
    let wrong = lives.filter(|life| ended_wrongly(life)).count();
    println!("{wrong} processes ended as they must not");
}

/// Returns true for requests that are shown one by one.
fn is_shown(call: &Judged) -> bool {
    let is_expected = matches!(
        call.verdict,
        Verdict::Served | Verdict::Refused | Verdict::Crossed
    );
    !is_expected
}

fn counts(findings: &Findings, kind: Kind) -> String {
    let mut line = format!("{:>8}:", kind.name());
    for (verdict, name) in VERDICTS {
        let calls = findings.calls.iter();
        let count = calls
            .filter(|call| call.call.kind == kind && call.verdict == verdict)
            .count();
        if count > 0 {
            line.push_str(&format!(" {count} {name}"));
        }
    }
    line
}

/// Describes a process: its signals and its end relative to its first SIGTERM, and its requests.
fn life_line(findings: &Findings, index: usize, life: &Life) -> String {
    let origin = life.stop().unwrap_or(life.started);
    let mut line = format!(
        "d{} stopped at {}:",
        life.daemon,
        offset(origin, findings.started)
    );
    for (signal, at) in &life.signals {
        line.push_str(&format!(" {signal} {},", offset(*at, origin)));
    }
    match life.end {
        Some((at, status)) => {
            line.push_str(&format!(" ended {} {}", offset(at, origin), reason(status)));
        }
        None => line.push_str(" still runs"),
    }
    if ended_wrongly(life) {
        line.push_str(" WRONGLY");
    }
    let own = || findings.calls.iter().filter(|call| call.life == index);
    let in_flight = own().filter(|call| call.call.sent < origin && call.call.ended > origin);
    let later = || own().filter(|call| call.call.sent >= origin);
    let served_later = later().filter(|call| call.verdict == Verdict::Served);
    let refused_later = later().filter(|call| call.verdict == Verdict::Refused);
    let lost = own().filter(|call| call.verdict.is_fault());
    line.push_str(&format!(
        "; {} in flight, later {} served and {} refused; {} faults",
        in_flight.count(),
        served_later.count(),
        refused_later.count(),
        lost.count(),
    ));
    line
}

/// Describes a request; times are relative to the SIGTERM of its daemon.
fn call_line(findings: &Findings, judged: &Judged) -> String {
    let call = &judged.call;
    let life = &findings.lives[judged.life];
    let origin = life.stop().unwrap_or(life.started);
    let end = match call.end {
        CallEnd::Whole => "whole",
        CallEnd::Cut => "cut",
        CallEnd::GivenUp => "given up",
    };
    let runs = judged.runs.iter().map(|at| {
        let end = at.run.end.map(|(time, end)| {
            let time = offset(time, origin);
            format!("{end:?} {time}")
        });
        format!(
            "{} {} to {}",
            at.runner,
            offset(at.run.started, origin),
            end.unwrap_or_default()
        )
    });
    format!(
        "  {:?} {} d{} sent {} {end} {} status {} events {}/{} [{}]",
        judged.verdict,
        call.id,
        call.daemon,
        offset(call.sent, origin),
        offset(call.ended, origin),
        call.status,
        call.events.len(),
        call.last_event,
        runs.collect::<Vec<_>>().join(", "),
    )
}

fn reason(status: ExitStatus) -> String {
    match (status.code(), status.signal()) {
        (Some(code), _) => format!("with code {code}"),
        (None, Some(signal)) => format!("by signal {signal}"),
        (None, None) => "for an unknown reason".to_owned(),
    }
}

/// Returns the signed time from an origin, in seconds.
fn offset(at: Instant, origin: Instant) -> String {
    let seconds = |span: Duration| span.as_secs_f64();
    match at >= origin {
        true => format!("{:+.3}", seconds(at - origin)),
        false => format!("{:+.3}", -seconds(origin - at)),
    }
}
