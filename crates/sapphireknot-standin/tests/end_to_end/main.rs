//! End-to-end tests in which hosts, store, host list, backend servers and the command line run as separate processes.

#[cfg(test)]
mod backend_failures;
#[cfg(test)]
mod fault_pairs;
#[cfg(test)]
mod host_failures;
#[cfg(test)]
mod host_rollover;
#[cfg(test)]
mod key_withdrawal;
#[cfg(test)]
mod operator_race;
#[cfg(test)]
mod quota_bounds;
#[cfg(test)]
mod request_served;
#[cfg(test)]
mod server_drain;
#[cfg(test)]
mod service_flood;
#[cfg(test)]
mod store_outage;
#[cfg(test)]
mod support;
#[cfg(test)]
mod version_bed;
#[cfg(test)]
mod version_moves;
