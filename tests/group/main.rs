//! Tests of groups, orders, repair and upgrades with one to three daemons, whose
//! inputs and outputs are passed directly to fakes in virtual time.

mod checks;
mod cluster;
mod drains;
mod duties;
#[path = "../fakes/mod.rs"]
mod fakes;
mod faults;
mod load_rate;
mod placement;
mod repairs;
mod runner;
mod upgrades;
