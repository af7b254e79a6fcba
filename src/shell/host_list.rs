//! Reads the list of live and leaving hosts, again and again.

use super::{Inbox, http};
use crate::core::input::{HostEntry, HostsInput, Input};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::{Request, client::conn::http1::SendRequest};
use std::{net::SocketAddr, time::Duration};

/// How often the list is read.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// How long a read may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest list taken, in bytes.
const MAX_LIST: usize = 16 << 20;

type Sender = SendRequest<Empty<Bytes>>;

/// Reads the list until the loop ends; an unchanged list is not passed on.
pub fn start(inbox: Inbox, address: SocketAddr) {
    compio::runtime::spawn(async move {
        let mut sender = None;
        let mut held = Bytes::new();
        loop {
            let read = compio::time::timeout(READ_TIMEOUT, read(&mut sender, address)).await;
            match read.ok().flatten() {
                Some(text) if text == held => {}
                Some(text) => match entries(&text) {
                    Some(entries) => {
                        held = text;
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

/// The list's text, over the connection kept open or a new one.
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
    let answer = open.send_request(request).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let body = Limited::new(answer.into_body(), MAX_LIST);
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

/// The entries in a list's text; nothing if it is not a list of hosts.
fn entries(text: &[u8]) -> Option<Vec<HostEntry>> {
    serde_json::from_slice(text).ok()
}
