//! Graceful shutdowns of hosts under load, with all parts as separate processes.

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

/// Time for which callers cache a look-up, in seconds.
const CACHE_SECONDS: u64 = 1;
/// Requests a second to all hosts together.
const RATE: f64 = 150.0;
/// Time of load around one stop.
const SPAN: Duration = Duration::from_secs(6);

/// Measures the stops of one host after the other.
pub(crate) fn measure(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(measure_stops(run))
}

async fn measure_stops(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let stops = if run.is_small { 1 } else { 20 };
    let mut plan = ServicePlan::small(1);
    plan.bed.timing.insert("cache_lifetime".to_owned(), format!("{CACHE_SECONDS}s").into());
    let mut bed = ServiceBed::start(plan).await?;
    let (mut times, mut codes) = (Vec::new(), 0);
    let (mut total, mut cut, mut refused) = (0, 0, std::collections::BTreeMap::new());
    for stop in 0..stops {
        run.step(format!("stop {} of {stops}", stop + 1));
        let index = stop % bed.bed.hosts().len();
        let callers: Vec<_> =
            ["acme", "beta"].iter().map(|it| Arc::new(caller(&bed, it))).collect();
        let fetch = HttpCall::get("/reports/items/1");
        let load = LoadPlan {
            rate: RATE,
            span: SPAN,
            seed: run.seed + stop as u64,
            mix: vec![
                (2, 0, fetch.clone()),
                (1, 1, fetch),
                (1, 0, ServiceBed::booking(&format!("b{stop}"))),
            ],
        };
        let host = &bed.bed.hosts()[index];
        let stopped = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let began = Instant::now();
            host.process().signal(ProcessSignal::Terminate)?;
            let status = host.process().wait_exit(Duration::from_secs(60)).await?;
            Ok::<_, Box<dyn Error>>((began.elapsed().as_secs_f64(), status))
        };
        let (summary, stopped) = tokio::join!(load.run(&callers), stopped);
        let (time, status) = stopped?;
        times.push(time);
        codes += usize::from(!status.success());
        total += summary.total();
        cut += summary.by_failure.values().sum::<u64>();
        for (reason, count) in summary.by_reason {
            *refused.entry(reason).or_insert(0) += count;
        }
        bed.bed.restart_host(index).await?;
        bed.wait_ready().await?;
    }
    times.sort_by(f64::total_cmp);
    let columns =
        ["stops", "exit codes not 0", "requests", "cut", "refused", "drain p50 s", "drain max s"];
    let title = format!(
        "drain: {RATE} requests a second, caches of {CACHE_SECONDS} s, seeds from {}",
        run.seed
    );
    let mut table = MeasureTable::new(title, &columns);
    table.push(&[
        &stops,
        &codes,
        &total,
        &cut,
        &format!("{refused:?}"),
        &format!("{:.2}", quantile(&times, 0.5)),
        &format!("{:.2}", quantile(&times, 1.0)),
    ]);
    Ok(vec![table])
}

fn caller(bed: &ServiceBed, organisation: &str) -> LookupCaller {
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
