//! Takes a request from its arrival to its answer.
//!
//! A request runs on one runner after the other until one answers. What may
//! be sent again follows from the route's kind: an idempotent request always,
//! any other only while every runner before has said that it did not run it.

use super::{
    adapter::{Adapter, CallHead},
    admission::{self, AdmissionClass},
    answer::{self, Answer, Refusal, strip_hop_by_hop},
    attempt::{attempt, note_miss, until},
    balancer::{self, Place, Shortage, Wanted},
    call::{Begun, Call, Miss, Passing, id_text},
    state::GatewayState,
    stream,
};
use crate::core::time::{Span, Time};
use bytes::Bytes;
use http::{
    HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, EXPECT, HOST},
    request, response,
};
use http_body_util::{BodyExt as _, Either, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use metrics::{counter, histogram};
use rand::Rng as _;
use std::rc::Rc;

/// The longest whole answer taken, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Sends to runners that did not run a request, beyond the route's attempts.
const SPARE_SENDS: u32 = 2;

/// The time that a caller waits, if it doesn't say.
const USUAL_DEADLINE: Span = Span::from_secs(30);

/// When to come back to another daemon, as this one stops.
const ELSEWHERE_MS: u64 = 50;

/// When to come back once nothing serves a request.
const RETRY_MS: u64 = 700;

/// Answers a request.
pub async fn respond<A>(site: &Rc<GatewayState>, request: Request<Incoming>) -> Answer
where
    A: Adapter,
{
    let arrived = site.now();
    let (parts, body) = request.into_parts();
    let head = A::decode_call(&parts);
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
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

fn log_refusal(site: &GatewayState, id: &Option<HeaderValue>, refusal: Refusal) {
    slog::info!(site.log, "refused";
        "request" => id_text(id),
        "reason" => format!("{refusal:?}"),
        "version" => site.route_table().map_or(0, |table| table.spec().version));
}

/// Finds out whether and where a request may go, and reads its body.
async fn admit(
    site: &Rc<GatewayState>,
    head: CallHead,
    parts: request::Parts,
    body: Incoming,
    arrived: Time,
) -> Result<Call, Refusal> {
    let table = site.route_table().ok_or(Refusal::NotConfigured)?;
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
        .key_hash
        .as_ref()
        .and_then(|key| table.account(key))
        .cloned();
    if table.has_accounts() && !route.public && account.is_none() {
        return Err(Refusal::NoAccount);
    }
    site.accepted.set(site.accepted.get() + 1);
    let most = table.spec().limits.body_bytes;
    let body = read_body(body, most, table.spec().limits.head_time).await?;
    let draw = site.rng.borrow_mut().random();
    let service = route.service(draw).ok_or(Refusal::NoRoute)?.clone();
    let engine = table.spec().engine(&service);
    let model = engine.zip(head.model.as_ref());
    if !site.has_time(admission::time_needed(
        model,
        head.prompt_tokens,
        head.max_tokens,
    )) {
        return Err(Refusal::Unavailable {
            retry_ms: ELSEWHERE_MS,
        });
    }
    site.count_request(&service);
    if let Some((engine, model)) = model {
        let mut demand = site.demand.borrow_mut();
        demand.count(engine, model, head.prompt_tokens, head.max_tokens, arrived);
    }
    let deadline = head.timeout.unwrap_or(USUAL_DEADLINE);
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
        "request" => call.id(),
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
        if !call.may_repeat(miss) {
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
        "request" => call.id(),
        "host" => place.name.as_str(),
        "status" => status.as_u16(),
        "sends" => call.sends,
        "after_ms" => call.site.now().since(call.arrived).as_millis());
}

fn pass_back(mut parts: response::Parts, bytes: Bytes) -> Answer {
    strip_hop_by_hop(&mut parts.headers);
    Response::from_parts(parts, Either::Left(Full::new(bytes)))
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
        if !call.may_repeat(miss) {
            return Err(final_refusal(call, miss));
        }
    }
}

fn place(call: &Call, standing: AdmissionClass) -> Result<Place, Shortage> {
    let site = &call.site;
    let now = site.now();
    let table = site.route_table().ok_or(Shortage::NoneServing)?;
    let engine = table.spec().engine(&call.service);
    let model = call.head.model.as_ref().zip(engine);
    let wanted = Wanted {
        service: &call.service,
        model,
        standing,
        hall: &site.settings.hall,
        tried: &call.tried,
    };
    balancer::choose(
        &site.roster.borrow(),
        &site.loads.borrow(),
        wanted,
        now,
        &mut *site.rng.borrow_mut(),
    )
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
