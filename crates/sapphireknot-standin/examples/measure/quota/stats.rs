//! What a run admitted and refused.

use sapphireknot::quota::QuotaLimits;

use super::load::{RATES, SECOND, WARM_UP, limits};

/// Windows over which admissions are compared with what is allowed, in microseconds.
const WINDOWS: [u64; 7] =
    [SECOND / 10, SECOND / 2, SECOND, 2 * SECOND, 5 * SECOND, 10 * SECOND, 30 * SECOND];

#[derive(Debug, Clone, Default)]
struct OrganisationTally {
    offered: u64,
    wrongful: u64,
    admitted: Vec<u64>,
    /// Tokens that the whole would hold after what was admitted, and when it was computed.
    level: f64,
    settled: u64,
}

impl OrganisationTally {
    fn settle(&mut self, limits: QuotaLimits, now: u64) {
        let filled = limits.rate.0 as f64 / 1_000.0 * (now - self.settled) as f64 / SECOND as f64;
        self.level = (self.level + filled).min(limits.burst.0 as f64);
        self.settled = now;
    }

    fn highest_ratio(&self, limits: QuotaLimits) -> f64 {
        let mut highest = 0f64;
        for window in WINDOWS {
            let allowed = limits.rate.0 as f64 / 1_000.0 * window as f64 / SECOND as f64
                + limits.burst.0 as f64;
            let mut start = 0;
            for (end, time) in self.admitted.iter().enumerate() {
                while self.admitted[start] + window < *time {
                    start += 1;
                }
                highest = highest.max((end - start + 1) as f64 / allowed);
            }
        }
        highest
    }
}

/// Counts of one or several runs.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    organisations: Vec<OrganisationTally>,
    highest: f64,
    longest_wait: u64,
    messages: u64,
    host_seconds: u64,
}

impl Tally {
    pub(crate) fn new() -> Self {
        Self { organisations: vec![OrganisationTally::default(); RATES.len()], ..Self::default() }
    }

    pub(crate) fn admit(&mut self, organisation: usize, now: u64, arrived: u64) {
        let tally = &mut self.organisations[organisation];
        tally.settle(limits(organisation), now);
        tally.level -= 1.0;
        if arrived >= WARM_UP {
            tally.offered += 1;
            tally.admitted.push(now);
            self.longest_wait = self.longest_wait.max(now - arrived);
        }
    }

    /// Counts a refusal; it is wrongful if the whole has a token left after all that was admitted.
    pub(crate) fn refuse(&mut self, organisation: usize, now: u64, arrived: u64) {
        let tally = &mut self.organisations[organisation];
        tally.settle(limits(organisation), now);
        if arrived >= WARM_UP {
            tally.offered += 1;
            tally.wrongful += u64::from(tally.level >= 1.0);
        }
    }

    pub(crate) fn finish(&mut self, messages: u64, host_seconds: u64) {
        self.messages = messages;
        self.host_seconds = host_seconds;
        for (idx, tally) in self.organisations.iter_mut().enumerate() {
            self.highest = self.highest.max(tally.highest_ratio(limits(idx)));
            tally.admitted.clear();
        }
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.organisations.resize(RATES.len(), OrganisationTally::default());
        for (tally, more) in self.organisations.iter_mut().zip(&other.organisations) {
            tally.offered += more.offered;
            tally.wrongful += more.wrongful;
        }
        self.highest = self.highest.max(other.highest);
        self.longest_wait = self.longest_wait.max(other.longest_wait);
        self.messages += other.messages;
        self.host_seconds += other.host_seconds;
    }

    pub(crate) fn cells(&self) -> Vec<String> {
        let part = |it: &OrganisationTally| it.wrongful as f64 / it.offered.max(1) as f64;
        let worst = self.organisations.iter().map(part).fold(0.0, f64::max);
        let offered: u64 = self.organisations.iter().map(|it| it.offered).sum();
        let wrongful: u64 = self.organisations.iter().map(|it| it.wrongful).sum();
        let by_organisation =
            self.organisations.iter().map(|it| format!("{:.1}", part(it) * 100.0));
        vec![
            format!("{:.3}", self.highest),
            format!("{:.2}%", worst * 100.0),
            by_organisation.collect::<Vec<_>>().join(" "),
            format!("{:.2}%", wrongful as f64 / offered.max(1) as f64 * 100.0),
            offered.to_string(),
            format!("{} ms", self.longest_wait.div_ceil(1_000)),
            format!("{:.1}", self.messages as f64 / self.host_seconds.max(1) as f64),
        ]
    }
}
