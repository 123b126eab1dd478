//! Plans, servers and hosts for the steering tests.

use std::{collections::HashMap, net::SocketAddr, str::FromStr, time::Duration};

use sapphireknot::{
    ids::{ConfigGeneration, IncarnationId, RegionId},
    quota::QuotaLimits,
    steering::{
        choice::ServicePicker,
        core::{HostLocation, SharedBounds, SteeringCore},
        exposure::ExposureLimit,
        fleet::{FleetTable, HostCapacity, HostRecord, ServerRecord},
        plan::{
            CallerLimits, OrganisationRule, RequestPriority, RouteRule, RoutingPlan, ServiceRule,
            SplitPart,
        },
        query::ChoiceQuery,
        shares::{QuotaSlack, WarmupSenders},
    },
    time::MonoTime,
    units::{BurstSize, RequestRate, SlotCount},
};

/// Regions, each with one data centre that is named after it with the suffix `-a`.
pub(crate) const REGIONS: [&str; 3] = ["east", "north", "west"];

/// Interval of exchanges between hosts, in milliseconds; shorter while the completion of a rollout is near.
pub(crate) fn exchange_ms(is_completion_near: bool) -> u64 {
    if is_completion_near { 100 } else { 400 }
}

pub(crate) fn id<T>(text: &str) -> T
where
    T: FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("identifier")
}

/// A point in time, in milliseconds after the start of the test.
pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime(1_000_000 + millis * 1_000)
}

pub(crate) fn server(name: &str, region: &str) -> ServerRecord {
    ServerRecord {
        id: id(name),
        service: id("reports"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        datacentre: id(&format!("{region}-a")),
        version: id("v1"),
        slots: SlotCount(4),
        is_draining: false,
        warmup_left: Duration::ZERO,
        started: 1,
    }
}

pub(crate) fn host(name: &str, region: &str) -> HostRecord {
    HostRecord {
        id: id(name),
        incarnation: IncarnationId(1),
        region: id(region),
        datacentre: id(&format!("{region}-a")),
        address: format!("127.0.0.1:{}", 8_000 + name.len()).parse().expect("address"),
        peer_address: format!("127.0.0.1:{}", 7_000 + name.len()).parse().expect("address"),
        capacity: HostCapacity::default(),
    }
}

pub(crate) fn service_rule() -> ServiceRule {
    ServiceRule {
        warmup: Duration::from_secs(3),
        warmup_rate: RequestRate::per_second(15),
        health_path: Some("/health".to_owned()),
    }
}

pub(crate) fn route(name: &str, prefix: &str) -> RouteRule {
    RouteRule {
        id: id(name),
        host_name: "survey.example".to_owned(),
        prefix: prefix.to_owned(),
        is_idempotent: true,
        has_known_kind: true,
        timeout: Duration::from_millis(1_200),
        target_latency: Duration::from_millis(200),
        priority: RequestPriority(2),
        split: vec![SplitPart { service: id("reports"), weight: 1 }],
        max_attempts: 2,
        is_auth_exempt: false,
        has_affinity: true,
        homes: Vec::new(),
    }
}

pub(crate) fn plan(generation: u64) -> RoutingPlan {
    let limits = CallerLimits {
        max_header_bytes: 16 << 10,
        max_body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let mut plan = RoutingPlan::new(ConfigGeneration(generation), limits);
    plan.services.insert(id("reports"), service_rule());
    plan.add_route(route("fetch", "/reports/"));
    plan
}

pub(crate) fn organisation(rate: u64, burst: u64) -> OrganisationRule {
    let quota = QuotaLimits { rate: RequestRate::per_second(rate), burst: BurstSize(burst) };
    OrganisationRule { quota: Some(quota), priority: None, homes: Vec::new() }
}

pub(crate) fn location(region: &str) -> HostLocation {
    let regions: HashMap<_, _> =
        REGIONS.iter().map(|it| (id(&format!("{it}-a")), id(it))).collect();
    HostLocation { host: id("h1"), region: id(region), regions }
}

/// Time within which a record of the store reaches all hosts.
pub(crate) const APPLY_TIME: Duration = Duration::from_secs(2);

pub(crate) fn bounds() -> SharedBounds {
    SharedBounds {
        quota: QuotaSlack { tolerance: 0.1, requests: 20 },
        retry_ratio: 0.2,
        retry_slack: 64,
        apply_time: APPLY_TIME,
        exposure: ExposureLimit::default(),
    }
}

pub(crate) fn core(region: &str) -> SteeringCore {
    SteeringCore::new(location(region), bounds())
}

/// Target latency of the requests of [`query`].
pub(crate) const TARGET_MS: f64 = 200.0;

fn region_of(record: &ServerRecord) -> RegionId {
    id(record.datacentre.as_str().trim_end_matches("-a"))
}

/// A picker at a host in the region `own` for a service with the servers `records`.
pub(crate) fn picker(own: &str, records: &[ServerRecord]) -> ServicePicker {
    let mut table = FleetTable::default();
    for record in records {
        table.register(record.clone(), at(0));
    }
    let mut picker = ServicePicker::new(service_rule(), id(own));
    picker.set_servers(table.servers().map(|it| (it, region_of(&it.record))));
    let own = id("h1");
    picker.set_rule(service_rule(), RequestPriority(2), WarmupSenders::new(&own, [].iter()));
    picker.rebalance(at(0));
    picker
}

pub(crate) fn east(count: usize) -> Vec<ServerRecord> {
    (0..count).map(|it| server(&format!("s{it}"), "east")).collect()
}

/// A request of the lowest priority with a timeout of 1.2 s.
pub(crate) fn query(object: Option<u64>, now: MonoTime) -> ChoiceQuery<'static> {
    ChoiceQuery {
        target_ms: TARGET_MS,
        priority: RequestPriority(2),
        object,
        version: None,
        homes: None,
        excluded: &[],
        deadline: now.after(Duration::from_millis(1_200)),
    }
}
