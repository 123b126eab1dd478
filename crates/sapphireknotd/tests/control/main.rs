//! Tests of the control modules: several hosts in one process, on loopback, with an in-memory platform.

mod claim_calls;
mod config_propagation;
mod note_submission;
mod platform_calls;
#[cfg(test)]
mod support;
