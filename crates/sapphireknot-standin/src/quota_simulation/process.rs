//! Host process of the quota simulation.

use sapphireknot::{
    ids::{HostId, IncarnationId},
    quota::{
        BorrowCall, GiveBackCall, LedgerIdentity, QuotaLedger, QuotaLimits, ReclaimGuard,
        ResourceId,
    },
    time::MonoTime,
};

use super::SimulationEvent;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessState {
    Running,
    Paused,
    Dead,
}

#[derive(Debug)]
pub(super) struct SimulatedProcess {
    pub(super) host: HostId,
    pub(super) incarnation: IncarnationId,
    pub(super) ledger: QuotaLedger,
    pub(super) state: ProcessState,
    pub(super) is_stopping: bool,
    /// Whether the process is partitioned from the store.
    pub(super) is_partitioned: bool,
    /// Events that arrived while the process was paused.
    pub(super) inbox: Vec<SimulationEvent>,
    pub(super) leases: [Option<u64>; 2],
    pub(super) reclaim_guard: ReclaimGuard,
    /// Borrow calls sent so far with their lenders, for retries and duplicates.
    pub(super) borrows: Vec<(HostId, BorrowCall)>,
    pub(super) give_backs: Vec<GiveBackCall>,
    pub(super) limits: Vec<QuotaLimits>,
    clock_offset: u64,
    clock_ppm: u64,
}

impl SimulatedProcess {
    pub(super) fn new(
        host: HostId,
        incarnation: IncarnationId,
        clock: (u64, u64),
        now: u64,
        limits: &[(ResourceId, QuotaLimits)],
    ) -> Self {
        let ledger = QuotaLedger::new(LedgerIdentity::new(host.clone(), incarnation));
        let mut process = Self {
            host,
            incarnation,
            ledger,
            state: ProcessState::Running,
            is_stopping: false,
            is_partitioned: false,
            inbox: Vec::new(),
            leases: [None; 2],
            reclaim_guard: ReclaimGuard::default(),
            borrows: Vec::new(),
            give_backs: Vec::new(),
            limits: limits.iter().map(|it| it.1).collect(),
            clock_offset: clock.0,
            clock_ppm: clock.1,
        };
        let local = process.local_time(now);
        for (resource, limits) in limits {
            process.ledger.set_limits(local, resource, *limits);
        }
        process
    }

    /// Converts true time to the clock of the process. True time is in whole milliseconds, so nothing is rounded.
    pub(super) fn local_time(&self, now: u64) -> MonoTime {
        MonoTime(self.clock_offset + now * self.clock_ppm / 1_000_000)
    }

    pub(super) fn is_running(&self) -> bool {
        self.state == ProcessState::Running
    }
}
