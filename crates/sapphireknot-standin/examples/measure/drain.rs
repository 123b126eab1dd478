//! Graceful shutdowns of hosts under load, with every component as a separate process.

use std::{
    error::Error,
    sync::Arc,
    time::{Duration, Instant},
};

use sapphireknot_standin::{
    client::HttpCall,
    fixture::{ProcessSignal, ServiceBed, ServicePlan},
    load::{CallerPlan, LoadPlan, LookupCaller},
};

use crate::table::{MeasureRun, MeasureTable, quantile};

/// Cache lifetime of look-ups in the callers, in seconds.
const CACHE_LIFETIME_SECONDS: u64 = 1;
/// Requests per second to all hosts together.
const REQUEST_RATE: f64 = 150.0;
/// Duration of the load around one shutdown.
const LOAD_DURATION: Duration = Duration::from_secs(6);

/// Shuts down one host after the other and counts interrupted and refused requests.
pub(crate) fn measure(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(measure_shutdowns(run))
}

async fn measure_shutdowns(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let shutdowns = if run.is_small { 1 } else { 20 };
    let mut plan = ServicePlan::small(1);
    plan.bed
        .timing
        .insert("cache_lifetime".to_owned(), format!("{CACHE_LIFETIME_SECONDS}s").into());
    let mut bed = ServiceBed::start(plan).await?;
    let (mut durations, mut failed_exits) = (Vec::new(), 0);
    let (mut total, mut interrupted, mut refused) = (0, 0, std::collections::BTreeMap::new());
    for shutdown in 0..shutdowns {
        run.step(format!("shutdown {} of {shutdowns}", shutdown + 1));
        let index = shutdown % bed.bed.hosts().len();
        let callers: Vec<_> =
            ["acme", "beta"].iter().map(|it| Arc::new(lookup_caller(&bed, it))).collect();
        let fetch = HttpCall::get("/reports/items/1");
        let load = LoadPlan {
            rate: REQUEST_RATE,
            span: LOAD_DURATION,
            seed: run.seed + shutdown as u64,
            mix: vec![
                (2, 0, fetch.clone()),
                (1, 1, fetch),
                (1, 0, ServiceBed::booking(&format!("b{shutdown}"))),
            ],
        };
        let host = &bed.bed.hosts()[index];
        let stop_host = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let started = Instant::now();
            host.process().signal(ProcessSignal::Terminate)?;
            let status = host.process().wait_exit(Duration::from_secs(60)).await?;
            Ok::<_, Box<dyn Error>>((started.elapsed().as_secs_f64(), status))
        };
        let (summary, shutdown_result) = tokio::join!(load.run(&callers), stop_host);
        let (duration, status) = shutdown_result?;
        durations.push(duration);
        failed_exits += usize::from(!status.success());
        total += summary.total();
        interrupted += summary.by_failure.values().sum::<u64>();
        for (reason, count) in summary.by_reason {
            *refused.entry(reason).or_insert(0) += count;
        }
        bed.bed.restart_host(index).await?;
        bed.wait_ready().await?;
    }
    durations.sort_by(f64::total_cmp);
    let columns =
        ["stops", "exit codes not 0", "requests", "cut", "refused", "drain p50 s", "drain max s"];
    let title = format!(
        "drain: {REQUEST_RATE} requests a second, caches of {CACHE_LIFETIME_SECONDS} s, seeds from {}",
        run.seed
    );
    let mut table = MeasureTable::new(title, &columns);
    table.push(&[
        &shutdowns,
        &failed_exits,
        &total,
        &interrupted,
        &format!("{refused:?}"),
        &format!("{:.2}", quantile(&durations, 0.5)),
        &format!("{:.2}", quantile(&durations, 1.0)),
    ]);
    Ok(vec![table])
}

/// Returns a caller for `organisation` that knows the addresses of all hosts.
fn lookup_caller(bed: &ServiceBed, organisation: &str) -> LookupCaller {
    let entries = bed.bed.hosts().iter().map(|it| it.caller_address()).collect();
    let plan = CallerPlan {
        client: [127, 0, 0, 1].into(),
        organisation: organisation.to_owned(),
        key: Some(format!("{organisation}-key")),
        entries,
        direct: false,
    };
    LookupCaller::new(plan, Duration::from_secs(10))
}
