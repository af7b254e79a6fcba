//! Tests of the gateway's decisions in virtual time.

mod admission;
mod budgets;
mod fleet;
mod groups;
mod outages;
mod placement;
mod pools;
mod routes;
mod streams;
