//! What each subcommand does.

pub mod check;
pub mod entries;
pub mod gateway;
pub mod operate;
mod patience;
pub mod replay;
pub mod report;
pub mod run;
mod table;
