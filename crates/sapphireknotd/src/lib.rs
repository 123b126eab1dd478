//! Daemon of an entry host.
//!
//! The library `sapphireknot` contains the decision logic, and this crate performs the I/O. Actors own the control
//! state, and requests read the snapshots in [`published`].

pub mod buffers;
pub mod claims;
pub mod clock;
pub mod constants;
pub mod context;
pub mod control;
pub mod daemon;
pub mod directory;
pub mod entry;
pub mod front;
pub mod interfaces;
pub mod listening;
pub mod loaded_config;
pub mod logging;
pub mod options;
pub mod peer;
pub mod published;
pub mod quota;
pub mod rollout;
pub mod serving;
pub mod settings;
pub mod settings_file;
pub mod settings_tree;
pub mod shutdown;
mod spans;
pub mod telemetry;
pub mod upstream;
