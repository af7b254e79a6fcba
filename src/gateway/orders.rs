//! Sends the planner's orders to runners over HTTP.
//!
//! A response only says that the order arrived. Its effect is read from the
//! runner's own reports, and the planner repeats an order that had none.

use super::{
    adapter::Adapter,
    connection::{CONNECT_TIMEOUT, RunnerConnection, SendError},
    order::{Directive, OrderAnswer},
    state::GatewayState,
};
use http::{Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use metrics::counter;
use std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, time::Duration};

/// Timeout of an order, from connecting to the response.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Responses of runners to orders since they were last taken.
pub type OrderAnswers = Rc<RefCell<Vec<OrderAnswer>>>;

/// Outcome of sending an order.
enum Outcome {
    /// The runner responded with this status.
    Status(StatusCode),
    /// The runner did not respond.
    Failed(SendError),
    TimedOut,
}

/// Sends an order in the background, logs the outcome, and adds the runner's response to `answers`.
pub fn send<A>(state: &Rc<GatewayState>, directive: Directive, answers: OrderAnswers)
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
        let outcome = match sent {
            Ok(Ok(status)) => Outcome::Status(status),
            Ok(Err(error)) => Outcome::Failed(error),
            Err(_) => Outcome::TimedOut,
        };
        counter!("orders_total").increment(1);
        slog::info!(state.log, "order sent";
            "host" => directive.host.as_str(),
            "order" => %directive.order,
            "outcome" => %outcome);
        if let Outcome::Status(status) = outcome {
            let is_accepted = status.is_success();
            answers.borrow_mut().push(OrderAnswer {
                directive,
                is_accepted,
            });
        }
    })
    .detach();
}

/// Delivers an order and returns the status of the response.
async fn deliver<A>(address: SocketAddr, directive: &Directive) -> Result<StatusCode, SendError>
where
    A: Adapter,
{
    let (path, body) = A::encode_order(&directive.order);
    let mut request = Request::post(path)
        .header("host", address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the head of an order is valid");
    A::set_expected_host(request.headers_mut(), &directive.host);
    let mut connection = RunnerConnection::open(address, CONNECT_TIMEOUT).await?;
    let response = connection.send(request).await?;
    Ok(response.status())
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Status(status) => write!(f, "{}", status.as_u16()),
            Outcome::Failed(error) => write!(f, "{error:?}"),
            Outcome::TimedOut => f.write_str("no answer in time"),
        }
    }
}
