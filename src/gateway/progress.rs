//! Reports of groups' progress to the holder of the duty, as datagrams.
//!
//! A report that is lost costs a few probes.

use super::{
    datagrams::Datagram,
    liveness::{GroupProgress, ReportedProgress, latest_data, recent_progress},
    state::GatewayState,
};
use crate::core::time::Span;
use std::rc::Rc;

/// Interval of a daemon's reports.
const REPORT_INTERVAL: Span = Span::from_millis(250);

/// Maximum number of groups in a report, so that it fits into one packet.
const MAX_GROUPS: usize = 80;

/// Reports to the holder of the duty which groups make progress, while another daemon holds it.
pub async fn report(state: Rc<GatewayState>) {
    loop {
        compio::time::sleep(REPORT_INTERVAL.into()).await;
        record_own(&state);
        let holder = state.peers.borrow().holder_address();
        let Some(holder) = holder.filter(|address| state.settings.listen.peer != Some(*address))
        else {
            continue;
        };
        let mut progress = recent_progress(
            &state.roster.borrow(),
            &state.loads.borrow(),
            REPORT_INTERVAL,
            state.now(),
        );
        progress.truncate(MAX_GROUPS);
        if !progress.is_empty() {
            state.outbox.send(holder, Datagram::Progress(progress));
        }
    }
}

/// Records which groups have sent data to this daemon: their members stay known without entries.
fn record_own(state: &GatewayState) {
    let mut roster = state.roster.borrow_mut();
    let data = latest_data(&roster, &state.loads.borrow(), &ReportedProgress::default());
    for (epoch, at) in data {
        roster.record_progress(epoch, at);
    }
}

/// Records another daemon's report.
pub fn record(state: &GatewayState, report: &[GroupProgress]) {
    let now = state.now();
    state.progress.borrow_mut().record(report, now);
}
