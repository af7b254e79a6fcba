//! Groups while hosts are lost faster than weights are loaded.

use crate::loss_fleet::{Family, Pattern, play};

/// Domains of 27 with replicas of 12 and 6.
const FAMILY: Family = Family {
    hosts: 27,
    sizes: [12, 6],
    wanted: [6.0, 6.0],
    load_rate: 14.0,
    parallel: 20,
    losses: [2, 3],
};

/// Under steady losses, each group must be whole, no host may be in two, and no request may be cut
/// whose group has lost nothing.
#[test]
fn groups_stay_complete_while_members_are_lost() {
    let figures = play(FAMILY, Pattern::Losses, 4);
    assert!(figures.repairs.iter().all(|times| !times.is_empty()));
    assert_eq!(figures.cuts, 0, "requests were cut without a loss");
    assert_eq!(figures.violations, Vec::<String>::new());
}
