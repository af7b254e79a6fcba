//! State of the simulated platform, and the fault that tests inject into it.

use crate::store::Store;
use hickoryledge::{core::time::Time, shell::Clock};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

/// Behaviour of the key-value store under a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// No fault.
    #[default]
    Ok,
    /// Calls get no response, and watches are silent.
    Hang,
    /// Calls fail with an error, and watches are ended.
    Refuse,
    /// Writes take effect, but get no response.
    LoseAnswers,
    /// Answers are delayed.
    Slow,
}

/// Fault as a test requests it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Behaviour while the fault is active.
    pub mode: Mode,
    /// Duration in milliseconds; lasts until the next fault if absent.
    pub for_ms: Option<u64>,
    /// Delay of responses in [`Mode::Slow`], in milliseconds.
    pub by_ms: u64,
}

/// State shared by the services of the simulated platform.
pub struct State {
    clock: Clock,
    /// Key-value store.
    pub store: RefCell<Store>,
    /// Hosts by name.
    pub hosts: RefCell<BTreeMap<String, Value>>,
    /// List of hosts as readers get it.
    pub visible: RefCell<Vec<Value>>,
    /// Delay before readers see a change of the list.
    pub publish_delay: Cell<Duration>,
    /// Number of calls by kind.
    pub calls: RefCell<BTreeMap<&'static str, u64>>,
    /// Number of open watches.
    pub open_watches: Cell<u64>,
    /// Generation of watches; incrementing it ends all open ones.
    pub watch_generation: Cell<u64>,
    fault: Cell<Fault>,
    /// Time at which the fault ends.
    fault_end: Cell<Option<Instant>>,
}

impl State {
    /// Creates an empty state without a fault.
    pub fn new() -> Self {
        Self {
            clock: Clock::start(),
            store: RefCell::default(),
            hosts: RefCell::default(),
            visible: RefCell::default(),
            publish_delay: Cell::new(Duration::ZERO),
            calls: RefCell::default(),
            open_watches: Cell::new(0),
            watch_generation: Cell::new(0),
            fault: Cell::default(),
            fault_end: Cell::new(None),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the active fault, which is cleared once its time has passed.
    pub fn fault(&self) -> Fault {
        if self
            .fault_end
            .get()
            .is_some_and(|end| end <= Instant::now())
        {
            self.set_fault(Fault::default());
        }
        self.fault.get()
    }

    /// Activates a fault in place of the current one.
    pub fn set_fault(&self, fault: Fault) {
        let duration = fault.for_ms.map(Duration::from_millis);
        self.fault_end
            .set(duration.map(|duration| Instant::now() + duration));
        self.fault.set(fault);
    }

    /// Counts a call of a kind.
    pub fn count(&self, kind: &'static str) {
        *self.calls.borrow_mut().entry(kind).or_default() += 1;
    }
}

/// Interval between checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Expires leases whose TTL has passed, also during a fault.
pub async fn expire_leases(state: Rc<State>) {
    loop {
        compio::time::sleep(EXPIRY_INTERVAL).await;
        state.store.borrow_mut().expire(state.now());
    }
}
