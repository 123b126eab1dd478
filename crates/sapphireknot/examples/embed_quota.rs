//! Quotas in a program of its own: two workers share the rate of one organisation.
//!
//! The program supplies the clock and carries the calls; the library decides. Here both workers live in one process and
//! the store is a variable, so that the example runs by itself:
//!
//! `cargo run -p sapphireknot --example embed_quota`

use std::{
    error::Error,
    io::{self, Write},
    thread,
    time::{Duration, Instant},
};

use sapphireknot::{
    ids::IncarnationId,
    quota::{
        ClaimNeed, LeaseKind, LedgerIdentity, QuotaLimits, QuotaRecord, ResourceId, SharedLedger,
        claim,
    },
    time::MonoTime,
    units::{BurstSize, RequestRate, TrafficShare},
};

/// Lease of the grants; a real program renews it before it ends.
const LEASE: Duration = Duration::from_secs(30);

fn main() -> Result<(), Box<dyn Error>> {
    // The library reads no clock. Each process passes its own monotonic time.
    let start = Instant::now();
    let now = || MonoTime(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));

    let resource: ResourceId = "organisation/acme".parse()?;
    let limits = QuotaLimits { rate: RequestRate::per_second(100), burst: BurstSize(50) };

    // One ledger per process. Requests may use it from any thread.
    let mut record = QuotaRecord::default();
    let mut ledgers = Vec::new();
    for name in ["left", "right"] {
        let identity = LedgerIdentity::new(name.parse()?, IncarnationId(1));
        let ledger = SharedLedger::new(&identity);
        ledger.ledger(&resource).set_limits(now(), &resource, limits);

        // A real program creates two leases, then replaces the record by compare-and-swap and uses the shares only if
        // that was answered with success.
        let sent = now();
        for kind in LeaseKind::ALL {
            ledger.start_lease(now(), kind, sent, LEASE);
        }
        let began = now();
        let need = ClaimNeed::fair(resource.clone(), 2, TrafficShare::NONE);
        record = claim(&record, None, &identity.host, identity.incarnation, &[need]);
        let shares = record.shares(&resource, &identity.host, identity.incarnation);
        ledger.ledger(&resource).install_claim(now(), &resource, began, shares);
        ledgers.push((identity, ledger));
    }

    // New share starts without tokens.
    thread::sleep(Duration::from_millis(300));
    let [(_, left), (identity, right)] = &ledgers[..] else { return Ok(()) };
    let admitted = (0..30).filter(|_| left.try_take(&resource, now())).count();

    // The left worker is short: it asks the right one, which subtracts what it lends before it answers.
    let need = left.ledger(&resource).borrow_need(now(), &resource, 10);
    if let Some(wanted) = need {
        let lender = (&identity.host, identity.incarnation);
        let call = left.ledger(&resource).begin_borrow(now(), &resource, lender, wanted);
        if let Some(call) = call {
            let answer = right.lend(now(), &call);
            left.ledger(&resource).accept(now(), &resource, call.transfer, &answer);
        }
    }
    let more = (0..30).filter(|_| left.try_take(&resource, now())).count();
    writeln!(io::stdout(), "admitted {admitted} with the own share and {more} after borrowing")?;
    Ok(())
}
