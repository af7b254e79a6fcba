//! Simulated runners: model engines or plain services, several in one process.
//!
//! Prints `{"listening":{"NAME":"ADDRESS",…}}`, then serves until it is killed.
//! `POST /fault` takes a JSON object (see `fault.rs`); `GET /runs` returns the
//! number of runs started for each request body.

mod engine;
mod fault;
mod holding;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use argh::FromArgs;
use bytes::Bytes;
use engine::{BodyEvent, Engine, Run};
use fault::Fault;
use futures_channel::mpsc::unbounded;
use futures_util::{StreamExt, stream};
use hickoryledge::{
    core::{
        input::{LoadReport, OrderChecks},
        keys::Epoch,
        time::Span,
    },
    shell::{http::serve_http1, request_body::RequestBody},
};
use holding::{Loader, Order, OrderOutcome};
use http::{Method, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::service::service_fn;
use serde::Deserialize;

/// Bytes that are written at once to a body that never ends.
const BLOCK_BYTES: usize = 64 << 10;

/// Interval between samples of the load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Simulates runners.
#[derive(FromArgs)]
struct Args {
    /// names of the runners, separated by commas
    #[argh(option)]
    names: String,
    /// plain service that they run instead of an engine
    #[argh(option)]
    service: Option<String>,
    /// addresses to listen on, separated by commas; free loopback ports by default
    #[argh(option)]
    listen: Option<String>,
    /// duration of a step, in milliseconds
    #[argh(option, default = "6")]
    step_ms: u64,
    /// maximum number of concurrent runs
    #[argh(option, default = "64")]
    slots: usize,
    /// time to load a model, in milliseconds
    #[argh(option, default = "50")]
    load_ms: u64,
    /// age of load reports, in milliseconds
    #[argh(option, default = "100")]
    lag_ms: u64,
    /// checks applied to orders: fenced, sender or nothing
    #[argh(option, default = "String::from(\"fenced\")")]
    checks: String,
}

/// Response body.
type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Simulated runner.
struct Runner {
    name: String,
    is_service: bool,
    /// Age of the load reports that the runner gives out.
    report_age: Duration,
    slots: usize,
    engine: Rc<RefCell<Engine>>,
    fault: Rc<RefCell<Fault>>,
    loader: RefCell<Loader>,
    /// Load reports with the time of their sample, oldest first.
    samples: RefCell<VecDeque<(Instant, LoadReport)>>,
    /// Number of the first connection that isn't silenced.
    muted_below: Cell<u64>,
    /// Number of connections accepted so far.
    connections: Cell<u64>,
}

/// Body of a completion request.
#[derive(Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
}

fn default_max_tokens() -> u32 {
    16
}

#[compio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let names: Vec<&str> = args.names.split(',').collect();
    let addresses: Vec<SocketAddr> = match &args.listen {
        Some(text) => text.split(',').map(str::parse).collect::<Result<_, _>>()?,
        None => vec!["127.0.0.1:0".parse()?; names.len()],
    };
    let mut listening = BTreeMap::new();
    for (name, address) in names.iter().zip(addresses) {
        let listener = hickoryledge::shell::http::bind(address).await?;
        listening.insert(name.to_string(), listener.local_addr()?.to_string());
        let runner = Rc::new(Runner::new(name, &args));
        start(runner, listener, &args);
    }
    println!("{}", serde_json::json!({ "listening": listening }));
    std::future::pending().await
}

/// Spawns the batch, the load sampler and the HTTP server of a runner.
fn start(runner: Rc<Runner>, listener: compio::net::TcpListener, args: &Args) {
    let step = Duration::from_millis(args.step_ms);
    let batch = engine::run_batch(
        runner.engine.clone(),
        runner.fault.clone(),
        step,
        args.slots,
    );
    compio::runtime::spawn(batch).detach();
    let sampler = runner.clone();
    compio::runtime::spawn(async move {
        loop {
            sampler.sample(step);
            compio::time::sleep(SAMPLE_INTERVAL).await;
        }
    })
    .detach();
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let runner = runner.clone();
            let number = runner.connections.get();
            runner.connections.set(number + 1);
            compio::runtime::spawn(async move {
                let service = service_fn(move |request| handle(runner.clone(), number, request));
                serve_http1(stream, service).await;
            })
            .detach();
        }
    })
    .detach();
}

/// Handles a request that arrived on a numbered connection.
async fn handle(
    runner: Rc<Runner>,
    connection: u64,
    request: Request<RequestBody>,
) -> Result<Response<Body>, Infallible> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(|body| body.to_bytes())
        .unwrap_or_default();
    if head.uri.path() != "/fault" {
        if runner.fault.borrow().hang || connection < runner.muted_below.get() {
            std::future::pending::<()>().await;
        }
        let delay_ms = runner.fault.borrow().late_ms;
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    let path = head.uri.path().to_owned();
    let response = match (&head.method, path.as_str()) {
        (&Method::POST, "/fault") => runner.set_fault(&body),
        (&Method::GET, "/runs") => runner.runs(),
        (&Method::GET, "/load") => runner.load(),
        (&Method::GET, "/holding") => runner.holding(),
        (&Method::GET, "/cache") => json(
            StatusCode::OK,
            &serde_json::json!({"first": 0, "events": []}),
        ),
        (&Method::POST, "/orders") => runner.order(&body).await,
        (&Method::DELETE, path) if path.starts_with("/v1/completions/") => {
            runner.cancel(path, head.uri.query().unwrap_or_default())
        }
        (&Method::POST, "/v1/completions") if !runner.is_service => {
            runner.complete(&head.headers, &body)
        }
        _ if runner.is_service => runner.serve(&head, &body),
        _ => json(StatusCode::NOT_FOUND, &serde_json::json!({})),
    };
    Ok(response)
}

impl Runner {
    fn new(name: &str, args: &Args) -> Self {
        let checks = match args.checks.as_str() {
            "fenced" => OrderChecks::Fenced,
            "sender" => OrderChecks::Sender,
            _ => OrderChecks::Nothing,
        };
        Self {
            name: name.to_owned(),
            is_service: args.service.is_some(),
            report_age: Duration::from_millis(args.lag_ms),
            slots: args.slots,
            engine: Rc::default(),
            fault: Rc::default(),
            loader: RefCell::new(Loader::new(checks, Duration::from_millis(args.load_ms))),
            samples: RefCell::default(),
            muted_below: Cell::new(0),
            connections: Cell::new(0),
        }
    }

    /// Returns the number of runs in the batch or waiting for a slot.
    fn run_count(&self) -> u32 {
        let engine = self.engine.borrow();
        (engine.running.len() + engine.waiting.len()) as u32
    }

    /// Records the current load, and drops samples that are too old to report.
    fn sample(&self, step: Duration) {
        let engine = self.engine.borrow();
        let fault = self.fault.borrow();
        let token_gap = step.mul_f64(fault.slow.max(1.0));
        let report = LoadReport {
            running: engine.running.len() as u32,
            waiting: engine.waiting.len() as u32,
            pending_tokens: engine.pending_tokens(),
            token_gap: Span(token_gap.as_micros() as u64),
            slots: self.slots as u32,
            age: Span::ZERO,
            leaving: fault.leaving,
        };
        let mut samples = self.samples.borrow_mut();
        samples.push_back((Instant::now(), report));
        while samples.len() > 1 && samples[1].0.elapsed() >= self.report_age {
            samples.pop_front();
        }
    }

    /// Answers a request for the load report.
    fn load(&self) -> Response<Body> {
        if self.fault.borrow().no_load {
            return json(StatusCode::INTERNAL_SERVER_ERROR, &serde_json::json!({}));
        }
        let samples = self.samples.borrow();
        let (sampled_at, report) = samples
            .front()
            .cloned()
            .unwrap_or((Instant::now(), LoadReport::default()));
        let age = Span(sampled_at.elapsed().as_micros() as u64);
        json(StatusCode::OK, &LoadReport { age, ..report })
    }

    /// Responds to a request for what the runner holds.
    fn holding(&self) -> Response<Body> {
        json(
            StatusCode::OK,
            &self.loader.borrow().holding(self.run_count()),
        )
    }

    /// Answers a request for the number of runs.
    fn runs(&self) -> Response<Body> {
        let engine = self.engine.borrow();
        json(
            StatusCode::OK,
            &serde_json::json!({
                "name": self.name,
                "begun": engine.starts,
                "cancelled": engine.cancelled,
                "running": engine.running.len() + engine.waiting.len(),
            }),
        )
    }

    /// Replaces the active faults.
    fn set_fault(&self, body: &[u8]) -> Response<Body> {
        let fault: Fault = match serde_json::from_slice(body) {
            Ok(fault) => fault,
            Err(error) => {
                return json(
                    StatusCode::BAD_REQUEST,
                    &serde_json::json!({"error": error.to_string()}),
                );
            }
        };
        if fault.mute_open {
            self.muted_below.set(self.connections.get());
            self.engine.borrow_mut().mute_open();
        }
        *self.fault.borrow_mut() = fault;
        json(StatusCode::OK, &serde_json::json!({}))
    }

    /// Applies an order.
    async fn order(&self, body: &[u8]) -> Response<Body> {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => {
                return json(
                    StatusCode::BAD_REQUEST,
                    &serde_json::json!({"reason": error.to_string()}),
                );
            }
        };
        let outcome = self.loader.borrow_mut().apply(order);
        if self.fault.borrow().lose_orders {
            std::future::pending::<()>().await;
        }
        match outcome {
            OrderOutcome::Done => json(StatusCode::OK, &serde_json::json!({})),
            OrderOutcome::Stale(fence) => {
                json(StatusCode::CONFLICT, &serde_json::json!({"fence": fence}))
            }
            OrderOutcome::Rejected(reason) => json(
                StatusCode::UNPROCESSABLE_ENTITY,
                &serde_json::json!({"reason": reason}),
            ),
        }
    }

    /// Cancels the run of an attempt.
    fn cancel(&self, path: &str, query: &str) -> Response<Body> {
        let number = path
            .rsplit('/')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let from = query.strip_prefix("from=").unwrap_or_default().to_owned();
        self.engine.borrow_mut().cancel(&(from, number));
        json(StatusCode::OK, &serde_json::json!({}))
    }

    /// Starts a completion, and responds with its stream.
    fn complete(&self, headers: &http::HeaderMap, body: &[u8]) -> Response<Body> {
        let Ok(completion) = serde_json::from_slice::<Completion>(body) else {
            return json(
                StatusCode::BAD_REQUEST,
                &serde_json::json!({"error": "bad completion"}),
            );
        };
        let holding = self.loader.borrow().holding(0);
        let epoch = numeric_header(headers, "x-epoch").map(|n| Epoch(n as i64));
        let is_held = holding.ready
            && holding
                .model
                .as_ref()
                .is_some_and(|model| model.as_str() == completion.model)
            && epoch.is_none_or(|epoch| epoch == holding.epoch);
        if !is_held {
            return not_run(StatusCode::CONFLICT);
        }
        if self.fault.borrow().refuse || holding.draining {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let attempt = numeric_header(headers, "x-attempt").unwrap_or(0);
        let resume_at = numeric_header(headers, "x-resume-at").unwrap_or(0) as u32;
        let (sender, events) = unbounded();
        let run = Run {
            attempt: (text_header(headers, "x-from"), attempt),
            prefill_tokens: completion.prompt.len() as u32 / 4,
            prompt: completion.prompt,
            next: resume_at,
            end: completion.max_tokens,
            written_tokens: 0,
            muted: false,
            sender,
        };
        let mut engine = self.engine.borrow_mut();
        *engine.starts.entry(body_text(body)).or_default() += 1;
        let response = Response::builder()
            .header("content-type", "text/event-stream")
            .header("x-attempt", self.echoed_attempt(attempt))
            .header("x-epoch", holding.epoch.0);
        if self.fault.borrow().endless {
            let response = response.body(endless_body());
            return response.expect("response head is valid");
        }
        engine.waiting.push_back(run);
        let frames = events.map(|event| match event {
            BodyEvent::Data(bytes) => Ok(Frame::data(bytes)),
            BodyEvent::Cut => Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset)),
        });
        response
            .body(StreamBody::new(frames).boxed_unsync())
            .expect("response head is valid")
    }

    /// Answers a call of the plain service.
    fn serve(&self, head: &http::request::Parts, body: &[u8]) -> Response<Body> {
        if self.fault.borrow().refuse {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let mut engine = self.engine.borrow_mut();
        let runs = engine.starts.entry(body_text(body)).or_default();
        *runs += 1;
        let answer =
            serde_json::json!({"service": self.name, "path": head.uri.path(), "runs": *runs});
        let mut response = json(StatusCode::OK, &answer);
        let attempt = numeric_header(&head.headers, "x-attempt").unwrap_or(0);
        response
            .headers_mut()
            .insert("x-attempt", self.echoed_attempt(attempt).into());
        if self.fault.borrow().endless {
            *response.body_mut() = endless_body();
        }
        response
    }

    /// Returns the attempt number to send in a response.
    fn echoed_attempt(&self, attempt: u64) -> u64 {
        attempt + u64::from(self.fault.borrow().crossed)
    }
}

/// Returns a body of bytes that never end.
fn endless_body() -> Body {
    let block = Bytes::from_static(&[b'x'; BLOCK_BYTES]);
    let frames = stream::repeat_with(move || Ok(Frame::data(block.clone())));
    StreamBody::new(frames).boxed_unsync()
}

/// Returns a request body as text, the key under which its runs are counted.
fn body_text(body: &[u8]) -> String {
    String::from_utf8_lossy(body).into_owned()
}

/// Returns the value of a numeric header.
fn numeric_header(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns the value of a header, empty if it is absent.
fn text_header(headers: &http::HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns a response that marks the request as not run.
fn not_run(status: StatusCode) -> Response<Body> {
    let mut response = json(status, &serde_json::json!({}));
    response.headers_mut().insert("x-not-run", 1.into());
    response
}

/// Returns a response with a JSON body.
fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: serde::Serialize,
{
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let body = Full::new(Bytes::from(bytes))
        .map_err(|never| match never {})
        .boxed_unsync();
    let response = Response::builder()
        .status(status)
        .header("content-type", "application/json");
    response.body(body).expect("response head is valid")
}
