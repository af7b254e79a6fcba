//! Serves the store's changes to the subscribers of this daemon.

use super::{
    Topic,
    messages::{Changes, ListPage, Subscribe, Update},
    packed::Packed,
};
use crate::{
    core::keys::{Era, Revision},
    gateway::state::GatewayState,
    shell::{
        frames::{read_frame, write_frame},
        http::set_socket_options,
    },
};
use compio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use futures_util::future::select;
use metrics::gauge;
use std::{io, pin::pin, rc::Rc, time::Duration};

/// Interval of messages to a subscriber while nothing changes.
const ALIVE_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of the request of a new subscriber, and of each message to one.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a daemon that has just started lets others wait for its own list; shorter than
/// their timeout for a page, so that they try another daemon.
const LIST_WAIT: Duration = Duration::from_millis(800);

/// Maximum size of the entries in one page of a list; a page is sent to many daemons at a time.
const MAX_PAGE_BYTES: usize = 256 << 10;

/// Maximum size of a request.
const MAX_REQUEST_BYTES: usize = 1_024;

/// Maximum number of subscriptions, so that a watcher keeps descriptors for its callers.
const MAX_SUBSCRIPTIONS: usize = 512;

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves subscribers for the lifetime of the process.
pub async fn serve(listener: TcpListener, state: Rc<GatewayState>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if state.subscriptions.get() >= MAX_SUBSCRIPTIONS {
            continue;
        }
        compio::runtime::spawn(serve_subscriber(stream, state.clone())).detach();
    }
}

async fn serve_subscriber(stream: TcpStream, state: Rc<GatewayState>) {
    let _counted = SubscriptionGuard::new(&state);
    if let Err(error) = send_changes(stream, &state).await {
        slog::debug!(state.log, "subscription ended"; "cause" => error.to_string());
    }
}

/// Guard that counts a subscription until it is dropped, also by a panic.
struct SubscriptionGuard<'a>(&'a GatewayState);

impl<'a> SubscriptionGuard<'a> {
    fn new(state: &'a GatewayState) -> Self {
        count_subscriptions(state, state.subscriptions.get() + 1);
        Self(state)
    }
}

impl Drop for SubscriptionGuard<'_> {
    fn drop(&mut self) {
        count_subscriptions(self.0, self.0.subscriptions.get() - 1);
    }
}

fn count_subscriptions(state: &GatewayState, count: usize) {
    state.subscriptions.set(count);
    gauge!("subscriptions").set(count as f64);
}

/// Sends a subscriber its changes until the connection fails or they are no longer kept.
async fn send_changes(mut stream: TcpStream, state: &GatewayState) -> io::Result<()> {
    set_socket_options(&stream)?;
    let request = in_time(read_frame(&mut stream, MAX_REQUEST_BYTES)).await?;
    let request: Subscribe = postcard::from_bytes(&request).map_err(io::Error::other)?;
    let Some(topic) = state.topics.get(request.prefix.as_str()) else {
        return Err(io::Error::other("unknown prefix"));
    };
    let mut after = request.after;
    if request.wants_list() {
        return send_list(&mut stream, topic, state).await;
    }
    loop {
        let changed = topic.changed.next();
        let (update, end) = next_update(topic, after, request.era, state);
        send(&mut stream, &update).await?;
        if update == Update::Compacted {
            return Ok(());
        }
        after = end;
        let pause = pin!(compio::time::sleep(ALIVE_INTERVAL));
        select(changed, pause).await;
    }
}

/// Sends a list of the entries, in pages, once this daemon has one.
async fn send_list(stream: &mut TcpStream, topic: &Topic, state: &GatewayState) -> io::Result<()> {
    let listed = timeout(LIST_WAIT, topic.wait_for_list()).await;
    listed.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    let (at, era) = (topic.end(), topic.era());
    let mut last_key: Option<String> = None;
    loop {
        if topic.era() != era {
            return Err(io::Error::other("the store came back from an older copy"));
        }
        let entries = topic.page(last_key.as_deref(), MAX_PAGE_BYTES);
        last_key = entries.last().map(|entry| entry.key.clone());
        let page = ListPage {
            at,
            era,
            entries: Packed::new(&entries).map_err(io::Error::other)?,
            age: topic.age(state.now()),
        };
        send(stream, &Update::ListPage(page)).await?;
        if last_key.is_none() {
            return Ok(());
        }
    }
}

async fn send(stream: &mut TcpStream, update: &Update) -> io::Result<()> {
    let frame = postcard::to_stdvec(update).map_err(io::Error::other)?;
    in_time(write_frame(stream, frame)).await
}

/// Waits for a message to be read or written.
async fn in_time<F, T>(message: F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let result = timeout(MESSAGE_TIMEOUT, message).await;
    result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Returns the message with the changes after a revision, and the revision that they lead to.
fn next_update(
    topic: &Topic,
    after: Revision,
    era: Option<Era>,
    state: &GatewayState,
) -> (Update, Revision) {
    let Some(events) = topic.since(after, era) else {
        return (Update::Compacted, after);
    };
    let end = after.max(topic.end());
    let changes = Changes {
        end,
        events,
        age: topic.age(state.now()),
        outages: topic.outages(),
    };
    (Update::Changes(changes), end)
}
