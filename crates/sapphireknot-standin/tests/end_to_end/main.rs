//! End-to-end tests on separate processes: hosts, store, host list, backend servers and the command line.

mod quota_bounds;
mod request_served;
