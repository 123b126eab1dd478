//! Counts of admitted and refused requests.

use sapphireknot::quota::QuotaLimits;

use super::load::{RATES, SECOND, WARM_UP_END, limits};

/// Lengths of the sliding windows in which the admitted requests are compared with the limits, in microseconds.
const WINDOWS: [u64; 7] =
    [SECOND / 10, SECOND / 2, SECOND, 2 * SECOND, 5 * SECOND, 10 * SECOND, 30 * SECOND];

/// Counts of one organisation over all hosts.
#[derive(Debug, Clone, Default)]
struct OrganisationStats {
    offered: u64,
    /// Refusals while a bucket shared by all hosts would have held a token.
    wrongly_refused: u64,
    /// Times of the admissions.
    admitted: Vec<u64>,
    /// Tokens that one bucket shared by all hosts would hold after these admissions; negative if they exceed the
    /// limits.
    bucket_level: f64,
    /// Time at which `bucket_level` was computed.
    updated_at: u64,
}

impl OrganisationStats {
    /// Refills the shared bucket up to `now`.
    fn refill(&mut self, limits: QuotaLimits, now: u64) {
        let filled =
            limits.rate.0 as f64 / 1_000.0 * (now - self.updated_at) as f64 / SECOND as f64;
        self.bucket_level = (self.bucket_level + filled).min(limits.burst.0 as f64);
        self.updated_at = now;
    }

    /// Highest ratio of admitted to allowed requests over all windows. A window of length `w` allows
    /// `rate * w + burst`.
    fn max_admission_ratio(&self, limits: QuotaLimits) -> f64 {
        let mut max_ratio = 0f64;
        for window in WINDOWS {
            let allowed = limits.rate.0 as f64 / 1_000.0 * window as f64 / SECOND as f64
                + limits.burst.0 as f64;
            let mut start = 0;
            for (end, time) in self.admitted.iter().enumerate() {
                while self.admitted[start] + window < *time {
                    start += 1;
                }
                max_ratio = max_ratio.max((end - start + 1) as f64 / allowed);
            }
        }
        max_ratio
    }
}

/// Counts of one or several runs.
#[derive(Debug, Default)]
pub(crate) struct AdmissionStats {
    organisations: Vec<OrganisationStats>,
    /// Highest ratio of admitted to allowed requests.
    max_ratio: f64,
    /// Longest wait of an admitted request, in microseconds.
    max_wait: u64,
    messages: u64,
    /// Length of the runs after the warm-up, multiplied by the number of hosts.
    host_seconds: u64,
}

impl AdmissionStats {
    pub(crate) fn new() -> Self {
        Self { organisations: vec![OrganisationStats::default(); RATES.len()], ..Self::default() }
    }

    /// Counts an admission; requests that arrived during the warm-up only take a token of the shared bucket.
    pub(crate) fn admit(&mut self, organisation: usize, now: u64, arrived: u64) {
        let stats = &mut self.organisations[organisation];
        stats.refill(limits(organisation), now);
        stats.bucket_level -= 1.0;
        if arrived >= WARM_UP_END {
            stats.offered += 1;
            stats.admitted.push(now);
            self.max_wait = self.max_wait.max(now - arrived);
        }
    }

    /// Counts a refusal; it is wrong if the shared bucket still holds a token.
    pub(crate) fn refuse(&mut self, organisation: usize, now: u64, arrived: u64) {
        let stats = &mut self.organisations[organisation];
        stats.refill(limits(organisation), now);
        if arrived >= WARM_UP_END {
            stats.offered += 1;
            stats.wrongly_refused += u64::from(stats.bucket_level >= 1.0);
        }
    }

    /// Computes the highest ratio of admitted to allowed requests at the end of a run and drops the times of the
    /// admissions.
    pub(crate) fn finish(&mut self, messages: u64, host_seconds: u64) {
        self.messages = messages;
        self.host_seconds = host_seconds;
        for (idx, stats) in self.organisations.iter_mut().enumerate() {
            self.max_ratio = self.max_ratio.max(stats.max_admission_ratio(limits(idx)));
            stats.admitted.clear();
        }
    }

    /// Adds the counts of another run and keeps the higher of both maxima.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.organisations.resize(RATES.len(), OrganisationStats::default());
        for (stats, more) in self.organisations.iter_mut().zip(&other.organisations) {
            stats.offered += more.offered;
            stats.wrongly_refused += more.wrongly_refused;
        }
        self.max_ratio = self.max_ratio.max(other.max_ratio);
        self.max_wait = self.max_wait.max(other.max_wait);
        self.messages += other.messages;
        self.host_seconds += other.host_seconds;
    }

    /// Cells of the row of the table, after the names of the fault and the policy.
    pub(crate) fn cells(&self) -> Vec<String> {
        let wrongful_share =
            |it: &OrganisationStats| it.wrongly_refused as f64 / it.offered.max(1) as f64;
        let worst_share = self.organisations.iter().map(wrongful_share).fold(0.0, f64::max);
        let offered: u64 = self.organisations.iter().map(|it| it.offered).sum();
        let wrongly_refused: u64 = self.organisations.iter().map(|it| it.wrongly_refused).sum();
        let by_organisation =
            self.organisations.iter().map(|it| format!("{:.1}", wrongful_share(it) * 100.0));
        vec![
            format!("{:.3}", self.max_ratio),
            format!("{:.2}%", worst_share * 100.0),
            by_organisation.collect::<Vec<_>>().join(" "),
            format!("{:.2}%", wrongly_refused as f64 / offered.max(1) as f64 * 100.0),
            offered.to_string(),
            format!("{} ms", self.max_wait.div_ceil(1_000)),
            format!("{:.1}", self.messages as f64 / self.host_seconds.max(1) as f64),
        ]
    }
}
