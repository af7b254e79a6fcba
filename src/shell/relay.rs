//! Calls that one daemon relays to another.
//!
//! Each relayed call has a connection of its own. The origin sends one frame
//! that opens it; the serving daemon opens the call as if a caller had, and
//! sends back its head, its parts and its one end, each bound to the opening
//! frame and numbered. Closing the connection gives the call up.

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

/// What a frame may hold besides a body of the longest kind, in bytes.
pub const MAX_HEAD_BYTES: usize = 1 << 20;

/// The longest part of an answer taken, in bytes.
const MAX_ANSWER: usize = 16 << 20;

crate::record! {
    /// A header's name and value.
    pub struct Field {
        name: String,
        value: Vec<u8>,
    }

    /// Opens a relayed call.
    pub struct RelayRequest {
        /// What the decision logic is told.
        pub request: CallRequest,
        method: String,
        path: String,
        headers: Vec<Field>,
        body: Vec<u8>,
    }

    /// Part of the answer to a relayed call.
    enum Answer {
        Begin { status: u16, headers: Vec<Field> },
        Data { offset: u32, tokens: u32, bytes: Vec<u8> },
        End(Ending),
    }
}

/// RelayClient calls to other daemons.
#[derive(Clone)]
pub struct RelayClient {
    inbox: Inbox,
    calls: Rc<Calls>,
    sealer: Rc<Sealer>,
    opener: Rc<Opener>,
}

impl RelayClient {
    /// RelayClient calls of this daemon; only one is made in a run.
    pub fn new(inbox: Inbox, calls: Rc<Calls>, me: &Identity, settings: &Settings) -> Self {
        let key = *settings.peer_key.expose();
        Self {
            inbox,
            calls,
            sealer: Rc::new(Sealer::new(key, me.name.clone(), me.incarnation)),
            opener: Rc::new(Opener::new(key)),
        }
    }

    /// RelayClient an attempt at an open call to the daemon at `address`.
    ///
    /// Its events come as inputs, the last one `Finished` or `Failed`. Dropping
    /// the future closes the connection, which gives the call up there.
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
        let body = self.calls.forwarded(call).ok_or(Failure::NotSent)?;
        let mut stream = connect(address).await.map_err(|_| Failure::NotSent)?;
        let context = envelope::address_context(address);
        let opening = relayed(&body);
        let frame = self.sealer.seal(Channel::Relay, &context, &opening);
        let context = envelope::frame_tag(&frame).unwrap_or_default();
        let sent = write_frame(&mut stream, frame).await;
        sent.map_err(|_| Failure::Unknown)?;
        let mut expected = 0;
        loop {
            let answer = self.read(&mut stream, &context, expected).await?;
            expected += 1;
            if let Some(ending) = self.pass(attempt, answer) {
                return result(ending);
            }
        }
    }

    async fn read(
        &self,
        stream: &mut TcpStream,
        context: &Tag,
        expected: u64,
    ) -> Result<Answer, Failure> {
        let frame = read_frame(stream, MAX_ANSWER).await;
        let frame = frame.map_err(|_| Failure::Unknown)?;
        let answer = self.opener.open_answer(context, expected, &frame);
        answer
            .and_then(|verified| verified.decode())
            .map_err(|_| Failure::Unknown)
    }

    /// Hands part of an answer to the loop; gives back its end.
    fn pass(&self, attempt: AttemptId, answer: Answer) -> Option<Ending> {
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

/// What the other daemon's end of the call means for the attempt.
fn result(ending: Ending) -> Result<(), Failure> {
    match ending {
        Ending::Complete => Ok(()),
        Ending::Refused { .. } => Err(Failure::Declined),
        Ending::Unknown(_) => Err(Failure::Unknown),
    }
}

/// Serves a call that another daemon relayed, until it ends or is given up.
pub async fn serve(
    mut stream: TcpStream,
    relayed: Box<RelayRequest>,
    context: Tag,
    calls: Rc<Calls>,
    sealer: &Sealer,
) {
    let Some(body) = call_body(*relayed) else {
        return;
    };
    let mut open = calls.open(body);
    let mut sequence = 0;
    while let Some(answer) = next_answer(&mut open, &mut stream).await {
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

/// The next part of the answer; nothing once the origin has closed the connection.
async fn next_answer(open: &mut OpenCall, stream: &mut TcpStream) -> Option<Answer> {
    loop {
        let event = select_biased! {
            event = open.events.next() => event?,
            _ = read_frame(stream, 0).fuse() => return None,
        };
        let answer = match event {
            CallEvent::Begin(head) => Answer::Begin {
                status: head.status.as_u16(),
                headers: fields(&head.headers),
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

fn relayed(body: &ForwardedRequest) -> RelayRequest {
    RelayRequest {
        request: body.request.clone(),
        method: body.method.to_string(),
        path: body.path.clone(),
        headers: fields(&body.headers),
        body: body.body.to_vec(),
    }
}

fn call_body(relayed: RelayRequest) -> Option<ForwardedRequest> {
    Some(ForwardedRequest {
        method: Method::from_bytes(relayed.method.as_bytes()).ok()?,
        path: relayed.path,
        headers: header_map(relayed.headers),
        body: Bytes::from(relayed.body),
        request: relayed.request,
    })
}

fn fields(headers: &HeaderMap) -> Vec<Field> {
    headers
        .iter()
        .map(|(name, value)| Field {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn header_map(fields: Vec<Field>) -> HeaderMap {
    fields
        .into_iter()
        .filter_map(|Field { name, value }| {
            let name = HeaderName::try_from(name).ok()?;
            let value = HeaderValue::try_from(value).ok()?;
            Some((name, value))
        })
        .collect()
}
