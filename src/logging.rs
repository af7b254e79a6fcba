//! Logs: readable lines on a terminal, JSON lines otherwise, both to stdout.
//!
//! A line that can't be written is lost; the daemon goes on.

use slog::{Drain as _, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::io::{IsTerminal as _, stdout};

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 1_024;

/// Starts logging; dropping the guard writes out what waits.
pub fn start() -> (Logger, AsyncGuard) {
    if stdout().is_terminal() {
        let decorator = slog_term::TermDecorator::new().stdout().build();
        return queue(slog_term::FullFormat::new(decorator).build().ignore_res());
    }
    let json = slog_json::Json::new(stdout())
        .add_default_keys()
        .set_flush(true)
        .build();
    queue(json.ignore_res())
}

fn queue<D>(drain: D) -> (Logger, AsyncGuard)
where
    D: slog::Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (queue, guard) = Async::new(drain)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(queue.ignore_res(), o!()), guard)
}
