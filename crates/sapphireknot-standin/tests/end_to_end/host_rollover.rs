//! Rolling restart of all hosts.

use sapphireknot_standin::fixture::{
    BookingLoad, BookingOutcome, GenerationSampler, ProcessSignal, ServiceBed, ServicePlan,
};

use crate::support::{WAIT_TIMEOUT, expect_consistent};

/// Guards against a graceful stop that breaks or refuses requests of callers that refresh their look-ups when the cache
/// lifetime ends.
#[tokio::test]
async fn graceful_stops() {
    let mut plan = ServicePlan::small(1);
    plan.bed.timing.insert("cache_lifetime".to_owned(), "1s".into());
    let mut bed = ServiceBed::start(plan).await.unwrap();
    let sampler = GenerationSampler::start(&bed.bed);
    let callers: Vec<_> = ["acme", "beta", "acme"].map(|it| bed.lookup_caller(it)).to_vec();
    let load = BookingLoad::start(&callers, 3);
    for index in 0..3 {
        load.wait_more("bookings are made", 60, WAIT_TIMEOUT, BookingOutcome::is_done)
            .await
            .unwrap();
        bed.bed.signal_host(index, ProcessSignal::Terminate).unwrap();
        let status = bed.bed.hosts()[index].process().wait_exit(WAIT_TIMEOUT).await.unwrap();
        assert!(status.success(), "{status:?}");
        bed.bed.restart_host(index).await.unwrap();
        sampler.update_addresses(&bed.bed);
        callers.iter().for_each(|it| it.replace_entries(bed.entries()));
        bed.wait_ready().await.unwrap();
    }
    load.wait_more("bookings are made", 60, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    let failed: Vec<_> = outcomes.iter().filter(|it| !it.is_done()).collect();
    assert!(
        failed.is_empty(),
        "{} of {} bookings failed: {failed:?}",
        failed.len(),
        outcomes.len()
    );
    expect_consistent(&bed, &outcomes);
    assert_eq!(sampler.regressions(), Vec::<String>::new());
}
