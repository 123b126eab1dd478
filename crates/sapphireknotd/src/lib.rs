//! Daemon of an entry host.
//!
//! The decisions are in the library `sapphireknot`; this crate drives them. Actors own the control state, and requests
//! read the snapshots in [`context`].

pub mod clock;
pub mod constants;
pub mod context;
pub mod control;
pub mod operator;
pub mod peer;
pub mod settings;
mod spans;
