//! A daemon on the platform, as a separate process before our own stand-ins.

mod decoding;
mod env;
mod requests;
mod runner;
mod store;
mod streams;
