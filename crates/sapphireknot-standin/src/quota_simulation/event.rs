//! Events of the quota simulation.

use sapphireknot::{
    ids::{HostId, TransferId},
    quota::{BorrowAnswer, BorrowCall, GiveBackCall, LeaseKind, QuotaRecord, ResourceId},
    time::MonoTime,
};

/// Message or timer of the simulation. Processes are identified by position; times are on the clock of the process.
#[derive(Debug, Clone)]
pub(super) enum SimulationEvent {
    Heartbeat { process: usize },
    CreateLease { process: usize, kind: LeaseKind, sent: MonoTime },
    LeaseCreated { process: usize, kind: LeaseKind, sent: MonoTime, lease: u64 },
    RenewLease { process: usize, kind: LeaseKind, lease: u64, sent: MonoTime },
    LeaseRenewed { process: usize, kind: LeaseKind, lease: u64, sent: MonoTime, is_alive: bool },
    ReadRecord { process: usize, began: MonoTime },
    ReadLeases { process: usize, began: MonoTime, revision: u64, record: QuotaRecord },
    WriteRecord { process: usize, began: MonoTime, revision: u64, record: QuotaRecord },
    RecordWritten { process: usize, began: MonoTime, record: QuotaRecord },
    StoreTimeout { process: usize },
    Borrow { lender: HostId, process: usize, call: BorrowCall },
    Borrowed { process: usize, resource: ResourceId, transfer: TransferId, answer: BorrowAnswer },
    GiveBack { call: GiveBackCall },
}

impl SimulationEvent {
    /// Returns the process that handles the event; `None` if the store or the newest process of a host does.
    pub(super) fn receiver(&self) -> Option<usize> {
        match self {
            Self::Heartbeat { process }
            | Self::LeaseCreated { process, .. }
            | Self::LeaseRenewed { process, .. }
            | Self::ReadLeases { process, .. }
            | Self::RecordWritten { process, .. }
            | Self::StoreTimeout { process }
            | Self::Borrowed { process, .. } => Some(*process),
            _ => None,
        }
    }
}
