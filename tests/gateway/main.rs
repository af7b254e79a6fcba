//! Tests of the gateway's decisions in virtual time.

mod admission;
mod backoff;
mod balancer;
mod budgets;
mod candidacy;
mod changes;
mod departures;
mod drain;
mod entries;
mod fleet;
mod group_faults;
mod groups;
mod handovers;
mod held_bytes;
mod limit_fleet;
mod limits;
mod liveness;
mod notices;
mod outages;
mod pools;
mod quarantine;
mod reach;
mod repeats;
mod retry_shares;
mod routes;
mod streams;
