//! Placeholder until its slice lands.

fn main() {}
