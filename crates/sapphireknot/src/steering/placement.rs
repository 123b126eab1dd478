//! Placement of objects in regions.
//!
//! A backend server is faster for objects that it served recently, so all hosts of a region send an object to the same
//! region. Most objects stay in their callers' region; where that region has less than its part of the capacity, a
//! share of the objects is kept elsewhere. The share follows the utilisation in small steps, so that traffic between
//! regions shifts slowly. A region without a warm server keeps no objects: all servers elsewhere would count as
//! overflow, with its lower load limits. Objects of requests that are bound to home regions are kept in one of these.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{
    ids::RegionId,
    rendezvous::{rendezvous_draw, rendezvous_score},
    time::MonoTime,
};
use xxhash_rust::xxh3::xxh3_64;

/// Interval between steps.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum change per step of the share of objects kept in the own region; four steps stay well under a cap of 15% in 2
/// s.
const MAX_STEP: f64 = 0.02;
/// Utilisation of the own region above which objects are moved elsewhere. Above it queues form, as requests arrive in
/// bursts.
const HIGH_UTILISATION: f64 = 0.7;
/// Excess of the own utilisation over that of other regions that justifies a cross-region round trip.
const MIN_UTILISATION_LEAD: f64 = 0.15;
/// Part of the difference in utilisation that one step moves.
const GAIN: f64 = 0.1;

/// Capacity and utilisation of one region.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionCapacity {
    /// Region.
    pub region: RegionId,
    /// Slots of its usable servers.
    pub slots: u32,
    /// Running and waiting requests, divided by the slots.
    pub utilisation: f64,
}

/// Placement of one service's objects for callers of one region.
#[derive(Debug)]
pub struct PlacementTable {
    own: RegionId,
    /// Share of the objects that is kept in the own region; `None` until servers are known.
    home_share: Option<f64>,
    /// Whether the own region has a warm server.
    has_own_server: bool,
    regions: Vec<(RegionId, u64, u32)>,
    next_step: MonoTime,
}

impl PlacementTable {
    /// Creates a table for callers in the region `own`.
    pub fn new(own: RegionId) -> Self {
        Self {
            own,
            home_share: None,
            has_own_server: false,
            regions: Vec::new(),
            next_step: MonoTime::default(),
        }
    }

    /// Region of the callers.
    pub fn own(&self) -> &RegionId {
        &self.own
    }

    /// Share of the objects that is kept in the own region.
    pub fn home_share(&self) -> f64 {
        self.home_share.unwrap_or(1.0)
    }

    /// When the next step is due.
    pub fn next_step(&self) -> MonoTime {
        self.next_step
    }

    /// Adjusts the share by one step towards even utilisation, or towards `collector_share`, the one that the region's
    /// collector reported.
    ///
    /// Hosts that use different shares send the same objects to different regions.
    pub fn step(
        &mut self,
        capacities: &[RegionCapacity],
        collector_share: Option<f64>,
        now: MonoTime,
    ) {
        self.next_step = now.after(STEP_INTERVAL);
        let others = capacities.iter().filter(|it| it.region != self.own && it.slots > 0);
        self.regions =
            others.map(|it| (it.region.clone(), region_hash(&it.region), it.slots)).collect();
        let own = capacities.iter().find(|it| it.region == self.own);
        let own = own.filter(|it| it.slots > 0);
        self.has_own_server = own.is_some();
        let Some(own) = own else { return };
        let total: u32 = capacities.iter().map(|it| it.slots).sum();
        let Some(share) = self.home_share else {
            // All regions are assumed to have equally many callers until the utilisation shows otherwise.
            let fair = f64::from(total) / capacities.len() as f64;
            self.home_share = Some((f64::from(own.slots) / fair).min(1.0));
            return;
        };
        let rest: f64 = capacities
            .iter()
            .filter(|it| it.region != self.own)
            .map(|it| it.utilisation * f64::from(it.slots))
            .sum();
        let rest = rest / f64::from(total - own.slots).max(1.0);
        let lead = own.utilisation - rest - MIN_UTILISATION_LEAD;
        if let Some(collector_share) = collector_share {
            self.home_share = Some(share + (collector_share - share).clamp(-MAX_STEP, MAX_STEP));
            return;
        }
        let change = if own.utilisation > HIGH_UTILISATION && lead > 0.0 {
            -lead * GAIN
        } else {
            GAIN * 0.1
        };
        self.home_share = Some((share + change.clamp(-MAX_STEP, MAX_STEP)).clamp(0.0, 1.0));
    }

    /// Region in which the object with hash `object` is kept.
    pub fn region_of(&self, object: u64) -> &RegionId {
        if self.is_kept_home(object) || self.regions.is_empty() {
            return &self.own;
        }
        let score = |hash: u64, slots: u32| rendezvous_score(rendezvous_draw(object, hash), slots);
        let best = self.regions.iter().max_by_key(|(_, hash, slots)| score(*hash, *slots));
        best.map_or(&self.own, |(region, ..)| region)
    }

    /// Region in which the object is kept for a request that may only be served in `homes`; `None` if they are empty.
    ///
    /// A home region without a warm server keeps objects only if no home region has one.
    pub fn region_among<'a>(
        &self,
        object: u64,
        homes: &'a HashSet<RegionId>,
    ) -> Option<&'a RegionId> {
        let own = homes.get(&self.own);
        if own.is_some() && self.is_kept_home(object) {
            return own;
        }
        let others = homes.iter().filter(|it| **it != self.own).map(|region| {
            let known = self.regions.iter().find(|(it, ..)| it == region);
            let slots = known.map_or(0, |(.., slots)| *slots);
            let hash = known.map_or_else(|| region_hash(region), |(_, hash, _)| *hash);
            let score = rendezvous_score(rendezvous_draw(object, hash), slots);
            // The iteration order of a set differs between hosts, so the hash breaks ties between home regions without
            // a warm server.
            (score, hash, region, slots)
        });
        match others.max_by_key(|(score, hash, ..)| (*score, *hash)) {
            Some((.., region, slots)) if slots > 0 => Some(region),
            Some((.., region, _)) => own.or(Some(region)),
            None => own,
        }
    }

    /// Whether the object is within the share kept in the own region; none is kept there without a warm server.
    fn is_kept_home(&self, object: u64) -> bool {
        self.has_own_server && rendezvous_draw(object, 0) < self.home_share()
    }
}

fn region_hash(region: &RegionId) -> u64 {
    xxh3_64(region.as_str().as_bytes())
}

/// Sums of load and slots by region.
pub(super) fn sum_by_region<'a, I>(servers: I) -> Vec<RegionCapacity>
where
    I: Iterator<Item = (&'a RegionId, u32, f64)>,
{
    let mut sums: HashMap<&RegionId, (u32, f64)> = HashMap::new();
    for (region, slots, load) in servers {
        let sum = sums.entry(region).or_default();
        sum.0 = sum.0.saturating_add(slots);
        sum.1 += load;
    }
    let capacity = |(region, (slots, load)): (&RegionId, (u32, f64))| RegionCapacity {
        region: region.clone(),
        slots,
        utilisation: load / f64::from(slots.max(1)),
    };
    let mut capacities: Vec<_> = sums.into_iter().map(capacity).collect();
    capacities.sort_by(|a, b| a.region.cmp(&b.region));
    capacities
}
