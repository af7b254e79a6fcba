//! Reads what a caller asks from the head and body of a request.

use super::super::{calls::ForwardedRequest, http::HOP_BY_HOP};
use crate::core::{
    input::{CallRequest, Target, Ticket},
    keys::{AdapterName, Incarnation, KeyHash, ModelName, VersionName},
    time::Span,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, header, request::Parts};
use serde::Deserialize;
use std::{hash::Hasher as _, str::FromStr};
use xxhash_rust::xxh3::Xxh3;

/// Where calls of plain services begin.
pub(super) const SERVICES: &str = "/services/";
/// Tokens generated for a request that names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Bytes of text that make up a token, for the estimate.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes in a block of the prompt that the prefix index knows.
const PREFIX_BLOCK: usize = 256;
/// Blocks hashed at most.
const MAX_PREFIX_BLOCKS: usize = 64;
/// The longest name, key or ticket taken from a caller, in bytes.
const MAX_NAME: usize = 256;
/// The longest deadline that a caller may ask for.
const MAX_DEADLINE: Span = Span::from_secs(3_600);

/// A request that makes no sense.
#[derive(Debug)]
pub(super) struct Fault {
    pub(super) status: StatusCode,
    pub(super) detail: &'static str,
}

impl Fault {
    fn new(detail: &'static str) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            detail,
        }
    }

    pub(super) fn too_large() -> Self {
        Self {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            detail: "the body is too large",
        }
    }

    pub(super) fn slow() -> Self {
        Self {
            status: StatusCode::REQUEST_TIMEOUT,
            detail: "the body took too long",
        }
    }

    pub(super) fn cut() -> Self {
        Self::new("the body was cut")
    }
}

/// A request read.
pub(super) struct Asked {
    pub(super) body: ForwardedRequest,
    /// Whether the answer is to be streamed.
    pub(super) stream: bool,
    /// Whether the caller said if the request is idempotent.
    pub(super) marked: bool,
}

/// The fields of a completion that the system reads; the rest is passed on.
#[derive(Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    version: Option<String>,
    adapter: Option<String>,
}

/// The hash of the key that a caller presents.
pub(super) fn credential(headers: &HeaderMap) -> Option<KeyHash> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(KeyHash::of(key))
}

/// A parameter of the request's query.
pub(super) fn query(parts: &Parts, name: &str) -> Option<String> {
    let pairs = parts.uri.query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    (!value.is_empty() && value.len() <= MAX_NAME).then(|| value.to_owned())
}

/// Reads a completion.
pub(super) fn completion(parts: &Parts, credential: KeyHash, bytes: Bytes) -> Result<Asked, Fault> {
    if std::str::from_utf8(&bytes).is_err() {
        return Err(Fault::new("the body is not UTF-8"));
    }
    let asked: Completion =
        serde_json::from_slice(&bytes).map_err(|_| Fault::new("the body is not a completion"))?;
    let names = [
        Some(&asked.model),
        asked.version.as_ref(),
        asked.adapter.as_ref(),
    ];
    if names.into_iter().flatten().any(|name| !is_name(name)) {
        return Err(Fault::new("a name is empty or too long"));
    }
    let target = Target::Model {
        model: ModelName::from(asked.model),
        version: asked.version.map(VersionName::from),
        adapter: asked.adapter.map(AdapterName::from),
    };
    let mut request = request(&parts.headers, credential, target)?;
    request.prompt_tokens = number(&parts.headers, "x-prompt-tokens")?
        .unwrap_or(asked.prompt.len().div_ceil(BYTES_PER_TOKEN) as u32);
    request.max_tokens = asked.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    request.prefix = prefix(asked.prompt.as_bytes());
    let marked = parts.headers.contains_key("x-idempotent");
    Ok(Asked {
        body: body(parts, parts.uri.path().to_owned(), bytes, request),
        stream: asked.stream,
        marked,
    })
}

/// Reads a call of a plain service.
pub(super) fn service(parts: &Parts, credential: KeyHash, bytes: Bytes) -> Result<Asked, Fault> {
    let rest = parts.uri.path().strip_prefix(SERVICES).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    if !is_name(name) {
        return Err(Fault::new("the service's name is empty or too long"));
    }
    let target = Target::Service {
        service: name.into(),
    };
    let request = request(&parts.headers, credential, target)?;
    let path = match parts.uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let marked = parts.headers.contains_key("x-idempotent");
    Ok(Asked {
        body: body(parts, path, bytes, request),
        stream: false,
        marked,
    })
}

/// A ticket as callers get it and hand it back.
pub fn format_ticket(ticket: &Ticket) -> String {
    let Ticket {
        daemon,
        incarnation,
        number,
        proof,
    } = ticket;
    format!("{:x}-{number:x}-{proof:x}-{daemon}", incarnation.0)
}

fn ticket(text: &str) -> Option<Ticket> {
    let mut fields = text.splitn(4, '-');
    let mut hex = || u64::from_str_radix(fields.next()?, 16).ok();
    let (incarnation, number, proof) = (hex()?, hex()?, hex()?);
    let daemon = fields.next().filter(|name| is_name(name))?;
    Some(Ticket {
        daemon: daemon.into(),
        incarnation: Incarnation(incarnation),
        number,
        proof,
    })
}

fn request(headers: &HeaderMap, credential: KeyHash, target: Target) -> Result<CallRequest, Fault> {
    let ticket = match text(headers, "x-ticket")? {
        Some(text) => Some(ticket(text).ok_or(Fault::new("x-ticket is not a ticket"))?),
        None => None,
    };
    let deadline = number::<u64>(headers, "x-deadline-ms")?
        .map(|ms| Span(ms.saturating_mul(1_000)).min(MAX_DEADLINE));
    Ok(CallRequest {
        credential,
        target,
        idempotent: idempotent(headers)?,
        ticket,
        idempotency_key: text(headers, "idempotency-key")?.map(Box::from),
        deadline,
        prompt_tokens: 0,
        max_tokens: 0,
        prefix: Vec::new(),
        relayed_by: None,
    })
}

fn body(parts: &Parts, path: String, bytes: Bytes, request: CallRequest) -> ForwardedRequest {
    ForwardedRequest {
        method: parts.method.clone(),
        path,
        headers: forwarded(&parts.headers),
        body: bytes,
        request,
    }
}

fn idempotent(headers: &HeaderMap) -> Result<bool, Fault> {
    match text(headers, "x-idempotent")? {
        None | Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(Fault::new("x-idempotent is neither true nor false")),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Fault> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if is_name(text) => Ok(Some(text)),
        _ => Err(Fault::new("a header is empty, too long or not text")),
    }
}

fn number<N>(headers: &HeaderMap, name: &str) -> Result<Option<N>, Fault>
where
    N: FromStr,
{
    match text(headers, name)? {
        None => Ok(None),
        Some(text) => match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(Fault::new("a header is not a number")),
        },
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME
}

/// Hashes of the prompt up to the end of each whole block.
fn prefix(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let blocks = prompt.chunks_exact(PREFIX_BLOCK).take(MAX_PREFIX_BLOCKS);
    let hash = |block| {
        hasher.write(block);
        hasher.finish()
    };
    blocks.map(hash).collect()
}

/// Headers that concern the system, not the runner.
const OWN_HEADERS: [HeaderName; 3] = [header::AUTHORIZATION, header::EXPECT, header::HOST];

/// Whether a header is passed through in either direction.
pub(super) fn is_passed_on(name: &HeaderName) -> bool {
    !HOP_BY_HOP.contains(name)
        && !OWN_HEADERS.contains(name)
        && !matches!(
            name.as_str(),
            "x-attempt"
                | "x-deadline-ms"
                | "x-epoch"
                | "x-from"
                | "x-group"
                | "x-idempotent"
                | "x-not-run"
                | "x-outcome"
                | "x-prompt-tokens"
                | "x-resume-at"
                | "x-ticket"
        )
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let passed = headers.iter().filter(|(name, _)| is_passed_on(name));
    passed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
