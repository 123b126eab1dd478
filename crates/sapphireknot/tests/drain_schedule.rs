//! Drains of several backend servers at once.

use std::time::Duration;

use sapphireknot::{
    config::ServerEntry, rollout::DrainSchedule, time::MonoTime, units::TrafficShare,
};

const STEP: Duration = Duration::from_secs(5);

/// Five servers of the same size, of which the first `leaving` leave.
fn servers(leaving: usize) -> Vec<ServerEntry> {
    let server = |idx: usize| ServerEntry {
        id: format!("s{idx}").parse().expect("valid"),
        address: "127.0.0.1:1".parse().expect("valid"),
        datacentre: "d".parse().expect("valid"),
        version: "v1".parse().expect("valid"),
        slots: sapphireknot::units::SlotCount(4),
        connections: 400,
        leaving: idx < leaving,
    };
    (0..5).map(server).collect()
}

fn advance(
    schedule: &mut DrainSchedule,
    servers: &[ServerEntry],
    cap: u32,
    now: MonoTime,
) -> usize {
    schedule.advance(servers.iter(), TrafficShare::percent(cap), STEP, now);
    schedule.draining().count()
}

/// Guards against a drain that takes out more than the cap at once, steps too soon, or never ends.
#[test]
fn several_servers() {
    let mut schedule = DrainSchedule::default();
    let start = MonoTime(1_000_000);
    schedule.replace_servers(servers(0).iter());
    let leaving = servers(4);
    schedule.replace_servers(leaving.iter());
    assert_eq!(advance(&mut schedule, &leaving, 40, start), 2);
    assert_eq!(advance(&mut schedule, &leaving, 40, start.after(STEP / 2)), 2);
    assert_eq!(advance(&mut schedule, &leaving, 40, start.after(STEP)), 0);
    assert!(!schedule.is_due(start.after(STEP * 10)));
}

/// Guards against a server above the cap that never leaves, and against a whole service that leaves in steps.
#[test]
fn single_server_and_all() {
    let start = MonoTime(1_000_000);
    for (leaving, left) in [(1, 0), (3, 2), (5, 0)] {
        let mut schedule = DrainSchedule::default();
        schedule.replace_servers(servers(0).iter());
        let leaving = servers(leaving);
        schedule.replace_servers(leaving.iter());
        assert_eq!(advance(&mut schedule, &leaving, 10, start), left);
    }
}

/// Guards against a host that starts in the middle of a drain and sends requests to servers that leave.
#[test]
fn host_that_starts() {
    let mut schedule = DrainSchedule::default();
    let leaving = servers(3);
    schedule.replace_servers(leaving.iter());
    assert_eq!(schedule.draining().count(), 0);
    // A server that stays again is used again, and leaves in steps the next time.
    schedule.replace_servers(servers(0).iter());
    schedule.replace_servers(leaving.iter());
    assert_eq!(schedule.draining().count(), 3);
}
