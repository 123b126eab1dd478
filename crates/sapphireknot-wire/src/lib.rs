//! Protobuf messages and gRPC services that sapphireknot uses.
//!
//! The generated code in `generated` is committed, so that a build does not depend on the generator. After changing a
//! file in `proto`, run `cargo run -p sapphireknot-wire --example generate`.

/// Service for calls between hosts.
pub mod peer {
    include!("generated/sapphireknot.peer.v1.rs");
}

/// Services of the platform: key-value store and host list.
pub mod store {
    include!("generated/sapphireknot.store.v1.rs");
}

/// Service for calls between entry hosts on a managed platform.
pub mod entry {
    include!("generated/sapphireknot.entry.v1.rs");
}
