//! Registrations of servers and hosts.

use std::time::Duration;

use sapphireknot::steering::fleet::{FleetTable, ServerRecord};

use crate::support::{at, host, id, server};

fn names(table: &FleetTable) -> Vec<String> {
    let mut names: Vec<_> = table.servers().map(|it| it.record.id.to_string()).collect();
    names.sort();
    names
}

/// A server whose registration ended while the store responds has left and must get no requests.
#[test]
fn ended_registration() {
    let mut table = FleetTable::default();
    table.register(server("a", "east"), at(0));
    table.unregister(&id("a"), at(100));
    assert!(names(&table).is_empty());
}

/// Registrations lapse while the store is unavailable. If all servers were removed at its return, every request would
/// be rejected.
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
    assert_eq!(names(&table), ["b"], "server a did not register again");
}

/// Lapsed registrations are kept until about two seconds after the return of the store; a server that is still missing
/// then has left.
#[test]
fn grace_period_ends() {
    let mut table = FleetTable::default();
    table.register(server("a", "east"), at(0));
    table.record_outage(at(0));
    table.unregister(&id("a"), at(10));
    assert!(table.next_expiry().is_some_and(|it| it <= at(2_000)));
    table.expire(at(2_000));
    assert!(names(&table).is_empty());
}

/// A server that restarts under its id is cold, even if the earlier run was warm.
#[test]
fn restart_is_cold() {
    let mut table = FleetTable::default();
    table.register(server("a", "east"), at(0));
    let restarted =
        ServerRecord { started: 2, warmup_left: Duration::from_secs(3), ..server("a", "east") };
    table.register(restarted, at(1_000));
    assert!(table.servers().all(|it| it.cold_until == at(4_000)));
}

/// Servers that got no requests during an evacuation count as cold until they register as warm.
#[test]
fn cold_after_evacuation() {
    let mut table = FleetTable::default();
    table.register(server("a", "east"), at(0));
    table.register(server("b", "west"), at(0));
    table.cool_down(&id("east-a"), at(5_000));
    let cold: Vec<_> = table.servers().filter(|it| it.cold_until > at(1_000)).collect();
    assert_eq!(cold.len(), 1);
    table.register(server("a", "east"), at(2_000));
    assert!(
        table.servers().all(|it| it.cold_until <= at(2_000)),
        "a registration as warm was ignored"
    );
}

/// A host that is cut off may keep serving, so its share must not be given to others at once.
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
