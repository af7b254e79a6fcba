//! The `explain` subcommand, which asks a daemon where a request would go now.

mod show;

use super::{
    operator::{daemon, token},
    timeout::run_with_timeout,
};
use crate::{
    cli::{ExplainArgs, Target},
    error::CommandError,
    exit_codes::ExitStatus,
};
use bytes::Bytes;
use hickoryledge::{
    gateway::explain::{
        report::{Explanation, Query},
        server::PATH,
    },
    shell::http::send_once,
};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use std::net::SocketAddr;

/// Step that most errors name.
const STEP: &str = "failed to request the explanation";

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Requests the explanation and prints it.
pub fn run(target: &Target, args: ExplainArgs) -> Result<(), CommandError> {
    let daemon = daemon(target)?;
    let token = authorization(&token(target)?)?;
    let query = encode(args)?;
    let (status, body) = run_with_timeout(target, async {
        let response = request_explanation(daemon, token, query).await;
        response.map_err(|error| CommandError::unreachable(STEP, daemon, format!("{error:#}")))
    })?;
    if status != StatusCode::OK {
        return Err(refused(daemon, status, &body));
    }
    let explanation: Explanation = serde_json::from_slice(&body)
        .map_err(|error| CommandError::unreachable("failed to read the response", daemon, error))?;
    match target.json {
        true => println!("{}", String::from_utf8_lossy(&body)),
        false => show::print(&explanation),
    }
    Ok(())
}

/// Returns the header that authenticates the operator.
fn authorization(token: &str) -> Result<HeaderValue, CommandError> {
    let header = HeaderValue::try_from(format!("Bearer {token}"));
    let mut header = header.map_err(|error| {
        CommandError::local(ExitStatus::Usage, "failed to encode the token", error)
    })?;
    header.set_sensitive(true);
    Ok(header)
}

fn encode(args: ExplainArgs) -> Result<Vec<u8>, CommandError> {
    let query = Query {
        host: args.host,
        path: args.path,
        account: args.account.map(Into::into),
        model: args.model.map(Into::into),
        prompt_tokens: args.prompt_tokens,
        answer_tokens: args.answer_tokens,
    };
    serde_json::to_vec(&query).map_err(|error| {
        CommandError::local(ExitStatus::Failure, "failed to encode the query", error)
    })
}

/// Sends the query and returns the status and body of the response.
async fn request_explanation(
    daemon: SocketAddr,
    token: HeaderValue,
    query: Vec<u8>,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let request = Request::post(PATH)
        .header(header::HOST, daemon.to_string())
        .header(header::AUTHORIZATION, token)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(query)))?;
    let (head, body) = send_once(daemon, request).await?.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(anyhow::Error::from_boxed)?;
    Ok((head.status, body.to_bytes()))
}

/// Returns the error for a response without an explanation.
fn refused(daemon: SocketAddr, status: StatusCode, body: &[u8]) -> CommandError {
    let reason = match status {
        StatusCode::NOT_FOUND => "no explanations there: the settings have no operator_token, or \
                                  this isn't the address that answers readiness"
            .to_owned(),
        _ if body.is_empty() => format!("status {status}"),
        _ => String::from_utf8_lossy(body).into_owned(),
    };
    CommandError {
        daemon: Some(daemon),
        ..CommandError::local(ExitStatus::Refused, STEP, reason)
    }
}
