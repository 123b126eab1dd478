//! Decisions of the rollout planner, the rollout view of a host, and drains.

use std::{collections::BTreeMap, fmt::Debug, str::FromStr};

use sapphireknot::{
    config::TrafficPlan,
    ids::{FencingToken, RouteId, VersionId},
    rollout::{
        DrainServer, EvidenceEvaluator, OutcomeCounts, PlannerAction, PlannerInput, PlannerLimits,
        RolloutPlanner, RolloutState, RolloutVerdict, RolloutView, SampleKey, ShareMap,
        ShareNotice, TripNotice, TripSet, next_drain,
    },
    time::{MonoTime, WallTime},
    units::{SlotCount, TrafficShare},
};

/// Parses a valid identifier.
fn id<T>(text: &str) -> T
where
    T: FromStr,
    T::Err: Debug,
{
    text.parse().expect("valid identifier")
}

fn share_map(shares: &[(&str, u32)]) -> ShareMap {
    shares.iter().map(|(it, share)| (id(it), TrafficShare::percent(*share))).collect()
}

fn plan(deadline_s: u64) -> TrafficPlan {
    TrafficPlan {
        id: id("move"),
        target: share_map(&[("new", 100)]),
        deadline: WallTime(deadline_s * 1_000),
        cap: TrafficShare::percent(20),
    }
}

/// Planner with simulated inputs; each step is one second and adds one report of all hosts.
struct PlannerFixture {
    planner: RolloutPlanner,
    evaluator: EvidenceEvaluator,
    totals: BTreeMap<SampleKey, OutcomeCounts>,
    state: Option<RolloutState>,
    trips: TripSet,
    is_fresh: bool,
    limits: PlannerLimits,
    second: u64,
    history: Vec<TrafficShare>,
}

impl PlannerFixture {
    fn new(deadline_s: u64, routes: &[&str]) -> Self {
        let planner = RolloutPlanner::new(&plan(deadline_s), &share_map(&[("old", 100)]));
        let routes: Vec<RouteId> = routes.iter().map(|it| id(it)).collect();
        Self {
            evaluator: EvidenceEvaluator::new(planner.traffic(), &routes),
            planner,
            totals: BTreeMap::new(),
            state: None,
            trips: TripSet::default(),
            is_fresh: true,
            limits: PlannerLimits::default(),
            second: 0,
            history: Vec::new(),
        }
    }

    /// Counts `requests` on `route`; of those to the new version, one in `failure_interval` fails, or none if it is
    /// zero.
    fn count(&mut self, route: &str, requests: u64, failure_interval: u64) {
        let moved = u64::from(self.state.as_ref().map_or(0, |it| it.moved.0));
        // Cumulative count, so that a share of less than one request per second is not rounded to zero.
        let new_requests_until = |it: u64| it * requests * moved / 1_000_000;
        let new = new_requests_until(self.second + 1) - new_requests_until(self.second);
        let old = requests - new.min(requests);
        for (version, count) in [("new", new), ("old", old)] {
            let key = (id(version), id(route));
            let entry = self.totals.entry(key).or_default();
            let total = entry.total() + count;
            if version == "new" {
                entry.failed = total.checked_div(failure_interval).unwrap_or(0).max(entry.failed);
            }
            entry.succeeded = total - entry.failed;
        }
    }

    fn decide(&self) -> PlannerAction {
        self.planner.decide(&PlannerInput {
            state: self.state.as_ref(),
            evaluator: &self.evaluator,
            is_fresh: self.is_fresh,
            trips: &self.trips,
            token: FencingToken(1),
            limits: self.limits,
            now: WallTime(self.second * 1_000),
        })
    }

    fn step(&mut self) {
        self.second += 1;
        let now = MonoTime(self.second * 1_000_000);
        if let Some(state) = &self.state {
            self.evaluator.enter_step(state.step, now);
        }
        self.evaluator.update(&self.totals, now);
        if let PlannerAction::Write { state, .. } = self.decide() {
            self.history.push(state.moved);
            self.state = Some(state);
        }
    }

    fn run(&mut self, seconds: u64, traffic: &[(&str, u64, u64)]) {
        for _ in 0..seconds {
            for (route, requests, failure_interval) in traffic {
                self.count(route, *requests, *failure_interval);
            }
            self.step();
        }
    }

    fn verdict(&self) -> (RolloutVerdict, String) {
        let state = self.state.as_ref().expect("the planner has written a state");
        (state.verdict, state.reason.clone().unwrap_or_default())
    }
}

/// Guards against steps that exceed the cap or the warm-up factor, and against a good version that misses its deadline.
#[test]
fn good_version_completes() {
    let mut fixture = PlannerFixture::new(900, &["reports"]);
    fixture.run(500, &[("reports", 200, 0)]);
    assert_eq!(fixture.verdict(), (RolloutVerdict::Done, String::new()));
    let percent: Vec<_> = fixture.history.iter().map(ToString::to_string).collect();
    assert_eq!(percent, ["0%", "1%", "3%", "9%", "27%", "47%", "67%", "87%", "100%", "100%"]);
    let text = serde_json::to_string(&fixture.state).unwrap();
    assert_eq!(serde_json::from_str::<Option<RolloutState>>(&text).unwrap(), fixture.state);
}

/// Guards against steps that exceed the step limit of the caller.
#[test]
fn steps_stay_under_step_limit() {
    let mut fixture = PlannerFixture::new(3_600, &["reports"]);
    fixture.limits.step_limit = Some(TrafficShare::percent(5));
    fixture.run(1_000, &[("reports", 200, 0)]);
    assert_eq!(fixture.verdict().0, RolloutVerdict::Done);
    assert!(
        fixture
            .history
            .windows(2)
            .all(|it| it[1].saturating_sub(it[0]) <= TrafficShare::percent(5))
    );
}

/// Guards against a version that passes although it fails on one route, and against one that is kept although it fails
/// after the rollout completed.
#[test]
fn bad_version_is_reverted() {
    let mut fixture = PlannerFixture::new(900, &["reports", "bookings"]);
    fixture.run(600, &[("reports", 200, 0), ("bookings", 50, 4)]);
    let (verdict, reason) = fixture.verdict();
    assert_eq!(verdict, RolloutVerdict::Reverted);
    assert!(reason.contains("route bookings"), "{reason}");
    assert!(fixture.history.iter().all(|it| *it <= TrafficShare::percent(1)));

    let mut fixture = PlannerFixture::new(900, &["reports"]);
    fixture.run(600, &[("reports", 200, 0)]);
    assert_eq!(fixture.verdict().0, RolloutVerdict::Done);
    fixture.run(10, &[("reports", 200, 5)]);
    assert_eq!(fixture.verdict().0, RolloutVerdict::Reverted);
    let shares = fixture.state.unwrap().shares;
    assert_eq!(shares[&id::<VersionId>("old")], TrafficShare::WHOLE);
}

/// Guards against a route without traffic that blocks the rollout of a good version.
#[test]
fn route_without_traffic_does_not_block() {
    let mut fixture = PlannerFixture::new(900, &["reports", "bookings"]);
    fixture.run(900, &[("reports", 200, 0)]);
    let expected = "too little traffic on: bookings".to_owned();
    assert_eq!(fixture.verdict(), (RolloutVerdict::Done, expected));
}

/// Guards against a route with little traffic whose failures are ignored for lack of evidence.
#[test]
fn low_traffic_route_that_fails_is_reverted() {
    let mut fixture = PlannerFixture::new(900, &["reports", "bookings"]);
    for _ in 0..90 {
        fixture.run(9, &[("reports", 200, 0)]);
        fixture.run(1, &[("reports", 200, 0), ("bookings", 2, 1)]);
    }
    let (verdict, reason) = fixture.verdict();
    assert_eq!(verdict, RolloutVerdict::Reverted, "{reason}");
    assert!(reason.contains("bookings"), "{reason}");
}

/// Guards against a version that passes because it receives no requests of a route that has traffic.
#[test]
fn route_missing_on_new_version_is_reverted_in_time() {
    let mut fixture = PlannerFixture::new(900, &["reports", "bookings"]);
    for _ in 0..900 {
        let key = (id("old"), id("bookings"));
        fixture.totals.entry(key).or_default().succeeded += 50;
        fixture.run(1, &[("reports", 200, 0)]);
    }
    let (verdict, reason) = fixture.verdict();
    assert_eq!(verdict, RolloutVerdict::Reverted);
    assert!(reason.contains("the new one none"), "{reason}");
    assert!(fixture.state.unwrap().stepped_at < WallTime(890_000));
}

/// Guards against shares that increase on stale evidence, and against a rollout that is not reverted before its
/// deadline.
#[test]
fn stale_evidence_holds_then_reverts() {
    let mut fixture = PlannerFixture::new(300, &["reports"]);
    fixture.run(60, &[("reports", 200, 0)]);
    let moved = fixture.state.as_ref().unwrap().moved;
    fixture.is_fresh = false;
    fixture.run(60, &[("reports", 200, 0)]);
    assert_eq!(fixture.state.as_ref().unwrap().moved, moved);
    fixture.run(180, &[("reports", 200, 0)]);
    let (verdict, reason) = fixture.verdict();
    assert_eq!(verdict, RolloutVerdict::Reverted);
    assert!(reason.contains("stale"), "{reason}");
}

/// Guards against a good version that is reverted after a delayed step although the remaining steps still fit before
/// the spare time.
#[test]
fn late_step_catches_up() {
    let run_with_stale_evidence = |stale_until: u64| {
        let mut fixture = PlannerFixture::new(100, &["reports"]);
        while fixture.state.as_ref().is_none_or(|it| it.moved < TrafficShare::percent(27)) {
            fixture.run(1, &[("reports", 200, 0)]);
        }
        fixture.is_fresh = false;
        fixture.run(stale_until - fixture.second, &[("reports", 200, 0)]);
        fixture
    };
    // The spare time starts at 90 s. The steps to 47%, 67%, 87% and 100% and the verdict take four intervals of 5 s.
    let mut fixture = run_with_stale_evidence(69);
    assert_eq!(fixture.verdict(), (RolloutVerdict::Running, String::new()));
    fixture.is_fresh = true;
    fixture.run(21, &[("reports", 200, 0)]);
    assert_eq!(fixture.verdict(), (RolloutVerdict::Done, String::new()));
    assert_eq!(fixture.state.as_ref().unwrap().stepped_at, WallTime(90_000));
    let percent: Vec<_> = fixture.history.iter().map(ToString::to_string).collect();
    assert_eq!(percent, ["0%", "1%", "3%", "9%", "27%", "47%", "67%", "87%", "100%", "100%"]);
    assert_eq!(
        run_with_stale_evidence(71).verdict().0,
        RolloutVerdict::Reverted,
        "the remaining steps no longer fit"
    );
}

/// Guards against a planner that writes although another one has taken over its role.
#[test]
fn outdated_token_does_not_write() {
    let mut fixture = PlannerFixture::new(900, &["reports"]);
    fixture.run(3, &[("reports", 200, 0)]);
    fixture.state.as_mut().unwrap().token = FencingToken(2);
    assert!(matches!(fixture.decide(), PlannerAction::Hold { .. }));
}

/// Guards against a delayed share notice that overrides a trip or the deadline, and against a host whose share
/// increases by more than the cap because notices were delayed.
#[test]
fn view_obeys_trip_deadline_and_cap() {
    let (plan, base) = (plan(100), share_map(&[("old", 100)]));
    let mut view = RolloutView::new(&plan, &base);
    let mut notice = ShareNotice {
        plan: plan.id.clone(),
        token: FencingToken(3),
        step: 7,
        shares: share_map(&[("old", 40), ("new", 60)]),
        verdict: RolloutVerdict::Running,
        reason: None,
    };
    let (mut trips, new): (_, VersionId) = (TripSet::default(), id("new"));
    for (second, percent) in
        [(0, 20), (1, 20), (5, 40), (6, 40), (10, 60), (99, 60), (100, 0), (99, 0)]
    {
        view.merge(&notice, WallTime(second * 1_000));
        let shares = view.shares(&trips, WallTime(second * 1_000));
        let share = shares.get(&new).copied().unwrap_or_default();
        assert_eq!(share, TrafficShare::percent(percent), "second {second}");
    }
    // A notice with an older token is ignored, even if it says that the rollout is done.
    notice.verdict = RolloutVerdict::Done;
    notice.token = FencingToken(2);
    view.merge(&notice, WallTime(101_000));
    assert_eq!(view.newest().unwrap().verdict, RolloutVerdict::Running);
    notice.token = FencingToken(4);
    view.merge(&notice, WallTime(102_000));
    assert_eq!(view.choose(&trips, WallTime(102_000), 0), Some(new.clone()));
    let trip = TripNotice {
        plan: plan.id.clone(),
        version: new,
        host: id("a"),
        reason: "failed".to_owned(),
    };
    trips.merge(&trip);
    assert_eq!(view.choose(&trips, WallTime(103_000), 0), Some(id("old")));
}

/// Guards against planned drains that remove more of a service in one step than the cap, or all of it.
#[test]
fn drains_stay_under_cap() {
    let server = |idx: u32| DrainServer {
        id: id(&format!("server-{idx}")),
        slots: SlotCount(3 + idx % 3),
        leaving: idx < 5,
        weight: TrafficShare::WHOLE,
    };
    let mut servers: Vec<_> = (0..12).map(server).collect();
    let cap = TrafficShare::percent(7);
    let mut steps = 0;
    while servers.iter().any(|it| it.leaving && it.weight > TrafficShare::NONE) {
        let step = next_drain(&servers, cap);
        assert!(step.moved <= cap && !step.weights.is_empty());
        for server in &mut servers {
            if let Some(weight) = step.weights.get(&server.id) {
                assert!(server.leaving && *weight < server.weight);
                server.weight = *weight;
            }
        }
        steps += 1;
    }
    // 19 of 48 slots, in steps of at most 7%.
    assert_eq!(steps, 6);
    servers.iter_mut().for_each(|it| it.leaving = true);
    assert_eq!(next_drain(&servers, cap).weights.len(), 0);
}
