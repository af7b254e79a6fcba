//! Sample caller: asks a daemon for the list of entries, then makes one call to
//! the first of them.
//!
//! Prints one JSON line with the outcome and the answer of the call. Exits with
//! status 1 if the call did not complete, and with 2 on an error.

use std::{net::SocketAddr, process::ExitCode};

use anyhow::{Context, bail};
use argh::FromArgs;
use bytes::Bytes;
use hickoryledge::shell::http::send_once;
use http::{Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Deserialize;

/// Calls a model or a plain service once.
#[derive(FromArgs)]
struct Args {
    /// address of a daemon that lists the daemons to use
    #[argh(option)]
    ask: SocketAddr,
    /// API key of the account
    #[argh(option)]
    key: String,
    /// model to call
    #[argh(option)]
    model: Option<String>,
    /// prompt, or body of a service call
    #[argh(option, default = "String::from(\"hello\")")]
    prompt: String,
    /// maximum number of tokens to generate
    #[argh(option, default = "16")]
    max_tokens: u32,
    /// plain service to call and path within it: NAME/PATH
    #[argh(option)]
    service: Option<String>,
    /// mark the call as not idempotent, so that it runs at most once
    #[argh(switch)]
    once: bool,
}

/// Response to the request for entries.
#[derive(Debug, Deserialize)]
struct Entries {
    entries: Vec<Entry>,
    ticket: Option<String>,
}

/// Daemon that accepts calls.
#[derive(Debug, Deserialize)]
struct Entry {
    daemon: String,
    address: SocketAddr,
}

#[compio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match call(&args).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("[caller error]: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Makes the call, prints its result, and returns true if it completed.
async fn call(args: &Args) -> anyhow::Result<bool> {
    let entries = list_entries(args)
        .await
        .context("cannot list the entries")?;
    let entry = entries
        .entries
        .first()
        .context("daemon listed no entries")?;
    let ticket = entries.ticket.as_deref().filter(|_| args.once);
    let (complete, answer) = match (&args.model, &args.service) {
        (Some(model), _) => call_model(args, entry.address, model, ticket).await?,
        (None, Some(service)) => call_service(args, entry.address, service, ticket).await?,
        (None, None) => bail!("either --model or --service is required"),
    };
    let line = serde_json::json!({"daemon": entry.daemon, "complete": complete, "answer": answer});
    println!("{line}");
    Ok(complete)
}

/// Asks a daemon for the entries to use, and for a ticket.
async fn list_entries(args: &Args) -> anyhow::Result<Entries> {
    let path = match &args.model {
        Some(model) => format!("/v1/entries?model={model}"),
        None => "/v1/entries".to_owned(),
    };
    let request = request(args, "GET", &path, None, Bytes::new())?;
    let response = send_once(args.ask, request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    if !status.is_success() {
        bail!("{status}: {}", String::from_utf8_lossy(&body));
    }
    Ok(serde_json::from_slice(&body)?)
}

/// Streams a completion, which is complete only if each token arrived once and in order.
async fn call_model(
    args: &Args,
    address: SocketAddr,
    model: &str,
    ticket: Option<&str>,
) -> anyhow::Result<(bool, String)> {
    let body = serde_json::json!({
        "model": model, "prompt": args.prompt, "max_tokens": args.max_tokens, "stream": true,
    });
    let body = Bytes::from(serde_json::to_vec(&body)?);
    let request = request(args, "POST", "/v1/completions", ticket, body)?;
    let response = send_once(address, request).await?;
    let text = read_text(response).await?;
    let mut answer = String::new();
    let mut done = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let event: serde_json::Value = serde_json::from_str(data)?;
        match event["text"].as_str() {
            Some(piece) => answer.push_str(piece),
            None => answer.push_str(data),
        }
    }
    let expected: String = (0..args.max_tokens)
        .map(|position| token(&args.prompt, position))
        .collect();
    Ok((done && answer == expected, answer))
}

/// Calls a plain service, which reports in a header that the call is complete.
async fn call_service(
    args: &Args,
    address: SocketAddr,
    service: &str,
    ticket: Option<&str>,
) -> anyhow::Result<(bool, String)> {
    let body = Bytes::from(args.prompt.clone());
    let request = request(args, "POST", &format!("/services/{service}"), ticket, body)?;
    let response = send_once(address, request).await?;
    let complete = response
        .headers()
        .get("x-outcome")
        .is_some_and(|value| value == "complete");
    Ok((complete, read_text(response).await?))
}

/// Reads a response body up to its end, or up to where it is cut off.
async fn read_text(response: Response<Incoming>) -> anyhow::Result<String> {
    let mut body = response.into_body();
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        // Keeps the text received before a cut; the caller finds that it is incomplete.
        let Ok(frame) = frame else { break };
        text.extend_from_slice(frame.data_ref().map(Bytes::as_ref).unwrap_or_default());
    }
    Ok(String::from_utf8(text)?)
}

/// Builds a request with the account's key.
fn request(
    args: &Args,
    method: &str,
    path: &str,
    ticket: Option<&str>,
    body: Bytes,
) -> anyhow::Result<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(method)
        .uri(path.parse::<Uri>()?)
        .header("host", args.ask.to_string())
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {}", args.key));
    if args.once {
        request = request.header("x-idempotent", "false");
    }
    if let Some(ticket) = ticket {
        request = request.header("x-ticket", ticket);
    }
    Ok(request.body(Full::new(body))?)
}

/// Returns the text of one token as the simulated runner generates it.
fn token(prompt: &str, position: u32) -> String {
    let digest = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes()) as u16;
    format!("{digest:04x}.{position} ")
}
