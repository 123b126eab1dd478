//! Evidence since earlier moments of a rollout.
//!
//! A version that turns bad late has many good outcomes already, which dilute the bad ones in the total for a long
//! time. A host therefore keeps checkpoints of the counts at earlier moments and evaluates the outcomes since each of
//! them as well. Checkpoints are set by the number of outcomes alone, at a distance that grows with it, and each gets
//! an equal part of the false alarm probability.

use std::collections::HashMap;

use super::{
    DOUBT_RATIO, FALSE_ALARM, MIN_BAD, MIN_OTHERS, MIN_SUPPORT_RATIO, RegionEvidence,
    VersionCounts, total_counts,
};
use crate::ids::RegionId;

/// Initial distance between two checkpoints, in outcomes of the new version.
const INITIAL_DISTANCE: u32 = 8;
/// Maximum number of checkpoints.
const MAX_CHECKPOINTS: usize = 16;

/// Outcomes on other hosts, by region.
type RemoteEvidence = HashMap<RegionId, RegionEvidence>;

/// Counts that a host knew at one moment of a rollout.
#[derive(Debug)]
struct EvidenceCheckpoint {
    own: VersionCounts,
    remote: RemoteEvidence,
}

impl EvidenceCheckpoint {
    /// Outcomes since the checkpoint on all hosts, and those without the host with the largest excess.
    fn sum_and_rest(
        &self,
        own: VersionCounts,
        remote: &RemoteEvidence,
    ) -> (VersionCounts, VersionCounts) {
        let others = remote.iter().map(|(region, latest)| match self.remote.get(region) {
            Some(known) => (latest.sum - known.sum, latest.outlier - known.outlier),
            None => (latest.sum, latest.outlier),
        });
        super::sum_and_rest(own - self.own, others)
    }
}

/// Checkpoints of one rollout.
#[derive(Debug)]
pub struct EvidenceHistory {
    checkpoints: Vec<EvidenceCheckpoint>,
    /// Number of outcomes of the new version at which the next checkpoint is due.
    next: u32,
    distance: u32,
}

impl Default for EvidenceHistory {
    fn default() -> Self {
        Self { checkpoints: Vec::new(), next: INITIAL_DISTANCE, distance: INITIAL_DISTANCE }
    }
}

impl EvidenceHistory {
    /// Sets a checkpoint if one is due.
    pub fn record(&mut self, own: VersionCounts, remote: &RemoteEvidence) {
        let requests = total_counts(own, remote.values()).new.requests;
        if requests < self.next {
            return;
        }
        if self.checkpoints.len() == MAX_CHECKPOINTS {
            let mut is_kept = true;
            self.checkpoints.retain(|_| {
                is_kept = !is_kept;
                is_kept
            });
            self.distance *= 2;
        }
        self.next = requests.saturating_add(self.distance);
        self.checkpoints.push(EvidenceCheckpoint { own, remote: remote.clone() });
    }

    /// Whether the new version is bad by the outcomes since one of the checkpoints.
    pub fn is_bad(&self, own: VersionCounts, remote: &RemoteEvidence) -> bool {
        let limit = (MAX_CHECKPOINTS as f64 / FALSE_ALARM).ln();
        self.any_checkpoint(own, remote, |sum, rest| {
            sum.with_pooled_baseline().log_ratio() >= limit
                && rest.with_pooled_baseline().log_ratio() >= MIN_SUPPORT_RATIO.ln()
        })
    }

    /// Whether too many outcomes since one of the checkpoints were bad for the new version to be completed.
    pub fn is_doubtful(&self, own: VersionCounts, remote: &RemoteEvidence) -> bool {
        let limit = (MAX_CHECKPOINTS as f64 * DOUBT_RATIO).ln();
        self.any_checkpoint(own, remote, |sum, rest| {
            sum.log_doubt() >= limit && rest.log_doubt() >= 0.0
        })
    }

    /// Whether `is_against` holds for the outcomes since one of the checkpoints, given those of all hosts and those
    /// without the host with the largest excess. A single host has too few outcomes since a checkpoint to be decisive.
    fn any_checkpoint<F>(&self, own: VersionCounts, remote: &RemoteEvidence, is_against: F) -> bool
    where
        F: Fn(VersionCounts, VersionCounts) -> bool,
    {
        // Fast path: versions with few bad outcomes need no comparison.
        if total_counts(own, remote.values()).new.bad() < MIN_BAD {
            return false;
        }
        self.checkpoints.iter().any(|checkpoint| {
            let (sum, rest) = checkpoint.sum_and_rest(own, remote);
            sum.new.bad() >= MIN_BAD && rest.new.requests >= MIN_OTHERS && is_against(sum, rest)
        })
    }
}
