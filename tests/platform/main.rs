//! Tests of a daemon on the users' platform. It runs as a separate process, with fakes of the
//! platform's store and runners.

mod abandon;
#[allow(dead_code, reason = "the stops of several daemons use the rest")]
mod behavior;
mod client;
mod config;
#[allow(dead_code, reason = "the stops of several daemons use the rest")]
mod crash;
mod crashing_part;
mod crashing_request;
mod cut_heads;
mod cut_off;
mod decoding;
mod departures;
mod endless;
mod endless_control;
#[allow(dead_code, reason = "the stops of several daemons use the rest")]
mod env;
mod http;
mod identities;
mod late_requests;
mod limits;
mod link;
mod long_requests;
mod missed_changes;
mod notices;
mod odd_entries;
mod ranks;
mod relay;
mod repeated_refusal;
mod requests;
mod rollback;
#[allow(dead_code, reason = "the stops of several daemons use the rest")]
mod runner;
#[allow(dead_code, reason = "the stops of several daemons use the rest")]
mod runs;
mod stop;
mod store;
mod store_cut;
mod streams;
mod successor;
mod trouble;
