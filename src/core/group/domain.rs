//! One fabric domain: its duty, and its driver while this daemon holds the duty.

use super::{
    super::{
        ctx::Ctx,
        input::PlatformAnswer,
        keys::{DomainName, PlatformId},
    },
    driver::{Counters, Driver},
    duty::{DutyChange, DutyLease},
};

/// A domain that needs a duty holder.
#[derive(Debug, Default)]
pub(super) struct Domain {
    pub(super) duty: DutyLease,
    pub(super) driver: Option<Driver>,
}

/// Commands.
impl Domain {
    /// Returns true if the duty or the driver waits for the answer to a platform call.
    pub(super) fn waits_for(&self, id: PlatformId) -> bool {
        let driver = self.driver.as_ref();
        self.duty.waits_for(id) || driver.is_some_and(|d| d.waits_for(id))
    }

    /// Handles the answer to a driver's call; ends the duty if the record has a later fencing
    /// number.
    pub(super) fn on_record_answer(
        &mut self,
        ctx: &mut Ctx,
        name: &DomainName,
        answer: Option<PlatformAnswer>,
        counters: &mut Counters,
    ) -> DutyChange {
        let Some(driver) = &mut self.driver else {
            return DutyChange::Unchanged;
        };
        match driver.on_platform(ctx, answer, &mut counters.records) {
            Some(_) => {
                self.duty
                    .mark_lost(ctx, name, "the placement record has a later fencing number")
            }
            None => DutyChange::Unchanged,
        }
    }

    /// Creates the driver when the duty is acquired, and drops it when the duty is lost.
    pub(super) fn on_duty_change(&mut self, ctx: &Ctx, name: &DomainName, change: DutyChange) {
        match change {
            DutyChange::Unchanged => {}
            DutyChange::Acquired => {
                let fence = self.duty.fence(ctx.now);
                self.driver = fence.map(|fence| Driver::new(ctx.now, name.clone(), fence));
            }
            DutyChange::Lost => self.driver = None,
        }
    }
}
