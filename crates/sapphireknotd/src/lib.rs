//! Daemon of an entry host.
//!
//! The decisions are in the library `sapphireknot`; this crate drives them. Actors own the control state, and requests
//! read the snapshots in [`context`].

pub mod buffers;
pub mod clock;
pub mod constants;
pub mod context;
pub mod daemon;
pub mod front;
pub mod logging;
pub mod options;
pub mod settings;
pub mod telemetry;
pub mod upstream;
