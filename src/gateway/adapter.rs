//! What a gateway needs to know of the platform that it runs on.
//!
//! An adapter holds names and formats and decides nothing. All its functions
//! are pure; the store's calls stand behind [`KeyValue`].

use super::{
    admission::AdmissionClass,
    load::LoadReport,
    order::Order,
    roster::{Membership, Runner},
    spec::Spec,
};
use crate::{
    core::{
        keys::{AccountName, HostName, KeyHash, ModelName},
        time::Span,
    },
    shell::platform::KeyValue,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, request, response};
use std::{fmt, net::SocketAddr};

/// Names and formats of a platform.
pub trait Adapter: 'static {
    /// The client of its store.
    type Store: KeyValue;

    /// A client of the store at an address.
    fn store(address: SocketAddr) -> Self::Store;

    /// The key under which operators keep the configuration.
    const SPEC_KEY: &'static str;

    /// What the keys of runners' entries begin with.
    const RUNNER_PREFIX: &'static str;

    /// What the keys of the gateway's own entries begin with.
    const OWN_PREFIX: &'static str;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Fails if the text is none.
    fn decode_spec(text: &str) -> Result<Spec, DecodeError>;

    /// Reads a runner's entry.
    ///
    /// # Errors
    ///
    /// Fails if the text names no runner that can be used.
    fn decode_runner(text: &str) -> Result<Runner, DecodeError>;

    /// Reads a runner's answer to a probe.
    ///
    /// # Errors
    ///
    /// Fails if the text is no report.
    fn decode_report(text: &[u8]) -> Result<ProbeReport, DecodeError>;

    /// The path of a probe.
    fn probe_path() -> &'static str;

    /// The path and the body of an order.
    fn encode_order(order: &Order) -> (&'static str, Bytes);

    /// Reads the head of a caller's request.
    fn decode_call(head: &request::Parts) -> CallHead;

    /// Sets the headers of a request that is passed on.
    fn set_headers(headers: &mut HeaderMap, passed: &ForwardHeaders<'_>);

    /// Reads the head of a runner's answer.
    fn decode_response(head: &response::Parts) -> ResponseHead;

    /// Whether a request asks for the daemons' addresses.
    fn is_directory_request(head: &request::Parts) -> bool;

    /// The answer to such a question.
    fn encode_addresses(addresses: &[SocketAddr], ttl: Span) -> Bytes;

    /// Whether a request asks if this daemon is ready.
    fn is_readiness_probe(head: &request::Parts) -> bool;
}

/// A caller's request, without its body.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// The caller's identifier of this request.
    pub id: Option<HeaderValue>,
    /// The hash of the caller's key.
    pub key_hash: Option<KeyHash>,
    /// How long the caller will wait.
    pub timeout: Option<Span>,
    /// The model asked for.
    pub model: Option<ModelName>,
    /// The prompt's tokens.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub max_tokens: u32,
    /// The last event that the caller has already.
    pub resume_after: Option<u64>,
}

/// What a request that is passed on is told.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// What is left of the caller's time.
    pub remaining: Span,
    /// The runner that it is meant for.
    pub host: &'a HostName,
    /// The caller's account.
    pub account: Option<&'a AccountName>,
    /// The last event that the caller has already.
    pub resume_after: Option<u64>,
    /// How the request stands against its objective.
    pub class: AdmissionClass,
}

/// The head of a runner's answer.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// The request that it belongs to.
    pub id: Option<HeaderValue>,
    /// Whether the runner says that it did not run the request.
    pub not_run: bool,
    /// Whether the runner vouches for the answer.
    pub has_proof: bool,
    /// The runner's load.
    pub load: Option<LoadReport>,
}

/// A runner's answer to a probe.
#[derive(Clone, Debug, Default)]
pub struct ProbeReport {
    /// Its place in a group.
    pub member: Option<Membership>,
    /// How many times slower than usual it works.
    pub pace: f64,
}

/// Text that can't be read.
#[derive(Clone, Debug)]
pub struct DecodeError {
    /// What was being read.
    pub subject: &'static str,
    /// What is wrong with it.
    pub cause: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.cause)
    }
}

impl std::error::Error for DecodeError {}
