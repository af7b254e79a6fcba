//! Admission: who may ask for what now, and what can be answered in time.

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
    call::Held,
    queue::Share,
    routing::{Choice, Pool},
    ticket,
};

/// The longest that a caller is told to wait before asking again.
const MAX_RETRY_AFTER: Span = Span::from_secs(30);

/// When to ask again for what no group serves.
const NO_GROUP_RETRY: Span = Span::from_secs(1);

/// Who starts a non-idempotent request.
enum Arbiter {
    /// Nobody needs to: it may be run again, or can't be named.
    None,
    /// This daemon, by this ticket.
    Me(u64),
    /// The daemon that the ticket names.
    Peer,
    /// The platform's service, by the caller's own key.
    Platform,
}

/// Why a request is not opened.
enum Turned {
    Refused(Refusal, Option<Span>),
    Unknown(Doubt),
}

impl From<Refusal> for Turned {
    fn from(reason: Refusal) -> Self {
        Turned::Refused(reason, None)
    }
}

impl Requests {
    /// Takes a new request.
    pub(super) fn on_arrived(
        &mut self,
        ctx: &mut Ctx,
        site: &Cluster,
        id: CallId,
        request: CallRequest,
    ) {
        self.tally.arrived += 1;
        self.budget.deposit(ctx.options);
        match self.admit(ctx, site, &request) {
            Ok((account, arbiter)) => self.open_call(ctx, site, id, request, account, arbiter),
            Err(Turned::Refused(reason, after)) => self.refuse(ctx, id, reason, after),
            Err(Turned::Unknown(doubt)) => self.doubt(ctx, id, doubt),
        }
    }

    fn admit<'a>(
        &mut self,
        ctx: &mut Ctx,
        site: &Cluster<'a>,
        request: &CallRequest,
    ) -> Result<(&'a Account, Arbiter), Turned> {
        let account = site
            .view
            .account_by_key(&request.credential)
            .ok_or(Refusal::Unauthorized)?;
        if !is_known(site, account, &request.target) {
            return Err(Refusal::NotFound.into());
        }
        let arbiter = self.arbiter(ctx, site, account, request)?;
        if let Arbiter::Peer = arbiter {
            self.limits.add(&account.name);
            return Ok((account, arbiter));
        }
        if self.stopping {
            return Err(Refusal::Stopping.into());
        }
        if !is_fresh(ctx, site) {
            return Err(Refusal::Stale.into());
        }
        if request.deadline == Some(Span::ZERO) {
            return Err(Refusal::Expired.into());
        }
        if request.relayed_by.is_none() {
            let parts = parts(ctx, site);
            self.limits
                .admit(ctx.now, account, parts)
                .map_err(|after| Turned::Refused(Refusal::OverLimit, Some(after)))?;
        }
        if let Arbiter::Me(number) = arbiter {
            self.ledger.take(number);
        }
        Ok((account, arbiter))
    }

    /// Finds who may start a request, and turns away what may have been started.
    fn arbiter(
        &self,
        ctx: &Ctx,
        site: &Cluster,
        account: &Account,
        request: &CallRequest,
    ) -> Result<Arbiter, Turned> {
        if is_idempotent(site, request) || !ctx.options.has(Mechanism::SingleStart) {
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
            if self.ledger.may_have_taken(ticket.number) {
                return Err(Turned::Unknown(Doubt::Duplicate));
            }
            return Ok(Arbiter::Me(ticket.number));
        }
        let known = site
            .members
            .address(&ticket.daemon, Some(ticket.incarnation));
        if request.relayed_by.is_some() || known.is_none() {
            return Err(Turned::Unknown(Doubt::ArbiterGone));
        }
        Ok(Arbiter::Peer)
    }

    fn open_call(
        &mut self,
        ctx: &mut Ctx,
        site: &Cluster,
        id: CallId,
        request: CallRequest,
        account: &Account,
        arbiter: Arbiter,
    ) {
        let wait = request.deadline.unwrap_or(ctx.options.deadline);
        let key = self.calls.insert(Call {
            id,
            account: account.name.clone(),
            idempotent: is_idempotent(site, &request),
            arrived: ctx.now,
            deadline: ctx.now + wait,
            stage: Stage::Idle,
            delivered: 0,
            begun: false,
            doubt: None,
            version: None,
            tried: Vec::new(),
            attempts: 0,
            held: Held::Nothing,
            request,
        });
        self.by_id.insert(id, key);
        ctx.timer(Timer::Request(RequestTimer::Deadline(id)), wait);
        match arbiter {
            Arbiter::None => self.dispatch(ctx, site, key),
            Arbiter::Me(number) => {
                self.calls[key].held = Held::Ticket(number);
                self.dispatch(ctx, site, key);
            }
            Arbiter::Peer => self.relay(ctx, site, key),
            Arbiter::Platform => self.claim(ctx, key),
        }
    }

    /// Starts a request now, or lets it wait, or gives it up.
    pub(super) fn dispatch(&mut self, ctx: &mut Ctx, site: &Cluster, key: CallKey) {
        let call = &self.calls[key];
        let pool = call.pool();
        if !is_fresh(ctx, site) {
            self.give_up(ctx, key, Refusal::Stale, None);
            return;
        }
        let choice = self
            .router
            .choose(ctx.rng, ctx.options, site, ctx.now, call);
        match choice {
            Choice::Start(pick) if self.queues.is_empty(&pool) => {
                self.start(ctx, key, pick, false);
            }
            Choice::Start(_) => {
                self.enqueue(ctx, site, key, &pool);
                self.freed(pool);
            }
            Choice::Full => self.enqueue(ctx, site, key, &pool),
            Choice::Nothing if call.attempts > 0 => {
                self.give_up(ctx, key, Refusal::Exhausted, Some(NO_GROUP_RETRY));
            }
            Choice::Nothing => {
                self.give_up(ctx, key, Refusal::NoGroup, Some(NO_GROUP_RETRY));
            }
        }
    }

    /// Lets a request wait, if it can be answered in time; one tried before goes first.
    fn enqueue(&mut self, ctx: &mut Ctx, site: &Cluster, key: CallKey, pool: &Pool) {
        let call = &self.calls[key];
        let share = share(ctx, site, call);
        if call.attempts > 0 {
            self.queues.push_first(pool, key, share, ctx.now);
            self.calls[key].stage = Stage::Queued;
            return;
        }
        let predicted = self.queues.predict(pool, &share, ctx.now);
        let left = call.deadline.since(ctx.now);
        if predicted > left {
            let after = (predicted - left).clamp(Span::from_secs(1), MAX_RETRY_AFTER);
            self.give_up(ctx, key, Refusal::Overloaded, Some(after));
            return;
        }
        if !self.queues.has_room(pool, &share) {
            let after = predicted.clamp(Span::from_secs(1), MAX_RETRY_AFTER);
            let Some(lesser) = self.queues.lesser(pool, &share) else {
                self.give_up(ctx, key, Refusal::Overloaded, Some(after));
                return;
            };
            self.give_up(ctx, lesser, Refusal::Overloaded, Some(after));
        }
        self.queues.push(pool, key, share, ctx.now);
        self.calls[key].stage = Stage::Queued;
    }

    /// Notes that a pool may have room for what waits.
    pub(super) fn freed(&mut self, pool: Pool) {
        if !self.queues.is_empty(&pool) && !self.freed.contains(&pool) {
            self.freed.push(pool);
        }
    }

    /// Starts waiting requests as far as there is room.
    pub(super) fn pump(&mut self, ctx: &mut Ctx, site: &Cluster) {
        while let Some(pool) = self.freed.pop() {
            while self.pump_one(ctx, site, &pool) {}
        }
    }

    /// Moves one request on; false if none can be.
    fn pump_one(&mut self, ctx: &mut Ctx, site: &Cluster, pool: &Pool) -> bool {
        if self.queues.is_empty(pool) {
            return false;
        }
        for head in self.queues.heads(pool) {
            let Some(call) = self.calls.get(head.key) else {
                continue;
            };
            let fresh = is_fresh(ctx, site);
            let choice = self
                .router
                .choose(ctx.rng, ctx.options, site, ctx.now, call);
            match choice {
                _ if !fresh => self.give_up(ctx, head.key, Refusal::Stale, None),
                Choice::Full => continue,
                Choice::Start(pick) => {
                    self.queues.pop(pool, &head, ctx.now);
                    self.start(ctx, head.key, pick, false);
                }
                Choice::Nothing => {
                    self.give_up(ctx, head.key, Refusal::NoGroup, Some(NO_GROUP_RETRY));
                }
            }
            return true;
        }
        false
    }
}

/// Whether what this daemon knows is current enough to start work on.
pub(super) fn is_fresh(ctx: &Ctx, site: &Cluster) -> bool {
    site.members.is_fresh(ctx.now) || !ctx.options.has(Mechanism::FreshnessBound)
}

/// Whether a request may be run again, by its own mark and its service's record.
fn is_idempotent(site: &Cluster, request: &CallRequest) -> bool {
    let service = match &request.target {
        Target::Model { .. } => true,
        Target::Service { service } => site.view.service(service).is_some_and(|s| s.idempotent),
    };
    request.idempotent && service
}

fn is_known(site: &Cluster, account: &Account, target: &Target) -> bool {
    let allowed = |model: &ModelName| account.models.is_empty() || account.models.contains(model);
    match target {
        Target::Model { model, .. } => site.view.model(model).is_some() && allowed(model),
        Target::Service { service } => site.view.service(service).is_some(),
    }
}

/// The daemons among which an account's limits are divided.
fn parts(ctx: &Ctx, site: &Cluster) -> u32 {
    let count = usize::from(ctx.options.entry_count.max(1));
    let others = site.members.live().take(count - 1).count();
    others as u32 + 1
}

fn share(ctx: &Ctx, site: &Cluster, call: &Call) -> Share {
    let account = site.view.account(&call.account);
    let fair = ctx.options.has(Mechanism::FairQueue);
    Share {
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
