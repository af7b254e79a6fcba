//! Groups, orders, repair and upgrades, by direct hand-over to one to three
//! daemons in virtual time.

mod checks;
mod drains;
mod duties;
#[path = "../fakes/mod.rs"]
mod fakes;
mod faults;
mod handover;
mod pace;
mod placing;
mod repairs;
mod runner;
mod upgrades;
