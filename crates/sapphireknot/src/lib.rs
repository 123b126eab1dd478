//! Decision logic of a global traffic steering system.
//!
//! Each module is a state machine or a pure function that takes the current time and typed events and returns typed
//! actions. No module performs I/O, reads a clock or spawns a task, so any of them can be embedded in another program
//! and tested without sleeping.

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
