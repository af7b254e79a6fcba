//! The `hickoryledge` program.

fn main() {}
