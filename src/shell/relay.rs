//! Relays calls from one daemon to another.
//!
//! Each relayed call has a connection of its own. The origin sends one frame
//! that opens it. The serving daemon opens the call as if it came from a caller
//! and returns the head, the parts and the end of the response in numbered
//! frames, each bound to the opening frame. Closing the connection cancels the
//! call.

use super::{
    Inbox,
    calls::{CallEvent, Calls, ForwardedRequest, OpenCall, ResponseHead},
    frames::{read_frame, write_frame},
    http::connect,
};
use crate::{
    core::{
        ctx::Identity,
        input::{CallRequest, Echo, Failure, Input, Payload, RunnerInput},
        keys::{AttemptId, CallId},
        output::Ending,
    },
    settings::Settings,
    wire::envelope::{self, Channel, Opener, Sealer, Tag},
};
use bytes::Bytes;
use compio::net::TcpStream;
use futures_util::{FutureExt as _, StreamExt as _, select_biased};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use std::{net::SocketAddr, rc::Rc};

/// Bytes that the opening frame may hold in addition to the longest body.
pub const MAX_HEAD_BYTES: usize = 1 << 20;

/// Bytes of the longest answer frame that is accepted.
const MAX_ANSWER_BYTES: usize = 16 << 20;

crate::record! {
    /// Name and value of one header.
    pub struct HeaderField {
        name: String,
        value: Vec<u8>,
    }

    /// Opening frame of a relayed call.
    pub struct RelayRequest {
        /// Description of the request for the core of the serving daemon.
        pub request: CallRequest,
        method: String,
        path: String,
        headers: Vec<HeaderField>,
        body: Vec<u8>,
    }

    /// Frame of the response to a relayed call.
    enum Answer {
        Begin { status: u16, headers: Vec<HeaderField> },
        Data { offset: u32, tokens: u32, bytes: Vec<u8> },
        End(Ending),
    }
}

/// Client that relays calls to other daemons.
#[derive(Clone)]
pub struct RelayClient {
    inbox: Inbox,
    calls: Rc<Calls>,
    sealer: Rc<Sealer>,
    opener: Rc<Opener>,
}

impl RelayClient {
    /// Creates the client; at most one per run, since it numbers the frames that it sends.
    pub fn new(inbox: Inbox, calls: Rc<Calls>, identity: &Identity, settings: &Settings) -> Self {
        let key = *settings.peer_key.expose();
        Self {
            inbox,
            calls,
            sealer: Rc::new(Sealer::new(
                key,
                identity.name.clone(),
                identity.incarnation,
            )),
            opener: Rc::new(Opener::new(key)),
        }
    }

    /// Relays an attempt at an open call to the daemon at `address`.
    ///
    /// Its events become inputs, the last of them `Finished` or `Failed`. Dropping
    /// the future closes the connection, which cancels the call on that daemon.
    pub async fn relay(&self, attempt: AttemptId, call: CallId, address: SocketAddr) {
        let end = match self.run(attempt, call, address).await {
            Ok(()) => RunnerInput::Finished { attempt },
            Err(failure) => RunnerInput::Failed { attempt, failure },
        };
        self.send(end);
    }

    async fn run(
        &self,
        attempt: AttemptId,
        call: CallId,
        address: SocketAddr,
    ) -> Result<(), Failure> {
        let forwarded = self.calls.forwarded(call).ok_or(Failure::NotSent)?;
        let mut stream = connect(address).await.map_err(|_| Failure::NotSent)?;
        let context = envelope::address_context(address);
        let opening = relay_request(&forwarded);
        let frame = self.sealer.seal(Channel::Relay, &context, &opening);
        let context = envelope::frame_tag(&frame).unwrap_or_default();
        let sent = write_frame(&mut stream, frame).await;
        sent.map_err(|_| Failure::Unknown)?;
        let mut expected = 0;
        loop {
            let answer = self.read(&mut stream, &context, expected).await?;
            expected += 1;
            if let Some(ending) = self.report(attempt, answer) {
                return attempt_result(ending);
            }
        }
    }

    async fn read(
        &self,
        stream: &mut TcpStream,
        context: &Tag,
        expected: u64,
    ) -> Result<Answer, Failure> {
        let frame = read_frame(stream, MAX_ANSWER_BYTES).await;
        let frame = frame.map_err(|_| Failure::Unknown)?;
        let answer = self.opener.open_answer(context, expected, &frame);
        answer
            .and_then(|verified| verified.decode())
            .map_err(|_| Failure::Unknown)
    }

    /// Reports one answer frame to the core; returns the ending if it is the last.
    fn report(&self, attempt: AttemptId, answer: Answer) -> Option<Ending> {
        match answer {
            Answer::Begin { status, headers } => {
                let head = ResponseHead {
                    status: StatusCode::from_u16(status).unwrap_or(StatusCode::OK),
                    headers: header_map(headers),
                };
                self.calls.store_head(attempt, head);
                let echo = Echo {
                    attempt: Some(attempt),
                    epoch: None,
                };
                self.send(RunnerInput::Accepted { attempt, echo });
                None
            }
            Answer::Data {
                offset,
                tokens,
                bytes,
            } => {
                self.send(RunnerInput::Chunk {
                    attempt,
                    offset,
                    tokens,
                    payload: Payload(Bytes::from(bytes)),
                });
                None
            }
            Answer::End(ending) => Some(ending),
        }
    }

    fn send(&self, input: RunnerInput) {
        self.inbox.send(Input::Runner(input));
    }
}

/// Returns the result of the attempt for an ending that the other daemon sent.
fn attempt_result(ending: Ending) -> Result<(), Failure> {
    match ending {
        Ending::Complete => Ok(()),
        Ending::Refused { .. } => Err(Failure::Declined),
        Ending::Unknown(_) => Err(Failure::Unknown),
    }
}

/// Serves a call relayed by another daemon until it ends or is cancelled.
pub async fn serve(
    mut stream: TcpStream,
    request: Box<RelayRequest>,
    context: Tag,
    calls: Rc<Calls>,
    sealer: &Sealer,
) {
    let Some(forwarded) = forwarded_request(*request) else {
        return;
    };
    let mut call = calls.open(forwarded);
    let mut sequence = 0;
    while let Some(answer) = next_answer(&mut call, &mut stream).await {
        let frame = sealer.seal_with_sequence(Channel::Answer, sequence, &context, &answer);
        sequence += 1;
        if write_frame(&mut stream, frame).await.is_err() {
            return;
        }
        if let Answer::End(_) = answer {
            return;
        }
    }
}

/// Waits for the next frame; returns `None` once the origin has closed the connection.
async fn next_answer(call: &mut OpenCall, stream: &mut TcpStream) -> Option<Answer> {
    loop {
        let event = select_biased! {
            event = call.events.next() => event?,
            _ = read_frame(stream, 0).fuse() => return None,
        };
        let answer = match event {
            CallEvent::Begin(head) => Answer::Begin {
                status: head.status.as_u16(),
                headers: header_fields(&head.headers),
            },
            CallEvent::Data {
                offset,
                tokens,
                bytes,
            } => Answer::Data {
                offset,
                tokens,
                bytes: bytes.to_vec(),
            },
            CallEvent::End(ending) => Answer::End(ending),
            CallEvent::Entries { .. } => continue,
        };
        return Some(answer);
    }
}

fn relay_request(forwarded: &ForwardedRequest) -> RelayRequest {
    RelayRequest {
        request: forwarded.request.clone(),
        method: forwarded.method.to_string(),
        path: forwarded.path.clone(),
        headers: header_fields(&forwarded.headers),
        body: forwarded.body.to_vec(),
    }
}

fn forwarded_request(relay: RelayRequest) -> Option<ForwardedRequest> {
    Some(ForwardedRequest {
        method: Method::from_bytes(relay.method.as_bytes()).ok()?,
        path: relay.path,
        headers: header_map(relay.headers),
        body: Bytes::from(relay.body),
        request: relay.request,
    })
}

fn header_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .map(|(name, value)| HeaderField {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn header_map(fields: Vec<HeaderField>) -> HeaderMap {
    fields
        .into_iter()
        .filter_map(|HeaderField { name, value }| {
            let name = HeaderName::try_from(name).ok()?;
            let value = HeaderValue::try_from(value).ok()?;
            Some((name, value))
        })
        .collect()
}
