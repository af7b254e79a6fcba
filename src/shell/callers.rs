//! The HTTP side towards callers.

use {
    super::{SharedCore, calls::Calls},
    crate::settings::Settings,
    compio::net::TcpListener,
    std::rc::Rc,
};

/// Serves callers until the loop ends.
pub fn start(_listener: TcpListener, _calls: Rc<Calls>, _core: SharedCore, _settings: &Settings) {}
