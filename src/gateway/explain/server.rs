//! Serves operators' queries over HTTP.

use super::{explain, report::Query};
use crate::{
    gateway::{
        responses::{self, CallResponse},
        state::GatewayState,
    },
    shell::{operators::is_authorized, request_body::RequestBody},
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt as _, Limited};
use std::time::Duration;

/// Path of queries.
pub const PATH: &str = "/explain";

/// Maximum size of a query.
const MAX_QUERY_BYTES: usize = 16 << 10;

/// Maximum time for sending a query's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns true if a request is a query, and the daemon answers queries.
pub(in crate::gateway) fn is_query(state: &GatewayState, request: &Request<RequestBody>) -> bool {
    state.settings.operator_token.is_some() && request.uri().path() == PATH
}

/// Answers a query.
pub(in crate::gateway) async fn answer(
    state: &GatewayState,
    request: Request<RequestBody>,
) -> CallResponse {
    let (parts, body) = request.into_parts();
    // The body is read in any case: unread bytes would reset the connection, and the caller might
    // lose the response.
    let body = read_body(body).await;
    let token = state.settings.operator_token;
    if !token.is_some_and(|token| is_authorized(&parts.headers, token.hash())) {
        return error(StatusCode::UNAUTHORIZED, "the token is not known");
    }
    if parts.method != Method::POST {
        return error(StatusCode::METHOD_NOT_ALLOWED, "a query is sent by POST");
    }
    let Some(body) = body else {
        return error(StatusCode::BAD_REQUEST, "the query can't be read");
    };
    match serde_json::from_slice::<Query>(&body) {
        Ok(query) => explained(state, &query),
        Err(cause) => error(StatusCode::BAD_REQUEST, &format!("invalid query: {cause}")),
    }
}

/// Reads a query's body; none if it is too long, too late or cut off.
async fn read_body(body: RequestBody) -> Option<Bytes> {
    let reading = Limited::new(body, MAX_QUERY_BYTES).collect();
    let read = compio::time::timeout(BODY_TIMEOUT, reading).await.ok()?;
    Some(read.ok()?.to_bytes())
}

fn explained(state: &GatewayState, query: &Query) -> CallResponse {
    let explanation = explain(state, query);
    let Ok(text) = serde_json::to_vec(&explanation) else {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return error(status, "the explanation can't be encoded");
    };
    let mut response = responses::full(StatusCode::OK, text.into());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn error(status: StatusCode, message: &str) -> CallResponse {
    responses::full(status, message.to_owned().into())
}
