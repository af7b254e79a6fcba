//! Interface to the platform that a gateway runs on.
//!
//! An adapter translates the names and formats of a platform and makes no
//! decisions. All its functions are pure; calls to the store go through
//! [`KeyValueStore`].

use super::{
    admission::AdmissionClass,
    load::LoadReport,
    notices::Notice,
    order::Order,
    rank::RankLevel,
    roster::{Membership, Runner},
    spec::Spec,
};
use crate::{
    core::{
        keys::{AccountName, HallName, HostName, KeyHash, ModelName, PromptPart},
        time::Span,
    },
    shell::platform::KeyValueStore,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, request, response};
use std::{fmt, net::SocketAddr};

/// Names and formats of a platform.
pub trait Adapter: 'static {
    /// Client of the platform's store.
    type Store: KeyValueStore;

    /// Creates a client of the store at an address.
    fn store(address: SocketAddr) -> Self::Store;

    /// Key of the operators' configuration.
    const SPEC_KEY: &'static str;

    /// Key prefix of all operators' entries, of which the configuration is one.
    const OPERATOR_PREFIX: &'static str;

    /// Key prefix of the runners' entries.
    const RUNNER_PREFIX: &'static str;

    /// Key prefix of the gateway's own entries.
    const OWN_PREFIX: &'static str;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a valid configuration.
    fn decode_spec(text: &str) -> Result<Spec, DecodeError>;

    /// Decodes the hall whose evacuation an operator's key requests; none if it is another key.
    ///
    /// # Errors
    ///
    /// Fails if the key names no hall.
    fn decode_evacuation(key: &str) -> Option<Result<HallName, DecodeError>>;

    /// Decodes a runner's entry.
    ///
    /// # Errors
    ///
    /// Fails if the text does not describe a usable runner.
    fn decode_runner(text: &str) -> Result<Runner, DecodeError>;

    /// Decodes a runner's response to a probe.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a valid report.
    fn decode_report(text: &[u8]) -> Result<ProbeReport, DecodeError>;

    /// Returns the path of a probe.
    fn probe_path() -> &'static str;

    /// Names the host that a probe or an order is meant for; another one that is at its address
    /// refuses it as misdirected.
    fn set_expected_host(headers: &mut HeaderMap, host: &HostName);

    /// Returns the path and the body of an order.
    fn encode_order(order: &Order) -> (&'static str, Bytes);

    /// Decodes the head of a caller's request.
    fn decode_call(head: &request::Parts) -> CallHead;

    /// Sets the headers of a forwarded request.
    fn set_headers(headers: &mut HeaderMap, values: &ForwardHeaders<'_>);

    /// Sets the headers of a request that is passed to another daemon.
    fn set_relay_headers(headers: &mut HeaderMap, remaining: Span, resume_after: Option<u64>);

    /// Decodes the head of a runner's response.
    fn decode_response(head: &response::Parts) -> ResponseHead;

    /// Returns true if a request asks for the daemons' addresses.
    fn is_directory_request(head: &request::Parts) -> bool;

    /// Encodes the response to a request for the daemons' addresses.
    fn encode_addresses(addresses: &[SocketAddr], ttl: Span) -> Bytes;

    /// Returns true if a request is a readiness probe of this daemon.
    fn is_readiness_probe(head: &request::Parts) -> bool;
}

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// Identifier that the caller gave the request.
    pub id: Option<HeaderValue>,
    /// Hash of the caller's API key.
    pub key_hash: Option<KeyHash>,
    /// Time that the caller will wait for the response.
    pub timeout: Option<Span>,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Maximum length of the generated answer.
    pub max_tokens: u32,
    /// Parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// Id of the last event that the caller already has.
    pub resume_after: Option<u64>,
}

/// Values that the gateway writes into the headers of a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// Time left until the request's deadline.
    pub remaining: Span,
    /// Runner that the request is meant for.
    pub host: &'a HostName,
    /// Account of the caller.
    pub account: Option<&'a AccountName>,
    /// Id of the last event that the caller already has.
    pub resume_after: Option<u64>,
    /// Admission class, which the runner receives as the request's urgency.
    pub class: AdmissionClass,
    /// Urgency of the request's rank, which counts between requests of one class.
    pub rank: RankLevel,
}

/// Decoded head of a runner's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// Identifier of the request that it belongs to.
    pub id: Option<HeaderValue>,
    /// Host that sent it, if it says so.
    pub sender: Option<HostName>,
    /// True if the runner says that it did not run the request.
    pub not_run: bool,
    /// True if the response carries the runner's proof that it is its own.
    pub has_proof: bool,
    /// Load of the runner.
    pub load: Option<LoadReport>,
    /// What the runner says of itself.
    pub notice: Notice,
    /// Headers that the adapter does not know.
    pub unknown_headers: Vec<HeaderName>,
}

/// Decoded response of a runner to a probe.
#[derive(Clone, Debug, Default)]
pub struct ProbeReport {
    /// Start of the run that reports, in Unix milliseconds, if it says so.
    pub born: Option<u64>,
    /// Membership in a group.
    pub member: Option<Membership>,
    /// Slowdown factor: how many times slower than usual the runner works.
    pub slowdown: f64,
}

/// Error of text that can't be decoded.
#[derive(Clone, Debug)]
pub struct DecodeError {
    /// Kind of text that was being decoded.
    pub subject: &'static str,
    /// Description of the fault.
    pub cause: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.cause)
    }
}

impl std::error::Error for DecodeError {}
