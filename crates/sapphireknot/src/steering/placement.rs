//! Region in which an object is kept.
//!
//! A backend server is faster for objects that it served lately, so that all hosts of a region send an object to the
//! same region. Most objects stay in their callers' region; where it has less than its part of the capacity, a share of
//! the objects is kept elsewhere. The share follows the utilisation in small steps, so that traffic between regions
//! moves slowly. A region without a warm server keeps none: its servers elsewhere would all count as overflow, with the
//! lower limits of load that hold for it. Objects of requests that are bound to home regions are kept in one of these.

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
/// Largest change of the share of objects kept at home in one step; four steps stay well under a cap of 15% in 2 s.
const MAX_STEP: f64 = 0.02;
/// Utilisation of the own region above which objects are moved elsewhere. Queues form above it, as requests arrive in
/// bursts.
const BUSY: f64 = 0.7;
/// Lead of the own utilisation over that of other regions that a cross-region round trip is worth.
const LEAD: f64 = 0.15;
/// Part of the difference in utilisation that one step moves.
const GAIN: f64 = 0.1;

/// Capacity and utilisation of one region.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionCapacity {
    /// Region.
    pub region: RegionId,
    /// Slots of its usable servers.
    pub slots: u32,
    /// Requests that run or wait, divided by the slots.
    pub utilisation: f64,
}

/// Placement of one service's objects for callers of one region.
#[derive(Debug)]
pub struct PlacementTable {
    own: RegionId,
    /// Share of the objects that is kept at home; `None` until servers are known.
    home_share: Option<f64>,
    /// Whether the own region has a warm server.
    has_own_room: bool,
    regions: Vec<(RegionId, u64, u32)>,
    next_step: MonoTime,
}

impl PlacementTable {
    /// A table for callers of `own`.
    pub fn new(own: RegionId) -> Self {
        Self {
            own,
            home_share: None,
            has_own_room: false,
            regions: Vec::new(),
            next_step: MonoTime::default(),
        }
    }

    /// Region of the callers.
    pub fn own(&self) -> &RegionId {
        &self.own
    }

    /// Share of the objects that is kept at home.
    pub fn home_share(&self) -> f64 {
        self.home_share.unwrap_or(1.0)
    }

    /// When the next step is due.
    pub fn next_step(&self) -> MonoTime {
        self.next_step
    }

    /// Takes a step towards even utilisation, or towards the share that the region's collector `told`.
    ///
    /// Hosts that keep different shares send the same objects to different regions.
    pub fn step(&mut self, rooms: &[RegionCapacity], told: Option<f64>, now: MonoTime) {
        self.next_step = now.after(STEP_INTERVAL);
        let others = rooms.iter().filter(|it| it.region != self.own && it.slots > 0);
        self.regions =
            others.map(|it| (it.region.clone(), region_hash(&it.region), it.slots)).collect();
        let own = rooms.iter().find(|it| it.region == self.own);
        let own = own.filter(|it| it.slots > 0);
        self.has_own_room = own.is_some();
        let Some(own) = own else { return };
        let total: u32 = rooms.iter().map(|it| it.slots).sum();
        let Some(share) = self.home_share else {
            // Callers of all regions are taken as equally many until the utilisation shows otherwise.
            let fair = f64::from(total) / rooms.len() as f64;
            self.home_share = Some((f64::from(own.slots) / fair).min(1.0));
            return;
        };
        let rest: f64 = rooms
            .iter()
            .filter(|it| it.region != self.own)
            .map(|it| it.utilisation * f64::from(it.slots))
            .sum();
        let rest = rest / f64::from(total - own.slots).max(1.0);
        let lead = own.utilisation - rest - LEAD;
        if let Some(told) = told {
            self.home_share = Some(share + (told - share).clamp(-MAX_STEP, MAX_STEP));
            return;
        }
        let change = if own.utilisation > BUSY && lead > 0.0 { -lead * GAIN } else { GAIN * 0.1 };
        self.home_share = Some((share + change.clamp(-MAX_STEP, MAX_STEP)).clamp(0.0, 1.0));
    }

    /// Region in which the object with hash `object` is kept.
    pub fn region_of(&self, object: u64) -> &RegionId {
        if self.stays_home(object) || self.regions.is_empty() {
            return &self.own;
        }
        let score = |hash: u64, slots: u32| rendezvous_score(rendezvous_draw(object, hash), slots);
        let best = self.regions.iter().max_by_key(|(_, hash, slots)| score(*hash, *slots));
        best.map_or(&self.own, |(region, ..)| region)
    }

    /// The same for a request that may only be served in `homes`; `None` if they are empty.
    ///
    /// A home without a warm server keeps objects only if no home has one.
    pub fn region_among<'a>(
        &self,
        object: u64,
        homes: &'a HashSet<RegionId>,
    ) -> Option<&'a RegionId> {
        let own = homes.get(&self.own);
        if own.is_some() && self.stays_home(object) {
            return own;
        }
        let others = homes.iter().filter(|it| **it != self.own).map(|region| {
            let known = self.regions.iter().find(|(it, ..)| it == region);
            let slots = known.map_or(0, |(.., slots)| *slots);
            let hash = known.map_or_else(|| region_hash(region), |(_, hash, _)| *hash);
            let score = rendezvous_score(rendezvous_draw(object, hash), slots);
            // The order of a set differs between hosts, so that the hash decides between homes without a warm server.
            (score, hash, region, slots)
        });
        match others.max_by_key(|(score, hash, ..)| (*score, *hash)) {
            Some((.., region, slots)) if slots > 0 => Some(region),
            Some((.., region, _)) => own.or(Some(region)),
            None => own,
        }
    }

    /// Whether the share that is kept in the own region covers the object; none is kept there without a warm server.
    fn stays_home(&self, object: u64) -> bool {
        self.has_own_room && rendezvous_draw(object, 0) < self.home_share()
    }
}

fn region_hash(region: &RegionId) -> u64 {
    xxh3_64(region.as_str().as_bytes())
}

/// Sums of load and slots by region.
pub(super) fn sum_rooms<'a, I>(servers: I) -> Vec<RegionCapacity>
where
    I: Iterator<Item = (&'a RegionId, u32, f64)>,
{
    let mut sums: HashMap<&RegionId, (u32, f64)> = HashMap::new();
    for (region, slots, load) in servers {
        let sum = sums.entry(region).or_default();
        sum.0 = sum.0.saturating_add(slots);
        sum.1 += load;
    }
    let room = |(region, (slots, load)): (&RegionId, (u32, f64))| RegionCapacity {
        region: region.clone(),
        slots,
        utilisation: load / f64::from(slots.max(1)),
    };
    let mut rooms: Vec<_> = sums.into_iter().map(room).collect();
    rooms.sort_by(|a, b| a.region.cmp(&b.region));
    rooms
}
