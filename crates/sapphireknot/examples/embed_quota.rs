//! Quotas embedded in a program: two workers share the rate limit of one organisation.
//!
//! The library makes the decisions; the program supplies the clock and transports the calls. Both workers run in one
//! process and a local variable replaces the store, so the example needs no other service:
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

/// Duration of the leases; a real program renews them before they expire.
const LEASE: Duration = Duration::from_secs(30);

fn main() -> Result<(), Box<dyn Error>> {
    // The library reads no clock. Each process passes its own monotonic time.
    let start = Instant::now();
    let now = || MonoTime(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));

    let resource: ResourceId = "organisation/acme".parse()?;
    let limits = QuotaLimits { rate: RequestRate::per_second(100), burst: BurstSize(50) };

    // One ledger per process, shared by the threads that handle requests.
    let mut record = QuotaRecord::default();
    let mut ledgers = Vec::new();
    for name in ["left", "right"] {
        let identity = LedgerIdentity::new(name.parse()?, IncarnationId(1));
        let ledger = SharedLedger::new(&identity);
        ledger.ledger(&resource).set_limits(now(), &resource, limits);

        // A real program grants two leases in the store, replaces the record by compare-and-swap and installs the
        // shares only if the write succeeded.
        let sent = now();
        for kind in LeaseKind::ALL {
            ledger.start_lease(now(), kind, sent, LEASE);
        }
        let claimed_at = now();
        let need = ClaimNeed::fair(resource.clone(), 2, TrafficShare::NONE);
        record = claim(&record, None, &identity.host, identity.incarnation, &[need]);
        let shares = record.shares(&resource, &identity.host, identity.incarnation);
        ledger.ledger(&resource).install_claim(now(), &resource, claimed_at, shares);
        ledgers.push((identity, ledger));
    }

    // A new share starts without tokens.
    thread::sleep(Duration::from_millis(300));
    let [(_, left), (identity, right)] = &ledgers[..] else { return Ok(()) };
    let admitted = (0..30).filter(|_| left.try_take(&resource, now())).count();

    // The left worker is out of tokens and borrows from the right one, which deducts the lent share before it replies.
    let borrow_need = left.ledger(&resource).borrow_need(now(), &resource, 10);
    if let Some(wanted) = borrow_need {
        let lender = (&identity.host, identity.incarnation);
        let call = left.ledger(&resource).begin_borrow(now(), &resource, lender, wanted);
        if let Some(call) = call {
            let reply = right.lend(now(), &call);
            left.ledger(&resource).accept(now(), &resource, call.transfer, &reply);
        }
    }
    let admitted_after_borrowing = (0..30).filter(|_| left.try_take(&resource, now())).count();
    writeln!(
        io::stdout(),
        "admitted {admitted} with its own share and {admitted_after_borrowing} after borrowing"
    )?;
    Ok(())
}
