//! Implements [`KeyValueStore`] over the public etcd API.
//!
//! A write is a transaction that compares the key's revision and reads the key
//! if it differs. A watch has a stream of its own and requests progress
//! periodically; it ends if nothing arrives within [`WATCH_TIMEOUT`].

use super::{
    CALL_TIMEOUT, KeyValueStore, PlatformError, WatchEnd,
    channel::{Channel, Connection},
};
use crate::{
    core::{
        input::{PlatformAnswer, PlatformEntry, WatchEvent},
        keys::{LeaseId, Revision},
        output::{Expect, PlatformCall},
        time::Span,
    },
    wire::{
        etcdserverpb::{
            Compare, DeleteRangeRequest, LeaseGrantRequest, LeaseKeepAliveRequest,
            LeaseRevokeRequest, PutRequest, RangeRequest, RangeResponse, RequestOp, ResponseHeader,
            TxnRequest, TxnResponse, WatchCreateRequest, WatchProgressRequest, WatchRequest,
            WatchResponse,
            compare::{CompareResult, CompareTarget, TargetUnion},
            kv_client::KvClient,
            lease_client::LeaseClient,
            request_op::Request,
            response_op::Response,
            watch_client::WatchClient,
            watch_request::RequestUnion,
        },
        mvccpb::{Event, KeyValue as Pair, event::EventType},
    },
};
use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_util::stream;
use std::{net::SocketAddr, time::Duration};
use tonic::{Code, Status, codegen::http::Uri};

/// Interval between progress requests of a watch.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a message, despite progress requests, after which a watch has failed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Entries read per request when listing keys.
const PAGE_SIZE: i64 = 1_000;

/// Bytes of the largest response that is accepted.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of an etcd store.
#[derive(Clone)]
pub struct Etcd {
    channel: Channel,
}

impl Etcd {
    /// Creates a client that uses any of the endpoints.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            channel: Channel::new(endpoints),
        }
    }
}

impl KeyValueStore for Etcd {
    async fn execute(&self, call: PlatformCall) -> Result<PlatformAnswer, PlatformError> {
        let operation = describe(&call);
        let mut used = None;
        let answer = async {
            let connection = self
                .channel
                .connection()
                .await
                .map_err(|e| (None, e.to_string()))?;
            used = Some(connection.clone());
            dispatch(&connection, call)
                .await
                .map_err(|status| (Some(status.code()), status.message().to_owned()))
        };
        let answer = match compio::time::timeout(CALL_TIMEOUT, answer).await {
            Ok(answer) => answer,
            Err(_) => Err((None, "no answer in time".to_owned())),
        };
        answer.map_err(|(code, cause)| {
            if let Some(connection) = &used
                && !code.is_some_and(is_call_error)
            {
                self.channel.discard(connection);
            }
            PlatformError {
                operation,
                peer: used.as_ref().map(|connection| connection.peer),
                cause,
            }
        })
    }

    async fn watch<D>(&self, prefix: String, from: Revision, mut deliver: D) -> WatchEnd
    where
        D: FnMut(Revision, Vec<WatchEvent>),
    {
        let Ok(connection) = self.channel.connection().await else {
            return WatchEnd::Broken;
        };
        let (requests, pending) = unbounded();
        let _ = requests.unbounded_send(create_watch(&prefix, from));
        let opened =
            compio::time::timeout(CALL_TIMEOUT, watch_client(&connection).watch(pending)).await;
        let Ok(Ok(response)) = opened else {
            self.channel.discard(&connection);
            return WatchEnd::Broken;
        };
        let mut responses = response.into_inner();
        let progress = compio::runtime::spawn(request_progress(requests));
        let end = loop {
            let next = compio::time::timeout(WATCH_TIMEOUT, responses.message()).await;
            let Ok(Ok(Some(response))) = next else {
                self.channel.discard(&connection);
                break WatchEnd::Broken;
            };
            if response.canceled {
                break match response.compact_revision {
                    0 => WatchEnd::Broken,
                    _ => WatchEnd::Compacted,
                };
            }
            if let Some((revision, events)) = parse_watch_response(response) {
                deliver(revision, events);
            }
        };
        drop(progress);
        end
    }
}

/// Describes a call for error messages.
fn describe(call: &PlatformCall) -> &'static str {
    match call {
        PlatformCall::List { .. } => "list keys",
        PlatformCall::Get { .. } => "read a key",
        PlatformCall::Put { .. } => "write a key",
        PlatformCall::Delete { .. } => "delete a key",
        PlatformCall::Grant { .. } => "grant a lease",
        PlatformCall::KeepAlive { .. } => "renew a lease",
        PlatformCall::Revoke { .. } => "revoke a lease",
        PlatformCall::Watch { .. } => "watch keys",
        PlatformCall::Unwatch { .. } => "end a watch",
    }
}

/// Returns true if the status is an error of the call, not of the store or the connection.
fn is_call_error(code: Code) -> bool {
    matches!(
        code,
        Code::NotFound | Code::InvalidArgument | Code::OutOfRange | Code::FailedPrecondition
    )
}

async fn dispatch(connection: &Connection, call: PlatformCall) -> Result<PlatformAnswer, Status> {
    match call {
        PlatformCall::List { prefix } => list(connection, &prefix).await,
        PlatformCall::Get { key } => get(connection, key).await,
        PlatformCall::Put {
            key,
            value,
            expect,
            lease,
        } => {
            let put = Request::RequestPut(PutRequest {
                key: key.clone().into_bytes(),
                value: value.into_bytes(),
                lease: lease.unwrap_or_default().0,
            });
            write(connection, key, put, expect).await
        }
        PlatformCall::Delete { key, expect } => {
            let delete = Request::RequestDeleteRange(DeleteRangeRequest {
                key: key.clone().into_bytes(),
                range_end: Vec::new(),
            });
            write(connection, key, delete, expect).await
        }
        PlatformCall::Grant { ttl } => grant(connection, ttl).await,
        PlatformCall::KeepAlive { lease } => keep_alive(connection, lease).await,
        PlatformCall::Revoke { lease } => revoke(connection, lease).await,
        PlatformCall::Watch { .. } | PlatformCall::Unwatch { .. } => {
            Err(Status::unimplemented("a watch has more than one response"))
        }
    }
}

/// Lists a prefix page by page, all at the revision of the first page.
async fn list(connection: &Connection, prefix: &str) -> Result<PlatformAnswer, Status> {
    let mut range = RangeRequest {
        key: prefix.as_bytes().to_vec(),
        range_end: prefix_end(prefix),
        limit: PAGE_SIZE,
        revision: 0,
    };
    let mut entries = Vec::new();
    loop {
        let page = kv_client(connection)
            .range(range.clone())
            .await?
            .into_inner();
        if range.revision == 0 {
            range.revision = revision(page.header).0;
        }
        // A key need not be valid UTF-8, and its lossy text may sort elsewhere.
        let next = page.kvs.last().map(|last| next_key(&last.key));
        entries.extend(page.kvs.into_iter().map(entry));
        match next {
            Some(next) if page.more => range.key = next,
            _ => break,
        }
    }
    Ok(PlatformAnswer::Entries {
        revision: Revision(range.revision),
        entries,
    })
}

async fn get(connection: &Connection, key: String) -> Result<PlatformAnswer, Status> {
    let found = kv_client(connection)
        .range(read_request(&key))
        .await?
        .into_inner();
    Ok(PlatformAnswer::Entries {
        revision: revision(found.header),
        entries: found.kvs.into_iter().map(entry).collect(),
    })
}

async fn write(
    connection: &Connection,
    key: String,
    request: Request,
    expect: Expect,
) -> Result<PlatformAnswer, Status> {
    let expected = match expect {
        Expect::Absent => 0,
        Expect::At(revision) => revision.0,
    };
    let compare = Compare {
        result: CompareResult::Equal.into(),
        target: CompareTarget::Mod.into(),
        key: key.clone().into_bytes(),
        target_union: Some(TargetUnion::ModRevision(expected)),
    };
    let txn = TxnRequest {
        compare: vec![compare],
        success: vec![request_op(request)],
        failure: vec![request_op(Request::RequestRange(read_request(&key)))],
    };
    let response = kv_client(connection).txn(txn).await?.into_inner();
    let revision = revision(response.header);
    if response.succeeded {
        return Ok(PlatformAnswer::Written { revision });
    }
    Ok(PlatformAnswer::Conflict {
        revision,
        current: current_entry(response),
    })
}

async fn grant(connection: &Connection, ttl: Span) -> Result<PlatformAnswer, Status> {
    let request = LeaseGrantRequest {
        ttl: ttl.0.div_ceil(1_000_000) as i64,
        id: 0,
    };
    let granted = lease_client(connection)
        .lease_grant(request)
        .await?
        .into_inner();
    Ok(leased(granted.id, granted.ttl))
}

async fn keep_alive(connection: &Connection, lease: LeaseId) -> Result<PlatformAnswer, Status> {
    let request = LeaseKeepAliveRequest { id: lease.0 };
    let requests = stream::iter([request]);
    let mut responses = lease_client(connection)
        .lease_keep_alive(requests)
        .await?
        .into_inner();
    match responses.message().await? {
        Some(response) => Ok(leased(response.id, response.ttl)),
        None => Err(Status::unavailable("the stream ended without a response")),
    }
}

async fn revoke(connection: &Connection, lease: LeaseId) -> Result<PlatformAnswer, Status> {
    let request = LeaseRevokeRequest { id: lease.0 };
    match lease_client(connection).lease_revoke(request).await {
        Ok(_) => Ok(PlatformAnswer::Revoked),
        Err(status) if status.code() == Code::NotFound => Ok(PlatformAnswer::Revoked),
        Err(status) => Err(status),
    }
}

/// Requests a watch's progress until the watch has ended.
async fn request_progress(requests: UnboundedSender<WatchRequest>) {
    loop {
        compio::time::sleep(PROGRESS_INTERVAL).await;
        let request = WatchRequest {
            request_union: Some(RequestUnion::ProgressRequest(WatchProgressRequest {})),
        };
        if requests.unbounded_send(request).is_err() {
            return;
        }
    }
}

fn create_watch(prefix: &str, from: Revision) -> WatchRequest {
    WatchRequest {
        request_union: Some(RequestUnion::CreateRequest(WatchCreateRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: prefix_end(prefix),
            start_revision: from.0,
            progress_notify: true,
        })),
    }
}

/// Returns the events of a response, and the revision up to which the watch has delivered.
///
/// If there are events, this is the revision of the last one: the header may be ahead of
/// the batch.
fn parse_watch_response(response: WatchResponse) -> Option<(Revision, Vec<WatchEvent>)> {
    if response.created {
        return None;
    }
    let progress = revision(response.header);
    let events: Vec<WatchEvent> = response
        .events
        .into_iter()
        .filter_map(watch_event)
        .collect();
    let revision = match events.last() {
        Some(WatchEvent::Put(entry)) => entry.revision,
        Some(WatchEvent::Deleted { revision, .. }) => *revision,
        None => progress,
    };
    Some((revision, events))
}

fn watch_event(event: Event) -> Option<WatchEvent> {
    let kind = event.r#type();
    let pair = event.kv?;
    Some(match kind {
        EventType::Put => WatchEvent::Put(entry(pair)),
        EventType::Delete => WatchEvent::Deleted {
            key: text(pair.key),
            revision: Revision(pair.mod_revision),
        },
    })
}

/// Returns the entry that a transaction read because its comparison failed.
fn current_entry(response: TxnResponse) -> Option<PlatformEntry> {
    let read = response.responses.into_iter().next()?.response?;
    let Response::ResponseRange(RangeResponse { kvs, .. }) = read else {
        return None;
    };
    kvs.into_iter().next().map(entry)
}

fn entry(pair: Pair) -> PlatformEntry {
    PlatformEntry {
        key: text(pair.key),
        value: text(pair.value),
        revision: Revision(pair.mod_revision),
        lease: (pair.lease != 0).then_some(LeaseId(pair.lease)),
    }
}

fn leased(id: i64, seconds: i64) -> PlatformAnswer {
    PlatformAnswer::Leased {
        lease: LeaseId(id),
        ttl: Span::from_secs(seconds.max(0) as u64),
    }
}

fn request_op(request: Request) -> RequestOp {
    RequestOp {
        request: Some(request),
    }
}

fn read_request(key: &str) -> RangeRequest {
    RangeRequest {
        key: key.as_bytes().to_vec(),
        ..RangeRequest::default()
    }
}

fn revision(header: Option<ResponseHeader>) -> Revision {
    Revision(header.unwrap_or_default().revision)
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the first key after all keys that start with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Returns the first key after `key`.
fn next_key(key: &[u8]) -> Vec<u8> {
    let mut next = key.to_vec();
    next.push(0);
    next
}

fn origin(connection: &Connection) -> Uri {
    Uri::builder()
        .scheme("http")
        .authority(connection.peer.to_string())
        .path_and_query("/")
        .build()
        .unwrap_or_default()
}

fn kv_client(connection: &Connection) -> KvClient<Connection> {
    KvClient::with_origin(connection.clone(), origin(connection))
        .max_decoding_message_size(MAX_RESPONSE_BYTES)
}

fn lease_client(connection: &Connection) -> LeaseClient<Connection> {
    LeaseClient::with_origin(connection.clone(), origin(connection))
}

fn watch_client(connection: &Connection) -> WatchClient<Connection> {
    WatchClient::with_origin(connection.clone(), origin(connection))
        .max_decoding_message_size(MAX_RESPONSE_BYTES)
}
