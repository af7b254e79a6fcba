//! Admission control: access, account limits, deadlines and queueing.

use super::{
    super::{
        config::record::Account,
        ctx::Ctx,
        input::{CallRequest, Target},
        keys::{CallId, ModelName},
        options::Mechanism,
        output::{Doubt, Refusal},
        time::Span,
        timer::{RequestTimer, Timer},
    },
    Call, CallKey, Cluster, Requests, Stage,
    call::Reservation,
    queue::QueueParams,
    routing::{Choice, Pool},
    ticket,
};

/// Maximum retry delay sent to a refused caller.
const MAX_RETRY_DELAY: Span = Span::from_secs(30);

/// Retry delay sent to a caller if no runner serves the request.
const NO_GROUP_RETRY_DELAY: Span = Span::from_secs(1);

/// The party that decides whether a non-idempotent request may start.
enum Arbiter {
    /// None: the request may run more than once, or has neither a ticket nor a key.
    None,
    /// This daemon, which issued the ticket of this number.
    Local(u64),
    /// The daemon that issued the ticket.
    Peer,
    /// The platform's key-value service, by the caller's own idempotency key.
    Platform,
}

/// Reason for not opening a request.
enum Rejection {
    /// It is refused as not run; the delay before retrying, if any.
    Refused(Refusal, Option<Span>),
    /// It may already have run.
    Unknown(Doubt),
}

impl From<Refusal> for Rejection {
    fn from(reason: Refusal) -> Self {
        Rejection::Refused(reason, None)
    }
}

impl Requests {
    /// Handles a new request.
    pub(super) fn on_arrived(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        id: CallId,
        request: CallRequest,
    ) {
        self.counters.arrived += 1;
        self.budget.deposit(ctx.options);
        match self.admit(ctx, cluster, &request) {
            Ok((account, arbiter)) => self.open_call(ctx, cluster, id, request, account, arbiter),
            Err(Rejection::Refused(reason, delay)) => self.refuse(ctx, id, reason, delay),
            Err(Rejection::Unknown(reason)) => self.end_unknown(ctx, id, reason),
        }
    }

    /// Checks a new request; returns its account and its arbiter.
    fn admit<'a>(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster<'a>,
        request: &CallRequest,
    ) -> Result<(&'a Account, Arbiter), Rejection> {
        let account = cluster
            .view
            .account_by_key(&request.credential)
            .ok_or_else(|| reject_credential(cluster, request))?;
        if !is_target_allowed(cluster, account, &request.target) {
            return Err(Refusal::NotFound.into());
        }
        let arbiter = self.find_arbiter(ctx, cluster, account, request)?;
        if let Arbiter::Peer = arbiter {
            self.limits.add_relayed(&account.name);
            return Ok((account, arbiter));
        }
        if self.stopping {
            return Err(Refusal::Stopping.into());
        }
        if !is_state_fresh(ctx, cluster) {
            return Err(Refusal::Stale.into());
        }
        if request.deadline == Some(Span::ZERO) {
            return Err(Refusal::Expired.into());
        }
        if request.relayed_by.is_none() {
            let daemons = sharing_daemons(ctx, cluster);
            self.limits
                .admit(ctx.now, account, daemons)
                .map_err(|delay| Rejection::Refused(Refusal::OverLimit, Some(delay)))?;
        }
        if let Arbiter::Local(number) = arbiter {
            self.used_tickets.mark_used(number);
        }
        Ok((account, arbiter))
    }

    /// Returns the arbiter of a request; refuses the request if it may already have started.
    fn find_arbiter(
        &self,
        ctx: &Ctx,
        cluster: &Cluster,
        account: &Account,
        request: &CallRequest,
    ) -> Result<Arbiter, Rejection> {
        if is_idempotent(cluster, request) || !ctx.options.is_enabled(Mechanism::SingleStart) {
            return Ok(Arbiter::None);
        }
        let Some(ticket) = &request.ticket else {
            let own_key = request.idempotency_key.is_some();
            return Ok(if own_key {
                Arbiter::Platform
            } else {
                Arbiter::None
            });
        };
        if ticket.daemon == ctx.me.name && ticket.incarnation == ctx.me.incarnation {
            if !ticket::verify(ctx.me, &account.name, ticket) {
                return Err(Refusal::Invalid.into());
            }
            if self.used_tickets.may_be_used(ticket.number) {
                return Err(Rejection::Unknown(Doubt::Duplicate));
            }
            return Ok(Arbiter::Local(ticket.number));
        }
        let address = cluster
            .members
            .address(&ticket.daemon, Some(ticket.incarnation));
        if request.relayed_by.is_some() || address.is_none() {
            return Err(Rejection::Unknown(Doubt::ArbiterGone));
        }
        Ok(Arbiter::Peer)
    }

    /// Opens an admitted request and begins its claim, relay or first attempt.
    fn open_call(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        id: CallId,
        request: CallRequest,
        account: &Account,
        arbiter: Arbiter,
    ) {
        let timeout = request.deadline.unwrap_or(ctx.options.deadline);
        let key = self.calls.insert(Call {
            id,
            account: account.name.clone(),
            idempotent: is_idempotent(cluster, &request),
            arrived: ctx.now,
            deadline: ctx.now + timeout,
            stage: Stage::Idle,
            delivered: 0,
            head_sent: false,
            unknown_reason: None,
            version: None,
            failed_hosts: Vec::new(),
            attempts: 0,
            reservation: Reservation::Nothing,
            request,
        });
        self.by_id.insert(id, key);
        ctx.set_timer(Timer::Request(RequestTimer::Deadline(id)), timeout);
        match arbiter {
            Arbiter::None => self.dispatch(ctx, cluster, key),
            Arbiter::Local(number) => {
                self.calls[key].reservation = Reservation::Ticket(number);
                self.dispatch(ctx, cluster, key);
            }
            Arbiter::Peer => self.relay(ctx, cluster, key),
            Arbiter::Platform => self.start_claim(ctx, key),
        }
    }

    /// Starts an attempt, queues the request or ends it.
    pub(super) fn dispatch(&mut self, ctx: &mut Ctx, cluster: &Cluster, key: CallKey) {
        let call = &self.calls[key];
        let pool = call.pool();
        if !is_state_fresh(ctx, cluster) {
            self.give_up(ctx, key, Refusal::Stale, None);
            return;
        }
        let choice = self
            .router
            .choose(ctx.rng, ctx.options, cluster, ctx.now, call);
        match choice {
            Choice::Start(chosen) if self.queues.is_empty(&pool) => {
                self.start_attempt(ctx, key, chosen, false);
            }
            Choice::Start(_) => {
                self.enqueue(ctx, cluster, key, &pool);
                self.mark_ready(pool);
            }
            Choice::Full => self.enqueue(ctx, cluster, key, &pool),
            Choice::NoRunner if call.attempts > 0 => {
                self.give_up(ctx, key, Refusal::Exhausted, Some(NO_GROUP_RETRY_DELAY));
            }
            Choice::NoRunner => {
                self.give_up(ctx, key, Refusal::NoGroup, Some(NO_GROUP_RETRY_DELAY));
            }
        }
    }

    /// Queues a request if it is expected to meet its deadline; a retry goes to the front.
    fn enqueue(&mut self, ctx: &mut Ctx, cluster: &Cluster, key: CallKey, pool: &Pool) {
        let call = &self.calls[key];
        let params = queue_params(ctx, cluster, call);
        if call.attempts > 0 {
            self.queues.push_front(pool, key, params, ctx.now);
            self.calls[key].stage = Stage::Queued;
            return;
        }
        let predicted = self.queues.predict_latency(pool, &params, ctx.now);
        let remaining = call.deadline.since(ctx.now);
        if predicted > remaining {
            let retry_after = (predicted - remaining).clamp(Span::from_secs(1), MAX_RETRY_DELAY);
            self.give_up(ctx, key, Refusal::Overloaded, Some(retry_after));
            return;
        }
        if !self.queues.has_room(pool, &params) {
            let retry_after = predicted.clamp(Span::from_secs(1), MAX_RETRY_DELAY);
            let Some(evicted) = self.queues.eviction_candidate(pool, &params) else {
                self.give_up(ctx, key, Refusal::Overloaded, Some(retry_after));
                return;
            };
            self.give_up(ctx, evicted, Refusal::Overloaded, Some(retry_after));
        }
        self.queues.push(pool, key, params, ctx.now);
        self.calls[key].stage = Stage::Queued;
    }

    /// Marks a pool as ready if requests wait in it.
    pub(super) fn mark_ready(&mut self, pool: Pool) {
        if !self.queues.is_empty(&pool) && !self.ready.contains(&pool) {
            self.ready.push(pool);
        }
    }

    /// Starts queued requests of all ready pools as far as there is room.
    pub(super) fn start_queued(&mut self, ctx: &mut Ctx, cluster: &Cluster) {
        while let Some(pool) = self.ready.pop() {
            while self.start_next(ctx, cluster, &pool) {}
        }
    }

    /// Starts or ends one queued request; returns false if none could be.
    fn start_next(&mut self, ctx: &mut Ctx, cluster: &Cluster, pool: &Pool) -> bool {
        if self.queues.is_empty(pool) {
            return false;
        }
        for head in self.queues.heads(pool) {
            let Some(call) = self.calls.get(head.key) else {
                continue;
            };
            let state_fresh = is_state_fresh(ctx, cluster);
            let choice = self
                .router
                .choose(ctx.rng, ctx.options, cluster, ctx.now, call);
            match choice {
                _ if !state_fresh => self.give_up(ctx, head.key, Refusal::Stale, None),
                Choice::Full => continue,
                Choice::Start(chosen) => {
                    self.queues.pop(pool, &head, ctx.now);
                    self.start_attempt(ctx, head.key, chosen, false);
                }
                Choice::NoRunner => {
                    self.give_up(ctx, head.key, Refusal::NoGroup, Some(NO_GROUP_RETRY_DELAY));
                }
            }
            return true;
        }
        false
    }
}

/// Returns true if this daemon's state is recent enough to start new work.
pub(super) fn is_state_fresh(ctx: &Ctx, cluster: &Cluster) -> bool {
    cluster.members.is_fresh(ctx.now) || !ctx.options.is_enabled(Mechanism::FreshnessBound)
}

/// Returns true if both the request and its service's record allow it to run more than once.
fn is_idempotent(cluster: &Cluster, request: &CallRequest) -> bool {
    let service = match &request.target {
        Target::Model { .. } => true,
        Target::Service { service } => cluster.view.service(service).is_some_and(|s| s.idempotent),
    };
    request.idempotent && service
}

/// Returns why a request with an unknown credential isn't opened. A daemon that has just started
/// knows no accounts, nor whether a ticket was used.
fn reject_credential(cluster: &Cluster, request: &CallRequest) -> Rejection {
    if cluster.view.is_loaded() {
        return Refusal::Unauthorized.into();
    }
    match request.ticket {
        Some(_) => Rejection::Unknown(Doubt::ArbiterGone),
        None => Refusal::Stale.into(),
    }
}

/// Returns true if the target is configured and the account may use it.
fn is_target_allowed(cluster: &Cluster, account: &Account, target: &Target) -> bool {
    let allowed = |model: &ModelName| account.models.is_empty() || account.models.contains(model);
    match target {
        Target::Model { model, .. } => cluster.view.model(model).is_some() && allowed(model),
        Target::Service { service } => cluster.view.service(service).is_some(),
    }
}

/// Returns the number of daemons among which an account's limits are divided.
fn sharing_daemons(ctx: &Ctx, cluster: &Cluster) -> u32 {
    let count = usize::from(ctx.options.entry_count.max(1));
    let others = cluster.members.live().take(count - 1).count();
    others as u32 + 1
}

/// Returns the scheduling parameters of a request; without fair queueing all accounts share a flow.
fn queue_params(ctx: &Ctx, cluster: &Cluster, call: &Call) -> QueueParams {
    let account = cluster.view.account(&call.account);
    let fair = ctx.options.is_enabled(Mechanism::FairQueue);
    QueueParams {
        account: if fair {
            call.account.clone()
        } else {
            Default::default()
        },
        weight: account.map_or(1, |a| a.weight),
        priority: account.map_or(u8::MAX, |a| a.priority),
        cost: call.cost(),
    }
}
