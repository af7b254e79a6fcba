//! Draining: when the hosts of a placement that is over may be freed.
//!
//! Its duty holder asks every live daemon whether the placement is over for
//! it, and reads the runners again after the last answer. A daemon that is no
//! longer live is waited for as long as it may serve without hearing anyone.

use super::{
    super::{
        config::View,
        ctx::Ctx,
        keys::{DaemonName, DomainName, Epoch, GroupName, Revision},
        member::Members,
        message::Message,
        options::Mechanism,
        request::Requests,
        time::{Span, Time},
    },
    GroupMessage,
    drive::{Site, World},
    serving::Serving,
};
use std::collections::BTreeMap;

/// How often daemons that have not answered are asked again.
const ASK_PERIOD: Span = Span::from_millis(500);

/// One daemon whose answer is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    /// Not given; the daemon was last live then.
    Open(Time),
    /// The placement is over for it.
    Given,
}

/// One placement that is over.
#[derive(Debug, Default)]
struct Drain {
    answers: BTreeMap<DaemonName, Answer>,
    asked: Option<Time>,
    /// When the last answer came.
    agreed: Option<Time>,
}

/// What a daemon is asked about.
#[derive(Clone, Debug)]
pub(super) struct Over {
    /// The group.
    pub(super) group: GroupName,
    /// The epoch that is over.
    pub(super) epoch: Epoch,
}

/// The end of one placement.
#[derive(Clone, Copy, Debug)]
pub(super) struct End<'a> {
    pub(super) domain: &'a DomainName,
    pub(super) group: &'a GroupName,
    pub(super) epoch: Epoch,
    /// The revision of the record that ended it.
    pub(super) revision: Revision,
}

/// Queries.
impl End<'_> {
    /// Whether this daemon knows of the end, and has nothing running before it.
    pub(super) fn is_past(&self, view: &View, serving: &Serving, requests: &Requests) -> bool {
        let placement = view.placement(self.domain);
        placement.is_some_and(|p| p.revision >= self.revision)
            && !serving.is_current(self.group, self.epoch)
            && requests.running_on(self.group, self.epoch) == 0
    }
}

/// The placements of one domain that are over.
#[derive(Debug, Default)]
pub(super) struct Drains {
    drains: BTreeMap<Epoch, Drain>,
}

/// Queries.
impl Drains {
    /// When every daemon had agreed that an epoch is over, if they have.
    pub(super) fn agreed(&self, epoch: Epoch) -> Option<Time> {
        self.drains.get(&epoch)?.agreed
    }
}

/// Commands.
impl Drains {
    /// Asks whoever has not answered; `revision` is the record's that ended the epochs.
    pub(super) fn on_round(
        &mut self,
        ctx: &mut Ctx,
        world: &World,
        domain: &DomainName,
        revision: Revision,
        over: &[Over],
    ) {
        self.drains
            .retain(|epoch, _| over.iter().any(|o| o.epoch == *epoch));
        for entry in over {
            let end = End {
                domain,
                group: &entry.group,
                epoch: entry.epoch,
                revision,
            };
            let drain = self.drains.entry(entry.epoch).or_default();
            drain.note(ctx, world, &end);
            drain.ask(ctx, world.site.members, &end);
        }
    }

    /// Takes a daemon's word that an epoch is over for it.
    pub(super) fn on_answer(&mut self, from: &DaemonName, epoch: Epoch) {
        if let Some(drain) = self.drains.get_mut(&epoch) {
            drain.answers.insert(from.clone(), Answer::Given);
        }
    }
}

impl Drain {
    fn note(&mut self, ctx: &Ctx, world: &World, end: &End) {
        let now = ctx.now;
        let Site {
            view,
            members,
            requests,
            ..
        } = world.site;
        for (name, _) in members.live() {
            let answer = self
                .answers
                .entry(name.clone())
                .or_insert(Answer::Open(now));
            if let Answer::Open(live) = answer {
                *live = now;
            }
        }
        if self.agreed.is_some() {
            return;
        }
        let bound = ctx.options.freshness;
        let waits = |answer: &Answer| match answer {
            Answer::Open(live) => now.since(*live) <= bound,
            Answer::Given => false,
        };
        let here = end.is_past(view, world.serving, requests);
        let everywhere = here && !self.answers.values().any(waits);
        if everywhere || !ctx.options.has(Mechanism::DrainAcks) {
            self.agreed = Some(now);
        }
    }

    fn ask(&mut self, ctx: &mut Ctx, members: &Members, end: &End) {
        let early = |asked: Time| ctx.now.since(asked) < ASK_PERIOD;
        if self.agreed.is_some() || self.asked.is_some_and(early) {
            return;
        }
        self.asked = Some(ctx.now);
        for (name, address) in members.live() {
            if self.answers.get(name) == Some(&Answer::Given) {
                continue;
            }
            let message = GroupMessage::AskDrained {
                domain: end.domain.clone(),
                group: end.group.clone(),
                epoch: end.epoch,
                revision: end.revision,
            };
            ctx.datagram(address, Message::Group(message));
        }
    }
}
