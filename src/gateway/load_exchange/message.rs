//! Messages of the load exchange, in a compact form.

use crate::core::keys::Epoch;
use std::collections::BTreeMap;

/// Time to which a digest scales its counts of changes. They are whole numbers: a longer time loses
/// less by rounding, and takes more bytes.
pub const RATE_WINDOW_S: f64 = 5.0;

crate::record! {
    /// Requests at one head.
    #[derive(Copy, Default, Eq)]
    pub struct HeadCount {
        /// Requests in flight.
        pub in_flight: u32,
        /// Requests that were started.
        pub started: u32,
        /// Requests that have ended.
        pub ended: u32,
        /// Requests that could have been on time, and were refused because all heads of their model
        /// were full.
        pub refused: u32,
        /// Requests whose first event came after the objective.
        pub late: u32,
    }

    /// Requests at several heads, which are identified by the epochs of their groups. An epoch is
    /// encoded as the difference from the one before it, which mostly takes one or two bytes.
    #[derive(Default, Eq)]
    pub struct HeadCounts(Vec<(u64, HeadCount)>);

    /// One daemon's own requests.
    #[derive(Eq)]
    pub struct LoadReport {
        /// Identifies the report among those of its sender.
        pub id: ReportId,
        /// Time since the former report, in milliseconds.
        pub span_ms: u32,
        /// Requests in flight, and the changes since the former report.
        pub heads: HeadCounts,
    }

    /// Identifies a report among those of its sender.
    #[derive(Copy, Default, Eq)]
    pub struct ReportId {
        /// Random number of the sender's run.
        pub run: u32,
        /// Position among the reports of the run; a later report has a larger one.
        pub sequence: u32,
    }

    /// Requests of all daemons that report.
    #[derive(Default, Eq)]
    pub struct LoadDigest {
        /// Number of daemons whose reports are contained.
        pub reporters: u32,
        /// Number of daemons that don't report, although they seem to run.
        pub silent: u32,
        /// Mean age of their reports, in milliseconds.
        pub age_ms: u32,
        /// Requests in flight, and the changes in `RATE_WINDOW_S` at the current rates.
        pub heads: HeadCounts,
    }
}

impl HeadCounts {
    /// Creates the compact form of counts.
    pub fn new(counts: &BTreeMap<Epoch, HeadCount>) -> Self {
        let mut previous = 0;
        let packed = counts.iter().map(|(epoch, count)| {
            let number = epoch.0 as u64;
            let difference = number.wrapping_sub(std::mem::replace(&mut previous, number));
            (difference, *count)
        });
        Self(packed.collect())
    }

    /// Returns the count of each head.
    pub fn iter(&self) -> impl Iterator<Item = (Epoch, HeadCount)> {
        self.0.iter().scan(0_u64, |number, (difference, count)| {
            *number = number.wrapping_add(*difference);
            Some((Epoch(*number as i64), *count))
        })
    }
}
