//! Crash of a runner, and which of its requests and their parts may have caused it.

use super::reports::Evidence;
use crate::core::{
    keys::{Arrival, Fingerprint, PromptPart},
    time::Time,
};
use std::collections::{BTreeMap, BTreeSet};

/// Request that a crashed runner had.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// Arrivals of the request.
    pub arrivals: BTreeSet<Arrival>,
    /// Parts of its prompt, in order.
    parts: Vec<PromptPart>,
}

impl Suspect {
    fn add(&mut self, evidence: &Evidence) {
        self.arrivals.insert(evidence.arrival);
        for part in &evidence.parts {
            if !self.parts.contains(part) {
                self.parts.push(*part);
            }
        }
    }
}

/// Part of a request's prompt that may have caused a crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct AccusedPart {
    /// The part.
    pub part: PromptPart,
    /// The request.
    pub request: Fingerprint,
    /// Number of parts before it.
    pub position: usize,
}

/// Crash of one runner.
#[derive(Debug)]
pub(super) struct Crash {
    /// Time of the first report.
    pub at: Time,
    /// Requests that the runner had.
    requests: BTreeMap<Fingerprint, Suspect>,
    /// True if a quarantined part was in one of them, or may have been.
    has_bad_part: bool,
    /// Those of them that are quarantined themselves.
    bad_requests: BTreeSet<Fingerprint>,
}

impl Crash {
    /// Creates a crash of which no request is known yet, only whether one had a quarantined part.
    pub fn new(at: Time, has_bad_part: bool) -> Self {
        Self {
            at,
            requests: BTreeMap::new(),
            has_bad_part,
            bad_requests: BTreeSet::new(),
        }
    }

    /// Adds a request that the runner had.
    pub fn add(&mut self, evidence: &Evidence) {
        let suspect = self.requests.entry(evidence.request).or_default();
        suspect.add(evidence);
    }

    /// Takes a quarantined part for the cause, although no report may name it.
    pub fn explain(&mut self) {
        self.has_bad_part = true;
    }

    /// Takes a quarantined part for the cause if a request had it.
    pub fn explain_by_part(&mut self, part: PromptPart) {
        let mut suspects = self.requests.values();
        self.has_bad_part |= suspects.any(|suspect| suspect.parts.contains(&part));
    }

    /// Takes a quarantined request for the cause if the runner had it.
    pub fn explain_by_request(&mut self, request: Fingerprint) {
        if self.requests.contains_key(&request) {
            self.bad_requests.insert(request);
        }
    }

    /// Forgets that requests had a part.
    pub fn forget_part(&mut self, part: PromptPart) {
        self.requests.values_mut().for_each(|suspect| {
            suspect.parts.retain(|other| *other != part);
        });
    }

    /// Forgets that the runner had a request.
    pub fn forget_request(&mut self, request: Fingerprint) {
        self.requests.remove(&request);
        self.bad_requests.remove(&request);
    }

    /// Returns the parts that may have caused the crash and that a request doesn't have.
    pub fn parts_beside(&self, request: Fingerprint) -> BTreeSet<PromptPart> {
        let suspect = self.requests.get(&request);
        let has = |part: &PromptPart| suspect.is_some_and(|suspect| suspect.parts.contains(part));
        let parts = self.accused_parts().map(|accused| accused.part);
        parts.filter(|part| !has(part)).collect()
    }

    /// Returns true if a request may have caused the crash.
    pub fn accuses(&self, request: Fingerprint) -> bool {
        let mut requests = self.accused_requests();
        requests.any(|(accused, _)| accused == request)
    }

    /// Returns the requests that may have caused the crash.
    pub fn accused_requests(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        let is_open = !self.has_bad_part && self.bad_requests.is_empty();
        let requests = self.requests.iter().filter(move |_| is_open);
        requests.map(|(request, suspect)| (*request, suspect))
    }

    /// Returns the parts that may have caused the crash, once for each request that had them. A
    /// quarantined request leaves only its own parts in doubt.
    pub fn accused_parts(&self) -> impl Iterator<Item = AccusedPart> {
        let is_open = !self.has_bad_part;
        let in_doubt = move |request: &Fingerprint| {
            is_open && (self.bad_requests.is_empty() || self.bad_requests.contains(request))
        };
        let requests = self.requests.iter();
        let doubtful = requests.filter(move |(request, _)| in_doubt(request));
        doubtful.flat_map(|(request, suspect)| {
            let parts = suspect.parts.iter().enumerate();
            parts.map(|(position, part)| AccusedPart {
                part: *part,
                request: *request,
                position,
            })
        })
    }
}
