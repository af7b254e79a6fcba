//! Polls the list of live and leaving hosts.
//!
//! A changed list and a failed read each become one input of the core; an
//! unchanged list is not passed on.

use super::{Inbox, http};
use crate::core::input::{HostEntry, HostsInput, Input};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::{Request, client::conn::http1::SendRequest};
use std::{net::SocketAddr, time::Duration};

/// Interval between reads of the list.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of the longest list that is accepted.
const MAX_LIST_BYTES: usize = 16 << 20;

type Sender = SendRequest<Empty<Bytes>>;

/// Starts polling the list; ends with the event loop.
pub fn start(inbox: Inbox, address: SocketAddr) {
    compio::runtime::spawn(async move {
        let mut sender = None;
        let mut last = Bytes::new();
        loop {
            let read = compio::time::timeout(READ_TIMEOUT, read(&mut sender, address)).await;
            match read.ok().flatten() {
                Some(text) if text == last => {}
                Some(text) => match parse_hosts(&text) {
                    Some(entries) => {
                        last = text;
                        inbox.send(Input::Hosts(HostsInput::Listed(entries)));
                    }
                    None => inbox.send(Input::Hosts(HostsInput::Failed)),
                },
                None => {
                    sender = None;
                    inbox.send(Input::Hosts(HostsInput::Failed));
                }
            }
            compio::time::sleep(READ_INTERVAL).await;
        }
    })
    .detach();
}

/// Reads the text of the list over the open connection, or a new one.
async fn read(sender: &mut Option<Sender>, address: SocketAddr) -> Option<Bytes> {
    let mut open = match sender.take().filter(|open| !open.is_closed()) {
        Some(open) => open,
        None => connect(address).await?,
    };
    open.ready().await.ok()?;
    let request = Request::get("/hosts")
        .header("host", address.to_string())
        .body(Empty::new())
        .ok()?;
    let response = open.send_request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES);
    let text = body.collect().await.ok()?.to_bytes();
    *sender = Some(open);
    Some(text)
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = http::connect(address).await.ok()?;
    let (sender, connection) = http::handshake_http1(stream).await.ok()?;
    connection.detach();
    Some(sender)
}

/// Parses the text of the list; returns `None` if it isn't a list of hosts.
fn parse_hosts(text: &[u8]) -> Option<Vec<HostEntry>> {
    serde_json::from_slice(text).ok()
}
