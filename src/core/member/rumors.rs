//! News that rides on probes and their answers.

use std::collections::BTreeMap;

/// How often news is passed on, for each doubling of the number of daemons.
const REPEATS: u32 = 3;

/// The subjects of news still to be passed on.
#[derive(Debug)]
pub struct Rumors<K> {
    left: BTreeMap<K, u32>,
}

impl<K> Default for Rumors<K> {
    fn default() -> Self {
        Self {
            left: BTreeMap::new(),
        }
    }
}

impl<K> Rumors<K>
where
    K: Clone + Ord,
{
    /// Has the news of a subject passed on among so many daemons.
    pub fn add(&mut self, subject: K, daemons: usize) {
        let doublings = usize::BITS - daemons.leading_zeros();
        self.left.insert(subject, REPEATS * doublings.max(1));
    }

    /// The subjects for one message, at most `count`, the least told first.
    pub fn take(&mut self, count: usize) -> Vec<K> {
        let mut subjects: Vec<(u32, K)> = self
            .left
            .iter()
            .map(|(subject, left)| (*left, subject.clone()))
            .collect();
        subjects.sort_by(|a, b| b.cmp(a));
        subjects.truncate(count);
        for (left, subject) in &subjects {
            if *left <= 1 {
                self.left.remove(subject);
            } else {
                self.left.insert(subject.clone(), left - 1);
            }
        }
        subjects.into_iter().map(|(_, subject)| subject).collect()
    }
}
