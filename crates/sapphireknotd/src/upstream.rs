//! Connections to backend servers, load probes and server selection.

pub mod body_pieces;
pub mod connections;
pub mod pool;
pub mod pool_limits;
pub mod probes;

mod interim_limit;
mod prober;
mod service;
mod specs;
mod ticket;
