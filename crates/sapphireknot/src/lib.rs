//! Decisions of a global traffic steering system.
//!
//! Each module is a state machine or a pure function: it takes the time and typed events and returns typed actions. No
//! module does I/O, reads a clock or starts a task, so that a program can embed any of them and a test needs no sleep.

pub mod admission;
pub mod config;
pub mod delta;
pub mod drain;
pub mod freshness;
pub mod head;
pub mod idempotency;
pub mod ids;
pub mod installed;
pub mod keys;
pub mod lookup;
pub mod membership;
pub mod operator;
pub mod picker;
pub mod quota;
pub mod refusal;
mod rendezvous;
pub mod retry;
pub mod roles;
pub mod rollout;
pub mod routes;
pub mod steering;
pub mod time;
pub mod units;
