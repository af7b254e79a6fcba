//! A fake of the platform's service for tests of decisions, in virtual time.
//!
//! Callers are told apart by a number, since daemons draw the same call
//! identifiers. An answer is returned at once; the test decides when the
//! daemon gets it. Call [`FakeKv::poll`] for what happens by itself.

use super::store::{Store, WriteOutcome};
use hickoryledge::core::{
    input::{PlatformAnswer, PlatformInput},
    keys::{LeaseId, PlatformId, Revision},
    output::PlatformCall,
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// How the service misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Not at all.
    #[default]
    NoFault,
    /// Calls fail without effect, watches are silent.
    Outage,
    /// Calls fail without effect, watches end.
    Refuses,
    /// Writes take effect, and fail.
    LosesAnswers,
}

/// How often a watch without changes tells its progress.
const PROGRESS_INTERVAL: Span = Span::from_secs(1);

#[derive(Debug)]
struct Watch {
    prefix: String,
    next: Revision,
    told: Time,
}

/// The service.
#[derive(Debug, Default)]
pub struct FakeKv {
    /// What it holds; tests may read and write it.
    pub store: Store,
    /// How it misbehaves.
    pub fault: Fault,
    /// Writes whose answers are lost, before it behaves again.
    pub answers_to_lose: u32,
    /// Calls made, by kind.
    pub calls: BTreeMap<&'static str, u64>,
    watches: BTreeMap<(usize, PlatformId), Watch>,
}

/// Queries.
impl FakeKv {
    /// The watches open, by caller.
    pub fn watching(&self) -> Vec<usize> {
        self.watches.keys().map(|(from, _)| *from).collect()
    }
}

/// Commands.
impl FakeKv {
    /// Takes a call of daemon `from`; a watch has no answer of its own.
    pub fn call(
        &mut self,
        now: Time,
        from: usize,
        id: PlatformId,
        call: PlatformCall,
    ) -> Option<PlatformInput> {
        *self.calls.entry(kind(&call)).or_default() += 1;
        if let PlatformCall::Unwatch { watch } = call {
            self.watches.remove(&(from, watch));
            return None;
        }
        if matches!(self.fault, Fault::Outage | Fault::Refuses) {
            let compacted = false;
            return Some(match call {
                PlatformCall::Watch { .. } => PlatformInput::WatchEnded { id, compacted },
                _ => PlatformInput::Failed { id },
            });
        }
        if let PlatformCall::Watch { prefix, from: next } = call {
            let told = now;
            self.watches
                .insert((from, id), Watch { prefix, next, told });
            return None;
        }
        let writes = !matches!(call, PlatformCall::List { .. } | PlatformCall::Get { .. });
        let answer = self.perform(now, call);
        let lost = writes && (self.fault == Fault::LosesAnswers || self.answers_to_lose > 0);
        if lost {
            self.answers_to_lose = self.answers_to_lose.saturating_sub(1);
        }
        Some(match answer {
            Some(answer) if !lost => PlatformInput::Answered { id, answer },
            _ => PlatformInput::Failed { id },
        })
    }

    /// What has happened by itself: leases over, changes and progress of watches.
    pub fn poll(&mut self, now: Time) -> Vec<(usize, PlatformInput)> {
        self.store.expire(now);
        match self.fault {
            Fault::Outage => return Vec::new(),
            Fault::Refuses => return self.end_watches(),
            Fault::NoFault | Fault::LosesAnswers => {}
        }
        let mut inputs = Vec::new();
        let mut over = Vec::new();
        for ((from, id), watch) in &mut self.watches {
            let Some(events) = self.store.since(&watch.prefix, watch.next) else {
                let (id, compacted) = (*id, true);
                inputs.push((*from, PlatformInput::WatchEnded { id, compacted }));
                over.push((*from, id));
                continue;
            };
            if events.is_empty() && now.since(watch.told) < PROGRESS_INTERVAL {
                continue;
            }
            let revision = self.store.revision();
            watch.next = watch.next.max(Revision(revision.0 + 1));
            watch.told = now;
            let input = PlatformInput::Watched {
                id: *id,
                revision,
                events,
            };
            inputs.push((*from, input));
        }
        self.watches.retain(|key, _| !over.contains(key));
        inputs
    }

    /// Ends every watch, as a lost connection does.
    pub fn end_watches(&mut self) -> Vec<(usize, PlatformInput)> {
        let ended = std::mem::take(&mut self.watches).into_keys();
        let compacted = false;
        ended
            .map(|(from, id)| (from, PlatformInput::WatchEnded { id, compacted }))
            .collect()
    }

    fn perform(&mut self, now: Time, call: PlatformCall) -> Option<PlatformAnswer> {
        Some(match call {
            PlatformCall::List { prefix } => PlatformAnswer::Entries {
                revision: self.store.revision(),
                entries: self.store.list(&prefix),
            },
            PlatformCall::Get { key } => PlatformAnswer::Entries {
                revision: self.store.revision(),
                entries: self.store.get(&key).into_iter().collect(),
            },
            PlatformCall::Put {
                key,
                value,
                expect,
                lease,
            } => {
                let written = self.store.put(&key, &value, Some(expect), lease);
                self.written(written)?
            }
            PlatformCall::Delete { key, expect } => {
                let written = self.store.delete(&key, Some(expect));
                self.written(written)?
            }
            PlatformCall::Grant { ttl } => PlatformAnswer::Leased {
                lease: self.store.grant(now, ttl),
                ttl,
            },
            PlatformCall::KeepAlive { lease } => PlatformAnswer::Leased {
                lease,
                ttl: self.store.keep_alive(now, lease),
            },
            PlatformCall::Revoke { lease } => self.revoke(lease),
            PlatformCall::Watch { .. } | PlatformCall::Unwatch { .. } => return None,
        })
    }

    fn written(&self, written: WriteOutcome) -> Option<PlatformAnswer> {
        match written {
            WriteOutcome::Done(revision) => Some(PlatformAnswer::Written { revision }),
            WriteOutcome::Conflict(current) => Some(PlatformAnswer::Conflict {
                revision: self.store.revision(),
                current,
            }),
            WriteOutcome::NoLease => None,
        }
    }

    fn revoke(&mut self, lease: LeaseId) -> PlatformAnswer {
        self.store.revoke(lease);
        PlatformAnswer::Revoked
    }
}

fn kind(call: &PlatformCall) -> &'static str {
    match call {
        PlatformCall::List { .. } => "list",
        PlatformCall::Get { .. } => "get",
        PlatformCall::Put { .. } => "put",
        PlatformCall::Delete { .. } => "delete",
        PlatformCall::Grant { .. } => "grant",
        PlatformCall::KeepAlive { .. } => "keep_alive",
        PlatformCall::Revoke { .. } => "revoke",
        PlatformCall::Watch { .. } => "watch",
        PlatformCall::Unwatch { .. } => "unwatch",
    }
}
