//! Schedule of concurrent backend server drains.

use std::time::Duration;

use sapphireknot::{
    config::ServerEntry, rollout::DrainSchedule, time::MonoTime, units::TrafficShare,
};

const STEP: Duration = Duration::from_secs(5);

/// Returns five servers of equal size; the first `leaving` of them are leaving.
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

/// Guards against a step that exceeds the cap, a step before the end of the interval, and a drain that never completes.
#[test]
fn drains_in_steps_under_cap() {
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

/// Guards against a server whose capacity exceeds the cap and that never drains, and against a service whose servers
/// all leave and that is drained in steps.
#[test]
fn first_step_for_one_several_and_all_servers() {
    let start = MonoTime(1_000_000);
    for (leaving, remaining) in [(1, 0), (3, 2), (5, 0)] {
        let mut schedule = DrainSchedule::default();
        schedule.replace_servers(servers(0).iter());
        let leaving = servers(leaving);
        schedule.replace_servers(leaving.iter());
        assert_eq!(advance(&mut schedule, &leaving, 10, start), remaining);
    }
}

/// Guards against a host that starts during a drain and sends requests to leaving servers.
#[test]
fn host_started_during_drain() {
    let mut schedule = DrainSchedule::default();
    let leaving = servers(3);
    schedule.replace_servers(leaving.iter());
    assert_eq!(schedule.draining().count(), 0);
    // A server whose drain is cancelled is used again, and drains in steps the next time.
    schedule.replace_servers(servers(0).iter());
    schedule.replace_servers(leaving.iter());
    assert_eq!(schedule.draining().count(), 3);
}
