//! Tests of a daemon on the users' platform. It runs as a separate process, with fakes of the
//! platform's store and runners.

mod abandon;
#[allow(dead_code, reason = "the stops of several daemons use the rest")]
mod behavior;
mod client;
mod cold;
mod config;
#[allow(dead_code, reason = "the stops of several daemons use the rest")]
mod crash;
mod crashing_part;
mod crashing_request;
mod cut_heads;
mod cut_off;
mod cut_uploads;
mod decoding;
mod departures;
mod early_end;
mod early_responses;
mod endless;
mod endless_control;
#[allow(dead_code, reason = "the stops of several daemons use the rest")]
mod env;
mod evacuation;
mod explain;
mod handovers;
mod http;
mod identities;
mod invalid_heads;
mod late_requests;
mod limits;
mod link;
mod load_exchange;
mod long_requests;
mod malformed;
#[path = "../common/memory.rs"]
mod memory;
mod missed_changes;
mod notices;
mod odd_entries;
mod panics;
mod peer_lists;
mod ranks;
mod relay;
mod repeated_refusal;
mod requests;
mod reserved_characters;
mod rollback;
#[allow(dead_code, reason = "the stops of several daemons use the rest")]
mod runner;
#[allow(dead_code, reason = "the stops of several daemons use the rest")]
mod runs;
mod second_copies;
mod silent_reports;
mod slow_host;
mod slow_streams;
mod stop;
mod store;
mod store_cut;
mod streams;
mod successor;
mod throttle;
mod trouble;
mod unread_log;
