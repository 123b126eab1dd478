//! Compares requests forwarded by a host with requests sent directly to a backend server, on loopback.
//!
//! The host, the store, the host list and the backend server are separate processes; the load generator runs in this
//! one. The load is open loop, and latency counts from the scheduled send time of a request.

use std::{error::Error, sync::Arc, time::Duration};

use sapphireknot_standin::{
    client::HttpCall,
    fixture::{BedPlan, RegionPlan, ServiceBed, ServicePlan},
    load::{CallerPlan, LoadPlan, LookupCaller},
};

use crate::{
    table::{MeasureRun, MeasureTable},
    usage::{cpu_time, mebibytes, resident_bytes},
};

/// Measures latency and host CPU time at several request rates.
pub(crate) fn measure(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(measure_rates(run))
}

/// Returns the plan of one host and one backend server, with quotas above every measured rate.
fn single_host_plan() -> ServicePlan {
    let mut plan = ServicePlan::small(1);
    let region = RegionPlan { id: "east".to_owned(), datacentres: vec![("east-a".to_owned(), 1)] };
    plan.bed = BedPlan { regions: vec![region], ..BedPlan::default() };
    plan.servers.truncate(1);
    let backend = &mut plan.servers[0].plan;
    // Enough slots and no service time, so that the backend server does not limit the rate.
    (backend.slots, backend.base_us, backend.mean_us) = (256, 0, 0);
    for organisation in &mut plan.organisations {
        (organisation.rate, organisation.burst) = ("100000/s".to_owned(), 100_000);
    }
    plan
}

async fn measure_rates(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let (rates, seconds): (&[f64], u64) =
        if run.is_small { (&[200.0], 2) } else { (&[200.0, 1_000.0, 2_000.0, 4_000.0], 10) };
    let bed = ServiceBed::start(single_host_plan()).await?;
    let host = &bed.bed.hosts()[0];
    let backend = bed.bed.backends()[0].addresses.backend;
    let columns = [
        "path",
        "rate/s",
        "requests",
        "failed",
        "p50 us",
        "p99 us",
        "host us/request",
        "requests/s/core",
        "host MiB",
    ];
    let title = format!("forward: {seconds} s a rate, open loop, seed {}", run.seed);
    let mut table = MeasureTable::new(title, &columns);
    for &rate in rates {
        for (path, address) in [("direct", backend), ("forwarded", host.caller_address())] {
            run.step(format!("{path}, {rate} requests per second"));
            let caller = LookupCaller::new(
                CallerPlan {
                    client: [127, 0, 0, 1].into(),
                    organisation: "acme".to_owned(),
                    key: Some("acme-key".to_owned()),
                    entries: vec![address],
                    direct: true,
                },
                Duration::from_secs(5),
            );
            let load = LoadPlan {
                rate,
                span: Duration::from_secs(seconds),
                seed: run.seed,
                mix: vec![(1, 0, HttpCall::get("/reports/items/1"))],
            };
            let id = Some(host.process().id());
            let before = cpu_time(id);
            let summary = load.run(&[Arc::new(caller)]).await;
            let cpu_per_request = (cpu_time(id) - before).as_secs_f64() / summary.total() as f64;
            let is_host = path == "forwarded";
            let requests_per_core =
                if is_host { format!("{:.0}", 1.0 / cpu_per_request) } else { "-".to_owned() };
            table.push(&[
                &path,
                &rate,
                &summary.total(),
                &(summary.total() - summary.succeeded()),
                &summary.latency.value_at_quantile(0.5),
                &summary.latency.value_at_quantile(0.99),
                &format!("{:.0}", cpu_per_request * 1e6),
                &requests_per_core,
                &mebibytes(resident_bytes(id)),
            ]);
        }
    }
    Ok(vec![table])
}
