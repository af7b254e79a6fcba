//! Exchange of evidence against requests and parts of prompts with other daemons, as datagrams.

use super::{mark::Mark, reports::CrashReport};
use crate::{
    core::keys::DaemonName,
    gateway::{datagrams::Datagram, roster::RunnerInstance, state::GatewayState},
};
use metrics::{counter, gauge};
use std::net::SocketAddr;

/// Number of daemons that join the reports; more than one, as a daemon may stop at any time.
const COLLECTORS: usize = 2;

/// Maximum number of marks in a datagram, so that it fits into one packet.
const MAX_MARKS: usize = 100;

/// Reports a request that a crashed runner had.
pub(super) fn report(state: &GatewayState, report: CrashReport) {
    counter!("crashed_requests_total").increment(1);
    let now = state.now();
    state.quarantine.reports.borrow_mut().push(report, now);
    send_reports(state);
}

/// Reports the requests whose runners were back at once after a crash.
pub(super) fn report_restarts(state: &GatewayState) {
    report_crashed(state, |runner, address| {
        state.roster.borrow().has_restarted(runner, address)
    });
}

/// Reports the requests whose runners still listened when they ended a connection, and have crashed.
pub(super) fn report_crashed<F>(state: &GatewayState, has_crashed: F)
where
    F: Fn(&RunnerInstance, SocketAddr) -> bool,
{
    let crashed = {
        let mut restarts = state.quarantine.restarts.borrow_mut();
        restarts.take_crashed(has_crashed, state.now())
    };
    for crash in crashed {
        slog::info!(state.log, "runner that still listened has crashed";
            "host" => crash.runner.0.as_str(),
            "fingerprint" => crash.evidence.request.to_string());
        report(state, crash);
    }
}

/// Sends the reports that are due to the collectors.
pub(super) fn send_reports(state: &GatewayState) {
    if state.quarantine.reports.borrow().is_empty() {
        return;
    }
    let collectors = collectors(state);
    let names: Vec<DaemonName> = collectors.iter().map(|(name, _)| name.clone()).collect();
    let due = state
        .quarantine
        .reports
        .borrow_mut()
        .take_due(&names, state.now());
    for report in due {
        for (name, address) in &collectors {
            match *name == state.settings.name {
                true => record(state, &report),
                false => state.outbox.send(*address, Datagram::Crash(report.clone())),
            }
        }
    }
}

/// Returns the collectors, which all daemons agree on as far as they know the same daemons; this
/// daemon alone if it knows none.
fn collectors(state: &GatewayState) -> Vec<(DaemonName, SocketAddr)> {
    let peers = state.peers.borrow();
    let ranked = peers.ranked().into_iter();
    let reachable = ranked.filter_map(|(name, entry)| Some((name.clone(), entry.peer?)));
    let collectors: Vec<_> = reachable.take(COLLECTORS).collect();
    match collectors.is_empty() {
        true => vec![(state.settings.name.clone(), state.settings.listen.caller)],
        false => collectors,
    }
}

/// Returns true if this daemon joins the reports.
pub(super) fn is_collector(state: &GatewayState) -> bool {
    let collectors = collectors(state);
    collectors
        .iter()
        .any(|(name, _)| *name == state.settings.name)
}

/// Records a report of a crash, and quarantines what it leaves no doubt about.
pub(in crate::gateway) fn record(state: &GatewayState, report: &CrashReport) {
    {
        let mut suspects = state.quarantine.suspects.borrow_mut();
        let runner = report.runner.clone();
        let evidence = &report.evidence;
        suspects.record(runner, evidence, state.now());
        let entries = state.quarantine.entries.borrow();
        let marks = Mark::of(evidence.request, &evidence.parts);
        let known = marks.filter(|mark| entries.contains(*mark));
        known.for_each(|mark| suspects.explain(mark));
    }
    judge(state);
}

/// Asks the other daemons about the suspects, tells them whom to distrust, and quarantines those
/// that explain the crashes.
pub(super) fn judge(state: &GatewayState) {
    let now = state.now();
    let soundness = state.quarantine.soundness.borrow();
    let is_sound = |mark| soundness.is_sound(mark, now);
    let verdict = state.quarantine.suspects.borrow().verdict(is_sound, now);
    for mark in &verdict {
        log_verdict(state, *mark);
    }
    for mark in &verdict {
        quarantine(state, *mark);
    }
    if !verdict.is_empty() {
        broadcast(state, verdict, Datagram::Quarantined);
    }
    let distrusted = state.quarantine.suspects.borrow_mut().distrust(is_sound);
    if !distrusted.is_empty() {
        state.quarantine.distrust(&distrusted, now);
        broadcast(state, distrusted, Datagram::Distrusted);
    }
    let asked = state.quarantine.suspects.borrow_mut().ask(is_sound, now);
    if !asked.is_empty() {
        broadcast(state, asked, Datagram::Suspected);
    }
}

/// Logs that a mark is to be quarantined, and the evidence against it.
fn log_verdict(state: &GatewayState, mark: Mark) {
    let message = match mark {
        Mark::Request(_) => "request crashes runners",
        Mark::Part(_) => "part of prompts crashes runners",
    };
    let involvement = state.quarantine.suspects.borrow().involvement(mark);
    slog::warn!(state.log, "{}", message;
        "mark" => mark.to_string(),
        "crashes" => involvement.times.len(),
        "requests" => involvement.requests.len(),
        "arrivals" => involvement.arrivals.len());
}

/// Answers which of the suspects are known to be sound.
pub(in crate::gateway) fn answer(state: &GatewayState, marks: &[Mark], from: SocketAddr) {
    let now = state.now();
    let soundness = state.quarantine.soundness.borrow();
    let sound = marks.iter().filter(|mark| soundness.is_sound(**mark, now));
    let sound: Vec<Mark> = sound.copied().collect();
    if !sound.is_empty() {
        state.outbox.send(from, Datagram::Sound(sound));
    }
}

/// Distrusts requests as another daemon says.
pub(in crate::gateway) fn accept_distrusted(state: &GatewayState, marks: &[Mark]) {
    state.quarantine.distrust(marks, state.now());
}

/// Records which suspects another daemon knows to be sound.
pub(in crate::gateway) fn accept_sound(state: &GatewayState, marks: &[Mark]) {
    let now = state.now();
    let mut soundness = state.quarantine.soundness.borrow_mut();
    marks.iter().for_each(|mark| soundness.confirm(*mark, now));
}

/// Quarantines marks as another daemon says.
pub(in crate::gateway) fn accept_quarantined(state: &GatewayState, marks: &[Mark]) {
    marks.iter().for_each(|mark| quarantine(state, *mark));
}

/// Quarantines a mark.
fn quarantine(state: &GatewayState, mark: Mark) {
    let is_news = state.quarantine.entries.borrow_mut().insert(mark);
    if is_news {
        quarantine_began(state, mark);
    }
}

/// Explains crashes by a mark that has entered quarantine.
pub(in crate::gateway) fn quarantine_began(state: &GatewayState, mark: Mark) {
    report_change(state, mark, true);
    let mut suspects = state.quarantine.suspects.borrow_mut();
    for part in suspects.quarantine_began(mark, state.now()) {
        slog::info!(state.log, "part of prompts spared";
            "part" => part.to_string(),
            "quarantined" => mark.to_string());
    }
}

/// Explains no more crashes by a mark that has left quarantine.
pub(in crate::gateway) fn quarantine_ended(state: &GatewayState, mark: Mark) {
    state.quarantine.suspects.borrow_mut().clear(mark);
    report_change(state, mark, false);
}

/// Logs that a mark has entered or left quarantine.
fn report_change(state: &GatewayState, mark: Mark, is_quarantined: bool) {
    let count = state.quarantine.entries.borrow().count();
    gauge!("quarantined_marks").set(count as f64);
    slog::info!(state.log, "quarantine changed";
        "mark" => mark.to_string(),
        "quarantined" => is_quarantined);
}

/// Sends marks to all other daemons.
fn broadcast<F>(state: &GatewayState, mut marks: Vec<Mark>, datagram: F)
where
    F: Fn(Vec<Mark>) -> Datagram,
{
    marks.truncate(MAX_MARKS);
    let peers = state.peers.borrow();
    let others = peers
        .daemons()
        .filter(|(name, _)| **name != state.settings.name);
    for address in others.filter_map(|(_, entry)| entry.peer) {
        state.outbox.send(address, datagram(marks.clone()));
    }
}
