//! Quota of an organisation over twelve hosts in three regions, measured at the backend servers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::Method;
use sapphireknot_standin::{
    backend::BackendPlan,
    client::HttpCall,
    fault::FaultRule,
    fixture::{OrganisationPlan, ProcessSignal, ServiceBed, ServicePlan},
    load::{CallerPlan, LoadPlan, LoadSummary, LookupCaller},
    store::{OutageKind, StoreFaults},
};
use tokio::{sync::RwLock, task::JoinHandle, time::sleep};

/// Number of hosts of the test bed.
const HOSTS: usize = 12;
/// Rate of the organisation, in requests per second.
const RATE: u64 = 200;
/// Burst of the organisation. If the share of one host is used twice, the excess reaches this number within 2 s.
const BURST: u64 = 40;
/// Interval between two counts at the backend servers.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// Delay between the grant of a token and the arrival at a backend server on a machine that is busy with other tests.
const ARRIVAL_LAG: Duration = Duration::from_millis(300);
/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Tests that check bounds run concurrently; the one that counts refusals runs alone, because another test bed would
/// disturb its timing.
static TEST_LOCK: RwLock<()> = RwLock::const_new(());

/// Number of admitted requests, with the time span in which it was read.
#[derive(Debug, Clone, Copy)]
struct AdmittedCount {
    /// Time before the first backend server was queried.
    began: Instant,
    /// Time after the last backend server answered.
    ended: Instant,
    count: u64,
}

struct QuotaBed {
    bed: ServiceBed,
}

impl QuotaBed {
    async fn start() -> Self {
        let mut plan = ServicePlan::small(4);
        let lease = |it: &str| serde_json::Value::from(it);
        plan.bed.timing.insert("short_lease".to_owned(), lease("5s"));
        // The floor of a killed host must be reclaimed within the test.
        plan.bed.timing.insert("long_lease".to_owned(), lease("6s"));
        for server in &mut plan.servers {
            let fast =
                BackendPlan { slots: 200, base_us: 100, mean_us: 100, ..server.plan.clone() };
            server.plan = fast;
        }
        let rate = format!("{RATE}/s");
        plan.organisations = vec![OrganisationPlan { id: "acme".to_owned(), rate, burst: BURST }];
        Self { bed: ServiceBed::start(plan).await.expect("a running bed") }
    }

    /// Sends non-idempotent requests, which are never retried, directly to `hosts` without look-ups.
    fn send_load(&self, hosts: &[usize], rate: f64, span: Duration) -> JoinHandle<LoadSummary> {
        let callers: Vec<_> = hosts
            .iter()
            .map(|&host| {
                let entry = self.bed.bed.hosts()[host].caller_address();
                let plan = CallerPlan {
                    client: entry.ip(),
                    organisation: "acme".to_owned(),
                    key: Some("acme-key".to_owned()),
                    entries: vec![entry],
                    direct: true,
                };
                Arc::new(LookupCaller::new(plan, REQUEST_TIMEOUT))
            })
            .collect();
        let call = HttpCall::new(Method::POST, "/reports/book");
        let mix = (0..callers.len()).map(|it| (1, it, call.clone())).collect();
        let plan = LoadPlan { rate, span, seed: 7, mix };
        tokio::spawn(async move { plan.run(&callers).await })
    }

    async fn count(&self) -> AdmittedCount {
        let began = Instant::now();
        let count = self.bed.counts().await.expect("counts").iter().map(|it| it.begun).sum();
        AdmittedCount { began, ended: Instant::now(), count }
    }

    /// Appends counts at intervals of `COUNT_INTERVAL` for `time`.
    async fn count_for(&self, time: Duration, counts: &mut Vec<AdmittedCount>) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            counts.push(self.count().await);
            sleep(COUNT_INTERVAL).await;
        }
        counts.push(self.count().await);
    }

    async fn set_store_faults(&self, faults: StoreFaults) {
        let control = self.bed.bed.store().addresses.control;
        let caller = self.bed.bed.caller();
        caller.write_control(control, Method::PUT, "/faults", &faults).await.expect("faults");
    }
}

/// Asserts that every window between two counts stays within rate and burst.
fn assert_within_quota(counts: &[AdmittedCount]) {
    for (idx, first) in counts.iter().enumerate() {
        for last in &counts[idx + 1..] {
            let window = last.ended.duration_since(first.began) + ARRIVAL_LAG;
            let allowed = RATE as f64 * window.as_secs_f64() + BURST as f64;
            let admitted = last.count - first.count;
            assert!(
                admitted as f64 <= allowed,
                "{admitted} requests admitted in {window:?}, {allowed} allowed"
            );
        }
    }
}

/// Admitted requests per second between two counts.
fn admitted_rate(counts: &[AdmittedCount]) -> f64 {
    let (first, last) = (counts[0], counts[counts.len() - 1]);
    let time = last.began.duration_since(first.began);
    (last.count - first.count) as f64 / time.as_secs_f64()
}

/// Guards against shares or tokens that two hosts use at the same time, after a host was killed and restarted or was
/// frozen for longer than its leases last.
#[tokio::test]
async fn bounds_with_failing_hosts() {
    let _guard = TEST_LOCK.read().await;
    let mut quota = QuotaBed::start().await;
    let hosts: Vec<_> = (0..HOSTS).collect();
    let load = quota.send_load(&hosts, 5.0 * RATE as f64, Duration::from_secs(14));
    let mut counts = Vec::new();
    quota.count_for(Duration::from_secs(1), &mut counts).await;
    quota.bed.bed.signal_host(1, ProcessSignal::Freeze).unwrap();
    quota.bed.bed.signal_host(6, ProcessSignal::Kill).unwrap();
    quota.bed.bed.restart_host(5).await.unwrap();
    let restarted = quota.send_load(&[5], RATE as f64, Duration::from_secs(11));
    quota.count_for(Duration::from_secs(9), &mut counts).await;
    quota.bed.bed.signal_host(1, ProcessSignal::Thaw).unwrap();
    quota.count_for(Duration::from_secs(3), &mut counts).await;
    assert_within_quota(&counts);
    let rate = admitted_rate(&counts);
    assert!(rate > 0.5 * RATE as f64, "the remaining hosts admit only {rate} requests/s");
    assert!(load.await.unwrap().succeeded() > 0);
    assert!(restarted.await.unwrap().succeeded() > 0, "the restarted host admits nothing");
}

/// Guards against surplus that is reclaimed while its holder still uses it, because the store is down, unreachable or
/// does not acknowledge writes that took effect, and against an outage that blocks an organisation.
#[tokio::test]
async fn bounds_without_store() {
    let _guard = TEST_LOCK.read().await;
    let quota = QuotaBed::start().await;
    let hosts: Vec<_> = (0..HOSTS).collect();
    let load = quota.send_load(&hosts, 5.0 * RATE as f64, Duration::from_secs(18));
    let mut counts = Vec::new();
    quota.count_for(Duration::from_secs(1), &mut counts).await;
    let outage = Some(OutageKind::Silent);
    quota.set_store_faults(StoreFaults { outage, ..StoreFaults::default() }).await;
    quota.count_for(Duration::from_secs(5), &mut counts).await;
    // By now every short lease would have expired without renewal, and the floors alone would admit a fifth of the
    // rate.
    let mut outage_counts = Vec::new();
    quota.count_for(Duration::from_millis(1_500), &mut outage_counts).await;
    let rate = admitted_rate(&outage_counts);
    assert!(rate > 0.5 * RATE as f64, "only {rate} requests/s admitted during the outage");
    counts.extend(outage_counts);
    let lost_answers = FaultRule::share(0.3);
    quota.set_store_faults(StoreFaults { lost_answers, ..StoreFaults::default() }).await;
    quota.count_for(Duration::from_secs(1), &mut counts).await;
    // Partition the third region from the others and the store.
    let (connected, isolated) = (&hosts[..8], &hosts[8..]);
    quota.bed.bed.cut(connected, isolated);
    quota.bed.bed.cut_store(isolated);
    quota.count_for(Duration::from_secs(6), &mut counts).await;
    quota.bed.bed.heal_store(isolated);
    quota.bed.bed.heal(connected, isolated);
    quota.count_for(Duration::from_secs(2), &mut counts).await;
    assert_within_quota(&counts);
    assert!(load.await.unwrap().succeeded() > 0);
}

/// Guards against shares that stay at hosts without demand. After a warm-up, at most 1 in 100 requests within the rate
/// may be refused.
#[tokio::test]
async fn demand_at_one_host() {
    let _guard = TEST_LOCK.write().await;
    let quota = QuotaBed::start().await;
    let rate = 0.8 * RATE as f64;
    let warm_up = quota.send_load(&[0], rate, Duration::from_secs(3));
    warm_up.await.unwrap();
    let summary = quota.send_load(&[0], rate, Duration::from_secs(5)).await.unwrap();
    let (succeeded, total) = (summary.succeeded(), summary.total());
    assert!(
        succeeded * 100 >= total * 99,
        "{succeeded} of {total} requests succeeded: {:?}",
        summary.by_reason
    );
}
