//! Backend side: connections, load probes and the choice of a backend server.

pub mod baseline;
pub mod connections;
pub mod pool;
pub mod probes;
pub mod spill;

mod service;
