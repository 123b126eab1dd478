//! Region in which an object is kept.

use sapphireknot::steering::place::{PlaceTable, RegionRoom};

use crate::support::{at, id};

fn room(region: &str, slots: u32, utilisation: f64) -> RegionRoom {
    RegionRoom { region: id(region), slots, utilisation }
}

fn small_home(own: f64, rest: f64) -> Vec<RegionRoom> {
    vec![room("east", 12, own), room("north", 36, rest), room("west", 36, rest)]
}

fn moved(before: &PlaceTable, after: &PlaceTable) -> f64 {
    let objects = (0..10_000u64).map(|it| it.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    objects.filter(|it| before.region_of(*it) != after.region_of(*it)).count() as f64 / 10_000.0
}

/// A region with few servers would be overloaded from the first request on if it kept all objects.
#[test]
fn starts_by_capacity() {
    let mut table = PlaceTable::new(id("east"));
    table.step(&small_home(0.0, 0.0), None, at(0));
    assert!((table.home_share() - 12.0 / 28.0).abs() < 0.01);
    let mut large = PlaceTable::new(id("north"));
    large.step(&small_home(0.0, 0.0), None, at(0));
    assert!((large.home_share() - 1.0).abs() < f64::EPSILON);
}

/// More than 15% of a region's requests must not change their region within two seconds, whatever the load does.
#[test]
fn moves_slowly() {
    let table = |utilisations: &[(f64, f64)]| {
        let mut table = PlaceTable::new(id("east"));
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
    let mut table = PlaceTable::new(id("east"));
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
        let mut table = PlaceTable::new(id("east"));
        table.step(&small_home(0.3, 0.3), None, at(0));
        table
    };
    assert!(moved(&table(), &table()) == 0.0);
}
