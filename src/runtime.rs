//! The loop that a daemon runs on.

use compio::{
    driver::ProactorBuilder,
    runtime::{Runtime, RuntimeBuilder},
};
use std::io;

/// Threads that open and close sockets for the loop.
const HELPER_THREADS: usize = 2;

/// The loop; without a limit a burst of connections would start a thread for each.
///
/// # Errors
///
/// Fails if the system has no means left for it.
pub fn build() -> io::Result<Runtime> {
    let mut driver = ProactorBuilder::new();
    driver.thread_pool_limit(HELPER_THREADS);
    RuntimeBuilder::new().with_proactor(driver).build()
}
