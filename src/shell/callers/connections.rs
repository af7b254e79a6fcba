//! Callers' connections: how many there may be, and how they end.

use super::serve::{Site, respond};
use crate::shell::http::{ConnectionLimits, serve_http1_until};
use compio::net::{TcpListener, TcpStream};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::{Either, Shared, select},
};
use hyper::service::service_fn;
use std::{convert::Infallible, pin::pin, rc::Rc, time::Duration};

/// How long the loop waits after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections allowed for each call that may be open.
const CONNECTIONS_PER_CALL: usize = 2;
/// Connections allowed beyond those, for health and metrics.
const SPARE_CONNECTIONS: usize = 16;
/// How long the last answers may take to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// The way to end callers' connections.
pub struct Connections {
    stop: oneshot::Sender<()>,
    open: mpsc::UnboundedReceiver<Infallible>,
}

/// What each connection is told and holds.
#[derive(Clone)]
struct Tether {
    stop: Shared<oneshot::Receiver<()>>,
    open: mpsc::UnboundedSender<Infallible>,
}

impl Connections {
    /// Accepts connections until told to stop.
    pub(super) fn start(listener: TcpListener, site: Rc<Site>) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (sender, open) = mpsc::unbounded();
        let tether = Tether {
            stop: stopped.shared(),
            open: sender,
        };
        compio::runtime::spawn(accept(listener, site, tether)).detach();
        Self { stop, open }
    }

    /// Lets each connection end after the answer under way, and waits for the last.
    pub async fn finish(mut self) {
        let _ = self.stop.send(());
        let _ = compio::time::timeout(FLUSH_TIMEOUT, self.open.next()).await;
    }
}

async fn accept(listener: TcpListener, site: Rc<Site>, tether: Tether) {
    let most = site.max_calls * CONNECTIONS_PER_CALL + SPARE_CONNECTIONS;
    loop {
        let next = pin!(listener.accept());
        let stream = match select(next, tether.stop.clone()).await {
            Either::Left((Ok((stream, _)), _)) => stream,
            Either::Left((Err(_), _)) => {
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
            Either::Right(_) => return,
        };
        if site.counted.open() >= most {
            site.counted.turned_away();
            continue;
        }
        let (site, tether) = (site.clone(), tether.clone());
        compio::runtime::spawn(async move {
            site.counted.opened();
            serve(stream, site.clone(), tether).await;
            site.counted.closed();
        })
        .detach();
    }
}

async fn serve(stream: TcpStream, site: Rc<Site>, tether: Tether) {
    let limits = ConnectionLimits {
        head_timeout: site.caller_timeout,
        stall_timeout: site.caller_timeout,
        ..ConnectionLimits::default()
    };
    let service = service_fn(move |request| {
        let site = site.clone();
        async move { Ok::<_, Infallible>(respond(&site, request).await) }
    });
    let stop = tether.stop.map(|_| ());
    serve_http1_until(stream, service, limits, stop).await;
    drop(tether.open);
}
