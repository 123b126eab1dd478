//! Rollout decisions that depend on the state of the backend servers.

use super::SteeringCore;
use crate::{
    ids::{ServiceId, VersionId},
    steering::version::{RecordChange, RolloutPhase},
    time::MonoTime,
};

impl SteeringCore {
    /// Changes of rollout records that are due. A version whose servers this host cannot reach is neither settled nor
    /// completed.
    pub fn due_rollouts(&self, now: MonoTime) -> Vec<RecordChange> {
        let mut due = self.versions.due_changes(now);
        due.retain(|RecordChange { record, .. }| match record.phase {
            RolloutPhase::Running | RolloutPhase::Reverted => true,
            RolloutPhase::Settled | RolloutPhase::Completed => {
                let picker = self.pickers.get(&record.service);
                picker.is_some_and(|it| it.can_reach(&record.target, now))
            }
        });
        due
    }

    /// When the next change of a rollout record is due after `now`.
    pub fn next_rollout_change(&self, now: MonoTime) -> Option<MonoTime> {
        self.versions.next_change(now)
    }

    /// Whether a rollout is about to be completed, so that evidence must be exchanged at short intervals.
    pub fn is_completion_near(&self, now: MonoTime) -> bool {
        self.versions.is_completion_near(now)
    }

    /// Version that serves requests outside of a rollout, for reports.
    pub fn stable_version(&self, service: &ServiceId, now: MonoTime) -> Option<VersionId> {
        self.versions.choose(service, 1.0, now)
    }
}
