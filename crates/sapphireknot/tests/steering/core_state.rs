//! Changes of the configuration, registrations and evacuations as the core applies them.

use std::sync::Arc;

use rand::{SeedableRng, rngs::StdRng};
use sapphireknot::{
    ids::ServiceId,
    steering::{
        core::{FleetChange, SteeringCore},
        plan::{RequestPriority, SplitPart},
        query::ChoiceQuery,
        tokens::AdmissionDecision,
    },
    time::MonoTime,
};

use crate::support::{at, core, host, id, organisation, plan, route, server};

/// A core with a plan, a server in each of two regions and one host.
fn started() -> SteeringCore {
    let mut core = core("east");
    let mut plan = plan(5);
    plan.organisations.insert(id("acme"), organisation(50, 50));
    let changes = vec![
        FleetChange::Plan(Arc::new(plan)),
        FleetChange::Server(server("s0", "east")),
        FleetChange::Server(server("s1", "west")),
        FleetChange::Host(host("h1", "east")),
    ];
    core.replace(changes, at(0));
    core
}

/// Server that is chosen for a request, if any.
fn chosen(core: &mut SteeringCore, now: MonoTime) -> Option<String> {
    let query = ChoiceQuery {
        target_ms: 200.0,
        priority: RequestPriority(2),
        object: Some(1),
        version: None,
        homes: None,
        excluded: &[],
        deadline: MonoTime(now.0 + 1_200_000),
    };
    let service: ServiceId = id("reports");
    let chosen = core.choose(&service, query, now, &mut StdRng::seed_from_u64(1));
    chosen.ok().map(|it| it.record.id.to_string())
}

/// A delayed response of the store must not restore an older configuration.
#[test]
fn older_plan() {
    let mut core = started();
    core.apply_changes(vec![FleetChange::Plan(Arc::new(plan(4)))], at(10));
    assert_eq!(core.plan().unwrap().generation.0, 5);
    core.apply_changes(vec![FleetChange::Plan(Arc::new(plan(6)))], at(20));
    assert_eq!(core.plan().unwrap().generation.0, 6);
}

/// The servers of an evacuated data centre must get no requests, and count as cold when the evacuation ends.
#[test]
fn evacuated_datacentre() {
    let mut core = started();
    core.apply_changes(vec![FleetChange::Evacuation(id("east-a"))], at(10));
    assert_eq!(chosen(&mut core, at(20)).as_deref(), Some("s1"));
    core.apply_changes(vec![FleetChange::EvacuationGone(id("east-a"))], at(1_000));
    assert_eq!(core.pickers()[&id("reports")].summary(at(1_100)).cold, 1);
}

/// An evacuation that ended while the store was unavailable must end with the next complete read.
#[test]
fn missed_evacuation_end() {
    let mut core = started();
    core.apply_changes(vec![FleetChange::Evacuation(id("east-a"))], at(10));
    let changes =
        vec![FleetChange::Server(server("s0", "east")), FleetChange::Server(server("s1", "west"))];
    core.replace(changes, at(1_000));
    assert_eq!(core.pickers()[&id("reports")].summary(at(1_100)).usable, 2);
}

/// A route that is split between services must follow its weights, or a version that should get few requests gets too
/// many.
#[test]
fn split_by_weight() {
    let mut core = started();
    let mut route = route("split", "/split/");
    route.split = vec![
        SplitPart { service: id("reports"), weight: 90 },
        SplitPart { service: id("other"), weight: 10 },
    ];
    for _ in 0..5 {
        let parts: Vec<_> = (0..100).filter_map(|_| core.next_service(&route)).collect();
        assert_eq!(parts.iter().filter(|it| it.as_str() == "other").count(), 10);
    }
}

/// The retries of all hosts together must stay within the ratio and the slack of a window.
#[test]
fn retries_over_hosts() {
    let mut core = started();
    let hosts = (0..12).map(|it| FleetChange::Host(host(&format!("h-{it:02}"), "east")));
    core.replace(hosts.collect(), at(10));
    let service: ServiceId = id("reports");
    let mut retries = 0;
    for _ in 0..1_000 {
        core.budget_mut(&service).deposit();
        retries += u32::from(core.budget_mut(&service).withdraw());
    }
    let allowed = 0.2 * 1_000.0 + 64.0 / 13.0;
    assert!(f64::from(retries) <= allowed, "{retries} retries");
    assert!(retries > 100);
}

/// An organisation without an entry in the plan has no quota and must never be denied.
#[test]
fn unlimited_organisation() {
    let mut core = started();
    for _ in 0..1_000 {
        assert_eq!(core.admit(&id("other"), at(1)), AdmissionDecision::Admitted);
    }
}
