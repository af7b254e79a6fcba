//! The operators' configuration of a gateway, one version at a time.
//!
//! A version is in force whole: routes, services, accounts and limits change
//! together, and a daemon never goes back to an older version.

use crate::core::{
    keys::{AccountName, KeyHash, ModelName, ServiceName},
    time::Span,
};

crate::record! {
    /// One version of the configuration.
    #[derive(Default)]
    pub struct Spec {
        /// Its version; later versions are larger.
        pub version: u64,
        /// Where requests go.
        pub routes: Vec<Route>,
        /// What runners serve.
        pub services: Vec<Service>,
        /// Who may ask; everybody if there are none.
        pub accounts: Vec<Account>,
        /// What callers may send.
        pub limits: Limits,
    }

    /// Requests of one host name and path prefix.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// The host name that callers send.
        pub host: String,
        /// What the path begins with.
        pub prefix: String,
        /// What may be repeated.
        pub kind: RouteKind,
        /// The services that share the requests.
        pub split: Vec<Share>,
        /// The most runners that one request may run on.
        pub attempts: u32,
        /// The longest time until the final answer.
        pub timeout: Span,
        /// The time in which an answer, or a stream's first event, is on time.
        pub objective: Span,
        /// The longest pause between events that is still on time.
        pub gap: Span,
        /// Its rank; 0 is the most urgent.
        pub priority: u8,
        /// Whether callers need no key.
        pub public: bool,
        /// Whether a broken stream may go on at another runner.
        pub resumable: bool,
    }

    /// A service's part of a route's requests.
    pub struct Share {
        /// The service.
        pub service: ServiceName,
        /// Its weight against the others.
        pub weight: u32,
    }

    /// What may be repeated.
    #[derive(Copy, Eq)]
    pub enum RouteKind {
        /// Running twice does no harm.
        Idempotent,
        /// Runs at most once.
        Once,
        /// A series of events with increasing ids.
        Stream,
    }

    /// A set of runners that serve the same requests.
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// The most connections that a runner takes from all daemons together.
        pub max_connections: u32,
        /// How its engines work; none for a plain service.
        pub engine: Option<Engine>,
    }

    /// How a service's engines work.
    pub struct Engine {
        /// Requests that a replica runs at once.
        pub slots: u32,
        /// Steps of one pass.
        pub stride: u32,
        /// The models, with the size of their replicas.
        pub models: Vec<Replication>,
        /// The time of a step.
        pub step: Span,
        /// What each running request adds to a step.
        pub step_each: Span,
        /// Prompt tokens read in a second.
        pub read_rate: f64,
        /// The most prompt tokens read in a step.
        pub chunk: u32,
        /// The mean prompt, in tokens.
        pub usual_prompt: u32,
        /// The mean answer, in tokens.
        pub usual_answer: u32,
        /// Loads of weights that may start in a second, over all runners.
        pub load_rate: f64,
        /// Loads beyond which each takes longer.
        pub load_parallel: u32,
        /// The time from the order to open a group to its first request.
        pub form: Span,
    }

    /// How a model is replicated.
    pub struct Replication {
        /// The model.
        pub model: ModelName,
        /// Hosts of a replica.
        pub size: u16,
        /// The factor on all times of its replicas.
        pub pace: f64,
        /// Its part of the work, 0 to 1.
        pub share: f64,
        /// The time of loading its weights from the weight store.
        pub load: Span,
        /// The time of loading weights staged on the host.
        pub warm: Span,
    }

    /// Who may ask.
    pub struct Account {
        /// Its name.
        pub name: AccountName,
        /// Hashes of its keys.
        pub keys: Vec<KeyHash>,
    }

    /// What callers may send, and how long they may take.
    pub struct Limits {
        /// The longest head, in bytes.
        pub head_bytes: usize,
        /// The longest body, in bytes.
        pub body_bytes: usize,
        /// How long the sending of a head may last.
        pub head_time: Span,
        /// How long a connection may be idle.
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
    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// How a service's engines work; none for plain and unknown services.
    pub fn engine(&self, service: &ServiceName) -> Option<&Engine> {
        self.service(service)?.engine.as_ref()
    }
}

impl Engine {
    /// How a model is replicated, if this engine serves it.
    pub fn replication(&self, model: &ModelName) -> Option<&Replication> {
        self.models.iter().find(|known| known.model == *model)
    }

    /// A replica's time for one usual request when all its slots are taken.
    pub fn request_time(&self) -> Span {
        self.replica_time(self.usual_prompt, self.usual_answer)
    }

    /// How long a request of so many tokens lasts when all slots are taken.
    pub fn duration(&self, replication: &Replication, prompt: u32, answer: u32) -> Span {
        let time = self.reading(prompt) + self.writing(answer);
        Span((time * replication.pace) as u64)
    }

    /// A replica's time for a request of so many tokens when all its slots are taken.
    pub fn replica_time(&self, prompt: u32, answer: u32) -> Span {
        let writing = self.writing(answer) / f64::from(self.slots.max(1));
        Span((self.reading(prompt) + writing) as u64)
    }

    /// The time of reading a prompt, in microseconds.
    fn reading(&self, prompt: u32) -> f64 {
        f64::from(prompt) / self.read_rate.max(1.0) * 1e6
    }

    /// The time of writing one answer when all slots are taken, in microseconds.
    fn writing(&self, answer: u32) -> f64 {
        let step = self.step + self.step_each.times(u64::from(self.slots));
        step.0 as f64 * f64::from(answer)
    }
}
