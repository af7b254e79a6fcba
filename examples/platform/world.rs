//! What the stand-in holds, and how it is told to misbehave.

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

/// How the service misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Not at all.
    #[default]
    Ok,
    /// Nothing is answered.
    Hang,
    /// Everything is answered with an error.
    Refuse,
    /// Writes take effect, and their answers never come.
    LoseAnswers,
    /// Answers come late.
    Slow,
}

/// A fault as it is asked for.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// What happens.
    pub mode: Mode,
    /// How long it lasts, in milliseconds; until the next one if not given.
    pub for_ms: Option<u64>,
    /// How late answers are in [`Mode::Slow`], in milliseconds.
    pub by_ms: u64,
}

/// Everything that the stand-in holds.
pub struct World {
    clock: Clock,
    /// The key-value store.
    pub store: RefCell<Store>,
    /// The list of hosts, by name.
    pub hosts: RefCell<BTreeMap<String, Value>>,
    /// The list as readers see it.
    pub seen: RefCell<Vec<Value>>,
    /// How late readers see a change of the list.
    pub lag: Cell<Duration>,
    /// Calls, by kind.
    pub calls: RefCell<BTreeMap<&'static str, u64>>,
    /// Watches open.
    pub watching: Cell<u64>,
    /// Grows whenever all watches are to end.
    pub breaks: Cell<u64>,
    fault: Cell<Fault>,
    until: Cell<Option<Instant>>,
}

impl World {
    /// Nothing held, no fault.
    pub fn new() -> Self {
        Self {
            clock: Clock::start(),
            store: RefCell::default(),
            hosts: RefCell::default(),
            seen: RefCell::default(),
            lag: Cell::new(Duration::ZERO),
            calls: RefCell::default(),
            watching: Cell::new(0),
            breaks: Cell::new(0),
            fault: Cell::default(),
            until: Cell::new(None),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The fault in force.
    pub fn fault(&self) -> Fault {
        if self
            .until
            .get()
            .is_some_and(|until| until <= Instant::now())
        {
            self.set_fault(Fault::default());
        }
        self.fault.get()
    }

    /// Puts a fault in force.
    pub fn set_fault(&self, fault: Fault) {
        let lasting = fault.for_ms.map(Duration::from_millis);
        self.until
            .set(lasting.map(|lasting| Instant::now() + lasting));
        self.fault.set(fault);
    }

    /// Counts a call.
    pub fn count(&self, kind: &'static str) {
        *self.calls.borrow_mut().entry(kind).or_default() += 1;
    }
}

/// How often leases are looked at.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Ends leases whose time is over; their clock runs on during faults.
pub async fn expire_leases(world: Rc<World>) {
    loop {
        compio::time::sleep(EXPIRY_INTERVAL).await;
        world.store.borrow_mut().expire(world.now());
    }
}
