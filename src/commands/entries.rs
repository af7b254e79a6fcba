//! The `entries` subcommand, which lists the daemons that a caller should use.

use super::{
    operator::{daemon, read_secret},
    table::{self, Row},
    timeout::run_with_timeout,
};
use crate::{
    cli::{EntriesArgs, Target},
    error::CommandError,
    exit_codes::ExitStatus,
};
use bytes::Bytes;
use hickoryledge::shell::http::send_once;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt as _, Empty};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Response body of a daemon.
#[derive(Deserialize)]
struct Entries {
    entries: Vec<Entry>,
}

/// Daemon that the caller should use.
#[derive(Deserialize, Serialize)]
struct Entry {
    daemon: String,
    address: SocketAddr,
    hall: String,
}

impl Row for Entry {
    const HEADERS: &'static [&'static str] = &["DAEMON", "ADDRESS", "HALL"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.daemon.clone(),
            self.address.to_string(),
            self.hall.clone(),
        ]
    }
}

/// Requests the list from a daemon's caller address and prints it.
pub fn run(target: &Target, args: &EntriesArgs) -> Result<(), CommandError> {
    let daemon = daemon(target)?;
    let key = read_secret(args.key.as_ref(), args.key_file.as_deref())?.ok_or_else(|| {
        let reason = "neither --key nor --key-file is given";
        CommandError::local(ExitStatus::Usage, "failed to find the key", reason)
    })?;
    let (status, body) = run_with_timeout(target, async {
        let response = request_entries(daemon, &key, args.model.as_deref()).await;
        response.map_err(|error| {
            CommandError::unreachable(
                "failed to request the entries",
                daemon,
                format!("{error:#}"),
            )
        })
    })?;
    if status != StatusCode::OK {
        return Err(CommandError {
            daemon: Some(daemon),
            ..CommandError::local(
                ExitStatus::Refused,
                "failed to request the entries",
                String::from_utf8_lossy(&body),
            )
        });
    }
    let entries: Entries = serde_json::from_slice(&body)
        .map_err(|error| CommandError::unreachable("failed to read the response", daemon, error))?;
    table::print(target.json, &entries.entries);
    Ok(())
}

/// Sends the request and returns the status and body of the response.
async fn request_entries(
    daemon: SocketAddr,
    key: &str,
    model: Option<&str>,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let query = model.map_or(String::new(), |model| format!("?model={model}"));
    let request = Request::get(format!("/v1/entries{query}"))
        .header(header::HOST, daemon.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .body(Empty::<Bytes>::new())?;
    let (head, body) = send_once(daemon, request).await?.into_parts();
    Ok((head.status, body.collect().await?.to_bytes()))
}
