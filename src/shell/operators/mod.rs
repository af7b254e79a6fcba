//! The gRPC server for operators.
//!
//! Handlers run on the event loop but must be `Send`, so they don't use the core
//! directly: they queue the request in the inbox and wait for its answer.

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

/// Requests of operators that are open at once.
const MAX_OPEN_REQUESTS: usize = 1_000;
/// Connections of operators that are open at once.
const MAX_CONNECTIONS: usize = 256;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Driver that serves operators.
pub struct Operators {
    pending: Arc<Pending>,
}

/// Requests that wait for an answer of the core.
struct Pending {
    inbox: Inbox,
    last_id: AtomicU64,
    waiting: Mutex<BTreeMap<CommandId, oneshot::Sender<OperatorAnswer>>>,
}

impl Operators {
    /// Starts serving operators until the event loop ends.
    pub fn start(
        listener: TcpListener,
        inbox: Inbox,
        monitor: Arc<Monitor>,
        settings: &Settings,
    ) -> Self {
        let pending = Arc::new(Pending {
            inbox,
            last_id: AtomicU64::new(0),
            waiting: Mutex::default(),
        });
        let token = blake3::hash(settings.operator_token.expose().as_bytes());
        let server = OperatorServer::new(Handler::new(pending.clone(), monitor));
        compio::runtime::spawn(accept(listener, server, token)).detach();
        Self { pending }
    }

    /// Delivers the core's answer to an operator's request.
    pub fn perform(&self, command: CommandId, answer: OperatorAnswer) {
        if let Some(sender) = self.pending.remove(command) {
            let _ = sender.send(answer);
        }
    }
}

impl Pending {
    /// Passes a request to the core and waits for its answer.
    async fn submit(
        &self,
        operation: OperationId,
        request: OperatorRequest,
    ) -> Result<OperatorAnswer, Status> {
        let command = CommandId(self.last_id.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, receiver) = oneshot::channel();
        self.insert(command, sender)?;
        self.inbox.send(Input::Operator(OperatorInput {
            command,
            operation,
            request,
        }));
        receiver
            .await
            .map_err(|_| Status::unavailable("the daemon is stopping"))
    }

    fn insert(
        &self,
        command: CommandId,
        sender: oneshot::Sender<OperatorAnswer>,
    ) -> Result<(), Status> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|_, sender| !sender.is_canceled());
        if waiting.len() >= MAX_OPEN_REQUESTS {
            return Err(Status::resource_exhausted("too many requests are open"));
        }
        waiting.insert(command, sender);
        Ok(())
    }

    fn remove(&self, command: CommandId) -> Option<oneshot::Sender<OperatorAnswer>> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.remove(&command)
    }
}

async fn accept(listener: TcpListener, server: OperatorServer<Handler>, token: blake3::Hash) {
    let open_connections = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if Rc::strong_count(&open_connections) > MAX_CONNECTIONS {
            continue;
        }
        let (server, open_connections) = (server.clone(), open_connections.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let mut server = server.clone();
            let authorized = is_authorized(request.headers(), &token);
            async move {
                if !authorized {
                    return Ok(Status::unauthenticated("the token is not known").into_http());
                }
                server.call(request).await
            }
        });
        compio::runtime::spawn(async move {
            serve_http2(stream, service).await;
            drop(open_connections);
        })
        .detach();
    }
}

/// Returns true if the request carries the operators' token.
///
/// Compares hashes, because `blake3::Hash` compares in constant time.
pub fn is_authorized(headers: &HeaderMap, token: &blake3::Hash) -> bool {
    let value = headers.get(header::AUTHORIZATION);
    let token_text = value
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    token_text.is_some_and(|token_text| blake3::hash(token_text.as_bytes()) == *token)
}
