//! Datagrams between daemons.
//!
//! A datagram may be lost: each kind is repeated, or its sender does without a
//! response.

use super::{
    account_work::{self, MAX_TOTALS_BYTES, ShareKey, Work, WorkCounts, WorkReport},
    announcements,
    changes::source::Source,
    coldness::ColdClaim,
    contact::ContactReport,
    liveness::GroupProgress,
    load_exchange::{
        self,
        message::{LoadDigest, LoadReport, ReportId},
    },
    notices::RateLimit,
    permits::{self, Verdict},
    progress,
    quarantine::{exchange, mark::Mark, reports::CrashReport},
    roster::RunnerInstance,
    state::GatewayState,
};
use crate::core::time::Span;
use compio::{BufResult, net::UdpSocket};
use futures_channel::mpsc;
use futures_util::StreamExt as _;
use metrics::counter;
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

/// Size of the largest datagram that is read.
const MAX_BYTES: usize = 2_048;

/// Size of the largest encoded identifier of a report, with the byte that says that there is one.
const MAX_REPORT_ID_BYTES: usize = 11;

/// Delay after a socket error.
const RETRY_DELAY: Duration = Duration::from_millis(50);

crate::record! {
    /// Message to another daemon.
    pub enum Datagram {
        /// Groups that make progress, for the holder of the duty.
        Progress(Vec<GroupProgress>),
        /// Request for a permit to send one request to a runner that names a rate limit and isn't cold.
        PermitRequest {
            /// Identifier of the request at its sender.
            id: u64,
            /// What the sender knows of the runner.
            notice: RunnerNotice,
        },
        /// Response to a request for a permit.
        PermitResponse {
            /// Identifier of the request.
            id: u64,
            /// Whether the permit is granted.
            verdict: Verdict,
        },
        /// What a runner has said of itself.
        Notice(RunnerNotice),
        /// Request that a crashed runner had, for the collectors.
        Crash(CrashReport),
        /// Marks that may crash runners; who knows of answers on them says so.
        Suspected(Vec<Mark>),
        /// Requests that were at several crashes and should cause no other.
        Distrusted(Vec<Mark>),
        /// Suspects that runners have answered on.
        Sound(Vec<Mark>),
        /// Marks that crash runners.
        Quarantined(Vec<Mark>),
        /// Question whether the store answers the receiver.
        ContactRequest,
        /// Contact of the sender with the store.
        Contact(ContactReport),
        /// Requests of the sender at each head, for the aggregators.
        LoadReport(LoadReport),
        /// Requests of all daemons at each head, with the report of the receiver that they contain.
        /// What differs between receivers comes last, so that the rest is encoded once.
        LoadDigest(LoadDigest, Option<ReportId>),
        /// Request for a permit to send one request to a cold runner.
        ColdPermitRequest {
            /// Identifier of the request at its sender.
            id: u64,
            /// What the sender knows of the runner.
            notice: RunnerNotice,
            /// How long it is cold, and its limit meanwhile.
            cold: ColdClaim,
        },
        /// Start of a runner's cold time, which it has stated in a response.
        Cold {
            /// The runner.
            runner: RunnerInstance,
            /// How long it is cold, and its limit meanwhile.
            cold: ColdClaim,
        },
    }

    /// What a runner has said of itself.
    pub struct RunnerNotice {
        /// The runner.
        pub runner: RunnerInstance,
        /// Its rate limit, if it names one.
        pub rate_limit: Option<RateLimit>,
        /// Time since it last said whether it has a limit.
        pub age: Span,
        /// True if it has said that it leaves.
        pub is_leaving: bool,
    }
}

/// Returns the datagram of a report of load, with the work of accounts if there is any.
pub(super) fn encode_report(report: &LoadReport, work: Option<&WorkReport>) -> Vec<u8> {
    let datagram = Datagram::LoadReport(report.clone());
    let bytes = postcard::to_stdvec(&datagram).expect("a datagram serializes");
    match work {
        Some(work) => account_work::append(bytes, work),
        None => bytes,
    }
}

/// Digest of load, encoded up to and after what differs between receivers.
#[derive(Debug)]
pub(super) struct EncodedDigest {
    heads: Vec<u8>,
    work: Option<WorkCounts>,
}

impl EncodedDigest {
    /// Encodes a digest with as much of the work of accounts as fits; none if the digest alone
    /// doesn't fit into a datagram.
    pub(super) fn new(digest: &LoadDigest, rates: &BTreeMap<ShareKey, Work>) -> Option<Self> {
        let datagram = Datagram::LoadDigest(digest.clone(), None);
        let mut heads = postcard::to_stdvec(&datagram).expect("a datagram serializes");
        // An absent value takes one byte.
        heads.pop();
        let left = MAX_BYTES.checked_sub(heads.len() + MAX_REPORT_ID_BYTES)?;
        let work = WorkCounts::new(rates, left.min(MAX_TOTALS_BYTES));
        let work = (!work.is_empty()).then_some(work);
        Some(Self { heads, work })
    }

    /// Returns the datagram for one receiver.
    pub(super) fn with(&self, contained: Option<ReportId>) -> Vec<u8> {
        let bytes = self.heads.clone();
        let bytes = postcard::to_extend(&contained, bytes).expect("an identifier serializes");
        match &self.work {
            Some(work) => account_work::append(bytes, work),
            None => bytes,
        }
    }

    /// Returns the work of accounts that it contains.
    pub(super) fn work(&self) -> Option<&WorkCounts> {
        self.work.as_ref()
    }
}

/// Datagram to be sent.
#[derive(Debug)]
enum Outgoing {
    Decoded(Datagram),
    Encoded(Vec<u8>),
}

/// Datagrams to be sent; they are dropped if the daemon has no address for other daemons.
#[derive(Debug, Default)]
pub struct Outbox {
    sender: RefCell<Option<mpsc::UnboundedSender<(SocketAddr, Outgoing)>>>,
}

impl Outbox {
    /// Sends a datagram in the background.
    pub fn send(&self, to: SocketAddr, datagram: Datagram) {
        self.push(to, Outgoing::Decoded(datagram));
    }

    /// Sends a datagram that is encoded already in the background.
    pub(super) fn send_encoded(&self, to: SocketAddr, bytes: Vec<u8>) {
        self.push(to, Outgoing::Encoded(bytes));
    }

    fn push(&self, to: SocketAddr, datagram: Outgoing) {
        if let Some(sender) = &*self.sender.borrow() {
            // Fails only while the sending task is restarted; a datagram may be lost.
            let _ = sender.unbounded_send((to, datagram));
        }
    }
}

/// Sends the datagrams of the outbox for the lifetime of the process.
pub async fn send(socket: UdpSocket, state: Rc<GatewayState>) {
    let (sender, mut outgoing) = mpsc::unbounded();
    // A restart after a panic replaces the channel; datagrams queued in the old one are lost.
    state.outbox.sender.replace(Some(sender));
    while let Some((to, datagram)) = outgoing.next().await {
        let bytes = match datagram {
            Outgoing::Decoded(datagram) => {
                postcard::to_stdvec(&datagram).expect("a datagram serializes")
            }
            Outgoing::Encoded(bytes) => bytes,
        };
        let BufResult(sent, _) = socket.send_to(bytes, to).await;
        if let Err(error) = sent {
            counter!("datagrams_unsent_total").increment(1);
            slog::debug!(state.log, "datagram not sent";
                "to" => to.to_string(), "cause" => error.to_string());
        }
    }
}

/// Receives other daemons' datagrams for the lifetime of the process.
pub async fn receive(socket: UdpSocket, state: Rc<GatewayState>) {
    let mut buffer = Vec::with_capacity(MAX_BYTES);
    loop {
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        match received {
            Ok((length, from)) => handle(&state, &buffer[..length], from),
            Err(_) => compio::time::sleep(RETRY_DELAY).await,
        }
        buffer.clear();
    }
}

fn handle(state: &GatewayState, bytes: &[u8], from: SocketAddr) {
    let handled = postcard::take_from_bytes::<Datagram>(bytes)
        .and_then(|(datagram, rest)| handle_datagram(state, datagram, rest, from));
    if let Err(error) = handled {
        slog::debug!(state.log, "invalid datagram ignored";
            "from" => from.to_string(), "cause" => error.to_string());
    }
}

/// Handles a datagram; `rest` is what follows it.
fn handle_datagram(
    state: &GatewayState,
    datagram: Datagram,
    rest: &[u8],
    from: SocketAddr,
) -> Result<(), postcard::Error> {
    match datagram {
        Datagram::Progress(report) => progress::record(state, &report),
        Datagram::PermitRequest { id, notice } => {
            permits::answer_request(state, id, &notice, None, from);
        }
        Datagram::ColdPermitRequest { id, notice, cold } => {
            permits::answer_request(state, id, &notice, Some(cold), from);
        }
        Datagram::Cold { runner, cold } => announcements::accept_cold(state, &runner, cold),
        Datagram::PermitResponse { id, verdict } => permits::accept_response(state, id, verdict),
        Datagram::Notice(notice) => {
            announcements::accept(state, &notice);
        }
        Datagram::Crash(report) => exchange::record(state, &report),
        Datagram::Suspected(marks) => exchange::answer(state, &marks, from),
        Datagram::Distrusted(marks) => exchange::accept_distrusted(state, &marks),
        Datagram::Sound(marks) => exchange::accept_sound(state, &marks),
        Datagram::Quarantined(marks) => exchange::accept_quarantined(state, &marks),
        Datagram::ContactRequest => report_contact(state, from),
        Datagram::Contact(report) => state.peer_reported_contact(from, report),
        Datagram::LoadReport(report) => {
            load_exchange::record(state, from, report, account_work::read(rest)?);
        }
        Datagram::LoadDigest(digest, own) => {
            let work: Option<WorkCounts> = account_work::read(rest)?;
            load_exchange::accept_digest(state, &digest, own, work.as_ref());
        }
    }
    Ok(())
}

/// Tells a peer of this daemon's contact with the store, unless there never was any.
fn report_contact(state: &GatewayState, to: SocketAddr) {
    let is_watching = state.change_source() == Source::Store;
    let report = state.contact.borrow().report(is_watching, state.now());
    if let Some(report) = report {
        state.outbox.send(to, Datagram::Contact(report));
    }
}
