//! Compares what ranks and accounts get from heads that don't suffice for all, in virtual time.
//!
//! Prints, for each number of daemons and demand, the fractions of requests that
//! are served and served on time: by rank, of small accounts beside one with four
//! times its usual demand, and of an account that has the least urgent rank; and the
//! bytes a second that a daemon sends and receives for the work of accounts.

#[path = "../../tests/gateway/engine_heads.rs"]
mod engine_heads;
#[path = "../../tests/gateway/contention_fleet.rs"]
mod fleet;

use fleet::{Figures, Outcomes, Policy, Scene, simulate};
use hickoryledge::core::time::Span;

/// Time that is simulated after the warm-up.
const SPAN: Span = Span::from_secs(30);
/// Numbers of daemons.
const DAEMONS: [usize; 3] = [8, 61, 195];
/// Ways to treat requests.
const POLICIES: [Policy; 3] = [Policy::Alike, Policy::Ranked, Policy::Exchanged];
/// Demands in relation to what the heads can serve.
const LOADS: [f64; 4] = [1.0, 1.3, 2.0, 4.0];
/// Fraction of the demand that the most urgent rank usually has.
const MOST_URGENT: f64 = 0.25;
/// Fraction of the demand that the largest account usually has.
const LARGEST: f64 = 0.15;

fn main() {
    println!("served (on time) in percent; x: demand / capacity");
    println!();
    println!(
        "daemons     x policy    rank 0      rank 1      rank 2      slots taken  refused while half free  bytes/s"
    );
    for daemons in DAEMONS {
        for load in LOADS {
            for policy in POLICIES {
                let figures = measure(policy, daemons, load, 1.0 / 24.0);
                let ranks: Vec<String> = figures.ranks.values().map(text).collect();
                println!(
                    "{daemons:7} {load:5.1} {policy:9?} {} {:11.1}  {:23}  {:7.0}",
                    ranks.join(" "),
                    figures.taken * 100.0,
                    figures.refused_while_free,
                    figures.work_bytes
                );
            }
        }
    }
    println!();
    println!(
        "one account with 4 times its usual {}% of the demand",
        LARGEST * 100.0
    );
    println!("daemons     x policy    large       small       worst small");
    // The demand of the others stays as it is.
    let largest = 4.0 * LARGEST / (1.0 - LARGEST + 4.0 * LARGEST);
    for daemons in DAEMONS {
        for load in LOADS {
            for policy in POLICIES {
                let figures = measure(policy, daemons, load, largest);
                let small = figures.accounts.range(1..).map(|(_, outcomes)| outcomes);
                let worst = small.min_by(|a, b| a.served().total_cmp(&b.served()));
                println!(
                    "{daemons:7} {load:5.1} {policy:9?} {} {} {}",
                    text(&figures.accounts[&0]),
                    text(&figures.small_accounts()),
                    worst.map(text).unwrap_or_default()
                );
            }
        }
    }
    println!();
    println!("one account of the least urgent rank");
    println!("daemons     x policy    it          all accounts");
    for daemons in DAEMONS {
        for load in LOADS {
            for policy in POLICIES {
                let scene = Scene {
                    account_priority: Some(2),
                    ..scene(policy, daemons, load, 1.0 / 24.0)
                };
                let figures = simulate(scene, SPAN);
                println!(
                    "{daemons:7} {load:5.1} {policy:9?} {} {}",
                    text(&figures.last_account()),
                    text(&figures.all())
                );
            }
        }
    }
}

fn scene(policy: Policy, daemons: usize, load: f64, largest: f64) -> Scene {
    Scene {
        policy,
        daemons,
        load,
        largest,
        most_urgent: MOST_URGENT,
        account_priority: None,
        seed: seed(),
    }
}

/// Returns the seed that the environment variable `SEED` names, or the usual one.
fn seed() -> u64 {
    let text = std::env::var("SEED").unwrap_or("7".to_owned());
    text.parse().expect("a number")
}

fn measure(policy: Policy, daemons: usize, load: f64, largest: f64) -> Figures {
    simulate(scene(policy, daemons, load, largest), SPAN)
}

fn text(outcomes: &Outcomes) -> String {
    let (served, on_time) = (outcomes.served() * 100.0, outcomes.on_time() * 100.0);
    format!("{served:5.1}({on_time:4.1})")
}
