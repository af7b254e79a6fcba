//! Restarts the tasks that a daemon needs after they have panicked.
//!
//! A panic ends its task alone, and the process would go on without it. If tasks
//! panic too often, a restart doesn't help, and the process has to end so that
//! whoever started it starts it again.

use super::Clock;
use crate::core::time::{Span, Time};
use compio::runtime::JoinHandle;
use futures_channel::oneshot;
use metrics::counter;
use slog::Logger;
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    fmt,
    rc::Rc,
    time::Duration,
};

/// Maximum number of restarts of all tasks within [`RESTART_WINDOW`].
const MAX_RESTARTS: usize = 4;

/// Time in which restarts are counted.
const RESTART_WINDOW: Span = Span::from_secs(60);

/// Delay of a restart, so that a task that panics at once leaves time to the others.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Limit of restarts.
#[derive(Debug, Default)]
pub struct RestartLimit {
    /// Times of the restarts within the window.
    restarts: VecDeque<Time>,
}

impl RestartLimit {
    /// Counts a restart; returns false if there were too many lately.
    pub fn try_restart(&mut self, now: Time) -> bool {
        let is_old = |at: &Time| now.since(*at) >= RESTART_WINDOW;
        while self.restarts.pop_front_if(|at| is_old(at)).is_some() {}
        if self.restarts.len() >= MAX_RESTARTS {
            return false;
        }
        self.restarts.push_back(now);
        true
    }
}

/// Failure of a task that panicked after the limit of restarts was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskFailure {
    /// Name of the task.
    pub task: &'static str,
}

impl fmt::Display for TaskFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "task {} panicked after too many restarts", self.task)
    }
}

impl std::error::Error for TaskFailure {}

/// Starts tasks, and starts them again after a panic.
#[derive(Clone)]
pub struct Supervisor(Rc<State>);

struct State {
    log: Logger,
    clock: Clock,
    limit: RefCell<RestartLimit>,
    failure: Cell<Option<oneshot::Sender<TaskFailure>>>,
}

impl Supervisor {
    /// Creates a supervisor, and a receiver of the first failure after which a task is not restarted.
    pub fn new(log: Logger, clock: Clock) -> (Self, oneshot::Receiver<TaskFailure>) {
        let (failure, failed) = oneshot::channel();
        let state = State {
            log,
            clock,
            limit: RefCell::default(),
            failure: Cell::new(Some(failure)),
        };
        (Self(Rc::new(state)), failed)
    }

    /// Starts a task, and again after each panic; its result is none if it has panicked too often.
    pub fn spawn<S, F>(&self, task: &'static str, start: S) -> JoinHandle<Option<F::Output>>
    where
        S: Fn() -> F + 'static,
        F: Future + 'static,
    {
        let this = self.clone();
        compio::runtime::spawn(async move {
            loop {
                match compio::runtime::spawn(start()).await {
                    Ok(output) => return Some(output),
                    Err(_) if !this.may_restart(task) => return None,
                    Err(_) => compio::time::sleep(RESTART_DELAY).await,
                }
            }
        })
    }

    /// Reports a panic, whose message is on standard error; returns true if its task may be restarted.
    fn may_restart(&self, task: &'static str) -> bool {
        let state = &self.0;
        if state.limit.borrow_mut().try_restart(state.clock.now()) {
            counter!("task_restarts_total", "task" => task).increment(1);
            slog::error!(state.log, "task panicked and is restarted"; "task" => task);
            return true;
        }
        slog::error!(state.log, "task panicked and is not restarted"; "task" => task);
        if let Some(failure) = state.failure.take() {
            // Without a receiver the process is ending already.
            let _ = failure.send(TaskFailure { task });
        }
        false
    }
}
