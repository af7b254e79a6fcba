//! Which suspects are to be quarantined for the crashes that they explain.
//!
//! The one that explains most crashes, once they are enough. A part that all
//! requests of a caller have is in each crash that one of them causes, and nobody
//! is answered on it while they do. So of the parts that explain equally many
//! crashes the narrowest is quarantined, which the fewest requests had. As one
//! crash of several may have another cause, or lack a report, a much narrower part
//! may explain one less.

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
    let (most, leaders) = leaders(suspects);
    if most < min_crashes {
        return Vec::new();
    }
    let is_tied = |mark: Mark, one: &Involvement| {
        one.weight(mark) >= most || leaders.iter().any(|leader| one.is_nearly_tied(leader))
    };
    let mut tied: Vec<(Mark, &Involvement)> = suspects
        .iter()
        .map(|(mark, one)| (*mark, one))
        .filter(|(mark, one)| is_tied(*mark, one))
        .collect();
    if tied.len() > 1 && most < MIN_TIED_CRASHES {
        return Vec::new();
    }
    // Those that can't be blamed yet only raise the number of crashes, as each may be the cause.
    tied.retain(|(mark, one)| one.may_be_blamed(*mark));
    narrowest(&tied)
}

/// Returns the largest number of crashes that suspects explain which may be blamed, and the evidence
/// against these.
fn leaders(suspects: &Involvements) -> (usize, Vec<&Involvement>) {
    let all = suspects.iter();
    let blamed: Vec<(usize, &Involvement)> = all
        .filter(|(mark, one)| one.may_be_blamed(**mark))
        .map(|(mark, one)| (one.weight(*mark), one))
        .collect();
    let weights = blamed.iter().map(|(weight, _)| *weight);
    let most = weights.max().unwrap_or_default();
    let leaders = blamed.into_iter().filter(|(weight, _)| *weight == most);
    (most, leaders.map(|(_, one)| one).collect())
}

/// Returns the suspects than which no other one is narrower.
fn narrowest(suspects: &[(Mark, &Involvement)]) -> Vec<Mark> {
    let is_narrowest =
        |one: &Involvement| !suspects.iter().any(|(_, other)| other.is_narrower(one));
    let narrowest = suspects.iter().filter(|(_, one)| is_narrowest(one));
    narrowest.map(|(mark, _)| *mark).collect()
}
