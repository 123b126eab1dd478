//! Placement of objects in regions.

use std::collections::HashSet;

use sapphireknot::{
    ids::RegionId,
    steering::placement::{PlacementTable, RegionCapacity},
};

use crate::support::{at, id};

fn capacity(region: &str, slots: u32, utilisation: f64) -> RegionCapacity {
    RegionCapacity { region: id(region), slots, utilisation }
}

/// Capacities in which the region east has a third of the slots of each other region; `own` is the utilisation of east
/// and `rest` that of the others.
fn small_home(own: f64, rest: f64) -> Vec<RegionCapacity> {
    vec![capacity("east", 12, own), capacity("north", 36, rest), capacity("west", 36, rest)]
}

/// Part of the objects that the two tables place in different regions.
fn moved(before: &PlacementTable, after: &PlacementTable) -> f64 {
    let objects = (0..10_000u64).map(|it| it.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    objects.filter(|it| before.region_of(*it) != after.region_of(*it)).count() as f64 / 10_000.0
}

/// A region with few servers must start with less than all objects, or it would be overloaded from the first request
/// on.
#[test]
fn initial_share_by_capacity() {
    let mut table = PlacementTable::new(id("east"));
    table.step(&small_home(0.0, 0.0), None, at(0));
    assert!((table.home_share() - 12.0 / 28.0).abs() < 0.01);
    let mut large = PlacementTable::new(id("north"));
    large.step(&small_home(0.0, 0.0), None, at(0));
    assert!((large.home_share() - 1.0).abs() < f64::EPSILON);
}

/// Whatever the load, at most 15% of the requests of a region may change their region within two seconds.
#[test]
fn gradual_moves() {
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

/// An overloaded region must move objects to others, or it rejects requests while they have capacity.
#[test]
fn overloaded_region() {
    let mut table = PlacementTable::new(id("east"));
    table.step(&small_home(0.3, 0.3), None, at(0));
    let first = table.home_share();
    for step in 1..20 {
        table.step(&small_home(1.5, 0.3), None, at(step * 500));
    }
    assert!(table.home_share() < first - 0.2);
}

/// Hosts of one region must place an object in the same region, or two servers have to learn it.
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

/// A table for callers in the region `own` after its first step.
fn table(own: &str, capacities: &[RegionCapacity]) -> PlacementTable {
    let mut table = PlacementTable::new(id(own));
    table.step(capacities, None, at(0));
    table
}

/// Part of the objects that are placed in `region` for requests bound to `homes`.
fn placed_in(region: &str, table: &PlacementTable, homes: &[&str]) -> f64 {
    let homes: HashSet<RegionId> = homes.iter().map(|it| id(it)).collect();
    let objects = (0..OBJECTS).map(|it| it.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let is_kept = |it: &u64| table.region_among(*it, &homes) == Some(&id(region));
    objects.filter(is_kept).count() as f64 / OBJECTS as f64
}

/// Objects of bound requests must be placed in one of the homes; placed elsewhere, no server would know them.
#[test]
fn among_homes() {
    let capacities = small_home(0.0, 0.0);
    for own in ["east", "north", "west"] {
        let table = table(own, &capacities);
        assert_eq!(placed_in("west", &table, &["west"]), 1.0, "callers of {own}");
        let two = placed_in("west", &table, &["east", "west"])
            + placed_in("east", &table, &["east", "west"]);
        assert!((two - 1.0).abs() < 1e-9, "callers of {own}");
        assert_eq!(table.region_among(1, &HashSet::new()), None);
    }
}

/// Callers outside the homes must divide objects by capacity; equal parts would overload the smaller home.
#[test]
fn homes_by_capacity() {
    let capacities =
        [capacity("east", 12, 0.0), capacity("north", 36, 0.0), capacity("west", 36, 0.0)];
    let share = placed_in("east", &table("north", &capacities), &["east", "west"]);
    assert!((0.23..0.27).contains(&share), "{share} of the objects at a quarter of the slots");
    // Callers in a home use the share that holds for all of their objects.
    let own = table("east", &capacities);
    let share = placed_in("east", &own, &["east", "west"]);
    assert!((share - own.home_share()).abs() < 0.02, "{share}");
}

/// Hosts must place an object in the same home whatever the order in which their sets list the homes, also while no
/// home has a warm server.
#[test]
fn homes_agree() {
    let capacities = [capacity("north", 36, 0.0)];
    let homes = || -> HashSet<RegionId> { ["east", "west"].iter().map(|it| id(it)).collect() };
    for capacities in [&capacities[..], &small_home(0.0, 0.0)] {
        let (first, second) = (table("north", capacities), table("north", capacities));
        for object in 0..200 {
            // Each set has a random order of its own.
            let (homes_a, homes_b) = (homes(), homes());
            let kept = first.region_among(object, &homes_a);
            assert!(kept.is_some() && kept == second.region_among(object, &homes_b));
        }
    }
}

/// A home without servers must not keep objects while another home has servers.
#[test]
fn home_without_servers() {
    let without_west = [capacity("east", 12, 0.0), capacity("north", 72, 0.0)];
    assert_eq!(placed_in("east", &table("east", &without_west), &["east", "west"]), 1.0);
    assert_eq!(placed_in("east", &table("north", &without_west), &["east", "west"]), 1.0);
}

/// A region that loses its last server must not keep its objects, and must get them back once it has a server again.
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
    assert_eq!((at_home(&table), placed_in("east", &table, &["east", "west"])), (0.0, 0.0));
    table.step(&small_home(0.3, 0.3), None, at(1_000));
    assert!((at_home(&table) - before).abs() < 0.03, "home share was {before} before");
}
