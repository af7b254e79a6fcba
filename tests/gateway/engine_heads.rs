//! Heads of one model, and events in virtual time, for the simulated fleets.

use hickoryledge::{
    core::{
        keys::{DomainName, Epoch, GroupName, HallName, HostName, ModelName, ServiceName},
        time::{Span, Time},
    },
    gateway::{
        roster::{MemberState, Membership, Runner},
        spec::{Engine, Replication, Service, Spec},
        stated::Stated,
    },
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

/// Slots of each head.
pub const SLOTS: u32 = 48;
/// Mean length of a prompt, in tokens.
pub const PROMPT_TOKENS: u32 = 1_115;
/// Mean length of an answer, in tokens.
pub const ANSWER_TOKENS: u32 = 152;

/// Returns the service of the heads.
pub fn service() -> ServiceName {
    ServiceName::from("engines")
}

/// Returns the model that they serve.
pub fn model() -> ModelName {
    ModelName::from("large")
}

/// Returns their engine.
pub fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        stride: 6,
        models: vec![Replication {
            model: model(),
            size: 1,
            pace: 1.0,
            share: 1.0,
            load: Span::from_secs(16),
            warm: Span::from_millis(1_600),
        }],
        step: Span(6_450),
        step_each: Span(97),
        read_rate: 56_100.0,
        chunk: 2_048,
        usual_prompt: PROMPT_TOKENS,
        usual_answer: ANSWER_TOKENS,
        load_rate: 5.5,
        load_parallel: 8,
        form: Span::from_millis(300),
    }
}

/// Returns the configuration of their service.
pub fn spec() -> Spec {
    Spec {
        version: 1,
        services: vec![Service {
            name: service(),
            max_connections: 1_000,
            cold: None,
            engine: Some(engine()),
        }],
        ..Spec::default()
    }
}

/// Returns the entry of a head whose group consists of it alone.
pub fn head(index: usize, epoch: Epoch) -> (HostName, Runner) {
    let runner = Runner {
        service: service(),
        address: ([10, 2, (index / 250) as u8, (index % 250) as u8], 80).into(),
        hall: HallName::from("hall"),
        domain: Some(DomainName::from("domain")),
        slots: SLOTS,
        draining: false,
        cold_left: Stated::Absent,
        born: 1,
        orders: 0,
        staged: vec![model()],
        member: Some(Membership {
            group: GroupName::from(format!("g{index}")),
            epoch,
            rank: 0,
            model: Some(model()),
            state: MemberState::Open,
        }),
    };
    (HostName::from(format!("h{index}")), runner)
}

/// Events to come, in the order of their times.
pub struct EventQueue<E> {
    order: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, E>,
    next: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event; of those at the same time, the one that was added first comes first.
    pub fn add(&mut self, at: Time, event: E) {
        self.next += 1;
        self.order.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    /// Takes the next event before a time.
    pub fn pop_before(&mut self, end: Time) -> Option<(Time, E)> {
        let Reverse((at, key)) = self.order.pop()?;
        let event = self.events.remove(&key)?;
        (at < end).then_some((at, event))
    }
}
