//! The gRPC side towards operators.
//!
//! Handlers run on the loop but must be `Send`: they put the request into the
//! inbox and wait for its answer.

mod convert;
mod handler;

use super::{Inbox, http::serve_http2};
use crate::{
    core::{
        input::{Input, OperatorInput, OperatorRequest},
        keys::{CommandId, OperationId},
        output::OperatorAnswer,
    },
    report::Monitor,
    settings::Settings,
    wire::operator::operator_server::OperatorServer,
};
use compio::net::TcpListener;
use futures_channel::oneshot;
use handler::Handler;
use http::{HeaderMap, Request, header};
use hyper::{body::Incoming, service::service_fn};
use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tonic::Status;
use tower_service::Service as _;

/// Operators' requests open at once.
const MAX_OPEN: usize = 1_000;
/// Operators' connections open at once.
const MAX_CONNECTIONS: usize = 256;
/// How long the loop waits after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Operators' open requests.
pub struct Operators {
    pending: Arc<Pending>,
}

/// Requests that wait for their answers.
struct Pending {
    inbox: Inbox,
    last: AtomicU64,
    waiting: Mutex<BTreeMap<CommandId, oneshot::Sender<OperatorAnswer>>>,
}

impl Operators {
    /// Serves operators until the loop ends.
    pub fn start(
        listener: TcpListener,
        inbox: Inbox,
        monitor: Arc<Monitor>,
        settings: &Settings,
    ) -> Self {
        let pending = Arc::new(Pending {
            inbox,
            last: AtomicU64::new(0),
            waiting: Mutex::default(),
        });
        let token = blake3::hash(settings.operator_token.expose().as_bytes());
        let server = OperatorServer::new(Handler::new(pending.clone(), monitor));
        compio::runtime::spawn(accept(listener, server, token)).detach();
        Self { pending }
    }

    /// Answers an operator.
    pub fn perform(&self, command: CommandId, answer: OperatorAnswer) {
        if let Some(sender) = self.pending.take(command) {
            let _ = sender.send(answer);
        }
    }
}

impl Pending {
    /// Hands a request to the decision logic and waits for its answer.
    async fn ask(
        &self,
        operation: OperationId,
        request: OperatorRequest,
    ) -> Result<OperatorAnswer, Status> {
        let command = CommandId(self.last.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, receiver) = oneshot::channel();
        self.put(command, sender)?;
        self.inbox.send(Input::Operator(OperatorInput {
            command,
            operation,
            request,
        }));
        receiver
            .await
            .map_err(|_| Status::unavailable("the daemon is stopping"))
    }

    fn put(
        &self,
        command: CommandId,
        sender: oneshot::Sender<OperatorAnswer>,
    ) -> Result<(), Status> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|_, sender| !sender.is_canceled());
        if waiting.len() >= MAX_OPEN {
            return Err(Status::resource_exhausted("too many requests are open"));
        }
        waiting.insert(command, sender);
        Ok(())
    }

    fn take(&self, command: CommandId) -> Option<oneshot::Sender<OperatorAnswer>> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.remove(&command)
    }
}

async fn accept(listener: TcpListener, server: OperatorServer<Handler>, token: blake3::Hash) {
    let held = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if Rc::strong_count(&held) > MAX_CONNECTIONS {
            continue;
        }
        let (server, held) = (server.clone(), held.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let mut server = server.clone();
            let allowed = is_allowed(request.headers(), &token);
            async move {
                if !allowed {
                    return Ok(Status::unauthenticated("the token is not known").into_http());
                }
                server.call(request).await
            }
        });
        compio::runtime::spawn(async move {
            serve_http2(stream, service).await;
            drop(held);
        })
        .detach();
    }
}

/// Compares hashes, whose comparison takes the same time wherever they differ.
fn is_allowed(headers: &HeaderMap, token: &blake3::Hash) -> bool {
    let value = headers.get(header::AUTHORIZATION);
    let given = value
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    given.is_some_and(|given| blake3::hash(given.as_bytes()) == *token)
}
