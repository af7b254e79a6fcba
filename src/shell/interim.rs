//! Limit of the interim responses to one request.

use futures_channel::oneshot;
use http::Request;
use hyper::ext::on_informational;
use std::{
    future::pending,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Interim responses after which a response is no longer waited for.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Returns a future that ends once a request has got too many interim responses.
pub fn too_many_interim<B>(request: &mut Request<B>) -> impl Future<Output = ()> + use<B> {
    let (sender, receiver) = oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let count = AtomicUsize::default();
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) < MAX_INTERIM_RESPONSES {
            return;
        }
        let mut sender = sender.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = sender.take() {
            // Nobody waits for the response any more if the receiver is gone.
            let _ = sender.send(());
        }
    });
    async {
        // Without a signal the final response ends the wait, or the end of the connection.
        if receiver.await.is_err() {
            pending::<()>().await;
        }
    }
}
