//! Region in which an object is kept.

use std::collections::HashSet;

use sapphireknot::{
    ids::RegionId,
    steering::placement::{PlacementTable, RegionCapacity},
};

use crate::support::{at, id};

fn room(region: &str, slots: u32, utilisation: f64) -> RegionCapacity {
    RegionCapacity { region: id(region), slots, utilisation }
}

fn small_home(own: f64, rest: f64) -> Vec<RegionCapacity> {
    vec![room("east", 12, own), room("north", 36, rest), room("west", 36, rest)]
}

fn moved(before: &PlacementTable, after: &PlacementTable) -> f64 {
    let objects = (0..10_000u64).map(|it| it.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    objects.filter(|it| before.region_of(*it) != after.region_of(*it)).count() as f64 / 10_000.0
}

/// A region with few servers would be overloaded from the first request on if it kept all objects.
#[test]
fn starts_by_capacity() {
    let mut table = PlacementTable::new(id("east"));
    table.step(&small_home(0.0, 0.0), None, at(0));
    assert!((table.home_share() - 12.0 / 28.0).abs() < 0.01);
    let mut large = PlacementTable::new(id("north"));
    large.step(&small_home(0.0, 0.0), None, at(0));
    assert!((large.home_share() - 1.0).abs() < f64::EPSILON);
}

/// More than 15% of a region's requests must not change their region within two seconds, whatever the load does.
#[test]
fn moves_slowly() {
    let table = |utilisations: &[(f64, f64)]| {
        let mut table = PlacementTable::new(id("east"));
        table.step(&small_home(0.3, 0.3), None, at(0));
        for (idx, (own, rest)) in utilisations.iter().enumerate() {
            table.step(&small_home(*own, *rest), None, at(500 * (idx as u64 + 1)));
        }
        table
    };
    let before = table(&[]);
    for loads in [[(5.0, 0.1); 4], [(0.0, 5.0); 4]] {
        let share = moved(&before, &table(&loads));
        assert!(share < 0.15, "{share} of the objects moved in 2 s");
    }
}

/// An overloaded region that never moves objects away refuses requests while others have room.
#[test]
fn leaves_full_region() {
    let mut table = PlacementTable::new(id("east"));
    table.step(&small_home(0.3, 0.3), None, at(0));
    let first = table.home_share();
    for step in 1..20 {
        table.step(&small_home(1.5, 0.3), None, at(step * 500));
    }
    assert!(table.home_share() < first - 0.2);
}

/// Hosts of one region that place an object differently make two servers learn it.
#[test]
fn hosts_agree() {
    let table = || {
        let mut table = PlacementTable::new(id("east"));
        table.step(&small_home(0.3, 0.3), None, at(0));
        table
    };
    assert!(moved(&table(), &table()) == 0.0);
}

const OBJECTS: u64 = 10_000;

/// A table for callers of `own` that took its first step.
fn table(own: &str, rooms: &[RegionCapacity]) -> PlacementTable {
    let mut table = PlacementTable::new(id(own));
    table.step(rooms, None, at(0));
    table
}

/// Objects of requests bound to `homes` that are kept in `region`, as a part of all.
fn kept_in(region: &str, table: &PlacementTable, homes: &[&str]) -> f64 {
    let homes: HashSet<RegionId> = homes.iter().map(|it| id(it)).collect();
    let objects = (0..OBJECTS).map(|it| it.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let is_kept = |it: &u64| table.region_among(*it, &homes) == Some(&id(region));
    objects.filter(is_kept).count() as f64 / OBJECTS as f64
}

/// Objects of bound requests that are kept outside the homes have no server that knows them.
#[test]
fn among_homes() {
    let rooms = small_home(0.0, 0.0);
    for own in ["east", "north", "west"] {
        let table = table(own, &rooms);
        assert_eq!(kept_in("west", &table, &["west"]), 1.0, "callers of {own}");
        let two =
            kept_in("west", &table, &["east", "west"]) + kept_in("east", &table, &["east", "west"]);
        assert!((two - 1.0).abs() < 1e-9, "callers of {own}");
        assert_eq!(table.region_among(1, &HashSet::new()), None);
    }
}

/// Callers outside the homes would overload the smaller home if they kept as many objects in each.
#[test]
fn homes_by_capacity() {
    let rooms = [room("east", 12, 0.0), room("north", 36, 0.0), room("west", 36, 0.0)];
    let share = kept_in("east", &table("north", &rooms), &["east", "west"]);
    assert!((0.23..0.27).contains(&share), "{share} of the objects at a quarter of the slots");
    // Callers of a home keep the share that holds for all of their objects.
    let own = table("east", &rooms);
    let share = kept_in("east", &own, &["east", "west"]);
    assert!((share - own.home_share()).abs() < 0.02, "{share}");
}

/// Hosts whose sets list the homes in another order must agree, also while no home has a warm server.
#[test]
fn homes_agree() {
    let rooms = [room("north", 36, 0.0)];
    let homes = || -> HashSet<RegionId> { ["east", "west"].iter().map(|it| id(it)).collect() };
    for rooms in [&rooms[..], &small_home(0.0, 0.0)] {
        let (first, second) = (table("north", rooms), table("north", rooms));
        for object in 0..200 {
            // Each set has a random order of its own.
            let (one, other) = (homes(), homes());
            let kept = first.region_among(object, &one);
            assert!(kept.is_some() && kept == second.region_among(object, &other));
        }
    }
}

/// A home that lost its servers must not keep objects while another one has some.
#[test]
fn home_without_servers() {
    let without_west = [room("east", 12, 0.0), room("north", 72, 0.0)];
    assert_eq!(kept_in("east", &table("east", &without_west), &["east", "west"]), 1.0);
    assert_eq!(kept_in("east", &table("north", &without_west), &["east", "west"]), 1.0);
}

/// A region that loses its last server must not keep its objects, and keeps them again once it has one.
#[test]
fn lost_and_regained() {
    let mut table = table("east", &small_home(0.3, 0.3));
    let objects = || (0..OBJECTS).map(|it| it.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let at_home = |table: &PlacementTable| {
        objects().filter(|it| *table.region_of(*it) == id("east")).count() as f64 / OBJECTS as f64
    };
    let before = at_home(&table);
    assert!(before > 0.3, "{before}");
    table.step(&small_home(0.3, 0.3)[1..], None, at(500));
    assert_eq!((at_home(&table), kept_in("east", &table, &["east", "west"])), (0.0, 0.0));
    table.step(&small_home(0.3, 0.3), None, at(1_000));
    assert!((at_home(&table) - before).abs() < 0.03, "{before} before");
}
