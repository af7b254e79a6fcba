//! Quarantine of requests and parts of prompts that crash runners.
//!
//! A request may crash every runner that begins to run it, and come again at any
//! daemon. So may each request whose prompt has a certain part, though no two of
//! them are alike in everything else. So each daemon reports which requests a
//! crashed runner had, with their parts; two daemons, the collectors, join the
//! reports, ask all others which of these marks runners have answered on, and
//! quarantine the one that is left. Requests with a quarantined mark are refused.
//!
//! The store keeps what is quarantined for daemons that start later.
//!
//! `crash`, `distrust`, `entries`, `fingerprint`, `involvement`, `mark`, `reports`, `restarts`,
//! `soundness`, `suspects` and `verdict` decide and do no I/O.

mod crash;
pub(super) mod crash_check;
mod distrust;
pub mod entries;
pub(super) mod exchange;
pub mod fingerprint;
mod involvement;
pub(super) mod keeper;
pub mod mark;
pub mod reports;
pub mod restarts;
pub mod soundness;
pub mod suspects;
mod verdict;

use crate::core::{
    keys::{Fingerprint, PromptPart},
    time::Time,
};
use distrust::Distrusted;
use entries::QuarantinedMarks;
use mark::Mark;
use reports::Reports;
use restarts::Restarts;
use soundness::Soundness;
use std::cell::RefCell;
use suspects::Suspects;

/// What a daemon knows of requests that crash runners.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Quarantined marks.
    pub entries: RefCell<QuarantinedMarks>,
    /// Marks that are known to be sound.
    pub soundness: RefCell<Soundness>,
    suspects: RefCell<Suspects>,
    reports: RefCell<Reports>,
    restarts: RefCell<Restarts>,
    distrusted: RefCell<Distrusted>,
}

impl Quarantine {
    /// Returns true if a request is refused, whose prompt has these parts.
    pub fn refuses(&self, request: Fingerprint, parts: &[PromptPart]) -> bool {
        self.entries.borrow().contains_any(request, parts)
    }

    /// Records that requests were at several crashes, and that nobody has said yet that they are
    /// sound.
    fn distrust(&self, marks: &[Mark], now: Time) {
        let soundness = self.soundness.borrow();
        let mut distrusted = self.distrusted.borrow_mut();
        let doubtful = marks.iter().filter(|mark| !soundness.is_sound(**mark, now));
        doubtful.for_each(|mark| distrusted.insert(*mark, now));
    }

    /// Returns true if a request was at several crashes, so that it should crash no other runner.
    pub(super) fn is_distrusted(&self, request: Fingerprint, now: Time) -> bool {
        let distrusted = self.distrusted.borrow();
        distrusted.contains(Mark::Request(request), now)
    }
}
