//! Tests of steering: routing plans, registrations, choice of servers, quotas and rollouts.

mod affinity_choice;
mod choice_rejections;
mod cold_reports;
mod core_state;
mod evidence_counts;
mod failure_reports;
mod feed_copies;
mod fleet_table;
mod host_lookup;
mod load_reports;
mod object_placement;
mod quota_owners;
mod quota_restarts;
mod recent_changes;
mod route_index;
mod server_notices;
mod share_bounds;
mod slow_versions;
mod stale_work_estimates;
#[cfg(test)]
mod support;
mod version_evidence;
mod version_exposure;
mod version_ramp;
