//! The published calls of the key-value service, over the store.

use crate::{
    store::{Store, WriteOutcome, key_and_revision},
    world::{Mode, World},
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
            response_op::Response as OpAnswer,
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

/// How often a watch looks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(2);

/// How long a call that is never answered is kept open.
const FOREVER: Duration = Duration::from_secs(3_600);

/// The three services; cheap to clone.
#[derive(Clone)]
pub struct Services {
    kv: KvServer<Platform>,
    watch: WatchServer<Platform>,
    lease: LeaseServer<Platform>,
}

impl Services {
    /// The services over one world.
    pub fn new(world: Rc<World>) -> Self {
        let platform = Platform {
            world: SendWrapper::new(world),
        };
        Self {
            kv: KvServer::new(platform.clone()),
            watch: WatchServer::new(platform.clone()),
            lease: LeaseServer::new(platform),
        }
    }

    /// Hands a request to the service that it names.
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

#[derive(Clone)]
struct Platform {
    world: SendWrapper<Rc<World>>,
}

/// Whether a call changes anything.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

impl Platform {
    /// Makes a call as the fault in force has it.
    fn call<F, T>(
        &self,
        kind: &'static str,
        effect: Effect,
        act: F,
    ) -> impl Future<Output = Result<Response<T>, Status>> + Send + use<F, T>
    where
        F: FnOnce(&World) -> Result<T, Status> + 'static,
        T: 'static,
    {
        let world = Rc::clone(&self.world);
        SendWrapper::new(async move {
            world.count(kind);
            let fault = world.fault();
            match fault.mode {
                Mode::Ok => {}
                Mode::Hang => compio::time::sleep(FOREVER).await,
                Mode::Refuse => return Err(Status::unavailable("refused")),
                Mode::Slow => compio::time::sleep(Duration::from_millis(fault.by_ms)).await,
                Mode::LoseAnswers if effect == Effect::Read => {}
                Mode::LoseAnswers => {
                    let _ = act(&world);
                    compio::time::sleep(FOREVER).await;
                    return Err(Status::unavailable("lost"));
                }
            }
            act(&world).map(Response::new)
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
        self.call("range", Effect::Read, move |world| {
            Ok(range(&world.store.borrow(), &request))
        })
        .await
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        let request = request.into_inner();
        self.call("txn", Effect::Write, move |world| {
            txn(&mut world.store.borrow_mut(), request)
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
        self.call("lease_grant", Effect::Write, move |world| {
            let span = Span::from_secs(ttl.max(1) as u64);
            let lease = world.store.borrow_mut().grant(world.now(), span);
            Ok(LeaseGrantResponse {
                header: Some(header(&world.store.borrow())),
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
        self.call("lease_revoke", Effect::Write, move |world| {
            let mut store = world.store.borrow_mut();
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
        let (answers, pending) = unbounded();
        let platform = self.clone();
        let mut requests = request.into_inner();
        compio::runtime::spawn(async move {
            while let Ok(Some(request)) = requests.message().await {
                let answer = platform.keep_alive(LeaseId(request.id)).await;
                let _ = answers.unbounded_send(answer);
            }
        })
        .detach();
        Ok(Response::new(pending))
    }
}

impl Platform {
    async fn keep_alive(&self, lease: LeaseId) -> Result<LeaseKeepAliveResponse, Status> {
        let answer = self.call("lease_keep_alive", Effect::Write, move |world| {
            let ttl = world.store.borrow_mut().keep_alive(world.now(), lease);
            Ok(LeaseKeepAliveResponse {
                header: Some(header(&world.store.borrow())),
                id: lease.0,
                ttl: (ttl.as_millis() / 1_000) as i64,
            })
        });
        answer.await.map(Response::into_inner)
    }
}

#[async_trait]
impl Watch for Platform {
    type WatchStream = UnboundedReceiver<Result<WatchResponse, Status>>;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let world = Rc::clone(&self.world);
        if world.fault().mode == Mode::Refuse {
            world.count("watch");
            return Err(Status::unavailable("refused"));
        }
        let (answers, pending) = unbounded();
        compio::runtime::spawn(serve_watch(world, request.into_inner(), answers)).detach();
        Ok(Response::new(pending))
    }
}

/// Serves one stream, which carries one watch.
async fn serve_watch(
    world: Rc<World>,
    mut requests: Streaming<WatchRequest>,
    answers: UnboundedSender<Result<WatchResponse, Status>>,
) {
    let asked = Rc::new(Cell::new(false));
    while let Ok(Some(request)) = requests.message().await {
        match request.request_union {
            Some(RequestUnion::CreateRequest(create)) => {
                world.count("watch");
                let feed = feed_watch(world.clone(), create, asked.clone(), answers.clone());
                compio::runtime::spawn(feed).detach();
            }
            Some(RequestUnion::ProgressRequest(_)) => {
                world.count("watch_progress");
                asked.set(true);
            }
            _ => break,
        }
    }
    answers.close_channel();
}

/// Sends changes until the client goes away or the watch is ended.
///
/// Progress is told here as well, so that it can't run ahead of the changes.
async fn feed_watch(
    world: Rc<World>,
    create: WatchCreateRequest,
    asked: Rc<Cell<bool>>,
    answers: UnboundedSender<Result<WatchResponse, Status>>,
) {
    let prefix = String::from_utf8_lossy(&create.key).into_owned();
    let mut from = match create.start_revision {
        0 => Revision(world.store.borrow().revision().0 + 1),
        start => Revision(start),
    };
    let breaks = world.breaks.get();
    let _ = answers.unbounded_send(Ok(WatchResponse {
        header: Some(header(&world.store.borrow())),
        created: true,
        ..WatchResponse::default()
    }));
    world.watching.set(world.watching.get() + 1);
    while !answers.is_closed() {
        if world.fault().mode == Mode::Refuse || world.breaks.get() != breaks {
            let _ = answers.unbounded_send(Err(Status::unavailable("broken")));
            break;
        }
        if !is_silent(&world) {
            if !feed(&world.store.borrow(), &prefix, &mut from, &answers) {
                break;
            }
            if asked.replace(false) {
                let last = from.0 - 1;
                let complete = world.store.borrow().revision().0.min(last);
                let _ = answers.unbounded_send(Ok(progress(complete)));
            }
        }
        compio::time::sleep(WATCH_INTERVAL).await;
    }
    answers.close_channel();
    world.watching.set(world.watching.get() - 1);
}

/// Sends the changes since `from`; false if they are gone.
fn feed(
    store: &Store,
    prefix: &str,
    from: &mut Revision,
    answers: &UnboundedSender<Result<WatchResponse, Status>>,
) -> bool {
    if *from > store.revision() {
        return true;
    }
    let Some(events) = store.since(prefix, *from) else {
        let _ = answers.unbounded_send(Ok(WatchResponse {
            header: Some(header(store)),
            canceled: true,
            compact_revision: store.compacted().0,
            ..WatchResponse::default()
        }));
        return false;
    };
    *from = Revision(store.revision().0 + 1);
    if !events.is_empty() {
        let _ = answers.unbounded_send(Ok(WatchResponse {
            header: Some(header(store)),
            events: events.iter().map(event).collect(),
            ..WatchResponse::default()
        }));
    }
    true
}

/// Says that a watch is complete up to a revision.
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

fn is_silent(world: &World) -> bool {
    world.fault().mode == Mode::Hang
}

fn range(store: &Store, request: &RangeRequest) -> RangeResponse {
    let key = text(&request.key);
    let mut found = match request.range_end.is_empty() {
        true => store.get(&key).into_iter().collect(),
        false => store.list(""),
    };
    let within = |e: &PlatformEntry| {
        request.range_end.is_empty()
            || (e.key >= key && e.key.as_bytes() < request.range_end.as_slice())
    };
    found.retain(within);
    let count = found.len() as i64;
    let more = request.limit > 0 && count > request.limit;
    if more {
        found.truncate(request.limit as usize);
    }
    RangeResponse {
        header: Some(header(store)),
        kvs: found.iter().map(pair).collect(),
        more,
        count,
    }
}

fn txn(store: &mut Store, request: TxnRequest) -> Result<TxnResponse, Status> {
    let succeeded = request.compare.iter().all(|c| holds(store, c));
    let operations = match succeeded {
        true => request.success,
        false => request.failure,
    };
    let mut responses = Vec::new();
    for operation in operations {
        responses.push(perform(store, operation)?);
    }
    Ok(TxnResponse {
        header: Some(header(store)),
        succeeded,
        responses,
    })
}

fn holds(store: &Store, compare: &Compare) -> bool {
    let held = store.get(&text(&compare.key));
    let revision = held.map_or(0, |entry| entry.revision.0);
    match compare.target_union {
        Some(TargetUnion::ModRevision(expected)) => revision == expected,
        _ => false,
    }
}

fn perform(store: &mut Store, operation: RequestOp) -> Result<ResponseOp, Status> {
    let answer = match operation.request {
        Some(Op::RequestRange(request)) => OpAnswer::ResponseRange(range(store, &request)),
        Some(Op::RequestPut(request)) => {
            let lease = (request.lease != 0).then_some(LeaseId(request.lease));
            let value = text(&request.value);
            let written = store.put(&text(&request.key), &value, None::<Expect>, lease);
            if written == WriteOutcome::NoLease {
                return Err(Status::not_found("lease not found"));
            }
            OpAnswer::ResponsePut(PutResponse {
                header: Some(header(store)),
            })
        }
        Some(Op::RequestDeleteRange(request)) => {
            store.delete(&text(&request.key), None);
            OpAnswer::ResponseDeleteRange(DeleteRangeResponse {
                header: Some(header(store)),
                deleted: 1,
            })
        }
        None => return Err(Status::invalid_argument("empty operation")),
    };
    Ok(ResponseOp {
        response: Some(answer),
    })
}

fn header(store: &Store) -> ResponseHeader {
    ResponseHeader {
        revision: store.revision().0,
        ..ResponseHeader::default()
    }
}

fn event(change: &WatchEvent) -> Event {
    let (key, revision) = key_and_revision(change);
    let (kind, kv) = match change {
        WatchEvent::Put(entry) => (EventType::Put, pair(entry)),
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

fn pair(entry: &PlatformEntry) -> KeyValue {
    KeyValue {
        key: entry.key.as_bytes().to_vec(),
        value: entry.value.as_bytes().to_vec(),
        mod_revision: entry.revision.0,
        lease: entry.lease.unwrap_or_default().0,
        ..KeyValue::default()
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
