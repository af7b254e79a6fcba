//! Quarantine of prompt parts that crash runners.
//!
//! A part of a prompt may crash every runner that begins to write an answer on
//! it. Requests with such a part come to all daemons, and look like others in
//! everything else. So each daemon reports which parts were in the prompts that
//! a crashed runner had; two daemons, the collectors, join the reports, ask all
//! others which of these parts runners have answered on, and quarantine the one
//! that is left. Requests with a quarantined part are refused.
//!
//! The store keeps the quarantined parts for daemons that start later.
//!
//! `fingerprint`, `parts`, `reports`, `soundness` and `suspects` decide and do
//! no I/O.

pub(super) mod crash_check;
pub(super) mod exchange;
pub mod fingerprint;
mod keeper;
pub mod parts;
pub mod reports;
pub mod soundness;
pub mod suspects;

pub(super) use keeper::keep;

use crate::core::keys::PromptPart;
use parts::QuarantinedParts;
use reports::Reports;
use soundness::Soundness;
use std::cell::RefCell;
use suspects::Suspects;

/// What a daemon knows of parts of prompts.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Quarantined parts.
    pub parts: RefCell<QuarantinedParts>,
    /// Parts that are known to be sound.
    pub soundness: RefCell<Soundness>,
    suspects: RefCell<Suspects>,
    reports: RefCell<Reports>,
}

impl Quarantine {
    /// Returns true if requests whose prompts have these parts are refused.
    pub fn refuses(&self, parts: &[PromptPart]) -> bool {
        self.parts.borrow().contains_any(parts)
    }

    /// Takes the crashes that a quarantined part explains out of the evidence against others.
    pub(super) fn explain_crashes(&self, part: PromptPart) {
        self.suspects.borrow_mut().explain(part);
    }

    /// Forgets the crashes that a part may have caused, once it has left quarantine.
    pub(super) fn forget_crashes(&self, part: PromptPart) {
        self.suspects.borrow_mut().clear(part);
    }
}
