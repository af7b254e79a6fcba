//! One domain as this daemon sees it: its duty, and the driver while it is held.

use super::{
    super::{
        ctx::Ctx,
        input::PlatformAnswer,
        keys::{DomainName, PlatformId},
    },
    drive::{Driver, Tally},
    duty::{Claimant, Turn},
};

/// A domain that needs a duty holder.
#[derive(Debug, Default)]
pub(super) struct Domain {
    pub(super) claimant: Claimant,
    pub(super) driver: Option<Driver>,
}

/// Commands.
impl Domain {
    pub(super) fn waits_for(&self, id: PlatformId) -> bool {
        let driver = self.driver.as_ref();
        self.claimant.waits_for(id) || driver.is_some_and(|d| d.waits_for(id))
    }

    pub(super) fn on_record_answer(
        &mut self,
        ctx: &mut Ctx,
        name: &DomainName,
        answer: Option<PlatformAnswer>,
        tally: &mut Tally,
    ) -> Turn {
        let Some(driver) = &mut self.driver else {
            return Turn::Same;
        };
        match driver.on_platform(ctx, answer, &mut tally.records) {
            Some(_) => self
                .claimant
                .lose(ctx, name, "the record is of a later holder"),
            None => Turn::Same,
        }
    }

    pub(super) fn turn(&mut self, ctx: &Ctx, name: &DomainName, turn: Turn) {
        match turn {
            Turn::Same => {}
            Turn::Taken => {
                let fence = self.claimant.fence(ctx.now);
                self.driver = fence.map(|fence| Driver::new(ctx.now, name.clone(), fence));
            }
            Turn::Lost => self.driver = None,
        }
    }
}
