//! End-to-end tests on separate processes: hosts, store, host list, backend servers and the command line.

mod request_served;
#[cfg(test)]
mod version_bed;
#[cfg(test)]
mod version_moves;
