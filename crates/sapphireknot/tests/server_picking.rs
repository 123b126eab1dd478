//! Backend server selection.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    ids::{HostId, RegionId, ServerId, VersionId},
    picker::{
        FreshProbes, LoadReport, OutlierLimits, PickCriteria, PickError, ServerOutcome,
        ServerPicker, ServerSpec, SubsetLimits, is_in_subset,
    },
    time::MonoTime,
    units::SlotCount,
};

const START: MonoTime = MonoTime(60_000_000);

struct PickFixture {
    picker: ServerPicker,
    region: RegionId,
    version: VersionId,
    rng: ChaCha8Rng,
}

impl PickFixture {
    fn new(servers: usize) -> Self {
        let region: RegionId = "north".parse().expect("id");
        let version: VersionId = "v1".parse().expect("id");
        let mut picker =
            ServerPicker::new(Box::new(FreshProbes::default()), OutlierLimits::default());
        let specs = (0..servers).map(|it| spec(it, &region, &version)).collect();
        picker.replace_servers(specs, START);
        Self { picker, region, version, rng: ChaCha8Rng::seed_from_u64(1) }
    }

    fn pick(&mut self, now: MonoTime) -> Result<ServerId, PickError> {
        let criteria = PickCriteria { version: &self.version, region: &self.region, excluded: &[] };
        self.picker.pick(&criteria, now, &mut self.rng)
    }

    fn report(&mut self, index: usize, now: MonoTime, in_flight: u32, is_leaving: bool) {
        let report = LoadReport { probed_at: now, in_flight, connections: 0, is_leaving };
        self.picker.record_report(&server(index), report);
    }

    fn run_one(&mut self, index: usize, outcome: ServerOutcome, now: MonoTime) {
        self.picker.start(&server(index), now);
        self.picker.finish(&server(index), outcome, 1_000, now);
    }
}

fn server(index: usize) -> ServerId {
    format!("s{index}").parse().expect("id")
}

fn spec(index: usize, region: &RegionId, version: &VersionId) -> ServerSpec {
    ServerSpec {
        id: server(index),
        region: region.clone(),
        version: version.clone(),
        slots: SlotCount(4),
        is_leaving: false,
    }
}

/// Guards against new requests to a leaving server, whether its load report or the configuration says so.
#[test]
fn leaving_server() {
    let mut fixture = PickFixture::new(2);
    fixture.report(0, START, 0, true);
    for _ in 0..50 {
        assert_eq!(fixture.pick(START), Ok(server(1)));
    }
    let mut leaving = spec(1, &fixture.region, &fixture.version);
    leaving.is_leaving = true;
    let specs = vec![spec(0, &fixture.region, &fixture.version), leaving];
    fixture.picker.replace_servers(specs, START);
    assert_eq!(fixture.pick(START), Err(PickError::NoServer));
}

/// Guards against more requests than slots because of an outdated or wrong load report.
#[test]
fn full_servers() {
    let mut fixture = PickFixture::new(2);
    for _ in 0..8 {
        for index in 0..2 {
            fixture.report(index, START, 0, false);
        }
        let id = fixture.pick(START).expect("a slot is free");
        fixture.picker.start(&id, START);
    }
    assert_eq!(fixture.pick(START), Err(PickError::NoRoom));
    assert!(fixture.picker.servers().all(|it| it.in_flight() == 4));
}

/// Guards against a load report that hides requests sent after its probe, which the server may not have counted yet.
#[test]
fn report_older_than_requests() {
    let mut fixture = PickFixture::new(1);
    let sent = START.after(Duration::from_micros(200));
    for _ in 0..3 {
        fixture.picker.start(&server(0), sent);
    }
    fixture.report(0, START, 1, false);
    let free_slots =
        |fixture: &PickFixture| fixture.picker.server(&server(0)).map(|it| it.free_slots(sent));
    assert_eq!(free_slots(&fixture), Some(0));
    fixture.report(0, sent.after(Duration::from_micros(1)), 3, false);
    assert_eq!(free_slots(&fixture), Some(1));
}

/// Guards against a server that attracts all requests because it reports no load while it sheds them.
#[test]
fn shedding_server_that_reports_no_load() {
    let mut fixture = PickFixture::new(3);
    let mut now = START;
    for _ in 0..20 {
        fixture.run_one(0, ServerOutcome::Shed, now);
        now = now.after(Duration::from_millis(500));
    }
    for index in 0..3 {
        fixture.report(index, now, if index == 0 { 0 } else { 3 }, false);
    }
    for _ in 0..50 {
        assert_ne!(fixture.pick(now), Ok(server(0)));
    }
}

/// Guards against the ejection of all servers of a service when every server fails.
#[test]
fn ejection_bound() {
    let mut fixture = PickFixture::new(9);
    for index in 0..9 {
        for _ in 0..10 {
            fixture.run_one(index, ServerOutcome::Broken, START);
        }
    }
    let ejected = fixture.picker.servers().filter(|it| it.is_ejected(START)).count();
    assert_eq!(ejected, 3);
    assert!(fixture.pick(START).is_ok());
}

/// Guards against full load on a server that was just added or that returns from an ejection.
#[test]
fn server_warm_up() {
    let mut fixture = PickFixture::new(3);
    let mut specs: Vec<_> = (0..4).map(|it| spec(it, &fixture.region, &fixture.version)).collect();
    fixture.picker.replace_servers(specs.split_off(0), START);
    let free_slots = |fixture: &PickFixture, index: usize, now| {
        fixture.picker.server(&server(index)).map(|it| it.free_slots(now))
    };
    assert_eq!(free_slots(&fixture, 0, START), Some(4));
    assert_eq!(free_slots(&fixture, 3, START), Some(1));
    assert_eq!(free_slots(&fixture, 3, START.after(Duration::from_secs(5))), Some(2));
    assert_eq!(free_slots(&fixture, 3, START.after(Duration::from_secs(10))), Some(4));
    for _ in 0..5 {
        fixture.run_one(0, ServerOutcome::Failed, START);
    }
    let back = START.after(Duration::from_secs(5));
    assert!(!fixture.picker.server(&server(0)).expect("known").is_ejected(back));
    assert_eq!(free_slots(&fixture, 0, back), Some(1));
}

/// Guards against more host connections than a server accepts, and against a host with too few servers.
#[test]
fn subset_bound() {
    let hosts: Vec<HostId> = (0..140).map(|it| format!("host-{it}").parse().expect("id")).collect();
    let limits = SubsetLimits { server_connections: 400, host_connections: 4 };
    let mut used = vec![0; hosts.len()];
    for index in 0..30 {
        let users: Vec<usize> = (0..hosts.len())
            .filter(|&it| is_in_subset(&hosts[it], &server(index), &hosts, limits))
            .collect();
        assert_eq!(users.len(), 100);
        users.into_iter().for_each(|it| used[it] += 1);
    }
    assert!(used.iter().all(|&count| count >= 10), "{used:?}");
}
