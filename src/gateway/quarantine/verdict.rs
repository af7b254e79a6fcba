//! Which suspects are to be quarantined for the crashes that they explain.
//!
//! The one that explains most crashes, once they are enough. A part that all
//! requests of a caller have is in each crash that one of them causes, and nobody
//! is answered on it while they do. So of the parts that explain equally many
//! crashes the narrowest is quarantined, which the fewest requests had.

use super::{
    involvement::{Involvement, Involvements},
    mark::Mark,
};

/// Crashes from which a part is quarantined if no other part explains as many.
pub const MIN_PART_CRASHES: usize = 4;

/// Crashes from which a request is quarantined if no other request explains as many.
pub const MIN_REQUEST_CRASHES: usize = 3;

/// Crashes from which a suspect is quarantined if another one explains as many.
pub const MIN_TIED_CRASHES: usize = 5;

/// Returns the narrowest of the suspects that explain most crashes, if these are enough; more than
/// one if none of them is narrower.
pub fn worst(suspects: &Involvements, min_crashes: usize) -> Vec<Mark> {
    let all = suspects.iter();
    let blamed = all.filter(|(mark, one)| one.may_be_blamed(**mark));
    let blamed: Vec<(Mark, &Involvement)> = blamed.map(|(mark, one)| (*mark, one)).collect();
    let weights = blamed.iter().map(|(mark, one)| one.weight(*mark));
    let most = weights.max().unwrap_or_default();
    // One that can't be blamed yet may be the cause all the same.
    let tied = suspects.iter();
    let tied = tied.filter(|(mark, one)| one.weight(**mark) >= most);
    let min = match tied.count() {
        1 => min_crashes,
        _ => MIN_TIED_CRASHES,
    };
    if most < min {
        return Vec::new();
    }
    let worst = blamed.into_iter();
    let worst: Vec<_> = worst
        .filter(|(mark, one)| one.weight(*mark) == most)
        .collect();
    narrowest(&worst)
}

/// Returns the suspects than which no other one is narrower.
fn narrowest(suspects: &[(Mark, &Involvement)]) -> Vec<Mark> {
    let is_narrowest =
        |one: &Involvement| !suspects.iter().any(|(_, other)| other.is_narrower(one));
    let narrowest = suspects.iter().filter(|(_, one)| is_narrowest(one));
    narrowest.map(|(mark, _)| *mark).collect()
}
