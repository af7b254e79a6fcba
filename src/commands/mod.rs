//! What each subcommand does.

pub mod check;
pub mod entries;
pub mod operate;
pub mod run;
mod table;
