//! Quota ledger of a single host, and quota records.

use std::time::Duration;

use sapphireknot::{
    ids::{HostId, IncarnationId},
    quota::{
        BorrowAnswer, ClaimNeed, GrantShares, LeaseKind, LeaseView, LedgerIdentity, QuotaLedger,
        QuotaLimits, QuotaRecord, ResourceId, claim, release,
    },
    time::MonoTime,
    units::{BurstSize, RequestRate, TrafficShare},
};

const SECOND: u64 = 1_000_000;
const LEASE: Duration = Duration::from_secs(60);

fn resource() -> ResourceId {
    "organisation/a".parse().expect("valid resource")
}

fn host(name: &str) -> HostId {
    name.parse().expect("valid host")
}

/// Returns a ledger that holds a whole resource of 10/s and burst 10, ten seconds after its start, with a full bucket.
fn full_ledger(name: &str, incarnation: u64) -> QuotaLedger {
    let mut ledger = QuotaLedger::new(LedgerIdentity::new(host(name), IncarnationId(incarnation)));
    let limits = QuotaLimits { rate: RequestRate::per_second(10), burst: BurstSize(10) };
    ledger.set_limits(MonoTime(0), &resource(), limits);
    ledger.start_lease(MonoTime(0), LeaseKind::Surplus, MonoTime(0), LEASE);
    let shares = GrantShares { surplus: TrafficShare::WHOLE, ..GrantShares::default() };
    ledger.install_claim(MonoTime(0), &resource(), MonoTime(0), shares);
    ledger.settle(MonoTime(10 * SECOND));
    ledger
}

fn take_all(ledger: &mut QuotaLedger, now: MonoTime) -> usize {
    (0..100).filter(|_| ledger.try_take(now, &resource())).count()
}

/// Guards against a resource name of a peer or an operator that the host parses as another resource.
#[test]
fn resource_text() {
    for text in ["organisation/a", "spill/reports/dublin", "link/dublin/cork"] {
        assert_eq!(text.parse::<ResourceId>().unwrap().to_string(), text);
    }
    for text in ["", "organisation", "organisation/a/b", "spill/reports", "links/a/b", "link//b"] {
        assert!(text.parse::<ResourceId>().is_err(), "{text}");
    }
}

/// Guards against share that is returned twice because calls to an earlier incarnation of the lender arrive after its
/// restart.
#[test]
fn delayed_calls_after_restart() {
    let mut borrower = QuotaLedger::new(LedgerIdentity::new(host("b"), IncarnationId(1)));
    borrower.set_limits(MonoTime(0), &resource(), QuotaLimits::default());
    let mut lender = full_ledger("a", 1);
    let now = MonoTime(10 * SECOND);
    let wanted = (TrafficShare(500_000), Default::default());
    let call = borrower
        .begin_borrow(now, &resource(), (&host("a"), IncarnationId(1)), wanted)
        .expect("a call is due");
    assert!(lender.lend(now, &call).share > TrafficShare::NONE);
    let mut restarted = full_ledger("a", 2);
    assert_eq!(restarted.lend(now, &call), BorrowAnswer::REFUSED);
    let return_call = borrower.abandon(now, &resource(), call.transfer).expect("a call is due");
    assert!(!restarted.take_back(now, &return_call));
    assert!(lender.take_back(now, &return_call));
    assert_eq!(lender.lend(now, &call), BorrowAnswer::REFUSED);
}

/// Guards against a process that uses share whose lease expired while it was paused, or tokens that outlive the lease.
#[test]
fn pause_beyond_lease() {
    let mut ledger = full_ledger("a", 1);
    assert_eq!(take_all(&mut ledger, MonoTime(61 * SECOND)), 0);
    ledger.extend_surplus(MonoTime(61 * SECOND), MonoTime(63 * SECOND));
    assert_eq!(take_all(&mut ledger, MonoTime(62 * SECOND)), 0);
}

/// Guards against a shutdown that releases share in the store while a borrower still uses it.
#[test]
fn release_of_lent_share() {
    let holder = (host("a"), IncarnationId(1));
    let need = ClaimNeed {
        resource: resource(),
        wanted: GrantShares { floor: TrafficShare(0), surplus: TrafficShare::WHOLE },
    };
    let record = claim(&QuotaRecord::default(), None, &holder.0, holder.1, &[need]);
    let lent = GrantShares { floor: TrafficShare(0), surplus: TrafficShare(300_000) };
    let released = release(&record, &holder.0, holder.1, |_| lent);
    assert_eq!(released.unallocated(&resource()), TrafficShare(700_000));
}

/// Guards against a claim that takes share from a holder with a live lease, or more than the whole resource.
#[test]
fn claim_within_whole() {
    let need = ClaimNeed {
        resource: resource(),
        wanted: GrantShares { floor: TrafficShare(200_000), surplus: TrafficShare(600_000) },
    };
    let needs = [need];
    let first = claim(&QuotaRecord::default(), None, &host("a"), IncarnationId(1), &needs);
    let mut view = LeaseView::default();
    view.add(host("a"), LeaseKind::Floor, IncarnationId(1));
    let while_alive = claim(&first, None, &host("b"), IncarnationId(1), &needs);
    assert_eq!(while_alive.shares(&resource(), &host("b"), IncarnationId(1)).total(), 200_000);
    let after_expiry = claim(&first, Some(&view), &host("b"), IncarnationId(1), &needs);
    assert_eq!(after_expiry.shares(&resource(), &host("a"), IncarnationId(1)).total(), 200_000);
    assert_eq!(after_expiry.shares(&resource(), &host("b"), IncarnationId(1)).total(), 800_000);
    assert_eq!(QuotaRecord::decode(&after_expiry.encode().unwrap()).unwrap(), after_expiry);
}

/// Guards against a record that exceeds the store's value limit: 1,400 hosts with grants of 16 organisations each.
#[test]
fn record_size() {
    let hosts: Vec<String> = (0..1_400)
        .map(|idx| {
            format!(r#"["entry-{idx:04}.datacentre-{:02}.example",1764835200000]"#, idx % 39)
        })
        .collect();
    let grants: Vec<String> = (0..1_400).map(|idx| format!("[{idx},142,571]")).collect();
    let resources: Vec<String> = (0..16)
        .map(|idx| format!(r#""organisation/long-name-{idx}":[{}]"#, grants.join(",")))
        .collect();
    let text = format!(r#"{{"hosts":[{}],"grants":{{{}}}}}"#, hosts.join(","), resources.join(","));
    let record = QuotaRecord::decode(text.as_bytes()).expect("valid record");
    let size = record.encode().expect("encodable record").len();
    assert!(size < 500_000, "{size} bytes");
}
