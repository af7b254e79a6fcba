//! Takes a request from its arrival to its answer.
//!
//! A request runs on one runner after the other until one answers. What may
//! be sent again follows from the route's kind: an idempotent request always,
//! any other only while every runner before has said that it did not run it.

use super::{
    adapter::{Adapter, AnswerHead, CallHead, Passed},
    admission::Standing,
    answer::{self, Answer, Refusal, strip_hop_by_hop},
    exchange::{CONNECT_TIMEOUT, Exchange, SendError},
    placement::{self, Place, Shortage, Wanted},
    roster::HostKey,
    spec::{Kind, Route, Spec},
    state::Site,
    stream,
};
use crate::core::{
    keys::{AccountName, ServiceName},
    time::{Span, Time},
};
use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    header::{CONTENT_ENCODING, EXPECT, HOST},
};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use metrics::{counter, histogram};
use rand::Rng as _;
use std::{pin::pin, rc::Rc, time::Duration};

/// The longest whole answer taken, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Sends to runners that did not run a request, beyond the route's attempts.
const SPARE_SENDS: u32 = 2;

/// How often a waiting request looks whether its runner still serves.
pub(super) const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// How long an idempotent request waits for a plain service before it asks another runner.
const PATIENCE: Span = Span::from_millis(900);

/// How long a request waits for its first event at a head whose streams are silent.
const STALL_PATIENCE: Span = Span::from_millis(500);

/// The same at a head that passes on no other stream of this daemon.
const LONE_PATIENCE: Span = Span::from_millis(1_000);

/// The time that a caller waits, if it doesn't say.
const USUAL_DEADLINE: Span = Span::from_secs(30);

/// When to come back once nothing serves a request.
const RETRY_MS: u64 = 700;

/// A request that is to be answered.
pub struct Call {
    /// The site.
    pub site: Rc<Site>,
    /// The route.
    pub route: Route,
    /// The service drawn for it.
    pub service: ServiceName,
    /// What its head says.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, as the caller sent them, but for those of one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The caller's account.
    pub account: Option<AccountName>,
    /// When it must have its final answer.
    pub deadline: Time,
    /// Runners that it was sent to.
    pub tried: Vec<HostKey>,
    /// Runners that it may have run on.
    pub runs: u32,
    /// Sends so far.
    pub sends: u32,
    /// When it arrived.
    pub arrived: Time,
    /// The time that its caller spent on earlier tries.
    pub spent: Span,
}

/// A runner's answer, head only.
pub struct Begun {
    /// The runner.
    pub place: Place,
    /// The connection, kept while the body is read.
    pub exchange: Exchange,
    /// The answer.
    pub response: Response<Incoming>,
    /// Counts the request at its runner.
    pub counted: Counted,
}

impl Call {
    /// How the request stands against its objective.
    fn standing(&self, resume_after: Option<u64>) -> Standing {
        // Refusing what has begun to run would be a failure, not a refusal.
        if self.runs > 0 || resume_after > self.head.resume_after {
            return Standing::Resumed;
        }
        let spent = self.spent + self.site.now().since(self.arrived);
        match spent > self.route.objective {
            true => Standing::Late,
            false => Standing::Timely,
        }
    }
}

/// What one send adds to a request.
#[derive(Clone, Copy, Debug)]
struct Passing {
    resume_after: Option<u64>,
    standing: Standing,
}

/// Counts a request at its runner for as long as it lives.
pub struct Counted {
    site: Rc<Site>,
    host: HostKey,
}

impl Counted {
    fn new(site: Rc<Site>, host: HostKey) -> Self {
        site.loads.borrow_mut().sent(host);
        Self { site, host }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.site.loads.borrow_mut().ended(self.host);
    }
}

/// How one send ended without an answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// The runner could not be reached; nothing was sent.
    Unreached,
    /// The runner says that it did not run the request.
    Declined,
    /// The request may have run.
    Unknown,
    /// The runner answered that it failed, and may be asked again.
    Failed,
    /// The time is over.
    TimedOut,
}

impl Miss {
    /// Its name in metrics.
    fn name(self) -> &'static str {
        match self {
            Miss::Unreached => "unreached",
            Miss::Declined => "declined",
            Miss::Unknown => "unknown",
            Miss::Failed => "failed",
            Miss::TimedOut => "timed_out",
        }
    }
}

/// Answers a request.
pub async fn respond<A>(site: &Rc<Site>, request: Request<Incoming>) -> Answer
where
    A: Adapter,
{
    let arrived = site.now();
    let (parts, body) = request.into_parts();
    let head = A::call(&parts);
    let id = head.id.clone();
    let mut answer = match admit(site, head, parts, body, arrived).await {
        Ok(call) => run::<A>(call).await,
        Err(refusal) => {
            log_refusal(site, &id, refusal);
            answer::refused(refusal)
        }
    };
    let status = answer.status().as_u16().to_string();
    counter!("answers_total", "status" => status).increment(1);
    histogram!("answer_begins_seconds").record(site.now().since(arrived).as_secs_f64());
    if site.stopping.get() {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    answer
}

fn log_refusal(site: &Site, id: &Option<http::HeaderValue>, refusal: Refusal) {
    slog::info!(site.log, "refused";
        "request" => id_text(id),
        "reason" => format!("{refusal:?}"),
        "version" => site.table().map_or(0, |table| table.spec().version));
}

fn id_text(id: &Option<http::HeaderValue>) -> &str {
    id.as_ref()
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
}

/// Finds out whether and where a request may go, and reads its body.
async fn admit(
    site: &Rc<Site>,
    head: CallHead,
    parts: http::request::Parts,
    body: Incoming,
    arrived: Time,
) -> Result<Call, Refusal> {
    let table = site.table().ok_or(Refusal::NotConfigured)?;
    let host = parts
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = table
        .find(host, parts.uri.path())
        .ok_or(Refusal::NoRoute)?
        .clone();
    let account = head
        .key
        .as_ref()
        .and_then(|key| table.account(key))
        .cloned();
    if table.has_accounts() && !route.public && account.is_none() {
        return Err(Refusal::NoAccount);
    }
    site.taken.set(site.taken.get() + 1);
    let most = table.spec().limits.body_bytes;
    let body = read_body(body, most, table.spec().limits.head_time).await?;
    let draw = site.rng.borrow_mut().random();
    let service = route.service(draw).ok_or(Refusal::NoRoute)?.clone();
    site.count_request(&service);
    count_demand(site, table.spec(), &service, &head, arrived);
    let deadline = head.deadline.unwrap_or(USUAL_DEADLINE);
    let spent = site.spent(&route.name, deadline);
    let wait = deadline.min(route.timeout);
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    Ok(Call {
        site: site.clone(),
        service,
        head,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        account,
        deadline: arrived + wait,
        tried: Vec::new(),
        runs: 0,
        sends: 0,
        route,
        arrived,
        spent,
    })
}

fn count_demand(site: &Site, spec: &Spec, service: &ServiceName, head: &CallHead, now: Time) {
    let engine = spec
        .service(service)
        .and_then(|found| found.engine.as_ref());
    if let (Some(engine), Some(model)) = (engine, &head.model) {
        let mut demand = site.demand.borrow_mut();
        demand.count(engine, model, head.prompt, head.answer, now);
    }
}

async fn read_body(body: Incoming, most: usize, time: Span) -> Result<Bytes, Refusal> {
    let read = compio::time::timeout(time.into(), Limited::new(body, most).collect())
        .await
        .map_err(|_| Refusal::BadBody)?;
    match read {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::TooLong),
        Err(_) => Err(Refusal::BadBody),
    }
}

/// Sends a request until a runner answers or it must be given up.
async fn run<A>(mut call: Call) -> Answer
where
    A: Adapter,
{
    let resume_after = call.head.resume_after;
    match begin::<A>(&mut call, resume_after).await {
        Ok(begun) if stream::is_stream(&call, &begun) => stream::relay::<A>(call, begun),
        Ok(begun) => finish::<A>(call, begun).await,
        Err(refusal) => refuse(&call, refusal),
    }
}

fn refuse(call: &Call, refusal: Refusal) -> Answer {
    slog::info!(call.site.log, "given up";
        "request" => id_text(&call.head.id),
        "route" => &call.route.name,
        "reason" => format!("{refusal:?}"),
        "sends" => call.sends,
        "runs" => call.runs,
        "after_ms" => call.site.now().since(call.arrived).as_millis());
    answer::refused(refusal)
}

/// Reads a whole answer, and sends the request again where it may be.
async fn finish<A>(mut call: Call, mut begun: Begun) -> Answer
where
    A: Adapter,
{
    loop {
        let (parts, body) = begun.response.into_parts();
        let read = until(&call, &begun.place, read_answer(body)).await;
        let miss = match read {
            Ok(Some(bytes)) => {
                call.site.loads.borrow_mut().served(begun.place.host);
                log_answer(&call, &begun.place, parts.status);
                return pass_back(parts, bytes);
            }
            Ok(None) => Miss::Unknown,
            Err(miss) => miss,
        };
        drop(begun.exchange);
        note_miss(&call, &begun.place, miss);
        if !may_repeat(&call, miss) {
            let refusal = final_refusal(&call, miss);
            return refuse(&call, refusal);
        }
        let resume_after = call.head.resume_after;
        begun = match begin::<A>(&mut call, resume_after).await {
            Ok(begun) => begun,
            Err(refusal) => return refuse(&call, refusal),
        };
    }
}

fn log_answer(call: &Call, place: &Place, status: StatusCode) {
    slog::info!(call.site.log, "answered";
        "request" => id_text(&call.head.id),
        "host" => place.name.as_str(),
        "status" => status.as_u16(),
        "sends" => call.sends,
        "after_ms" => call.site.now().since(call.arrived).as_millis());
}

fn pass_back(mut parts: http::response::Parts, bytes: Bytes) -> Answer {
    strip_hop_by_hop(&mut parts.headers);
    Response::from_parts(parts, http_body_util::Either::Left(Full::new(bytes)))
}

async fn read_answer(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, MAX_ANSWER).collect().await.ok()?;
    Some(whole.to_bytes())
}

/// Sends the request until a runner's answer begins.
///
/// # Errors
///
/// Fails with what the caller is to be told.
pub(super) async fn begin<A>(call: &mut Call, resume_after: Option<u64>) -> Result<Begun, Refusal>
where
    A: Adapter,
{
    let mut last = Miss::Unreached;
    loop {
        if call.site.now() >= call.deadline {
            return Err(final_refusal(call, Miss::TimedOut));
        }
        let is_spent = call.sends > call.route.attempts + SPARE_SENDS
            || call.runs >= call.route.attempts.max(1);
        if is_spent {
            return Err(final_refusal(call, last));
        }
        let standing = call.standing(resume_after);
        let place = match place(call, standing) {
            Ok(place) => place,
            Err(Shortage::AllFull { retry }) if call.runs == 0 => {
                return Err(Refusal::Unavailable {
                    retry_ms: retry.as_millis(),
                });
            }
            Err(_) => return Err(final_refusal(call, last)),
        };
        if call.sends > 0 && !call.site.may_repeat(&call.service) {
            return Err(final_refusal(call, last));
        }
        call.tried.push(place.host);
        let passing = Passing {
            resume_after,
            standing,
        };
        let miss = match attempt::<A>(call, &place, passing).await {
            Ok(begun) => return Ok(begun),
            Err(miss) => miss,
        };
        note_miss(call, &place, miss);
        last = miss;
        if !may_repeat(call, miss) {
            return Err(final_refusal(call, miss));
        }
    }
}

fn place(call: &Call, standing: Standing) -> Result<Place, Shortage> {
    let site = &call.site;
    let now = site.now();
    let table = site.table().ok_or(Shortage::NoneServing)?;
    let service = table.spec().service(&call.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let model = call.head.model.as_ref().zip(engine);
    let wanted = Wanted {
        service: &call.service,
        model,
        standing,
        hall: &site.settings.hall,
        tried: &call.tried,
    };
    placement::choose(
        &site.roster.borrow(),
        &site.loads.borrow(),
        wanted,
        now,
        &mut *site.rng.borrow_mut(),
    )
}

/// One send to one runner.
async fn attempt<A>(call: &mut Call, place: &Place, passing: Passing) -> Result<Begun, Miss>
where
    A: Adapter,
{
    let counted = Counted::new(call.site.clone(), place.host);
    let mut exchange = open(call, place).await?;
    let request = request::<A>(call, place, passing);
    call.sends += 1;
    call.runs += 1;
    let response = {
        let sending = async {
            let sent = exchange.send(request).await;
            sent.map_err(|error| match error {
                SendError::Refused | SendError::NotSent => Miss::Unreached,
                SendError::Cut => Miss::Unknown,
            })
        };
        until(call, place, sending).await.and_then(|sent| sent)
    };
    let response = match response {
        Ok(response) => response,
        Err(miss) => {
            if miss == Miss::Unreached {
                call.runs -= 1;
            }
            return Err(miss);
        }
    };
    let (parts, body) = response.into_parts();
    let head = A::answer(&parts);
    if let Some(load) = head.load {
        let now = call.site.now();
        call.site.loads.borrow_mut().reported(place.host, load, now);
    }
    if let Some(miss) = judge(call, &parts, &head) {
        if miss == Miss::Declined {
            call.runs -= 1;
        }
        return Err(miss);
    }
    Ok(Begun {
        place: place.clone(),
        exchange,
        response: Response::from_parts(parts, body),
        counted,
    })
}

/// Why an answer is not passed on, if it isn't.
fn judge(call: &Call, parts: &http::response::Parts, head: &AnswerHead) -> Option<Miss> {
    if head.id != call.head.id {
        return Some(Miss::Unknown);
    }
    if head.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Miss::Declined);
    }
    let is_spoiled = parts.headers.contains_key(CONTENT_ENCODING);
    if is_spoiled || (parts.status.is_success() && !head.vouched) {
        return Some(Miss::Unknown);
    }
    let may_fail_over = call.route.kind == Kind::Idempotent
        && parts.status.is_server_error()
        && call.runs < call.route.attempts;
    may_fail_over.then_some(Miss::Failed)
}

/// Connects to a runner; one that was reached before gets little longer than it took then.
async fn open(call: &Call, place: &Place) -> Result<Exchange, Miss> {
    let loads = &call.site.loads;
    let began = call.site.now();
    let limit = loads.borrow().connect_limit(place.host);
    let timeout = limit.map_or(CONNECT_TIMEOUT, Duration::from);
    let opened = Exchange::open(place.address, timeout).await;
    let exchange = opened.map_err(|_| Miss::Unreached)?;
    let took = call.site.now().since(began);
    loads.borrow_mut().reached(place.host, took);
    Ok(exchange)
}

/// The request as it is sent to a runner.
fn request<A>(call: &Call, place: &Place, passing: Passing) -> Request<Full<Bytes>>
where
    A: Adapter,
{
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    let passed = Passed {
        left: call.deadline.since(call.site.now()),
        host: &place.name,
        account: call.account.as_ref(),
        resume_after: passing.resume_after,
        standing: passing.standing,
    };
    A::pass_on(headers, &passed);
    request
}

/// Waits for a runner while it serves and there is time left.
async fn until<F, T>(call: &Call, place: &Place, waited: F) -> Result<T, Miss>
where
    F: Future<Output = T>,
{
    let mut waited = pin!(waited);
    let began = call.site.now();
    loop {
        let look = pin!(compio::time::sleep(LOOK_INTERVAL));
        match select(waited.as_mut(), look).await {
            Either::Left((output, _)) => return Ok(output),
            Either::Right(_) => {}
        }
        let now = call.site.now();
        if now >= call.deadline {
            return Err(Miss::TimedOut);
        }
        if is_hopeless(call, place, now.since(began)) {
            return Err(Miss::Unknown);
        }
    }
}

/// Whether a repeatable request should rather go elsewhere than be waited for.
fn is_hopeless(call: &Call, place: &Place, waited: Span) -> bool {
    if !is_repeatable(call) {
        return false;
    }
    if !placement::still_serves(&call.site.roster.borrow(), place) {
        return true;
    }
    if !may_move(call) {
        return false;
    }
    if place.epoch.is_none() {
        return waited > PATIENCE;
    }
    let silence = call
        .site
        .loads
        .borrow()
        .silence(place.host, call.site.now());
    let patience = match silence.has_streams {
        true => STALL_PATIENCE,
        false => LONE_PATIENCE,
    };
    silence.span.min(waited) > patience
}

/// Whether a request may run on one more runner.
pub(super) fn may_move(call: &Call) -> bool {
    call.runs < call.route.attempts
}

/// Whether a request may run more than once.
pub(super) fn is_repeatable(call: &Call) -> bool {
    match call.route.kind {
        Kind::Idempotent => true,
        Kind::Once => false,
        Kind::Stream => call.route.resumable,
    }
}

fn may_repeat(call: &Call, miss: Miss) -> bool {
    match miss {
        Miss::Unreached | Miss::Declined => true,
        Miss::Unknown | Miss::Failed => is_repeatable(call),
        Miss::TimedOut => false,
    }
}

/// What the caller is told after the last send.
fn final_refusal(call: &Call, miss: Miss) -> Refusal {
    if call.runs == 0 {
        return Refusal::Unavailable { retry_ms: RETRY_MS };
    }
    match miss {
        Miss::TimedOut => Refusal::TimedOut,
        _ => Refusal::Unknown,
    }
}

/// Logs a send that came to nothing, and remembers it of the runner.
pub(super) fn note_miss(call: &Call, place: &Place, miss: Miss) {
    let now = call.site.now();
    let is_silent = place.epoch.is_some() && call.site.loads.borrow().stalled(place.host, now);
    if is_silent || matches!(miss, Miss::Unreached | Miss::Declined) {
        call.site.loads.borrow_mut().failed(place.host, now);
    }
    counter!("sends_missed_total", "miss" => miss.name()).increment(1);
    slog::info!(call.site.log, "send missed";
        "request" => id_text(&call.head.id),
        "host" => place.name.as_str(),
        "epoch" => place.epoch.map_or(0, |epoch| epoch.0),
        "miss" => format!("{miss:?}"),
        "sends" => call.sends,
        "after_ms" => now.since(call.arrived).as_millis());
}
