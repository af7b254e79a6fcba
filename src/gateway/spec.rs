//! Configuration that operators write for a gateway, as a sequence of versions.
//!
//! A version is applied as a whole: routes, services, accounts and limits change
//! together, and a daemon never goes back to an older version.

use super::stated::RateLimit;
use crate::core::{
    keys::{AccountName, KeyHash, ModelName, ServiceName},
    time::Span,
};

crate::record! {
    /// Version of the configuration.
    #[derive(Default)]
    pub struct Spec {
        /// Version number; a later version has a larger one.
        pub version: u64,
        /// Routes of requests to services.
        pub routes: Vec<Route>,
        /// Services that requests are routed to.
        pub services: Vec<Service>,
        /// Accounts that may send requests; if there are none, everybody may.
        pub accounts: Vec<Account>,
        /// Limits on requests and connections of callers.
        pub limits: Limits,
    }

    /// Rules for requests with a host name and a path prefix.
    pub struct Route {
        /// Name of the route.
        pub name: String,
        /// Host name in the request.
        pub host: String,
        /// Prefix of the path.
        pub prefix: String,
        /// Kind of request, which decides whether it may be repeated.
        pub kind: RouteKind,
        /// Services that share the requests.
        pub split: Vec<Share>,
        /// Maximum number of runners that one request may run on.
        pub attempts: u32,
        /// Maximum time until the response is complete.
        pub timeout: Span,
        /// Time within which a response, or the first event of a stream, is on time.
        pub objective: Span,
        /// Longest pause between events of a stream that is still on time.
        pub gap: Span,
        /// Rank of the route; 0 is the most urgent.
        pub priority: u8,
        /// True if callers need no API key.
        pub public: bool,
        /// True if an interrupted stream may continue at another runner.
        pub resumable: bool,
    }

    /// Share of a service in a route's requests.
    pub struct Share {
        /// Name of the service.
        pub service: ServiceName,
        /// Weight relative to the route's other services.
        pub weight: u32,
    }

    /// Kind of a route's requests.
    #[derive(Copy, Eq)]
    pub enum RouteKind {
        /// May run more than once without harm.
        Idempotent,
        /// May run at most once.
        Once,
        /// Is answered with a stream of events with increasing ids.
        Stream,
    }

    /// Set of runners that serve the same requests.
    pub struct Service {
        /// Name of the service.
        pub name: ServiceName,
        /// Maximum number of connections to one runner, from all daemons together.
        pub max_connections: u32,
        /// Engine of a service that serves models; a plain service has none.
        pub engine: Option<Engine>,
        /// Load that its runners tolerate while they are cold; none if they never are.
        pub cold: Option<ColdRate>,
    }

    /// Load that runners tolerate while they are cold.
    #[derive(Copy)]
    pub struct ColdRate {
        /// Time for which a runner is cold after a start, unless it says otherwise.
        pub period: Span,
        /// Requests a second, from all daemons together.
        pub limit: RateLimit,
    }

    /// Performance figures of a service's engines.
    pub struct Engine {
        /// Number of requests that a replica runs at once.
        pub slots: u32,
        /// Number of steps in one pass.
        pub stride: u32,
        /// Models that are served, with the size of their replicas.
        pub models: Vec<Replication>,
        /// Duration of a step without requests.
        pub step: Span,
        /// Time that each running request adds to a step.
        pub step_each: Span,
        /// Prompt tokens that are prefilled in a second.
        pub read_rate: f64,
        /// Maximum number of prompt tokens that are prefilled in a step.
        pub chunk: u32,
        /// Mean length of a prompt, in tokens.
        pub usual_prompt: u32,
        /// Mean length of an answer, in tokens.
        pub usual_answer: u32,
        /// Weight loads that may start in a second, over all runners.
        pub load_rate: f64,
        /// Number of concurrent weight loads beyond which each takes longer.
        pub load_parallel: u32,
        /// Time from the order to open a group to its first request.
        pub form: Span,
    }

    /// Replication of a model.
    pub struct Replication {
        /// Name of the model.
        pub model: ModelName,
        /// Number of hosts in a replica.
        pub size: u16,
        /// Factor on all times of its replicas.
        pub pace: f64,
        /// Fraction of the work, from 0 to 1.
        pub share: f64,
        /// Time to load its weights from the weight store.
        pub load: Span,
        /// Time to load its weights when they are staged on the host.
        pub warm: Span,
    }

    /// Account that may send requests.
    pub struct Account {
        /// Name of the account.
        pub name: AccountName,
        /// Hashes of its API keys.
        pub keys: Vec<KeyHash>,
        /// Rank of its requests, in place of the route's; 0 is the most urgent.
        pub priority: Option<u8>,
    }

    /// Limits on requests and connections of callers.
    pub struct Limits {
        /// Maximum size of a request's head.
        pub head_bytes: usize,
        /// Maximum size of a request's body.
        pub body_bytes: usize,
        /// Maximum time for sending a request's head.
        pub head_time: Span,
        /// Maximum time for which a connection may be idle.
        pub idle_time: Span,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 64 << 10,
            body_bytes: 4 << 20,
            head_time: Span::from_secs(10),
            idle_time: Span::from_secs(60),
        }
    }
}

impl Spec {
    /// Returns a service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns the engine of a service; plain and unknown services have none.
    pub fn engine(&self, service: &ServiceName) -> Option<&Engine> {
        self.service(service)?.engine.as_ref()
    }
}

impl Engine {
    /// Returns the replication of a model, if this engine serves it.
    pub fn replication(&self, model: &ModelName) -> Option<&Replication> {
        self.models.iter().find(|known| known.model == *model)
    }

    /// Returns the replica time for a request of mean length.
    pub fn mean_request_time(&self) -> Span {
        self.replica_time(self.usual_prompt, self.usual_answer)
    }

    /// Returns the duration of a request when all slots of its replica are in use.
    pub fn request_duration(
        &self,
        replication: &Replication,
        prompt_tokens: u32,
        answer_tokens: u32,
    ) -> Span {
        let time = self.prefill_micros(prompt_tokens) + self.decode_micros(answer_tokens);
        Span((time * replication.pace) as u64)
    }

    /// Returns the time that a replica with all slots in use spends on one request, which is less
    /// than the request's duration because the slots decode together.
    pub fn replica_time(&self, prompt_tokens: u32, answer_tokens: u32) -> Span {
        let decode = self.decode_micros(answer_tokens) / f64::from(self.slots.max(1));
        Span((self.prefill_micros(prompt_tokens) + decode) as u64)
    }

    /// Returns the time for the prefill of a prompt, in microseconds.
    fn prefill_micros(&self, prompt_tokens: u32) -> f64 {
        f64::from(prompt_tokens) / self.read_rate.max(1.0) * 1e6
    }

    /// Returns the time for decoding an answer when all slots are in use, in microseconds.
    fn decode_micros(&self, answer_tokens: u32) -> f64 {
        let step = self.step + self.step_each.times(u64::from(self.slots));
        step.0 as f64 * f64::from(answer_tokens)
    }
}
