//! Groups while hosts are lost faster than weights are loaded.

use crate::loss_fleet::{LARGE_DOMAINS, Pattern, simulate};

/// Under steady losses, each group must be whole, no host may be in two, and no request may be cut
/// whose group has lost nothing.
#[test]
fn groups_stay_complete_while_members_are_lost() {
    let figures = simulate(LARGE_DOMAINS, Pattern::Losses, 4);
    assert!(figures.repairs.iter().all(|times| !times.is_empty()));
    assert_eq!(figures.cuts, 0, "requests were cut without a loss");
    assert_eq!(figures.violations, Vec::<String>::new());
}
