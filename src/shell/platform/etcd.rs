//! The published etcd calls, behind [`KeyValueStore`].
//!
//! A write is a transaction that compares the key's last revision and reads
//! the key if that differs. A watch has a stream of its own and asks for its
//! progress again and again; one that stays silent is ended.

use super::{
    CALL_TIMEOUT, KeyValueStore, PlatformError, WatchEnd,
    channel::{Channel, Link},
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

/// How often a watch asks for its progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// How long a watch may be silent, though asked for its progress.
const WATCH_SILENCE: Duration = Duration::from_secs(3);

/// The most entries read by one call.
const PAGE: i64 = 1_000;

/// The largest answer taken, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// A client of an etcd service.
#[derive(Clone)]
pub struct Etcd {
    channel: Channel,
}

impl Etcd {
    /// A client that uses any of these addresses.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            channel: Channel::new(endpoints),
        }
    }
}

impl KeyValueStore for Etcd {
    async fn execute(&self, call: PlatformCall) -> Result<PlatformAnswer, PlatformError> {
        let step = step(&call);
        let mut used = None;
        let asked = async {
            let link = self
                .channel
                .link()
                .await
                .map_err(|e| (None, e.to_string()))?;
            used = Some(link.clone());
            dispatch(&link, call)
                .await
                .map_err(|status| (Some(status.code()), status.message().to_owned()))
        };
        let answer = match compio::time::timeout(CALL_TIMEOUT, asked).await {
            Ok(answer) => answer,
            Err(_) => Err((None, "no answer in time".to_owned())),
        };
        answer.map_err(|(code, cause)| {
            if let Some(link) = &used
                && !code.is_some_and(is_ours)
            {
                self.channel.abandon(link);
            }
            PlatformError {
                step,
                peer: used.as_ref().map(|link| link.peer),
                cause,
            }
        })
    }

    async fn watch<D>(&self, prefix: String, from: Revision, mut deliver: D) -> WatchEnd
    where
        D: FnMut(Revision, Vec<WatchEvent>),
    {
        let Ok(link) = self.channel.link().await else {
            return WatchEnd::Broken;
        };
        let (requests, pending) = unbounded();
        let _ = requests.unbounded_send(create_watch(&prefix, from));
        let opened = compio::time::timeout(CALL_TIMEOUT, watch_client(&link).watch(pending)).await;
        let Ok(Ok(answer)) = opened else {
            self.channel.abandon(&link);
            return WatchEnd::Broken;
        };
        let mut answers = answer.into_inner();
        let asking = compio::runtime::spawn(ask_progress(requests));
        let end = loop {
            let next = compio::time::timeout(WATCH_SILENCE, answers.message()).await;
            let Ok(Ok(Some(answer))) = next else {
                self.channel.abandon(&link);
                break WatchEnd::Broken;
            };
            if answer.canceled {
                break match answer.compact_revision {
                    0 => WatchEnd::Broken,
                    _ => WatchEnd::Compacted,
                };
            }
            if let Some((revision, events)) = changes(answer) {
                deliver(revision, events);
            }
        };
        drop(asking);
        end
    }
}

/// What a call does, for errors.
fn step(call: &PlatformCall) -> &'static str {
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

/// Whether an error is about the call, not about the service.
fn is_ours(code: Code) -> bool {
    matches!(
        code,
        Code::NotFound | Code::InvalidArgument | Code::OutOfRange | Code::FailedPrecondition
    )
}

async fn dispatch(link: &Link, call: PlatformCall) -> Result<PlatformAnswer, Status> {
    match call {
        PlatformCall::List { prefix } => list(link, &prefix).await,
        PlatformCall::Get { key } => get(link, key).await,
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
            write(link, key, put, expect).await
        }
        PlatformCall::Delete { key, expect } => {
            let delete = Request::RequestDeleteRange(DeleteRangeRequest {
                key: key.clone().into_bytes(),
                range_end: Vec::new(),
            });
            write(link, key, delete, expect).await
        }
        PlatformCall::Grant { ttl } => grant(link, ttl).await,
        PlatformCall::KeepAlive { lease } => keep_alive(link, lease).await,
        PlatformCall::Revoke { lease } => revoke(link, lease).await,
        PlatformCall::Watch { .. } | PlatformCall::Unwatch { .. } => {
            Err(Status::unimplemented("a watch has more than one answer"))
        }
    }
}

/// Reads a prefix page by page, all at the revision of the first page.
async fn list(link: &Link, prefix: &str) -> Result<PlatformAnswer, Status> {
    let mut range = RangeRequest {
        key: prefix.as_bytes().to_vec(),
        range_end: prefix_end(prefix),
        limit: PAGE,
        revision: 0,
    };
    let mut entries = Vec::new();
    loop {
        let page = kv_client(link).range(range.clone()).await?.into_inner();
        let more = page.more;
        if range.revision == 0 {
            range.revision = revision(page.header).0;
        }
        entries.extend(page.kvs.into_iter().map(entry));
        match entries.last() {
            Some(last) if more => range.key = next_key(&last.key),
            _ => break,
        }
    }
    Ok(PlatformAnswer::Entries {
        revision: Revision(range.revision),
        entries,
    })
}

async fn get(link: &Link, key: String) -> Result<PlatformAnswer, Status> {
    let found = kv_client(link).range(read(&key)).await?.into_inner();
    Ok(PlatformAnswer::Entries {
        revision: revision(found.header),
        entries: found.kvs.into_iter().map(entry).collect(),
    })
}

async fn write(
    link: &Link,
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
        success: vec![operation(request)],
        failure: vec![operation(Request::RequestRange(read(&key)))],
    };
    let answer = kv_client(link).txn(txn).await?.into_inner();
    let revision = revision(answer.header);
    if answer.succeeded {
        return Ok(PlatformAnswer::Written { revision });
    }
    Ok(PlatformAnswer::Conflict {
        revision,
        current: found(answer),
    })
}

async fn grant(link: &Link, ttl: Span) -> Result<PlatformAnswer, Status> {
    let request = LeaseGrantRequest {
        ttl: ttl.0.div_ceil(1_000_000) as i64,
        id: 0,
    };
    let granted = lease_client(link).lease_grant(request).await?.into_inner();
    Ok(leased(granted.id, granted.ttl))
}

async fn keep_alive(link: &Link, lease: LeaseId) -> Result<PlatformAnswer, Status> {
    let request = LeaseKeepAliveRequest { id: lease.0 };
    let requests = stream::iter([request]);
    let mut answers = lease_client(link)
        .lease_keep_alive(requests)
        .await?
        .into_inner();
    match answers.message().await? {
        Some(answer) => Ok(leased(answer.id, answer.ttl)),
        None => Err(Status::unavailable("the stream ended without an answer")),
    }
}

async fn revoke(link: &Link, lease: LeaseId) -> Result<PlatformAnswer, Status> {
    let request = LeaseRevokeRequest { id: lease.0 };
    match lease_client(link).lease_revoke(request).await {
        Ok(_) => Ok(PlatformAnswer::Revoked),
        Err(status) if status.code() == Code::NotFound => Ok(PlatformAnswer::Revoked),
        Err(status) => Err(status),
    }
}

/// Asks for a watch's progress until the watch has ended.
async fn ask_progress(requests: UnboundedSender<WatchRequest>) {
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

/// The changes in an answer and the revision up to which the watch is complete.
///
/// With events that is the last one's: the header may be ahead of the batch.
fn changes(answer: WatchResponse) -> Option<(Revision, Vec<WatchEvent>)> {
    if answer.created {
        return None;
    }
    let complete = revision(answer.header);
    let events: Vec<WatchEvent> = answer.events.into_iter().filter_map(change).collect();
    let revision = match events.last() {
        Some(WatchEvent::Put(entry)) => entry.revision,
        Some(WatchEvent::Deleted { revision, .. }) => *revision,
        None => complete,
    };
    Some((revision, events))
}

fn change(event: Event) -> Option<WatchEvent> {
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

/// The entry that a transaction read because its comparison failed.
fn found(answer: TxnResponse) -> Option<PlatformEntry> {
    let read = answer.responses.into_iter().next()?.response?;
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

fn operation(request: Request) -> RequestOp {
    RequestOp {
        request: Some(request),
    }
}

fn read(key: &str) -> RangeRequest {
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

/// The first key after all that begin with `prefix`.
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

/// The first key after `key`.
fn next_key(key: &str) -> Vec<u8> {
    let mut next = key.as_bytes().to_vec();
    next.push(0);
    next
}

fn origin(link: &Link) -> Uri {
    Uri::builder()
        .scheme("http")
        .authority(link.peer.to_string())
        .path_and_query("/")
        .build()
        .unwrap_or_default()
}

fn kv_client(link: &Link) -> KvClient<Link> {
    KvClient::with_origin(link.clone(), origin(link)).max_decoding_message_size(MAX_ANSWER)
}

fn lease_client(link: &Link) -> LeaseClient<Link> {
    LeaseClient::with_origin(link.clone(), origin(link))
}

fn watch_client(link: &Link) -> WatchClient<Link> {
    WatchClient::with_origin(link.clone(), origin(link)).max_decoding_message_size(MAX_ANSWER)
}
