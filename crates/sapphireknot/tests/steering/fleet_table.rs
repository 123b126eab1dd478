//! Registrations that come and go.

use std::time::Duration;

use sapphireknot::steering::fleet::{FleetTable, ServerRecord};

use crate::support::{at, host, id, server};

fn names(table: &FleetTable) -> Vec<String> {
    let mut names: Vec<_> = table.servers().map(|it| it.record.id.to_string()).collect();
    names.sort();
    names
}

/// A server whose registration ended while the store answers has left and gets nothing more.
#[test]
fn ended_registration() {
    let mut table = FleetTable::default();
    table.register(server("a", "east"), at(0));
    table.unregister(&id("a"), at(100));
    assert!(names(&table).is_empty());
}

/// Registrations lapse while the store is away; dropping all servers at its return would refuse every request.
#[test]
fn lapsed_during_outage() {
    let mut table = FleetTable::default();
    table.register(server("a", "east"), at(0));
    table.register(server("b", "east"), at(0));
    table.record_outage(at(1_000));
    table.replace_servers(Vec::new(), at(1_050));
    assert_eq!(names(&table), ["a", "b"]);
    table.register(server("b", "east"), at(2_000));
    table.expire(at(4_000));
    assert_eq!(names(&table), ["b"], "a did not register again");
}

/// The doubt ends about two seconds after the store's return; a server that is still missing has left.
#[test]
fn doubt_ends() {
    let mut table = FleetTable::default();
    table.register(server("a", "east"), at(0));
    table.record_outage(at(0));
    table.unregister(&id("a"), at(10));
    assert!(table.next_expiry().is_some_and(|it| it <= at(2_000)));
    table.expire(at(2_000));
    assert!(names(&table).is_empty());
}

/// A server that starts again under its identifier is cold, even if the earlier run was warm.
#[test]
fn restart_is_cold() {
    let mut table = FleetTable::default();
    table.register(server("a", "east"), at(0));
    let restarted =
        ServerRecord { started: 2, warmup_left: Duration::from_secs(3), ..server("a", "east") };
    table.register(restarted, at(1_000));
    assert!(table.servers().all(|it| it.cold_until == at(4_000)));
}

/// Servers that got nothing during an evacuation count as cold until they say otherwise.
#[test]
fn cold_after_evacuation() {
    let mut table = FleetTable::default();
    table.register(server("a", "east"), at(0));
    table.register(server("b", "west"), at(0));
    table.cool_down(&id("east-a"), at(5_000));
    let cold: Vec<_> = table.servers().filter(|it| it.cold_until > at(1_000)).collect();
    assert_eq!(cold.len(), 1);
    table.register(server("a", "east"), at(2_000));
    assert!(table.servers().all(|it| it.cold_until <= at(2_000)), "its own word counts");
}

/// A host that is cut off may serve on, so that its part of the shares is not given to others at once.
#[test]
fn lost_hosts_count() {
    let mut table = FleetTable::default();
    table.add_host(host("h1", "east"), at(0));
    table.add_host(host("h22", "east"), at(0));
    table.remove_host(&id("h1"), at(1_000));
    assert_eq!(table.hosts().count(), 1);
    assert_eq!(table.host_counts(at(2_000))[&id("east")], 2);
    assert_eq!(table.host_counts(at(120_000))[&id("east")], 1);
}
