//! Stand-ins for the platform and backend servers.
//!
//! [`store`], [`hosts`] and [`backend`] run inside a test or, through the example program `standin`, as processes of
//! their own. Every stand-in has a control address that speaks JSON over HTTP, and its faults can be switched while it
//! runs.

pub mod backend;
pub mod client;
pub mod control;
pub mod fault;
pub mod hosts;
pub mod store;
