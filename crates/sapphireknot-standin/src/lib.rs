//! Test doubles of the platform and of backend servers, with fault injection.
//!
//! [`store`], [`hosts`] and [`backend`] run inside a test or, through the example program `standin`, as separate
//! processes. Each stand-in has a control address that speaks JSON over HTTP and changes its faults at run time.
//! [`fixture`] starts hosts and stand-ins as processes for end-to-end tests, and [`load`] sends them requests.

pub mod backend;
pub mod client;
pub mod control;
pub mod fault;
pub mod fixture;
pub mod hosts;
pub mod load;
pub mod quota_simulation;
pub mod quota_store;
pub mod store;
