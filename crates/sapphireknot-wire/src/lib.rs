//! Messages between the processes of sapphireknot.
//!
//! The code in `generated` is committed, so that a build needs no generator. After a change of a file in `proto`, run
//! `cargo run -p sapphireknot-wire --example generate`.

/// Calls between hosts.
pub mod peer {
    include!("generated/sapphireknot.peer.v1.rs");
}

/// The platform's key-value store and host list.
pub mod store {
    include!("generated/sapphireknot.store.v1.rs");
}

/// Calls between entry hosts on a managed platform.
pub mod entry {
    include!("generated/sapphireknot.entry.v1.rs");
}
