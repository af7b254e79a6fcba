//! End of the process at a given time, whatever its threads wait for.
//!
//! The event loop of a busy host may be late, and the log may wait for a reader
//! that reads nothing. Neither may keep the process until it is killed.

use slog::Logger;
use std::{thread, time::Duration};

/// Ends the process with an exit code after a delay, unless it has ended by then.
pub fn force_after(delay: Duration, code: i32, log: Logger) {
    let exit = move || {
        thread::sleep(delay);
        slog::warn!(log, "exit forced");
        std::process::exit(code);
    };
    let thread = thread::Builder::new().name("exit".to_owned());
    // Without this thread the daemon ends all the same, if nothing delays it.
    let _ = thread.spawn(exit);
}
