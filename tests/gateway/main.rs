//! Tests of the gateway's decisions in virtual time.

mod admission;
mod backoff;
mod balancer;
mod budgets;
mod candidacy;
mod changes;
mod contact;
mod cut_off_heads;
mod departures;
mod drain;
mod entries;
mod even_load;
mod fleet;
mod group_faults;
mod groups;
mod handovers;
mod held_bytes;
mod identities;
mod limit_fleet;
mod limits;
mod liveness;
mod load_exchange;
#[expect(dead_code, reason = "the example compares more policies")]
mod load_fleet;
mod notices;
mod outages;
mod pools;
mod quarantine;
mod reach;
mod relay_peers;
mod repeats;
mod retry_shares;
mod routes;
mod silence;
mod streams;
mod watches;
