//! Exchange of evidence against parts of prompts with other daemons, as datagrams.

use super::reports::CrashReport;
use crate::{
    core::keys::{DaemonName, PromptPart},
    gateway::{datagrams::Datagram, state::GatewayState},
};
use metrics::{counter, gauge};
use std::net::SocketAddr;

/// Number of daemons that join the reports; more than one, as a daemon may stop at any time.
const COLLECTORS: usize = 2;

/// Maximum number of parts in a datagram, so that it fits into one packet.
const MAX_PARTS: usize = 100;

/// Reports a request that a crashed runner had.
pub(super) fn report(state: &GatewayState, report: CrashReport) {
    counter!("crashed_requests_total").increment(1);
    let now = state.now();
    state.quarantine.reports.borrow_mut().push(report, now);
    send_reports(state);
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

/// Records a report of a crash, and quarantines the parts that it leaves no doubt about.
pub(in crate::gateway) fn record(state: &GatewayState, report: &CrashReport) {
    {
        let mut suspects = state.quarantine.suspects.borrow_mut();
        suspects.record(report.runner.clone(), &report.parts, state.now());
        let parts = state.quarantine.parts.borrow();
        let known = report.parts.iter().filter(|part| parts.contains(**part));
        known.for_each(|part| suspects.explain(*part));
    }
    judge(state);
}

/// Asks the other daemons about suspected parts, and quarantines those that explain the crashes.
pub(super) fn judge(state: &GatewayState) {
    let now = state.now();
    let soundness = state.quarantine.soundness.borrow();
    let is_sound = |part| soundness.is_sound(part, now);
    let verdict = state.quarantine.suspects.borrow().verdict(is_sound, now);
    for part in &verdict {
        slog::warn!(state.log, "part of prompts crashes runners"; "part" => part.to_string());
        quarantine(state, *part);
    }
    if !verdict.is_empty() {
        broadcast(state, verdict, Datagram::Quarantined);
    }
    let asked = state.quarantine.suspects.borrow_mut().ask(is_sound, now);
    if !asked.is_empty() {
        broadcast(state, asked, Datagram::Suspected);
    }
}

/// Answers which of the suspected parts are known to be sound.
pub(in crate::gateway) fn answer(state: &GatewayState, parts: &[PromptPart], from: SocketAddr) {
    let now = state.now();
    let soundness = state.quarantine.soundness.borrow();
    let sound = parts.iter().filter(|part| soundness.is_sound(**part, now));
    let sound: Vec<PromptPart> = sound.copied().collect();
    if !sound.is_empty() {
        state.outbox.send(from, Datagram::Sound(sound));
    }
}

/// Records which suspected parts another daemon knows to be sound.
pub(in crate::gateway) fn accept_sound(state: &GatewayState, parts: &[PromptPart]) {
    let now = state.now();
    let mut soundness = state.quarantine.soundness.borrow_mut();
    parts.iter().for_each(|part| soundness.confirm(*part, now));
}

/// Quarantines parts as another daemon says.
pub(in crate::gateway) fn accept_quarantined(state: &GatewayState, parts: &[PromptPart]) {
    parts.iter().for_each(|part| quarantine(state, *part));
}

/// Quarantines a part.
fn quarantine(state: &GatewayState, part: PromptPart) {
    let is_news = state.quarantine.parts.borrow_mut().insert(part);
    state.quarantine.suspects.borrow_mut().explain(part);
    if is_news {
        report_change(state, part, true);
    }
}

/// Logs that a part has entered or left quarantine.
pub(in crate::gateway) fn report_change(
    state: &GatewayState,
    part: PromptPart,
    is_quarantined: bool,
) {
    let count = state.quarantine.parts.borrow().count();
    gauge!("quarantined_parts").set(count as f64);
    slog::info!(state.log, "quarantine of part of prompts changed";
        "part" => part.to_string(),
        "quarantined" => is_quarantined);
}

/// Sends parts to all other daemons.
fn broadcast<F>(state: &GatewayState, mut parts: Vec<PromptPart>, datagram: F)
where
    F: Fn(Vec<PromptPart>) -> Datagram,
{
    parts.truncate(MAX_PARTS);
    let peers = state.peers.borrow();
    let others = peers
        .daemons()
        .filter(|(name, _)| **name != state.settings.name);
    for address in others.filter_map(|(_, entry)| entry.peer) {
        state.outbox.send(address, datagram(parts.clone()));
    }
}
