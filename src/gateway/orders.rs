//! Carries orders to runners.
//!
//! An answer only says whether the order arrived: what came of it is read from
//! the runner's own reports, and the planner sends again what had no effect.

use super::{
    adapter::Adapter,
    exchange::{CONNECT_TIMEOUT, Exchange},
    order::Directive,
    state::Site,
};
use http::{Request, header::CONTENT_TYPE};
use http_body_util::Full;
use metrics::counter;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// How long a runner may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends an order; its outcome is logged.
pub fn send<A>(site: &Rc<Site>, directive: Directive)
where
    A: Adapter,
{
    let address = match site.roster.borrow().host_by_name(&directive.host) {
        Some((_, host)) => host.runner.address,
        None => return,
    };
    let site = site.clone();
    compio::runtime::spawn(async move {
        let sent = compio::time::timeout(ORDER_TIMEOUT, deliver::<A>(address, &directive)).await;
        let outcome = sent.unwrap_or_else(|_| "no answer in time".to_owned());
        counter!("orders_total").increment(1);
        slog::info!(site.log, "order";
            "host" => directive.host.as_str(),
            "order" => format!("{:?}", directive.order),
            "outcome" => outcome);
    })
    .detach();
}

/// Delivers an order; what came of the delivery, for the log.
async fn deliver<A>(address: SocketAddr, directive: &Directive) -> String
where
    A: Adapter,
{
    let (path, body) = A::order(&directive.order);
    let request = Request::post(path)
        .header("host", address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("an order's head is well formed");
    let answer = match Exchange::open(address, CONNECT_TIMEOUT).await {
        Ok(mut exchange) => exchange.send(request).await,
        Err(error) => Err(error),
    };
    match answer {
        Ok(answer) => answer.status().as_u16().to_string(),
        Err(error) => format!("{error:?}"),
    }
}
