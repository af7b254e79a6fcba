//! Service that is left while hosts are lost faster than weights are loaded.

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

/// Spares that are staged again and again, and loads that have ended but still count, leave the
/// larger model with half of the groups that its work needs.
#[test]
fn serves_most_work_while_members_are_lost() {
    let figures = play(FAMILY, Pattern::Losses, 4);
    let [large, small] = figures.fractions();
    assert!(large >= 0.55 && small >= 0.9, "served {large}, {small}");
    assert_eq!(figures.cuts, 0, "requests were cut without a loss");
    assert_eq!(figures.violations, Vec::<String>::new());
}
