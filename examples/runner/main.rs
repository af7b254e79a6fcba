//! A stand-in for runners: model engines or plain services, several in one process.
//!
//! Prints `{"listening":{"NAME":"ADDRESS",…}}`, then serves until it is ended.
//! `POST /fault` takes a JSON object (see `fault.rs`); `GET /runs` tells how
//! often each body was begun.

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
use engine::{Engine, Piece, Run};
use fault::Fault;
use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use hickoryledge::{
    core::{
        input::{LoadReport, OrderChecks},
        keys::Epoch,
        time::Span,
    },
    shell::http::serve_http1,
};
use holding::{Holder, Order, Outcome};
use http::{Method, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, service::service_fn};
use serde::Deserialize;

/// How often the load is sampled.
const SAMPLE_EVERY: Duration = Duration::from_millis(50);

/// Stands in for runners.
#[derive(FromArgs)]
struct Args {
    /// names of the runners, with commas between
    #[argh(option)]
    names: String,
    /// the plain service that they run instead of an engine
    #[argh(option)]
    service: Option<String>,
    /// addresses to listen on, with commas between; any free ones if left out
    #[argh(option)]
    listen: Option<String>,
    /// a step's time, in milliseconds
    #[argh(option, default = "6")]
    step_ms: u64,
    /// the most runs at once
    #[argh(option, default = "64")]
    slots: usize,
    /// the time to load a model, in milliseconds
    #[argh(option, default = "50")]
    load_ms: u64,
    /// how old load reports are, in milliseconds
    #[argh(option, default = "100")]
    lag_ms: u64,
    /// what is checked of orders: fenced, sender or nothing
    #[argh(option, default = "String::from(\"fenced\")")]
    checks: String,
}

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// One runner.
struct Runner {
    name: String,
    service: bool,
    lag: Duration,
    slots: usize,
    engine: Rc<RefCell<Engine>>,
    fault: Rc<RefCell<Fault>>,
    holder: RefCell<Holder>,
    samples: RefCell<VecDeque<(Instant, LoadReport)>>,
    /// Connections with a smaller number have gone silent.
    muted_below: Cell<u64>,
    connections: Cell<u64>,
}

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

fn start(runner: Rc<Runner>, listener: compio::net::TcpListener, args: &Args) {
    let step = Duration::from_millis(args.step_ms);
    let batch = engine::run(
        runner.engine.clone(),
        runner.fault.clone(),
        step,
        args.slots,
    );
    compio::runtime::spawn(batch).detach();
    let sampled = runner.clone();
    compio::runtime::spawn(async move {
        loop {
            sampled.sample(step);
            compio::time::sleep(SAMPLE_EVERY).await;
        }
    })
    .detach();
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let runner = runner.clone();
            let number = runner.connections.get();
            runner.connections.set(number + 1);
            compio::runtime::spawn(async move {
                let service = service_fn(move |request| answer(runner.clone(), number, request));
                serve_http1(stream, service).await;
            })
            .detach();
        }
    })
    .detach();
}

async fn answer(
    runner: Rc<Runner>,
    connection: u64,
    request: Request<Incoming>,
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
        let late = runner.fault.borrow().late_ms;
        compio::time::sleep(Duration::from_millis(late)).await;
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
        (&Method::POST, "/v1/completions") if !runner.service => {
            runner.complete(&head.headers, &body)
        }
        _ if runner.service => runner.serve(&head, &body),
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
            service: args.service.is_some(),
            lag: Duration::from_millis(args.lag_ms),
            slots: args.slots,
            engine: Rc::default(),
            fault: Rc::default(),
            holder: RefCell::new(Holder::new(checks, Duration::from_millis(args.load_ms))),
            samples: RefCell::default(),
            muted_below: Cell::new(0),
            connections: Cell::new(0),
        }
    }

    /// Runs being run or waiting.
    fn running(&self) -> u32 {
        let engine = self.engine.borrow();
        (engine.running.len() + engine.waiting.len()) as u32
    }

    fn sample(&self, step: Duration) {
        let engine = self.engine.borrow();
        let fault = self.fault.borrow();
        let gap = step.mul_f64(fault.slow.max(1.0));
        let report = LoadReport {
            running: engine.running.len() as u32,
            waiting: engine.waiting.len() as u32,
            pending_tokens: engine.pending_tokens(),
            token_gap: Span(gap.as_micros() as u64),
            slots: self.slots as u32,
            age: Span::ZERO,
            leaving: fault.leaving,
        };
        let mut samples = self.samples.borrow_mut();
        samples.push_back((Instant::now(), report));
        while samples.len() > 1 && samples[1].0.elapsed() >= self.lag {
            samples.pop_front();
        }
    }

    fn load(&self) -> Response<Body> {
        if self.fault.borrow().no_load {
            return json(StatusCode::INTERNAL_SERVER_ERROR, &serde_json::json!({}));
        }
        let samples = self.samples.borrow();
        let (at, report) = samples
            .front()
            .cloned()
            .unwrap_or((Instant::now(), LoadReport::default()));
        let age = Span(at.elapsed().as_micros() as u64);
        json(StatusCode::OK, &LoadReport { age, ..report })
    }

    fn holding(&self) -> Response<Body> {
        json(
            StatusCode::OK,
            &self.holder.borrow().holding(self.running()),
        )
    }

    fn runs(&self) -> Response<Body> {
        let engine = self.engine.borrow();
        json(
            StatusCode::OK,
            &serde_json::json!({
                "name": self.name,
                "begun": engine.begun,
                "cancelled": engine.cancelled,
                "running": engine.running.len() + engine.waiting.len(),
            }),
        )
    }

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
        let outcome = self.holder.borrow_mut().take(order);
        if self.fault.borrow().lose_orders {
            std::future::pending::<()>().await;
        }
        match outcome {
            Outcome::Done => json(StatusCode::OK, &serde_json::json!({})),
            Outcome::Stale(fence) => {
                json(StatusCode::CONFLICT, &serde_json::json!({"fence": fence}))
            }
            Outcome::Rejected(reason) => json(
                StatusCode::UNPROCESSABLE_ENTITY,
                &serde_json::json!({"reason": reason}),
            ),
        }
    }

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

    fn complete(&self, headers: &http::HeaderMap, body: &[u8]) -> Response<Body> {
        let Ok(completion) = serde_json::from_slice::<Completion>(body) else {
            return json(
                StatusCode::BAD_REQUEST,
                &serde_json::json!({"error": "bad completion"}),
            );
        };
        let holding = self.holder.borrow().holding(0);
        let epoch = number(headers, "x-epoch").map(|n| Epoch(n as i64));
        let mine = holding.ready
            && holding
                .model
                .as_ref()
                .is_some_and(|model| model.as_str() == completion.model)
            && epoch.is_none_or(|epoch| epoch == holding.epoch);
        if !mine {
            return not_run(StatusCode::CONFLICT);
        }
        if self.fault.borrow().refuse || holding.draining {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let attempt = number(headers, "x-attempt").unwrap_or(0);
        let begin = number(headers, "x-resume-at").unwrap_or(0) as u32;
        let (sender, pieces) = unbounded();
        let run = Run {
            attempt: (text(headers, "x-from"), attempt),
            prefill: completion.prompt.len() as u32 / 4,
            prompt: completion.prompt,
            next: begin,
            end: completion.max_tokens,
            written: 0,
            muted: false,
            sender,
        };
        let mut engine = self.engine.borrow_mut();
        *engine.begun.entry(digest(body)).or_default() += 1;
        engine.waiting.push_back(run);
        let frames = pieces.map(|piece| match piece {
            Piece::Data(bytes) => Ok(Frame::data(bytes)),
            Piece::Cut => Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset)),
        });
        let response = Response::builder()
            .header("content-type", "text/event-stream")
            .header("x-attempt", self.echo(attempt))
            .header("x-epoch", holding.epoch.0);
        response
            .body(StreamBody::new(frames).boxed_unsync())
            .expect("head is valid")
    }

    fn serve(&self, head: &http::request::Parts, body: &[u8]) -> Response<Body> {
        if self.fault.borrow().refuse {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let mut engine = self.engine.borrow_mut();
        let runs = engine.begun.entry(digest(body)).or_default();
        *runs += 1;
        let answer =
            serde_json::json!({"service": self.name, "path": head.uri.path(), "runs": *runs});
        let mut response = json(StatusCode::OK, &answer);
        let attempt = number(&head.headers, "x-attempt").unwrap_or(0);
        response
            .headers_mut()
            .insert("x-attempt", self.echo(attempt).into());
        response
    }

    /// The attempt that an answer claims to belong to.
    fn echo(&self, attempt: u64) -> u64 {
        attempt + u64::from(self.fault.borrow().crossed)
    }
}

fn digest(body: &[u8]) -> String {
    String::from_utf8_lossy(body).into_owned()
}

fn number(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn text(headers: &http::HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn not_run(status: StatusCode) -> Response<Body> {
    let mut response = json(status, &serde_json::json!({}));
    response.headers_mut().insert("x-not-run", 1.into());
    response
}

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
    response.body(body).expect("head is valid")
}
