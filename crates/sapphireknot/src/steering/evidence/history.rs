//! Outcomes of the latest part of a rollout.
//!
//! A version that turns bad late has many good outcomes already, which hide the bad ones in the sum for long. A host
//! therefore keeps marks of what it knew at earlier moments and judges the outcomes since each of them as well. The marks
//! are set by the number of outcomes alone, at a distance that grows with it, and each gets an equal part of the
//! probability of a false verdict.

use std::collections::HashMap;

use super::{
    DOUBT, FALSE_ALARM, MIN_BAD, MIN_OTHERS, RegionEvidence, SUPPORT, VersionCounts, total_counts,
};
use crate::ids::RegionId;

/// Outcomes of the new version between two marks at first.
const FIRST_DISTANCE: u32 = 8;
/// Marks that are kept.
const MAX_MARKS: usize = 16;

/// Outcomes on other hosts, by region.
type ToldEvidence = HashMap<RegionId, RegionEvidence>;

/// What a host knew at a moment of a rollout.
#[derive(Debug)]
struct EvidenceMark {
    own: VersionCounts,
    told: ToldEvidence,
}

impl EvidenceMark {
    /// Outcomes since the mark on all hosts, and those without the host that stands out most.
    fn sum_and_rest(
        &self,
        own: VersionCounts,
        told: &ToldEvidence,
    ) -> (VersionCounts, VersionCounts) {
        let others = told.iter().map(|(region, latest)| match self.told.get(region) {
            Some(known) => (latest.sum - known.sum, latest.outlier - known.outlier),
            None => (latest.sum, latest.outlier),
        });
        super::sum_and_rest(own - self.own, others)
    }
}

/// Marks of one rollout.
#[derive(Debug)]
pub struct EvidenceHistory {
    marks: Vec<EvidenceMark>,
    /// Outcomes of the new version at which the next mark is due.
    next: u32,
    distance: u32,
}

impl Default for EvidenceHistory {
    fn default() -> Self {
        Self { marks: Vec::new(), next: FIRST_DISTANCE, distance: FIRST_DISTANCE }
    }
}

impl EvidenceHistory {
    /// Sets a mark if one is due.
    pub fn record(&mut self, own: VersionCounts, told: &ToldEvidence) {
        let requests = total_counts(own, told.values()).new.requests;
        if requests < self.next {
            return;
        }
        if self.marks.len() == MAX_MARKS {
            let mut is_kept = true;
            self.marks.retain(|_| {
                is_kept = !is_kept;
                is_kept
            });
            self.distance *= 2;
        }
        self.next = requests.saturating_add(self.distance);
        self.marks.push(EvidenceMark { own, told: told.clone() });
    }

    /// Whether the new version is bad by the outcomes since one of the marks.
    pub fn is_bad(&self, own: VersionCounts, told: &ToldEvidence) -> bool {
        let limit = (MAX_MARKS as f64 / FALSE_ALARM).ln();
        self.any(own, told, |sum, rest| {
            sum.explained_early().log_ratio() >= limit
                && rest.explained_early().log_ratio() >= SUPPORT.ln()
        })
    }

    /// Whether by these outcomes too many were bad for the new version to be completed.
    pub fn is_doubtful(&self, own: VersionCounts, told: &ToldEvidence) -> bool {
        let limit = (MAX_MARKS as f64 * DOUBT).ln();
        self.any(own, told, |sum, rest| sum.log_doubt() >= limit && rest.log_doubt() >= 0.0)
    }

    /// Whether `is_against` holds for the outcomes since one of the marks, of all hosts and without one of them. A single
    /// host has too few outcomes since a mark to decide alone.
    fn any<F>(&self, own: VersionCounts, told: &ToldEvidence, is_against: F) -> bool
    where
        F: Fn(VersionCounts, VersionCounts) -> bool,
    {
        // Spares good versions the work.
        if total_counts(own, told.values()).new.bad() < MIN_BAD {
            return false;
        }
        self.marks.iter().any(|mark| {
            let (sum, rest) = mark.sum_and_rest(own, told);
            sum.new.bad() >= MIN_BAD && rest.new.requests >= MIN_OTHERS && is_against(sum, rest)
        })
    }
}
