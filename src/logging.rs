//! Logging to stdout, as readable lines on a terminal and as JSON lines otherwise.
//!
//! Lines that can't be written are dropped, so that a log that isn't read never stops the daemon,
//! nor keeps it from ending.

use slog::{Drain as _, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::{
    io::{IsTerminal as _, stdout},
    sync::mpsc,
    thread,
    time::Duration,
};

/// Maximum number of lines that wait to be written; more are dropped and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// Time at the end in which the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Guard that writes the queued lines when it is dropped, for as long as [`FLUSH_TIMEOUT`].
pub struct LogGuard(Option<AsyncGuard>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (done, is_done) = mpsc::channel();
        let flush = move || {
            drop(guard);
            // Nobody waits any more if it took too long.
            let _ = done.send(());
        };
        // Without a thread or in too little time, the rest of the lines is lost.
        if thread::Builder::new().spawn(flush).is_ok() {
            let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Starts logging; dropping the guard flushes the queued lines.
pub fn start() -> (Logger, LogGuard) {
    if stdout().is_terminal() {
        let decorator = slog_term::TermDecorator::new().stdout().build();
        return start_async(slog_term::FullFormat::new(decorator).build().ignore_res());
    }
    let json = slog_json::Json::new(stdout())
        .add_default_keys()
        .set_flush(true)
        .build();
    start_async(json.ignore_res())
}

/// Creates a logger that writes to `drain` on a thread of its own.
fn start_async<D>(drain: D) -> (Logger, LogGuard)
where
    D: slog::Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (queue, guard) = Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (
        Logger::root(queue.ignore_res(), o!()),
        LogGuard(Some(guard)),
    )
}
