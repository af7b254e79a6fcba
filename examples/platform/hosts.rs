//! HTTP service for the list of hosts and for control requests of tests.

use crate::state::State;
use bytes::Bytes;
use hickoryledge::shell::request_body::RequestBody;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::{convert::Infallible, rc::Rc, time::Duration};

/// Serves one request.
pub async fn serve(
    state: Rc<State>,
    request: Request<RequestBody>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(empty_response(StatusCode::BAD_REQUEST)),
    };
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Ok(match handle(&state, &method, &path, body) {
        Some(response) => response,
        None => empty_response(StatusCode::BAD_REQUEST),
    })
}

/// Handles a request; returns `None` if its body is invalid.
fn handle(
    state: &Rc<State>,
    method: &Method,
    path: &str,
    body: Value,
) -> Option<Response<Full<Bytes>>> {
    let host = path.strip_prefix("/hosts/");
    match (method, path, host) {
        (&Method::GET, "/hosts", _) => return Some(json_response(&json!(*state.visible.borrow()))),
        (&Method::GET, "/calls", _) => return Some(json_response(&call_counts(state))),
        (&Method::PUT, "/hosts", _) => replace_hosts(state, body)?,
        (&Method::POST, _, Some(name)) => update_host(state, name, body)?,
        (&Method::DELETE, _, Some(name)) => {
            state.hosts.borrow_mut().remove(name);
            publish(state);
        }
        (&Method::POST, "/lag", _) => {
            let delay = Duration::from_millis(body["ms"].as_u64()?);
            state.publish_delay.set(delay);
        }
        (&Method::POST, "/fault", _) => state.set_fault(serde_json::from_value(body).ok()?),
        (&Method::POST, "/compact", _) => state.store.borrow_mut().compact(),
        (&Method::POST, "/break", _) => {
            state.watch_generation.set(state.watch_generation.get() + 1)
        }
        _ => return Some(empty_response(StatusCode::NOT_FOUND)),
    }
    Some(empty_response(StatusCode::OK))
}

/// Replaces the list of hosts.
fn replace_hosts(state: &Rc<State>, body: Value) -> Option<()> {
    let Value::Array(entries) = body else {
        return None;
    };
    let mut hosts = state.hosts.borrow_mut();
    hosts.clear();
    for entry in entries {
        hosts.insert(entry["host"].as_str()?.to_owned(), entry);
    }
    drop(hosts);
    publish(state);
    Some(())
}

/// Updates fields of one host.
fn update_host(state: &Rc<State>, name: &str, body: Value) -> Option<()> {
    let Value::Object(fields) = body else {
        return None;
    };
    let mut hosts = state.hosts.borrow_mut();
    let entry = hosts.get_mut(name)?.as_object_mut()?;
    entry.extend(fields);
    drop(hosts);
    publish(state);
    Some(())
}

/// Publishes the current list to readers after the publish delay.
fn publish(state: &Rc<State>) {
    let entries: Vec<Value> = state.hosts.borrow().values().cloned().collect();
    if state.publish_delay.get().is_zero() {
        *state.visible.borrow_mut() = entries;
        return;
    }
    let state = state.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(state.publish_delay.get()).await;
        *state.visible.borrow_mut() = entries;
    })
    .detach();
}

/// Returns the number of calls by kind, the number of open watches, and the revision.
fn call_counts(state: &State) -> Value {
    json!({
        "calls": *state.calls.borrow(),
        "watching": state.open_watches.get(),
        "revision": state.store.borrow().revision(),
    })
}

/// Returns a response with a JSON body.
fn json_response(value: &Value) -> Response<Full<Bytes>> {
    Response::new(Full::from(value.to_string()))
}

/// Returns a response without a body.
fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
