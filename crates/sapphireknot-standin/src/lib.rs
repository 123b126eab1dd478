//! Stand-ins for the platform and backend servers.

pub mod quota_store;
pub mod quota_world;
