//! Parses callers' requests from their heads and bodies.

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

/// Path prefix of calls to plain services.
pub(super) const SERVICES_PREFIX: &str = "/services/";
/// Limit on generated tokens for a request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Bytes of text per token, to estimate the length of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes in one block of a prompt, the unit of the prefix index.
const PREFIX_BLOCK_BYTES: usize = 256;
/// Blocks of a prompt that are hashed.
const MAX_PREFIX_BLOCKS: usize = 64;
/// Bytes of the longest name, key or ticket that is accepted from a caller.
const MAX_NAME_BYTES: usize = 256;
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Span = Span::from_secs(3_600);

/// Error of an invalid request.
#[derive(Debug)]
pub(super) struct RequestError {
    pub(super) status: StatusCode,
    pub(super) detail: &'static str,
}

impl RequestError {
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

    pub(super) fn timed_out() -> Self {
        Self {
            status: StatusCode::REQUEST_TIMEOUT,
            detail: "the body took too long",
        }
    }

    pub(super) fn incomplete() -> Self {
        Self::new("the body was cut")
    }
}

/// A parsed request.
pub(super) struct ParsedRequest {
    pub(super) forwarded: ForwardedRequest,
    /// Set if the caller asked for a streamed response.
    pub(super) stream: bool,
    /// Set if the caller sent `x-idempotent`.
    pub(super) sets_idempotent: bool,
}

/// Fields of a completion that the daemon reads; the body is forwarded unchanged.
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

/// Returns the hash of the caller's API key.
pub(super) fn credential(headers: &HeaderMap) -> Option<KeyHash> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(KeyHash::of(key))
}

/// Returns a parameter of the request's query.
pub(super) fn query(parts: &Parts, name: &str) -> Option<String> {
    let pairs = parts.uri.query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    (!value.is_empty() && value.len() <= MAX_NAME_BYTES).then(|| value.to_owned())
}

/// Parses a completion request.
pub(super) fn completion(
    parts: &Parts,
    credential: KeyHash,
    bytes: Bytes,
) -> Result<ParsedRequest, RequestError> {
    if std::str::from_utf8(&bytes).is_err() {
        return Err(RequestError::new("the body is not UTF-8"));
    }
    let completion: Completion = serde_json::from_slice(&bytes)
        .map_err(|_| RequestError::new("the body is not a completion"))?;
    let names = [
        Some(&completion.model),
        completion.version.as_ref(),
        completion.adapter.as_ref(),
    ];
    if names.into_iter().flatten().any(|name| !is_valid_text(name)) {
        return Err(RequestError::new("a name is empty or too long"));
    }
    let target = Target::Model {
        model: ModelName::from(completion.model),
        version: completion.version.map(VersionName::from),
        adapter: completion.adapter.map(AdapterName::from),
    };
    let mut request = call_request(&parts.headers, credential, target)?;
    request.prompt_tokens = header_number(&parts.headers, "x-prompt-tokens")?
        .unwrap_or(completion.prompt.len().div_ceil(BYTES_PER_TOKEN) as u32);
    request.max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    request.prefix = prefix_hashes(completion.prompt.as_bytes());
    let sets_idempotent = parts.headers.contains_key("x-idempotent");
    Ok(ParsedRequest {
        forwarded: forwarded_request(parts, parts.uri.path().to_owned(), bytes, request),
        stream: completion.stream,
        sets_idempotent,
    })
}

/// Parses a call to a plain service.
pub(super) fn service(
    parts: &Parts,
    credential: KeyHash,
    bytes: Bytes,
) -> Result<ParsedRequest, RequestError> {
    let rest = parts
        .uri
        .path()
        .strip_prefix(SERVICES_PREFIX)
        .unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    if !is_valid_text(name) {
        return Err(RequestError::new("the service's name is empty or too long"));
    }
    let target = Target::Service {
        service: name.into(),
    };
    let request = call_request(&parts.headers, credential, target)?;
    let path = match parts.uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let sets_idempotent = parts.headers.contains_key("x-idempotent");
    Ok(ParsedRequest {
        forwarded: forwarded_request(parts, path, bytes, request),
        stream: false,
        sets_idempotent,
    })
}

/// Formats a ticket the way callers receive it and send it back.
pub fn format_ticket(ticket: &Ticket) -> String {
    let Ticket {
        daemon,
        incarnation,
        number,
        proof,
    } = ticket;
    format!("{:x}-{number:x}-{proof:x}-{daemon}", incarnation.0)
}

fn parse_ticket(text: &str) -> Option<Ticket> {
    let mut fields = text.splitn(4, '-');
    let mut hex = || u64::from_str_radix(fields.next()?, 16).ok();
    let (incarnation, number, proof) = (hex()?, hex()?, hex()?);
    let daemon = fields.next().filter(|name| is_valid_text(name))?;
    Some(Ticket {
        daemon: daemon.into(),
        incarnation: Incarnation(incarnation),
        number,
        proof,
    })
}

fn call_request(
    headers: &HeaderMap,
    credential: KeyHash,
    target: Target,
) -> Result<CallRequest, RequestError> {
    let ticket = match header_text(headers, "x-ticket")? {
        Some(text) => {
            Some(parse_ticket(text).ok_or(RequestError::new("x-ticket is not a ticket"))?)
        }
        None => None,
    };
    let deadline = header_number::<u64>(headers, "x-deadline-ms")?
        .map(|ms| Span(ms.saturating_mul(1_000)).min(MAX_DEADLINE));
    Ok(CallRequest {
        credential,
        target,
        idempotent: is_idempotent(headers)?,
        ticket,
        idempotency_key: header_text(headers, "idempotency-key")?.map(Box::from),
        deadline,
        prompt_tokens: 0,
        max_tokens: 0,
        prefix: Vec::new(),
        relayed_by: None,
    })
}

fn forwarded_request(
    parts: &Parts,
    path: String,
    bytes: Bytes,
    request: CallRequest,
) -> ForwardedRequest {
    ForwardedRequest {
        method: parts.method.clone(),
        path,
        headers: forwarded_headers(&parts.headers),
        body: bytes,
        request,
    }
}

fn is_idempotent(headers: &HeaderMap) -> Result<bool, RequestError> {
    match header_text(headers, "x-idempotent")? {
        None | Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(RequestError::new("x-idempotent is neither true nor false")),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if is_valid_text(text) => Ok(Some(text)),
        _ => Err(RequestError::new("a header is empty, too long or not text")),
    }
}

fn header_number<N>(headers: &HeaderMap, name: &str) -> Result<Option<N>, RequestError>
where
    N: FromStr,
{
    match header_text(headers, name)? {
        None => Ok(None),
        Some(text) => match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(RequestError::new("a header is not a number")),
        },
    }
}

fn is_valid_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES
}

/// Returns the hash of the prompt up to the end of each complete block.
fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let blocks = prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS);
    let hash = |block| {
        hasher.write(block);
        hasher.finish()
    };
    blocks.map(hash).collect()
}

/// Headers that are meant for the daemon, not the runner.
const OWN_HEADERS: [HeaderName; 3] = [header::AUTHORIZATION, header::EXPECT, header::HOST];

/// Returns true if a header is forwarded, in either direction.
pub(super) fn is_forwarded(name: &HeaderName) -> bool {
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

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let kept = headers.iter().filter(|(name, _)| is_forwarded(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
