//! Outcome counts on a new version, as a host keeps and sends them.

use sapphireknot::{
    ids::IncarnationId,
    steering::evidence::{
        EvidencePosition, EvidenceTable, HostEvidence, OutcomeQuality, OwnEvidence, RegionEvidence,
        VersionCounts, VersionTally, is_bad,
    },
};

use crate::support::{at, id};

fn counts(requests: u32, failures: u32) -> VersionCounts {
    let new = VersionTally { requests, failures, slow: 0 };
    VersionCounts {
        new,
        old: VersionTally { requests: 100, ..VersionTally::default() },
        explained: 0.0,
    }
}

fn evidence(name: &str, incarnation: u64, counts: VersionCounts) -> HostEvidence {
    let incarnation = IncarnationId(incarnation);
    let (service, seen) = (id("reports"), at(0));
    HostEvidence { service, order: 7, host: id(name), incarnation, seen, counts }
}

/// A message that arrives twice, late or not at all must not change the sum, and nothing may be sent again unless it
/// changed.
#[test]
fn repeated_messages() {
    let mut table = EvidenceTable::default();
    let sum = |table: &EvidenceTable| {
        let sums = table.own_region(&id("east"), None, EvidencePosition::default());
        sums.first().map_or((0, 0), |it| (it.sum.new.requests, it.sum.new.failures))
    };
    table.add_host(evidence("h1", 1, counts(10, 2)));
    table.add_host(evidence("h2", 1, counts(20, 1)));
    assert_eq!(sum(&table), (30, 3));
    let sent = table.position();
    table.add_host(evidence("h1", 1, counts(10, 2)));
    table.add_host(evidence("h1", 1, counts(5, 1)));
    assert_eq!(sum(&table), (30, 3), "repeated and late messages");
    assert_eq!(table.position(), sent, "nothing to send");
    assert!(table.own_region(&id("east"), None, sent).is_empty());
    table.add_host(evidence("h1", 1, counts(16, 4)));
    assert_eq!(sum(&table), (36, 5), "cumulative counts after a lost message");
    let changed = table.own_region(&id("east"), Some(&id("h1")), sent);
    assert!(
        changed.iter().all(|it| it.sum.new.requests == 20),
        "sum with the counts of its receiver"
    );
    table.add_host(evidence("h1", 2, counts(1, 0)));
    assert_eq!(sum(&table), (21, 1), "counts of a new incarnation");
    table.add_host(evidence("h1", 1, counts(17, 4)));
    assert_eq!(sum(&table), (21, 1), "late counts of an earlier incarnation");
    table.add_host(HostEvidence { order: 9, ..evidence("h3", 1, counts(2, 0)) });
    assert_eq!(sum(&table), (2, 0), "counts of a later order");
}

/// The time at which an order was first seen varies slightly between messages. The earliest one must reach the other
/// hosts, but a small difference alone must not cause new messages.
#[test]
fn repeated_ages() {
    let mut table = EvidenceTable::default();
    table.add_host(HostEvidence { seen: at(6_000), ..evidence("h1", 1, counts(10, 2)) });
    table.add_host(HostEvidence { seen: at(300), ..evidence("h2", 1, counts(0, 0)) });
    let sums = table.own_region(&id("east"), None, EvidencePosition::default());
    assert_eq!(sums[0].seen, at(300), "not the earliest time of the region");
    let mut other = EvidenceTable::default();
    other.add_region(sums[0].clone());
    let sent = (table.position(), other.position());
    table.add_host(HostEvidence { seen: at(305), ..evidence("h2", 1, counts(0, 0)) });
    other.add_region(RegionEvidence { seen: at(305), ..sums[0].clone() });
    assert_eq!((table.position(), other.position()), sent, "nothing to send");
}

/// A host without a collector must evaluate the version by its own requests.
#[test]
fn own_counts() {
    assert!(is_bad(counts(4, 4), [].iter()));
    assert!(!is_bad(counts(40, 2), [].iter()));
}

/// The last outcomes of the old version are those of its slowest requests and contain more failures. They must not
/// explain failures of a new version that receives all requests by then.
#[test]
fn last_outcomes() {
    let mut own = OwnEvidence::default();
    for idx in 0..300 {
        let quality = if idx % 100 == 0 { OutcomeQuality::Failed } else { OutcomeQuality::Good };
        own.record(idx % 30 == 0, quality);
    }
    let before = own.counts();
    for idx in 0..60 {
        let is_last = idx % 20 == 0;
        let quality = if is_last { OutcomeQuality::Failed } else { OutcomeQuality::Good };
        own.record(!is_last, quality);
    }
    let counts = own.counts() - before;
    assert_eq!((counts.old.failures, counts.new.requests), (3, 57));
    assert!(counts.explained < 5.0, "{counts:?}");
}
