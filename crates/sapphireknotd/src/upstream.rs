//! Connections to backend servers, load probes and server selection.

pub mod connections;
pub mod pool;
pub mod pool_limits;
pub mod probes;
pub mod streamed_body;

mod interim_limit;
mod prober;
mod service;
mod specs;
mod ticket;
