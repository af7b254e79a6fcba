//! `entries`: which daemons a caller is to use.

use super::{
    operate::{daemon, secret},
    patience::talk,
    table::{self, Row},
};
use crate::{
    cli::{EntriesArgs, Target},
    error::CommandError,
    exit_codes::Exit,
};
use bytes::Bytes;
use hickoryledge::shell::http::send_once;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt as _, Empty};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a daemon answers.
#[derive(Deserialize)]
struct Entries {
    entries: Vec<Entry>,
}

/// One daemon to use.
#[derive(Deserialize, Serialize)]
struct Entry {
    daemon: String,
    address: SocketAddr,
    hall: String,
}

impl Row for Entry {
    const HEADS: &'static [&'static str] = &["DAEMON", "ADDRESS", "HALL"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.daemon.clone(),
            self.address.to_string(),
            self.hall.clone(),
        ]
    }
}

/// Asks a daemon as a caller does.
pub fn run(target: &Target, args: &EntriesArgs) -> Result<(), CommandError> {
    let peer = daemon(target)?;
    let key = secret(args.key.as_ref(), args.key_file.as_deref())?.ok_or_else(|| {
        let reason = "neither --key nor --key-file is given";
        CommandError::local(Exit::Usage, "find the key", reason)
    })?;
    let (status, body) = talk(target, async {
        let asked = ask(peer, &key, args.model.as_deref()).await;
        asked.map_err(|error| CommandError::unreachable("ask", peer, format!("{error:#}")))
    })?;
    if status != StatusCode::OK {
        return Err(CommandError {
            peer: Some(peer),
            ..CommandError::local(Exit::Refused, "ask", String::from_utf8_lossy(&body))
        });
    }
    let entries: Entries = serde_json::from_slice(&body)
        .map_err(|error| CommandError::unreachable("read the answer", peer, error))?;
    table::print(target.json, &entries.entries);
    Ok(())
}

async fn ask(
    peer: SocketAddr,
    key: &str,
    model: Option<&str>,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let query = model.map_or(String::new(), |model| format!("?model={model}"));
    let request = Request::get(format!("/v1/entries{query}"))
        .header(header::HOST, peer.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .body(Empty::<Bytes>::new())?;
    let (head, body) = send_once(peer, request).await?.into_parts();
    Ok((head.status, body.collect().await?.to_bytes()))
}
