//! Failure detector: a cluster of member tables with message loss, partitions, crashes and restarts.

#![cfg(test)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use arbtest::{arbitrary::Unstructured, arbtest};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    ids::{ConfigGeneration, HostId, IncarnationId},
    membership::{
        MAX_UPDATES, MemberAction, MemberEvent, MemberRecord, MemberSettings, MemberState,
        MemberTable,
    },
    time::MonoTime,
};

const SETTINGS: MemberSettings =
    MemberSettings { suspicion: Duration::from_secs(2), retention: Duration::from_secs(600) };
const HOSTS: usize = 8;
/// Seconds after the end of the faults within which the table of every running host must converge. With eight hosts,
/// each is probed once a second on average, and one probe in four goes to failed hosts.
const CONVERGENCE_SECONDS: usize = 90;

fn record(idx: usize, incarnation: u64) -> MemberRecord {
    let address = format!("10.0.0.{}:7000", idx + 1).parse().unwrap();
    MemberRecord {
        id: format!("h{idx}").parse().unwrap(),
        region: format!("r{}", idx % 3).parse().unwrap(),
        datacentre: format!("d{}", idx % 3).parse().unwrap(),
        peer_address: address,
        caller_address: address,
        incarnation: IncarnationId(incarnation),
        state: MemberState::Alive,
        generation: ConfigGeneration(0),
        drained: ConfigGeneration(0),
        load_permille: 0,
        version: 1,
    }
}

struct Cluster {
    now: MonoTime,
    tables: BTreeMap<HostId, MemberTable>,
    partitioned: BTreeSet<HostId>,
    stopped: BTreeSet<HostId>,
    rng: ChaCha8Rng,
    loss_percent: u32,
    runs: u64,
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let records: Vec<_> = (0..HOSTS).map(|idx| record(idx, 1)).collect();
        let mut cluster = Self {
            now: MonoTime(1_000_000),
            tables: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            stopped: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_percent: 0,
            runs: 1,
        };
        for own in &records {
            cluster.start(own.clone(), &records);
        }
        cluster
    }

    fn start(&mut self, own: MemberRecord, listed: &[MemberRecord]) {
        let table = MemberTable::new(SETTINGS, own.clone());
        let listed = listed.iter().map(|it| MemberRecord {
            incarnation: IncarnationId(0),
            version: 0,
            ..it.clone()
        });
        self.stopped.remove(&own.id);
        self.tables.insert(own.id.clone(), table);
        let seeded = MemberEvent::Seeded(listed.collect());
        self.handle_event(&own.id, seeded);
    }

    fn is_lost(&mut self) -> bool {
        use rand::RngExt;
        self.rng.random_range(0..100) < self.loss_percent
    }

    fn is_reachable(&mut self, from: &HostId, to: &HostId) -> bool {
        let is_partitioned = self.partitioned.contains(from) || self.partitioned.contains(to);
        self.tables.contains_key(to)
            && !self.stopped.contains(to)
            && !is_partitioned
            && !self.is_lost()
    }

    fn send(&mut self, from: &HostId, to: &HostId) {
        let table = self.tables.get_mut(from).unwrap();
        let members = table.updates_for(Some(to), &mut self.rng);
        assert!(members.len() <= MAX_UPDATES, "message exceeds MAX_UPDATES");
        let sent = members.iter().map(|it| it.id.clone()).collect();
        table.handle(self.now, MemberEvent::UpdatesSent(sent), &mut self.rng);
        let sender = Box::new(table.own().clone());
        let received = MemberEvent::MessageReceived { sender, members };
        self.handle_event(to, received);
    }

    /// Sends a request and its reply, each of which may be lost; returns whether the reply arrived.
    fn exchange(&mut self, from: &HostId, to: &HostId) -> bool {
        if !self.is_reachable(from, to) {
            return false;
        }
        self.send(from, to);
        if self.is_lost() {
            return false;
        }
        self.send(to, from);
        true
    }

    fn handle_event(&mut self, host: &HostId, event: MemberEvent) {
        let table = self.tables.get_mut(host).unwrap();
        for action in table.handle(self.now, event, &mut self.rng) {
            match action {
                MemberAction::Probe(target) => {
                    if !self.exchange(host, &target.id) {
                        let MemberRecord { id: target, incarnation, .. } = target;
                        self.handle_event(
                            host,
                            MemberEvent::DirectProbeFailed { target, incarnation },
                        );
                    }
                }
                MemberAction::ProbeVia { target, delegates } => {
                    let mut is_confirmed = false;
                    for delegate in delegates {
                        let is_delegated = self.is_reachable(host, &delegate.id);
                        is_confirmed |= is_delegated && self.exchange(&delegate.id, &target.id);
                    }
                    if !is_confirmed {
                        let MemberRecord { id: target, incarnation, .. } = target;
                        self.handle_event(
                            host,
                            MemberEvent::IndirectProbeFailed { target, incarnation },
                        );
                    }
                }
                MemberAction::Notify(peers) => {
                    for peer in peers {
                        self.exchange(host, &peer.id);
                    }
                }
            }
        }
    }

    fn run_second(&mut self) {
        self.now = self.now.after(Duration::from_secs(1));
        let hosts: Vec<_> = self.tables.keys().cloned().collect();
        for host in
            hosts.iter().filter(|it| !self.stopped.contains(*it)).cloned().collect::<Vec<_>>()
        {
            self.handle_event(&host, MemberEvent::TimePassed);
            self.handle_event(&host, MemberEvent::ProbeDue);
        }
    }

    fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
        let idx = u.int_in_range(0..=HOSTS - 1)?;
        let host: HostId = format!("h{idx}").parse().unwrap();
        match u.int_in_range(0..=6)? {
            0 => drop(self.tables.remove(&host)),
            1 => {
                self.runs += 1;
                let listed: Vec<_> = (0..HOSTS).map(|idx| record(idx, 1)).collect();
                // Higher than any incarnation that an earlier run reached by refutations.
                self.start(record(idx, self.runs * 1_000_000), &listed);
            }
            2 => drop(self.partitioned.insert(host)),
            3 => drop(self.partitioned.remove(&host)),
            4 => self.loss_percent = u.int_in_range(0..=60)?,
            5 if self.tables.contains_key(&host) && !self.stopped.contains(&host) => {
                self.handle_event(&host, MemberEvent::LeaveBegan);
                self.handle_event(&host, MemberEvent::LeaveEnded);
                self.stopped.insert(host);
            }
            _ => {}
        }
        for _ in 0..u.int_in_range(0..=8)? {
            self.run_second();
        }
        Ok(())
    }

    fn check_convergence(&mut self) {
        self.loss_percent = 0;
        self.partitioned.clear();
        for _ in 0..CONVERGENCE_SECONDS {
            self.run_second();
        }
        let running = |id: &HostId| self.tables.contains_key(id) && !self.stopped.contains(id);
        let is_single_host = self.tables.keys().filter(|it| running(it)).count() < 2;
        for (host, table) in self.tables.iter().filter(|(id, _)| running(id)) {
            assert_eq!(table.own().state, MemberState::Alive);
            for member in table.members() {
                if running(&member.id) {
                    let current = self.tables[&member.id].own().incarnation;
                    assert_eq!(member.state, MemberState::Alive, "{host} about {}", member.id);
                    assert_eq!(member.incarnation, current, "{host} about {}", member.id);
                } else if !is_single_host {
                    assert!(!member.state.is_live(), "{host} considers {} live", member.id);
                }
            }
        }
    }
}

/// Guards against a running, reachable host that stays failed, and against a stopped one that stays alive.
#[test]
fn converges_after_faults() {
    for size in [64_u64, 256, 1_024] {
        for seed in 0..20_u64 {
            arbtest(|u| {
                let mut cluster = Cluster::new(u.arbitrary()?);
                while !u.is_empty() {
                    cluster.inject_fault(u)?;
                }
                cluster.check_convergence();
                Ok(())
            })
            .seed((seed << 32) | size)
            .run();
        }
    }
}

/// Guards against a host that is marked failed after one missed probe, and against a table that ignores the refutation.
#[test]
fn refute_suspicion() {
    let mut cluster = Cluster::new(1);
    let (host, other): (HostId, HostId) = ("h0".parse().unwrap(), "h1".parse().unwrap());
    let incarnation = IncarnationId(1);
    for _ in 0..20 {
        cluster.run_second();
    }
    cluster.partitioned.insert(other.clone());
    let missed = MemberEvent::IndirectProbeFailed { target: other.clone(), incarnation };
    cluster.handle_event(&host, missed);
    assert_eq!(cluster.tables[&host].member(&other).unwrap().state, MemberState::Suspect);
    cluster.partitioned.clear();
    for _ in 0..10 {
        cluster.run_second();
    }
    let member = cluster.tables[&host].member(&other).unwrap();
    assert_eq!(member.state, MemberState::Alive);
    assert!(member.incarnation > incarnation);
}

/// Guards against a share of probes across regions that differs from one in five.
#[test]
fn cross_region_share() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut table = MemberTable::new(SETTINGS, record(0, 1));
    let listed = (1..12).map(|idx| record(idx, 0)).collect();
    table.handle(MonoTime(1), MemberEvent::Seeded(listed), &mut rng);
    let mut cross_region = 0;
    for _ in 0..1_000 {
        for action in table.handle(MonoTime(1), MemberEvent::ProbeDue, &mut rng) {
            let MemberAction::Probe(target) = action else { panic!("{action:?}") };
            cross_region += usize::from(target.region != table.own().region);
        }
    }
    assert!((150..250).contains(&cross_region), "{cross_region} of 1000");
}
