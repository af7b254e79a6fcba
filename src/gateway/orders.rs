//! Sends the planner's orders to runners over HTTP.
//!
//! A response only says that the order arrived. Its effect is read from the
//! runner's own reports, and the planner repeats an order that had none.

use super::{
    adapter::Adapter,
    connection::{CONNECT_TIMEOUT, RunnerConnection},
    order::Directive,
    state::GatewayState,
};
use http::{Request, header::CONTENT_TYPE};
use http_body_util::Full;
use metrics::counter;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Timeout of an order, from connecting to the response.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends an order in the background and logs the outcome.
pub fn send<A>(state: &Rc<GatewayState>, directive: Directive)
where
    A: Adapter,
{
    let address = match state.roster.borrow().host_by_name(&directive.host) {
        Some((_, host)) => host.runner.address,
        None => return,
    };
    let state = state.clone();
    compio::runtime::spawn(async move {
        let sent = compio::time::timeout(ORDER_TIMEOUT, deliver::<A>(address, &directive)).await;
        let outcome = sent.unwrap_or_else(|_| "no answer in time".to_owned());
        counter!("orders_total").increment(1);
        slog::info!(state.log, "order sent";
            "host" => directive.host.as_str(),
            "order" => format!("{:?}", directive.order),
            "outcome" => outcome);
    })
    .detach();
}

/// Delivers an order and returns the status or the error for the log.
async fn deliver<A>(address: SocketAddr, directive: &Directive) -> String
where
    A: Adapter,
{
    let (path, body) = A::encode_order(&directive.order);
    let request = Request::post(path)
        .header("host", address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the head of an order is valid");
    let response = match RunnerConnection::open(address, CONNECT_TIMEOUT).await {
        Ok(mut connection) => connection.send(request).await,
        Err(error) => Err(error),
    };
    match response {
        Ok(response) => response.status().as_u16().to_string(),
        Err(error) => format!("{error:?}"),
    }
}
