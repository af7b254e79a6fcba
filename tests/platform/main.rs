//! Tests of a daemon on the users' platform. It runs as a separate process, with fakes of the
//! platform's store and runners.

mod decoding;
mod env;
mod limits;
mod notices;
mod relay;
mod requests;
mod rollback;
mod runner;
mod stop;
mod store;
mod streams;
