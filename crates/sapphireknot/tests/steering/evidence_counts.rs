//! Counts of outcomes on a new version, as a host keeps and tells them.

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

/// A message that comes twice, late or not at all must not change the sum, and nothing is told twice without a change.
#[test]
fn repeated_messages() {
    let mut board = EvidenceTable::default();
    let sum = |board: &EvidenceTable| {
        let sums = board.own_region(&id("east"), None, EvidencePosition::default());
        sums.first().map_or((0, 0), |it| (it.sum.new.requests, it.sum.new.failures))
    };
    board.add_host(evidence("h1", 1, counts(10, 2)));
    board.add_host(evidence("h2", 1, counts(20, 1)));
    assert_eq!(sum(&board), (30, 3));
    let told = board.position();
    board.add_host(evidence("h1", 1, counts(10, 2)));
    board.add_host(evidence("h1", 1, counts(5, 1)));
    assert_eq!(sum(&board), (30, 3), "repeated and late");
    assert_eq!(board.position(), told, "nothing to tell");
    assert!(board.own_region(&id("east"), None, told).is_empty());
    board.add_host(evidence("h1", 1, counts(16, 4)));
    assert_eq!(sum(&board), (36, 5), "cumulative, so that a lost one between does no harm");
    let changed = board.own_region(&id("east"), Some(&id("h1")), told);
    assert!(
        changed.iter().all(|it| it.sum.new.requests == 20),
        "without the counts of the host that is told"
    );
    board.add_host(evidence("h1", 2, counts(1, 0)));
    assert_eq!(sum(&board), (21, 1), "another incarnation counts anew");
    board.add_host(evidence("h1", 1, counts(17, 4)));
    assert_eq!(sum(&board), (21, 1), "an earlier incarnation is late");
    board.add_host(HostEvidence { order: 9, ..evidence("h3", 1, counts(2, 0)) });
    assert_eq!(sum(&board), (2, 0), "a later order counts alone");
}

/// The time at which an order was seen comes with each message a little different; it must reach other hosts, but alone it
/// must not be told again and again.
#[test]
fn repeated_ages() {
    let mut board = EvidenceTable::default();
    board.add_host(HostEvidence { seen: at(6_000), ..evidence("h1", 1, counts(10, 2)) });
    board.add_host(HostEvidence { seen: at(300), ..evidence("h2", 1, counts(0, 0)) });
    let sums = board.own_region(&id("east"), None, EvidencePosition::default());
    assert_eq!(sums[0].seen, at(300), "the earliest of the region");
    let mut other = EvidenceTable::default();
    other.add_region(sums[0].clone());
    let told = (board.position(), other.position());
    board.add_host(HostEvidence { seen: at(305), ..evidence("h2", 1, counts(0, 0)) });
    other.add_region(RegionEvidence { seen: at(305), ..sums[0].clone() });
    assert_eq!((board.position(), other.position()), told, "nothing to tell");
}

/// A host without a collector must judge by its own requests.
#[test]
fn own_counts() {
    assert!(is_bad(counts(4, 4), [].iter()));
    assert!(!is_bad(counts(40, 2), [].iter()));
}

/// Guards against the last outcomes of the old version, the slowest of its requests, as an explanation for failures of a
/// new version that has taken over.
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
