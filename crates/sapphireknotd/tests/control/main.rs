//! Control modules of several hosts in one process, on loopback, with an in-memory platform.

mod config_spread;
mod note_submission;
#[cfg(test)]
mod support;
