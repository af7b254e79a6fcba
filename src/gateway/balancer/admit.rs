//! Admits a request for a model to heads that have room for it.
//!
//! What depends on the heads is found out first (`Admission`); the verdict then
//! depends only on the position that the request draws among the expected ones.
//! `explain` reads the verdicts of all positions, and the request path that of one.

use super::{
    candidates::retain,
    criteria::{Candidate, ChooseError, Criteria, Exclusion, Observer, Tier, View},
};
use crate::{
    core::time::Time,
    gateway::{
        admission::{self, AdmissionClass, FullReason, Precedence, RetryDelay},
        outlook::{Outlook, Positions},
        roster::HostKey,
        spec::Engine,
    },
};
use rand::Rng;

/// Room at the candidates by the totals of all daemons, in requests within the horizon.
#[derive(Clone, Copy, Debug)]
struct Room {
    outlook: Outlook,
    /// Number of requests that a head may hold.
    limit: f64,
    /// Room at the fast candidates.
    fast: f64,
    /// Room at all candidates.
    all: f64,
}

/// Inputs of an admission that are the same for all heads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionInputs {
    /// Number of requests that a head may hold.
    pub limit: f64,
    /// What all daemons expect; none without totals that decide.
    pub outlook: Option<Outlook>,
    /// True while requests contend for the free slots of the heads.
    pub contended: bool,
}

/// Candidates with room for a request, and what it has to leave to others.
pub(super) struct Admission<'a> {
    /// Candidates that could take the request.
    admitted: Vec<Candidate>,
    /// All heads, also those without room.
    heads: Vec<HostKey>,
    view: View<'a>,
    engine: &'a Engine,
    class: AdmissionClass,
    precedence: Precedence,
    room: Option<Room>,
    /// True while requests contend for the free slots of the heads.
    contended: bool,
    now: Time,
}

impl<'a> Admission<'a> {
    /// Finds out which of the candidates, of which there is at least one, have room for a request.
    pub(super) fn new<O>(
        candidates: Vec<Candidate>,
        view: View<'a>,
        engine: &'a Engine,
        criteria: &Criteria<'_>,
        now: Time,
        observer: &mut O,
    ) -> Self
    where
        O: Observer,
    {
        let loads = view.loads;
        let heads: Vec<HostKey> = candidates.iter().map(|candidate| candidate.host).collect();
        let outlook = Outlook::new(loads, heads.iter().copied(), now);
        let outlook = outlook.filter(|_| criteria.class != AdmissionClass::Resumed);
        let mut admitted = candidates;
        retain(&mut admitted, Exclusion::TooSlow, observer, |candidate| {
            criteria.can_finish_at(candidate)
        });
        let room = match outlook {
            Some(outlook) => Some(measure_room(
                &mut admitted,
                outlook,
                view,
                engine,
                criteria,
                now,
                observer,
            )),
            None => {
                retain(&mut admitted, Exclusion::Full, observer, |candidate| {
                    admission::has_room(candidate.host, loads, engine.slots, criteria.class, now)
                });
                None
            }
        };
        Self {
            contended: admission::is_contended(&heads, loads, engine.slots, now),
            admitted,
            heads,
            view,
            engine,
            class: criteria.class,
            precedence: criteria.precedence,
            room,
            now,
        }
    }

    /// Returns the positions that the request may have; without totals it has none.
    pub(super) fn positions(&self) -> Option<Positions> {
        let outlook = self.room?.outlook;
        Some(match self.class {
            AdmissionClass::Late => outlook.last_position(),
            _ => outlook.positions(self.precedence),
        })
    }

    /// Returns the inputs that are the same for all heads.
    pub(super) fn inputs(&self) -> AdmissionInputs {
        let by_own_view = || f64::from(admission::max_in_flight(self.engine.slots, self.class));
        AdmissionInputs {
            limit: self.room.map_or_else(by_own_view, |room| room.limit),
            outlook: self.room.map(|room| room.outlook),
            contended: self.contended,
        }
    }

    /// Returns the positions at which the verdict may change.
    pub(super) fn bounds(&self) -> Option<[f64; 2]> {
        self.room.map(|room| [room.fast, room.all])
    }

    /// Returns which candidates take a request at a position, or the reason for which none does.
    /// While the heads are contended, those whose free slots are reserved for others take none.
    pub(super) fn verdict(&self, position: Option<f64>) -> Result<Tier, FullReason> {
        let mut reason = None;
        for tier in [Tier::Fast, Tier::Slow] {
            if !self.is_reached(tier, position) {
                continue;
            }
            match self.reserved_for_others(tier) {
                None => return Ok(tier),
                Some(reserved) => reason = reason.or(Some(reserved)),
            }
        }
        Err(reason.unwrap_or_else(|| self.full_reason()))
    }

    /// Returns the candidates of a tier.
    pub(super) fn into_tier(self, tier: Tier) -> Vec<Candidate> {
        let mut admitted = self.admitted;
        admitted.retain(|candidate| candidate.tier() == tier);
        admitted
    }

    /// Returns copies of the candidates of a tier.
    pub(super) fn tier(&self, tier: Tier) -> Vec<Candidate> {
        self.members(tier).copied().collect()
    }

    /// Returns the refusal of a request, which names one of the heads.
    pub(super) fn refuse<R>(&self, reason: FullReason, rng: &mut R) -> ChooseError
    where
        R: Rng,
    {
        ChooseError::AllFull {
            retry_delay: self.retry_delay().draw(rng),
            host: self.heads[rng.random_range(0..self.heads.len())],
            reason,
        }
    }

    /// Returns the delay after which a refused caller should retry.
    pub(super) fn retry_delay(&self) -> RetryDelay {
        let (heads, loads) = (&self.heads, self.view.loads);
        admission::retry_delay(heads, loads, self.engine, self.reserves(), self.now)
    }

    fn members(&self, tier: Tier) -> impl Iterator<Item = &Candidate> {
        let admitted = self.admitted.iter();
        admitted.filter(move |candidate| candidate.tier() == tier)
    }

    /// Returns true if a tier has candidates, and a request at a position is meant for them: slow
    /// ones get those for which the others have no room.
    fn is_reached(&self, tier: Tier, position: Option<f64>) -> bool {
        let is_meant = match (self.room.zip(position), tier) {
            (None, _) => true,
            (Some((room, position)), Tier::Fast) => position <= room.fast,
            (Some((room, position)), Tier::Slow) => {
                let is_beyond_fast = position > room.fast || !self.has_members(Tier::Fast);
                is_beyond_fast && position <= room.all
            }
        };
        self.has_members(tier) && is_meant
    }

    fn has_members(&self, tier: Tier) -> bool {
        self.members(tier).next().is_some()
    }

    /// Returns the reason for which the free slots of a tier are left to others, if they are.
    fn reserved_for_others(&self, tier: Tier) -> Option<FullReason> {
        if !self.contended {
            return None;
        }
        let members = self.members(tier);
        let heads: Vec<HostKey> = members.map(|candidate| candidate.host).collect();
        let (loads, slots) = (self.view.loads, self.engine.slots);
        let reserves = self.reserves();
        admission::reserved_for_others(&heads, loads, slots, self.class, reserves, self.now)
    }

    fn reserves(&self) -> Precedence {
        match self.room {
            // The position among the expected requests follows the rank already.
            Some(_) => self.precedence.without_position_reserves(),
            None => self.precedence,
        }
    }

    fn full_reason(&self) -> FullReason {
        let (loads, slots) = (self.view.loads, self.engine.slots);
        match self.room {
            Some(_) if self.precedence.ahead > 0.0 => FullReason::Rank,
            _ => admission::full_reason(&self.heads, loads, slots, self.class, self.now),
        }
    }
}

/// Keeps the candidates that have room by the totals of all daemons, and sums their room.
fn measure_room<O>(
    admitted: &mut Vec<Candidate>,
    outlook: Outlook,
    view: View<'_>,
    engine: &Engine,
    criteria: &Criteria<'_>,
    now: Time,
    observer: &mut O,
) -> Room
where
    O: Observer,
{
    let model = criteria.model.map(|(model, _)| model);
    let fraction = model.map_or(1.0, |model| view.limits.fraction(model));
    let limit = admission::max_expected(engine.slots, fraction, criteria.class);
    let in_flight = |candidate: &Candidate| view.loads.in_flight(candidate.host, now);
    let room = |candidate: &Candidate| outlook.room(limit, in_flight(candidate));
    retain(admitted, Exclusion::Full, observer, |candidate| {
        room(candidate) > 0.0
    });
    let fast = admitted
        .iter()
        .filter(|candidate| candidate.tier() == Tier::Fast);
    Room {
        outlook,
        limit,
        fast: fast.map(room).sum(),
        all: admitted.iter().map(room).sum(),
    }
}
