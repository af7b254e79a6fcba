//! Reports of groups' progress to the holder of the duty, as datagrams.
//!
//! A report that is lost costs a few probes.

use super::{
    liveness::{GroupProgress, recent_progress},
    state::GatewayState,
};
use crate::core::time::Span;
use compio::{BufResult, net::UdpSocket};
use std::{rc::Rc, time::Duration};

/// Interval of a daemon's reports.
const REPORT_INTERVAL: Span = Span::from_millis(250);

/// Maximum number of groups in a report, so that it fits into one packet.
const MAX_GROUPS: usize = 80;

/// Size of the largest report that is read.
const MAX_REPORT_BYTES: usize = 2_048;

/// Delay after a socket error.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reports to the holder of the duty which groups make progress, while another daemon holds it.
pub async fn report(socket: UdpSocket, state: Rc<GatewayState>) {
    loop {
        compio::time::sleep(REPORT_INTERVAL.into()).await;
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
        if progress.is_empty() {
            continue;
        }
        let datagram = postcard::to_stdvec(&progress).expect("a report serializes");
        let BufResult(sent, _) = socket.send_to(datagram, holder).await;
        if let Err(error) = sent {
            slog::debug!(state.log, "progress not reported"; "cause" => error.to_string());
        }
    }
}

/// Receives other daemons' reports for the lifetime of the process.
pub async fn receive(socket: UdpSocket, state: Rc<GatewayState>) {
    let mut buffer = Vec::with_capacity(MAX_REPORT_BYTES);
    loop {
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        match received {
            Ok((length, _)) => record(&state, &buffer[..length]),
            Err(_) => compio::time::sleep(RETRY_DELAY).await,
        }
        buffer.clear();
    }
}

fn record(state: &GatewayState, datagram: &[u8]) {
    match postcard::from_bytes::<Vec<GroupProgress>>(datagram) {
        Ok(report) => {
            let now = state.now();
            state.progress.borrow_mut().record(&report, now);
        }
        Err(error) => slog::debug!(state.log, "invalid report of progress ignored";
            "cause" => error.to_string()),
    }
}
