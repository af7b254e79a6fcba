//! Lists of an etcd store with keys that are not valid UTF-8, as other writers may leave them.

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt as _;
use hickoryledge::{
    core::{
        input::{Input, PlatformAnswer, PlatformEntry, PlatformInput},
        keys::{Owner, PlatformId},
        output::PlatformCall,
    },
    shell::{
        http,
        inbox::Inbox,
        platform::{Etcd, Platform},
    },
    wire::{
        etcdserverpb::{
            RangeRequest, RangeResponse, ResponseHeader, TxnRequest, TxnResponse,
            kv_server::{Kv, KvServer},
        },
        mvccpb::KeyValue,
    },
};
use hyper::service::service_fn;
use std::{net::SocketAddr, time::Duration};
use tonic::{Request, Response, Status, async_trait, codegen::Service as _};

/// Time to wait for an answer before the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Keys of the store, in order.
const KEYS: [&[u8]; 6] = [
    b"/t/a",
    b"/t/b",
    b"/t/b\x80",
    b"/t/b\xf0\x9f",
    b"/t/b\xff",
    b"/t/c",
];

/// Store that returns one key on each page.
#[derive(Clone, Copy)]
struct OneKeyPages;

#[async_trait]
impl Kv for OneKeyPages {
    async fn range(
        &self,
        request: Request<RangeRequest>,
    ) -> Result<Response<RangeResponse>, Status> {
        let RangeRequest { key, range_end, .. } = request.into_inner();
        let is_found = |found: &&&[u8]| **found >= key.as_slice() && **found < range_end.as_slice();
        let mut found = KEYS.iter().filter(is_found);
        let first = found.next().map(|key| KeyValue {
            key: key.to_vec(),
            mod_revision: 1,
            ..KeyValue::default()
        });
        Ok(Response::new(RangeResponse {
            header: Some(ResponseHeader {
                revision: 1,
                ..ResponseHeader::default()
            }),
            kvs: first.into_iter().collect(),
            more: found.next().is_some(),
            ..RangeResponse::default()
        }))
    }

    async fn txn(&self, _: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        Err(Status::unimplemented("the store is only read"))
    }
}

/// Serves the store on a free port and returns its address.
async fn serve_store() -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = http::bind(any).await.expect("a port is free");
    let address = http::address(&listener).expect("bound");
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|request| KvServer::new(OneKeyPages).call(request));
            compio::runtime::spawn(http::serve_http2(stream, service)).detach();
        }
    })
    .detach();
    address
}

/// Lists the keys; returns none if the call failed.
async fn list(address: SocketAddr) -> Option<Vec<PlatformEntry>> {
    let (inbox, mut inputs): (_, UnboundedReceiver<Input>) = Inbox::new();
    let platform = Platform::with_store(inbox, Etcd::new(vec![address]));
    let id = PlatformId {
        owner: Owner::Config,
        number: 1,
    };
    let prefix = "/t/".to_owned();
    platform.perform(id, PlatformCall::List { prefix });
    let input = compio::time::timeout(WAIT_TIMEOUT, inputs.next()).await;
    match input.expect("an answer in time") {
        Some(Input::Platform(PlatformInput::Answered {
            answer: PlatformAnswer::Entries { entries, .. },
            ..
        })) => Some(entries),
        _ => None,
    }
}

/// Guards against a key that hides all those after it: the next page began after the lossy text of
/// the key, which sorts elsewhere.
#[compio::test]
async fn non_utf8_key_hides_no_other_key() {
    let address = serve_store().await;
    let entries = list(address).await.expect("the list ends");
    let names: Vec<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
    let lossy = "/t/b\u{fffd}";
    assert_eq!(names, ["/t/a", "/t/b", lossy, lossy, lossy, "/t/c"]);
}
