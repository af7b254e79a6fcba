//! gRPC services of the key-value store: KV, watch and lease.

use crate::{
    state::{Mode, State},
    store::{Store, WriteOutcome, key_and_revision},
};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use hickoryledge::{
    core::{
        input::{PlatformEntry, WatchEvent},
        keys::{LeaseId, Revision},
        output::Expect,
        time::Span,
    },
    wire::{
        etcdserverpb::{
            Compare, DeleteRangeResponse, LeaseGrantRequest, LeaseGrantResponse,
            LeaseKeepAliveRequest, LeaseKeepAliveResponse, LeaseRevokeRequest, LeaseRevokeResponse,
            PutResponse, RangeRequest, RangeResponse, RequestOp, ResponseHeader, ResponseOp,
            TxnRequest, TxnResponse, WatchCreateRequest, WatchRequest, WatchResponse,
            compare::TargetUnion,
            kv_server::{Kv, KvServer},
            lease_server::{Lease, LeaseServer},
            request_op::Request as Op,
            response_op::Response as OpResponse,
            watch_request::RequestUnion,
            watch_server::{Watch, WatchServer},
        },
        mvccpb::{Event, KeyValue, event::EventType},
    },
};
use hyper::body::Incoming;
use send_wrapper::SendWrapper;
use std::{cell::Cell, convert::Infallible, future::Future, rc::Rc, time::Duration};
use tonic::{Request, Response, Status, Streaming, async_trait, body::Body, codegen::Service};

/// Interval at which a watch checks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(2);

/// Delay of a call that is meant to get no response.
const HANG_DELAY: Duration = Duration::from_secs(3_600);

/// KV, watch and lease services; cheap to clone.
#[derive(Clone)]
pub struct Services {
    kv: KvServer<Platform>,
    watch: WatchServer<Platform>,
    lease: LeaseServer<Platform>,
}

impl Services {
    /// Creates the services over one shared state.
    pub fn new(state: Rc<State>) -> Self {
        let platform = Platform {
            state: SendWrapper::new(state),
        };
        Self {
            kv: KvServer::new(platform.clone()),
            watch: WatchServer::new(platform.clone()),
            lease: LeaseServer::new(platform),
        }
    }

    /// Routes a request to the service named in its path.
    pub async fn serve(
        mut self,
        request: http::Request<Incoming>,
    ) -> Result<http::Response<Body>, Infallible> {
        let path = request.uri().path();
        if path.starts_with("/etcdserverpb.KV/") {
            return self.kv.call(request).await;
        }
        if path.starts_with("/etcdserverpb.Watch/") {
            return self.watch.call(request).await;
        }
        self.lease.call(request).await
    }
}

/// Handler of all three services.
#[derive(Clone)]
struct Platform {
    state: SendWrapper<Rc<State>>,
}

/// Effect of a call on the store.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

impl Platform {
    /// Counts a call and performs it subject to the active fault.
    fn call<F, T>(
        &self,
        kind: &'static str,
        effect: Effect,
        operation: F,
    ) -> impl Future<Output = Result<Response<T>, Status>> + Send + use<F, T>
    where
        F: FnOnce(&State) -> Result<T, Status> + 'static,
        T: 'static,
    {
        let state = Rc::clone(&self.state);
        SendWrapper::new(async move {
            state.count(kind);
            let fault = state.fault();
            match fault.mode {
                Mode::Ok => {}
                Mode::Hang => compio::time::sleep(HANG_DELAY).await,
                Mode::Refuse => return Err(Status::unavailable("refused")),
                Mode::Slow => compio::time::sleep(Duration::from_millis(fault.by_ms)).await,
                Mode::LoseAnswers if effect == Effect::Read => {}
                Mode::LoseAnswers => {
                    let _ = operation(&state);
                    compio::time::sleep(HANG_DELAY).await;
                    return Err(Status::unavailable("lost"));
                }
            }
            operation(&state).map(Response::new)
        })
    }
}

#[async_trait]
impl Kv for Platform {
    async fn range(
        &self,
        request: Request<RangeRequest>,
    ) -> Result<Response<RangeResponse>, Status> {
        let request = request.into_inner();
        self.call("range", Effect::Read, move |state| {
            Ok(range(&state.store.borrow(), &request))
        })
        .await
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        let request = request.into_inner();
        self.call("txn", Effect::Write, move |state| {
            txn(&mut state.store.borrow_mut(), request)
        })
        .await
    }
}

#[async_trait]
impl Lease for Platform {
    async fn lease_grant(
        &self,
        request: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        let ttl = request.into_inner().ttl;
        self.call("lease_grant", Effect::Write, move |state| {
            let span = Span::from_secs(ttl.max(1) as u64);
            let lease = state.store.borrow_mut().grant(state.now(), span);
            Ok(LeaseGrantResponse {
                header: Some(header(&state.store.borrow())),
                id: lease.0,
                ttl,
                error: String::new(),
            })
        })
        .await
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        let lease = LeaseId(request.into_inner().id);
        self.call("lease_revoke", Effect::Write, move |state| {
            let mut store = state.store.borrow_mut();
            if !store.revoke(lease) {
                return Err(Status::not_found("lease not found"));
            }
            let header = Some(header(&store));
            Ok(LeaseRevokeResponse { header })
        })
        .await
    }

    type LeaseKeepAliveStream = UnboundedReceiver<Result<LeaseKeepAliveResponse, Status>>;

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let (responses, stream) = unbounded();
        let platform = self.clone();
        let mut requests = request.into_inner();
        compio::runtime::spawn(async move {
            while let Ok(Some(request)) = requests.message().await {
                let response = platform.keep_alive(LeaseId(request.id)).await;
                let _ = responses.unbounded_send(response);
            }
        })
        .detach();
        Ok(Response::new(stream))
    }
}

impl Platform {
    /// Renews a lease.
    async fn keep_alive(&self, lease: LeaseId) -> Result<LeaseKeepAliveResponse, Status> {
        let response = self.call("lease_keep_alive", Effect::Write, move |state| {
            let ttl = state.store.borrow_mut().keep_alive(state.now(), lease);
            Ok(LeaseKeepAliveResponse {
                header: Some(header(&state.store.borrow())),
                id: lease.0,
                ttl: (ttl.as_millis() / 1_000) as i64,
            })
        });
        response.await.map(Response::into_inner)
    }
}

#[async_trait]
impl Watch for Platform {
    type WatchStream = UnboundedReceiver<Result<WatchResponse, Status>>;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let state = Rc::clone(&self.state);
        if state.fault().mode == Mode::Refuse {
            state.count("watch");
            return Err(Status::unavailable("refused"));
        }
        let (responses, stream) = unbounded();
        compio::runtime::spawn(serve_watch(state, request.into_inner(), responses)).detach();
        Ok(Response::new(stream))
    }
}

/// Serves the requests of one stream, which carries one watch.
async fn serve_watch(
    state: Rc<State>,
    mut requests: Streaming<WatchRequest>,
    responses: UnboundedSender<Result<WatchResponse, Status>>,
) {
    let progress_requested = Rc::new(Cell::new(false));
    while let Ok(Some(request)) = requests.message().await {
        match request.request_union {
            Some(RequestUnion::CreateRequest(create)) => {
                state.count("watch");
                let watch = run_watch(
                    state.clone(),
                    create,
                    progress_requested.clone(),
                    responses.clone(),
                );
                compio::runtime::spawn(watch).detach();
            }
            Some(RequestUnion::ProgressRequest(_)) => {
                state.count("watch_progress");
                progress_requested.set(true);
            }
            _ => break,
        }
    }
    responses.close_channel();
}

/// Sends changes until the client disconnects or the watch is ended.
///
/// Progress is reported here as well, so that it can't overtake the changes.
async fn run_watch(
    state: Rc<State>,
    create: WatchCreateRequest,
    progress_requested: Rc<Cell<bool>>,
    responses: UnboundedSender<Result<WatchResponse, Status>>,
) {
    let prefix = String::from_utf8_lossy(&create.key).into_owned();
    let mut next_revision = match create.start_revision {
        0 => Revision(state.store.borrow().revision().0 + 1),
        start => Revision(start),
    };
    let generation = state.watch_generation.get();
    let _ = responses.unbounded_send(Ok(WatchResponse {
        header: Some(header(&state.store.borrow())),
        created: true,
        ..WatchResponse::default()
    }));
    state.open_watches.set(state.open_watches.get() + 1);
    while !responses.is_closed() {
        if state.fault().mode == Mode::Refuse || state.watch_generation.get() != generation {
            let _ = responses.unbounded_send(Err(Status::unavailable("broken")));
            break;
        }
        if !is_silent(&state) {
            if !send_changes(
                &state.store.borrow(),
                &prefix,
                &mut next_revision,
                &responses,
            ) {
                break;
            }
            if progress_requested.replace(false) {
                let last = next_revision.0 - 1;
                let complete = state.store.borrow().revision().0.min(last);
                let _ = responses.unbounded_send(Ok(progress(complete)));
            }
        }
        compio::time::sleep(WATCH_INTERVAL).await;
    }
    responses.close_channel();
    state.open_watches.set(state.open_watches.get() - 1);
}

/// Sends the changes from `next_revision` on; returns false if they have been compacted.
fn send_changes(
    store: &Store,
    prefix: &str,
    next_revision: &mut Revision,
    responses: &UnboundedSender<Result<WatchResponse, Status>>,
) -> bool {
    if *next_revision > store.revision() {
        return true;
    }
    let Some(events) = store.since(prefix, *next_revision) else {
        let _ = responses.unbounded_send(Ok(WatchResponse {
            header: Some(header(store)),
            canceled: true,
            compact_revision: store.compacted().0,
            ..WatchResponse::default()
        }));
        return false;
    };
    *next_revision = Revision(store.revision().0 + 1);
    if !events.is_empty() {
        let _ = responses.unbounded_send(Ok(WatchResponse {
            header: Some(header(store)),
            events: events.iter().map(event).collect(),
            ..WatchResponse::default()
        }));
    }
    true
}

/// Returns a progress notification: all changes up to the revision were sent.
fn progress(revision: i64) -> WatchResponse {
    WatchResponse {
        header: Some(ResponseHeader {
            revision,
            ..ResponseHeader::default()
        }),
        watch_id: -1,
        ..WatchResponse::default()
    }
}

/// Returns true while watches send nothing.
fn is_silent(state: &State) -> bool {
    state.fault().mode == Mode::Hang
}

/// Reads one key, or a range of keys up to the limit.
fn range(store: &Store, request: &RangeRequest) -> RangeResponse {
    let key = text(&request.key);
    let mut found = match request.range_end.is_empty() {
        true => store.get(&key).into_iter().collect(),
        false => store.list(""),
    };
    let in_range = |entry: &PlatformEntry| {
        request.range_end.is_empty()
            || (entry.key >= key && entry.key.as_bytes() < request.range_end.as_slice())
    };
    found.retain(in_range);
    let count = found.len() as i64;
    let more = request.limit > 0 && count > request.limit;
    if more {
        found.truncate(request.limit as usize);
    }
    RangeResponse {
        header: Some(header(store)),
        kvs: found.iter().map(key_value).collect(),
        more,
        count,
    }
}

/// Applies a transaction.
fn txn(store: &mut Store, request: TxnRequest) -> Result<TxnResponse, Status> {
    let succeeded = request
        .compare
        .iter()
        .all(|compare| matches(store, compare));
    let operations = match succeeded {
        true => request.success,
        false => request.failure,
    };
    let mut responses = Vec::new();
    for operation in operations {
        responses.push(apply(store, operation)?);
    }
    Ok(TxnResponse {
        header: Some(header(store)),
        succeeded,
        responses,
    })
}

/// Returns true if a comparison holds; supports only the modification revision.
fn matches(store: &Store, compare: &Compare) -> bool {
    let entry = store.get(&text(&compare.key));
    let revision = entry.map_or(0, |entry| entry.revision.0);
    match compare.target_union {
        Some(TargetUnion::ModRevision(expected)) => revision == expected,
        _ => false,
    }
}

/// Applies one operation of a transaction.
fn apply(store: &mut Store, operation: RequestOp) -> Result<ResponseOp, Status> {
    let response = match operation.request {
        Some(Op::RequestRange(request)) => OpResponse::ResponseRange(range(store, &request)),
        Some(Op::RequestPut(request)) => {
            let lease = (request.lease != 0).then_some(LeaseId(request.lease));
            let value = text(&request.value);
            let written = store.put(&text(&request.key), &value, None::<Expect>, lease);
            if written == WriteOutcome::NoLease {
                return Err(Status::not_found("lease not found"));
            }
            OpResponse::ResponsePut(PutResponse {
                header: Some(header(store)),
            })
        }
        Some(Op::RequestDeleteRange(request)) => {
            store.delete(&text(&request.key), None);
            OpResponse::ResponseDeleteRange(DeleteRangeResponse {
                header: Some(header(store)),
                deleted: 1,
            })
        }
        None => return Err(Status::invalid_argument("empty operation")),
    };
    Ok(ResponseOp {
        response: Some(response),
    })
}

/// Returns a response header with the current revision.
fn header(store: &Store) -> ResponseHeader {
    ResponseHeader {
        revision: store.revision().0,
        ..ResponseHeader::default()
    }
}

/// Converts a change to an event of a watch.
fn event(change: &WatchEvent) -> Event {
    let (key, revision) = key_and_revision(change);
    let (kind, kv) = match change {
        WatchEvent::Put(entry) => (EventType::Put, key_value(entry)),
        WatchEvent::Deleted { .. } => (
            EventType::Delete,
            KeyValue {
                key: key.as_bytes().to_vec(),
                mod_revision: revision.0,
                ..KeyValue::default()
            },
        ),
    };
    Event {
        r#type: kind.into(),
        kv: Some(kv),
        prev_kv: None,
    }
}

/// Converts an entry to its message.
fn key_value(entry: &PlatformEntry) -> KeyValue {
    KeyValue {
        key: entry.key.as_bytes().to_vec(),
        value: entry.value.as_bytes().to_vec(),
        mod_revision: entry.revision.0,
        lease: entry.lease.unwrap_or_default().0,
        ..KeyValue::default()
    }
}

/// Converts bytes to text.
fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
