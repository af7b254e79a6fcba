//! Fake of the platform's store in virtual time.
//!
//! Callers are identified by a number, because the call identifiers of two
//! daemons may be equal. Answers are returned immediately, and the test decides
//! when the daemon gets them. [`FakeKv::poll`] returns the events of watches.

use super::store::{Store, WriteOutcome};
use hickoryledge::core::{
    input::{PlatformAnswer, PlatformInput},
    keys::{LeaseId, PlatformId, Revision},
    output::PlatformCall,
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// Fault of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Calls fail without effect, and watches report nothing.
    Outage,
    /// Calls fail without effect, and watches end.
    Refuses,
    /// Writes take effect, but their calls fail.
    LosesAnswers,
}

/// Interval between progress reports of a watch without changes.
const PROGRESS_INTERVAL: Span = Span::from_secs(1);

#[derive(Debug)]
struct Watch {
    prefix: String,
    next: Revision,
    last_progress: Time,
}

/// Fake of the store.
#[derive(Debug, Default)]
pub struct FakeKv {
    /// Stored keys and leases, which tests may read and change.
    pub store: Store,
    /// Current fault.
    pub fault: Fault,
    /// Number of further writes whose answers are lost.
    pub answers_to_lose: u32,
    /// Number of calls by kind.
    pub calls: BTreeMap<&'static str, u64>,
    watches: BTreeMap<(usize, PlatformId), Watch>,
}

/// Queries.
impl FakeKv {
    /// Returns the caller of each open watch.
    pub fn watchers(&self) -> Vec<usize> {
        self.watches.keys().map(|(from, _)| *from).collect()
    }
}

/// Commands.
impl FakeKv {
    /// Handles a call of daemon `from`, and returns its answer; an opened watch has none.
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
            let last_progress = now;
            self.watches.insert(
                (from, id),
                Watch {
                    prefix,
                    next,
                    last_progress,
                },
            );
            return None;
        }
        let is_write = !matches!(call, PlatformCall::List { .. } | PlatformCall::Get { .. });
        let answer = self.perform(now, call);
        let is_lost = is_write && (self.fault == Fault::LosesAnswers || self.answers_to_lose > 0);
        if is_lost {
            self.answers_to_lose = self.answers_to_lose.saturating_sub(1);
        }
        Some(match answer {
            Some(answer) if !is_lost => PlatformInput::Answered { id, answer },
            _ => PlatformInput::Failed { id },
        })
    }

    /// Expires leases, and returns the changes, progress and ends of watches.
    pub fn poll(&mut self, now: Time) -> Vec<(usize, PlatformInput)> {
        self.store.expire(now);
        match self.fault {
            Fault::Outage => return Vec::new(),
            Fault::Refuses => return self.end_watches(),
            Fault::None | Fault::LosesAnswers => {}
        }
        let mut inputs = Vec::new();
        let mut ended = Vec::new();
        for ((from, id), watch) in &mut self.watches {
            let Some(events) = self.store.since(&watch.prefix, watch.next) else {
                let (id, compacted) = (*id, true);
                inputs.push((*from, PlatformInput::WatchEnded { id, compacted }));
                ended.push((*from, id));
                continue;
            };
            if events.is_empty() && now.since(watch.last_progress) < PROGRESS_INTERVAL {
                continue;
            }
            let revision = self.store.revision();
            watch.next = watch.next.max(Revision(revision.0 + 1));
            watch.last_progress = now;
            let input = PlatformInput::Watched {
                id: *id,
                revision,
                events,
            };
            inputs.push((*from, input));
        }
        self.watches.retain(|key, _| !ended.contains(key));
        inputs
    }

    /// Ends all watches, as a lost connection does.
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
                self.write_answer(written)?
            }
            PlatformCall::Delete { key, expect } => {
                let written = self.store.delete(&key, Some(expect));
                self.write_answer(written)?
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

    fn write_answer(&self, written: WriteOutcome) -> Option<PlatformAnswer> {
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
