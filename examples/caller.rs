//! A stand-in caller: asks which daemon to use, connects there, and makes calls.
//!
//! Prints one JSON line for each call: its outcome and its answer. Exits with
//! 1 if a call did not complete.

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
    /// a daemon to ask which daemons to use
    #[argh(option)]
    ask: SocketAddr,
    /// the account's key
    #[argh(option)]
    key: String,
    /// the model to call
    #[argh(option)]
    model: Option<String>,
    /// the prompt
    #[argh(option, default = "String::from(\"hello\")")]
    prompt: String,
    /// the most tokens to generate
    #[argh(option, default = "16")]
    max_tokens: u32,
    /// the plain service to call, and the path there: NAME/PATH
    #[argh(option)]
    service: Option<String>,
    /// the call may run once only
    #[argh(switch)]
    once: bool,
}

#[derive(Debug, Deserialize)]
struct Entries {
    entries: Vec<Entry>,
    ticket: Option<String>,
}

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

async fn call(args: &Args) -> anyhow::Result<bool> {
    let entries = ask(args).await.context("ask for entries")?;
    let entry = entries.entries.first().context("no entry was listed")?;
    let ticket = entries.ticket.as_deref().filter(|_| args.once);
    let (complete, answer) = match (&args.model, &args.service) {
        (Some(model), _) => complete(args, entry.address, model, ticket).await?,
        (None, Some(service)) => serve(args, entry.address, service, ticket).await?,
        (None, None) => bail!("--model or --service is needed"),
    };
    let line = serde_json::json!({"daemon": entry.daemon, "complete": complete, "answer": answer});
    println!("{line}");
    Ok(complete)
}

async fn ask(args: &Args) -> anyhow::Result<Entries> {
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

/// Streams a completion; complete only if every token came once and in order.
async fn complete(
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
    let text = read(response).await?;
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
    let wanted: String = (0..args.max_tokens)
        .map(|position| token(&args.prompt, position))
        .collect();
    Ok((done && answer == wanted, answer))
}

async fn serve(
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
    Ok((complete, read(response).await?))
}

async fn read(response: Response<Incoming>) -> anyhow::Result<String> {
    let mut body = response.into_body();
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        // A cut body ends the answer where it is; its text tells that it is not whole.
        let Ok(frame) = frame else { break };
        text.extend_from_slice(frame.data_ref().map(Bytes::as_ref).unwrap_or_default());
    }
    Ok(String::from_utf8(text)?)
}

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

/// The text of one token, as the stand-in runner derives it.
fn token(prompt: &str, position: u32) -> String {
    let digest = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes()) as u16;
    format!("{digest:04x}.{position} ")
}
