//! Groups, orders, repair and upgrades, by direct hand-over to one to three
//! daemons in virtual time.

#[path = "../fakes/mod.rs"]
mod fakes;
mod handover;
mod placing;
mod runner;
