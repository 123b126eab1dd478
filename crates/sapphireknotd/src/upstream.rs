//! Backend side: connections, load probes and the choice of a backend server.

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
