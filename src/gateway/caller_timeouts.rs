//! Estimates how long a caller has waited already when its request arrives.
//!
//! A caller that tries again sends the time that it has left. Callers of one
//! route are willing to wait for different times, so a timeout shows an earlier
//! attempt only as far as it is shorter than those of nearly all other requests.

use crate::core::time::Span;
use std::collections::{BTreeMap, VecDeque};

/// Number of recent timeouts that are kept of each route.
const MAX_TIMEOUTS: usize = 128;

/// Number of a route's timeouts below which no earlier attempt is assumed: too few to tell its usual one.
const MIN_TIMEOUTS: usize = 8;

/// Fraction of a route's timeouts, the shortest ones, that are taken for those of repeated attempts.
const REPEATED_FRACTION: f64 = 0.1;

/// Recent timeouts of callers, by route.
#[derive(Clone, Debug, Default)]
pub struct CallerTimeouts {
    routes: BTreeMap<String, VecDeque<Span>>,
}

impl CallerTimeouts {
    /// Records the timeout of a request and returns the time that its caller has spent on earlier
    /// attempts.
    pub fn time_spent(&mut self, route: &str, timeout: Span) -> Span {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), VecDeque::new());
        }
        let Some(recent) = self.routes.get_mut(route) else {
            return Span::ZERO;
        };
        let shortest = shortest_usual(recent);
        if recent.len() == MAX_TIMEOUTS {
            recent.pop_front();
        }
        recent.push_back(timeout);
        shortest.map_or(Span::ZERO, |shortest| shortest - timeout)
    }
}

/// Returns the timeout that all but a small fraction of requests reach; none if too few are known.
fn shortest_usual(recent: &VecDeque<Span>) -> Option<Span> {
    if recent.len() < MIN_TIMEOUTS {
        return None;
    }
    let mut sorted: Vec<Span> = recent.iter().copied().collect();
    let index = (sorted.len() as f64 * REPEATED_FRACTION) as usize;
    let (_, shortest, _) = sorted.select_nth_unstable(index);
    Some(*shortest)
}
