//! Issues permits for the runners whose authority this daemon is.

use super::bucket::Bucket;
use crate::{
    core::time::{Span, Time},
    gateway::{notices::AppliedLimit, roster::RunnerInstance},
};
use std::collections::BTreeMap;

/// Time after which a runner that nobody asks about is forgotten.
const IDLE_TIMEOUT: Span = Span::from_secs(60);

crate::record! {
    /// Response to a request for a permit.
    #[derive(Copy, Eq)]
    pub enum Verdict {
        /// One request may be sent now.
        Granted,
        /// None may be sent yet.
        Denied {
            /// Time until the next permit.
            wait: Span,
        },
    }
}

/// Issued permits of each runner.
#[derive(Debug, Default)]
pub struct Issuer {
    buckets: BTreeMap<RunnerInstance, Bucket>,
}

impl Issuer {
    /// Issues a permit out of a `share` of a runner's limit, or says when there will be one.
    pub fn issue<L>(&mut self, runner: &RunnerInstance, limit: L, share: f64, now: Time) -> Verdict
    where
        L: Into<AppliedLimit>,
    {
        self.forget_idle(now);
        let bucket = self.buckets.entry(runner.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now));
        match bucket.try_take(limit.into(), share, now) {
            Ok(()) => Verdict::Granted,
            Err(wait) => Verdict::Denied { wait },
        }
    }

    fn forget_idle(&mut self, now: Time) {
        if let Some(time) = now.0.checked_sub(IDLE_TIMEOUT.0).map(Time) {
            self.buckets.retain(|_, bucket| !bucket.is_idle_since(time));
        }
    }
}
