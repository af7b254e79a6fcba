//! The list of hosts, and the stand-in's own controls.

use crate::world::World;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use std::{convert::Infallible, rc::Rc, time::Duration};

/// Answers one request.
pub async fn serve(
    world: Rc<World>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(empty(StatusCode::BAD_REQUEST)),
    };
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Ok(match answer(&world, &method, &path, body) {
        Some(answer) => answer,
        None => empty(StatusCode::BAD_REQUEST),
    })
}

fn answer(
    world: &Rc<World>,
    method: &Method,
    path: &str,
    body: Value,
) -> Option<Response<Full<Bytes>>> {
    let host = path.strip_prefix("/hosts/");
    match (method, path, host) {
        (&Method::GET, "/hosts", _) => return Some(whole(&json!(*world.seen.borrow()))),
        (&Method::GET, "/calls", _) => return Some(whole(&calls(world))),
        (&Method::PUT, "/hosts", _) => set_hosts(world, body)?,
        (&Method::POST, _, Some(name)) => change_host(world, name, body)?,
        (&Method::DELETE, _, Some(name)) => {
            world.hosts.borrow_mut().remove(name);
            show_later(world);
        }
        (&Method::POST, "/lag", _) => {
            let lag = Duration::from_millis(body["ms"].as_u64()?);
            world.lag.set(lag);
        }
        (&Method::POST, "/fault", _) => world.set_fault(serde_json::from_value(body).ok()?),
        (&Method::POST, "/compact", _) => world.store.borrow_mut().compact(),
        (&Method::POST, "/break", _) => world.breaks.set(world.breaks.get() + 1),
        _ => return Some(empty(StatusCode::NOT_FOUND)),
    }
    Some(empty(StatusCode::OK))
}

fn set_hosts(world: &Rc<World>, body: Value) -> Option<()> {
    let Value::Array(entries) = body else {
        return None;
    };
    let mut hosts = world.hosts.borrow_mut();
    hosts.clear();
    for entry in entries {
        hosts.insert(entry["host"].as_str()?.to_owned(), entry);
    }
    drop(hosts);
    show_later(world);
    Some(())
}

fn change_host(world: &Rc<World>, name: &str, body: Value) -> Option<()> {
    let Value::Object(fields) = body else {
        return None;
    };
    let mut hosts = world.hosts.borrow_mut();
    let entry = hosts.get_mut(name)?.as_object_mut()?;
    entry.extend(fields);
    drop(hosts);
    show_later(world);
    Some(())
}

/// Shows the list as it is now to readers, once the lag has passed.
fn show_later(world: &Rc<World>) {
    let entries: Vec<Value> = world.hosts.borrow().values().cloned().collect();
    if world.lag.get().is_zero() {
        *world.seen.borrow_mut() = entries;
        return;
    }
    let world = world.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(world.lag.get()).await;
        *world.seen.borrow_mut() = entries;
    })
    .detach();
}

fn calls(world: &World) -> Value {
    json!({
        "calls": *world.calls.borrow(),
        "watching": world.watching.get(),
        "revision": world.store.borrow().revision(),
    })
}

fn whole(value: &Value) -> Response<Full<Bytes>> {
    Response::new(Full::from(value.to_string()))
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}
