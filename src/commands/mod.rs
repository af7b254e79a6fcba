//! Implementations of the subcommands, one module for each or for several that are alike.

pub mod check;
pub mod entries;
pub mod explain;
pub mod gateway;
pub mod operator;
pub mod replay;
pub mod report;
pub mod run;
mod table;
mod timeout;
