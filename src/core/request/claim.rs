//! Claims of callers' own idempotency keys, kept at the platform's service.
//!
//! A claim is one create-if-absent write. It hangs on a lease that is granted
//! anew every hour and never renewed, so that claims vanish after a day. A
//! write whose answer was lost is read back; what can't be claimed is refused.

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
    call::{Call, Claim, ClaimStep, Held},
};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_128;

/// Where claims live: apart from the records, which every daemon lists and watches.
const CLAIMS: &str = "/hickoryledge-claims/";

/// How long a claim lasts.
const RETENTION: Span = Span::from_secs(24 * 3_600);

/// How long new claims hang on the same lease.
const LEASE_USE: Span = Span::from_secs(3_600);

crate::record! {
    /// The value of a claim.
    struct ClaimRecord {
        /// The daemon that may start the request.
        daemon: DaemonName,
        /// Marks the one request that holds the claim.
        operation: OperationId,
    }
}

/// Claims under way, and the lease that new ones hang on.
#[derive(Debug, Default)]
pub(super) struct Claims {
    lease: Option<(LeaseId, Time)>,
    waiting: HashMap<PlatformId, CallKey>,
}

impl Claims {
    /// Forgets a platform call whose request has ended.
    pub(super) fn forget(&mut self, id: PlatformId) {
        self.waiting.remove(&id);
    }

    fn lease(&self, now: Time) -> Option<LeaseId> {
        let (lease, granted) = self.lease?;
        (now.since(granted) < LEASE_USE).then_some(lease)
    }
}

impl Requests {
    /// Claims a request's idempotency key.
    pub(super) fn claim(&mut self, ctx: &mut Ctx, key: CallKey) {
        let operation = ctx.operation();
        match self.claims.lease(ctx.now) {
            Some(lease) => self.write_claim(ctx, key, operation, lease),
            None => {
                let call = PlatformCall::Grant { ttl: RETENTION };
                self.ask(ctx, key, operation, ClaimStep::Lease, call);
            }
        }
    }

    /// Takes the answer to a platform call; nothing means that it failed.
    pub(super) fn on_claim_answer(
        &mut self,
        ctx: &mut Ctx,
        site: &Cluster,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) {
        let Some(key) = self.claims.waiting.remove(&id) else {
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
                let path = path(call);
                call.held = Held::Claim { path, revision };
                self.claimed(ctx, site, key);
            }
            (ClaimStep::Write, Some(PlatformAnswer::Conflict { current, .. })) => {
                self.on_holder(ctx, site, key, operation, current);
            }
            (ClaimStep::Write, _) => {
                self.claims.lease = None;
                let call = PlatformCall::Get { key: path(call) };
                self.ask(ctx, key, operation, ClaimStep::ReadBack, call);
            }
            (ClaimStep::ReadBack, Some(PlatformAnswer::Entries { entries, .. }))
                if !entries.is_empty() =>
            {
                let current = entries.into_iter().next();
                self.on_holder(ctx, site, key, operation, current);
            }
            _ => self.give_up(ctx, key, Refusal::PlatformDown, None),
        }
    }

    /// Gives back what marks a request as taken, because it never ran.
    pub(super) fn release(&mut self, ctx: &mut Ctx, call: &Call) {
        match &call.held {
            Held::Nothing => {}
            Held::Ticket(number) => self.ledger.release(*number),
            Held::Claim { path, revision } => {
                let call = PlatformCall::Delete {
                    key: path.clone(),
                    expect: Expect::At(*revision),
                };
                ctx.platform(Owner::Request, call);
            }
        }
    }

    /// Goes on according to who holds the key.
    fn on_holder(
        &mut self,
        ctx: &mut Ctx,
        site: &Cluster,
        key: CallKey,
        operation: OperationId,
        current: Option<PlatformEntry>,
    ) {
        let record = current
            .as_ref()
            .and_then(|entry| serde_json::from_str::<ClaimRecord>(&entry.value).ok());
        let is_ours = record.is_some_and(|record| record.operation == operation);
        if !is_ours && ctx.options.has(Mechanism::SingleStart) {
            self.end(ctx, key, Ending::Unknown(Doubt::Duplicate));
            return;
        }
        if let Some(entry) = current {
            self.calls[key].held = Held::Claim {
                path: entry.key,
                revision: entry.revision,
            };
        }
        self.claimed(ctx, site, key);
    }

    fn claimed(&mut self, ctx: &mut Ctx, site: &Cluster, key: CallKey) {
        self.calls[key].stage = Stage::Idle;
        self.dispatch(ctx, site, key);
    }

    fn write_claim(&mut self, ctx: &mut Ctx, key: CallKey, operation: OperationId, lease: LeaseId) {
        let record = ClaimRecord {
            daemon: ctx.me.name.clone(),
            operation,
        };
        let call = PlatformCall::Put {
            key: path(&self.calls[key]),
            value: serde_json::to_string(&record).unwrap_or_default(),
            expect: Expect::Absent,
            lease: Some(lease),
        };
        self.ask(ctx, key, operation, ClaimStep::Write, call);
    }

    fn ask(
        &mut self,
        ctx: &mut Ctx,
        key: CallKey,
        operation: OperationId,
        step: ClaimStep,
        call: PlatformCall,
    ) {
        let id = ctx.platform(Owner::Request, call);
        self.claims.waiting.insert(id, key);
        self.calls[key].stage = Stage::Claiming(Claim {
            id,
            step,
            operation,
        });
    }
}

/// Where a request's idempotency key is claimed.
fn path(call: &Call) -> String {
    let own_key = call.request.idempotency_key.as_deref().unwrap_or_default();
    let hash = xxh3_128(own_key.as_bytes());
    format!("{CLAIMS}{}/{hash:032x}", call.account)
}
