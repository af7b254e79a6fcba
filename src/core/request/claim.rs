//! Claims of callers' own idempotency keys, stored at the platform's store.
//!
//! A claim is one create-if-absent write. It is attached to a lease that is
//! never renewed, so that claims expire after a day; a new lease is granted
//! every hour. If the answer to a write is lost, the key is read back. A request
//! whose key can't be claimed is refused.

use super::{
    super::{
        ctx::Ctx,
        input::{PlatformAnswer, PlatformEntry},
        keys::{DaemonName, LeaseId, OperationId, Owner, PlatformId},
        options::Mechanism,
        output::{Doubt, Ending, Expect, PlatformCall, Refusal},
        time::{Span, Time},
    },
    CallKey, Cluster, Requests, Stage,
    call::{Call, Claim, ClaimStep, Reservation},
};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_128;

/// Key prefix of claims, separate from the records, which every daemon lists and watches.
const CLAIM_PREFIX: &str = "/hickoryledge-claims/";

/// Time to live of the lease that claims are attached to.
const CLAIM_TTL: Span = Span::from_secs(24 * 3_600);

/// Window in which new claims are attached to the same lease.
const LEASE_REUSE_WINDOW: Span = Span::from_secs(3_600);

crate::record! {
    /// Stored value of a claim.
    struct ClaimRecord {
        /// Daemon that may start the request.
        daemon: DaemonName,
        /// Identifier of the request that holds the claim.
        operation: OperationId,
    }
}

/// Claims in progress and the lease that new ones are attached to.
#[derive(Debug, Default)]
pub(super) struct Claims {
    lease: Option<(LeaseId, Time)>,
    pending: HashMap<PlatformId, CallKey>,
}

impl Claims {
    /// Drops a pending platform call whose request has ended.
    pub(super) fn forget(&mut self, id: PlatformId) {
        self.pending.remove(&id);
    }

    fn reusable_lease(&self, now: Time) -> Option<LeaseId> {
        let (lease, granted) = self.lease?;
        (now.since(granted) < LEASE_REUSE_WINDOW).then_some(lease)
    }
}

impl Requests {
    /// Starts to claim a request's idempotency key.
    pub(super) fn start_claim(&mut self, ctx: &mut Ctx, key: CallKey) {
        let operation = ctx.new_operation_id();
        match self.claims.reusable_lease(ctx.now) {
            Some(lease) => self.write_claim(ctx, key, operation, lease),
            None => {
                let call = PlatformCall::Grant { ttl: CLAIM_TTL };
                self.call_platform(ctx, key, operation, ClaimStep::Lease, call);
            }
        }
    }

    /// Handles the answer to a platform call; `None` if the call failed.
    pub(super) fn on_claim_answer(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) {
        let Some(key) = self.claims.pending.remove(&id) else {
            return;
        };
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let Stage::Claiming(claim) = &call.stage else {
            return;
        };
        let (step, operation) = (claim.step, claim.operation);
        match (step, answer) {
            (ClaimStep::Lease, Some(PlatformAnswer::Leased { lease, ttl })) if ttl > Span::ZERO => {
                self.claims.lease = Some((lease, ctx.now));
                self.write_claim(ctx, key, operation, lease);
            }
            (ClaimStep::Write, Some(PlatformAnswer::Written { revision })) => {
                let path = claim_path(call);
                call.reservation = Reservation::Claim { path, revision };
                self.on_claimed(ctx, cluster, key);
            }
            (ClaimStep::Write, Some(PlatformAnswer::Conflict { current, .. })) => {
                self.on_claim_holder(ctx, cluster, key, operation, current);
            }
            (ClaimStep::Write, _) => {
                self.claims.lease = None;
                let call = PlatformCall::Get {
                    key: claim_path(call),
                };
                self.call_platform(ctx, key, operation, ClaimStep::ReadBack, call);
            }
            (ClaimStep::ReadBack, Some(PlatformAnswer::Entries { entries, .. }))
                if !entries.is_empty() =>
            {
                let current = entries.into_iter().next();
                self.on_claim_holder(ctx, cluster, key, operation, current);
            }
            _ => self.give_up(ctx, key, Refusal::PlatformDown, None),
        }
    }

    /// Releases the claim of a request that never ran, so that the caller may retry it.
    pub(super) fn release_reservation(&mut self, ctx: &mut Ctx, call: &Call) {
        match &call.reservation {
            Reservation::Nothing => {}
            Reservation::Ticket(number) => self.used_tickets.release(*number),
            Reservation::Claim { path, revision } => {
                let call = PlatformCall::Delete {
                    key: path.clone(),
                    expect: Expect::At(*revision),
                };
                ctx.call_platform(Owner::Request, call);
            }
        }
    }

    /// Continues if this request holds the key; otherwise ends it as a duplicate.
    fn on_claim_holder(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        key: CallKey,
        operation: OperationId,
        current: Option<PlatformEntry>,
    ) {
        let record = current
            .as_ref()
            .and_then(|entry| serde_json::from_str::<ClaimRecord>(&entry.value).ok());
        let is_ours = record.is_some_and(|record| record.operation == operation);
        if !is_ours && ctx.options.is_enabled(Mechanism::SingleStart) {
            self.end(ctx, key, Ending::Unknown(Doubt::Duplicate));
            return;
        }
        if let Some(entry) = current {
            self.calls[key].reservation = Reservation::Claim {
                path: entry.key,
                revision: entry.revision,
            };
        }
        self.on_claimed(ctx, cluster, key);
    }

    fn on_claimed(&mut self, ctx: &mut Ctx, cluster: &Cluster, key: CallKey) {
        self.calls[key].stage = Stage::Idle;
        self.dispatch(ctx, cluster, key);
    }

    fn write_claim(&mut self, ctx: &mut Ctx, key: CallKey, operation: OperationId, lease: LeaseId) {
        let record = ClaimRecord {
            daemon: ctx.me.name.clone(),
            operation,
        };
        let call = PlatformCall::Put {
            key: claim_path(&self.calls[key]),
            value: serde_json::to_string(&record).unwrap_or_default(),
            expect: Expect::Absent,
            lease: Some(lease),
        };
        self.call_platform(ctx, key, operation, ClaimStep::Write, call);
    }

    fn call_platform(
        &mut self,
        ctx: &mut Ctx,
        key: CallKey,
        operation: OperationId,
        step: ClaimStep,
        call: PlatformCall,
    ) {
        let id = ctx.call_platform(Owner::Request, call);
        self.claims.pending.insert(id, key);
        self.calls[key].stage = Stage::Claiming(Claim {
            id,
            step,
            operation,
        });
    }
}

/// Returns the platform key under which a request's idempotency key is claimed.
fn claim_path(call: &Call) -> String {
    let own_key = call.request.idempotency_key.as_deref().unwrap_or_default();
    let hash = xxh3_128(own_key.as_bytes());
    format!("{CLAIM_PREFIX}{}/{hash:032x}", call.account)
}
