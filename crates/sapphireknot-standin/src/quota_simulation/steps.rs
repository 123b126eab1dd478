//! Actions of hosts and the store in the quota simulation.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use sapphireknot::{
    quota::{ClaimNeed, GrantShares, LeaseKind, claim, release},
    time::MonoTime,
    units::{TokenCount, TrafficShare},
};

use super::{
    HOSTS, MICROS_PER_MILLI, QuotaSimulation, SimulationEvent, draw_limits, process::ProcessState,
};
use crate::quota_store::{SHORT_LEASE, lease_span};

/// Interval of lease renewals.
const HEARTBEAT_MILLIS: u64 = 800;
/// Time after which transfers that began earlier can no longer change a bucket.
const QUIET_MILLIS: u64 = 14_000;
/// Upper bound of the processes that a run starts.
const MAX_PROCESSES: usize = 16 * HOSTS;
/// Validity of a report that the store is unavailable.
const OUTAGE_REPORT_VALIDITY: Duration = Duration::from_secs(2);
/// Largest age of such a report at the time of its evaluation, in microseconds.
const MAX_OUTAGE_REPORT_AGE: u64 = 1_000 * MICROS_PER_MILLI;

impl QuotaSimulation {
    /// Performs one randomly chosen action.
    pub(super) fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let alive: Vec<usize> = (0..self.processes.len())
            .filter(|&it| self.processes[it].state != ProcessState::Dead)
            .collect();
        let Some(&process) = alive.get(u.choose_index(alive.len().max(1))?) else {
            return Ok(());
        };
        let resource = u.choose_index(self.configured.len())?;
        match u.int_in_range(0..=31)? {
            0..=4 => {
                let millis = *u.choose(&[1, 5, 20, 100, 400, 1_000, 3_000])?;
                self.advance(u, millis)?;
            }
            5..=8 if self.processes[process].is_running() => {
                let count = *u.choose(&[1, 10, 1_000])?;
                self.take(process, resource, count);
            }
            9..=11 => {
                for process in 0..self.processes.len() {
                    if self.processes[process].is_running() {
                        self.take(process, resource, 1_000);
                    }
                }
            }
            12..=16 => self.borrow(u, process, resource)?,
            17 => self.resend_borrow(u, process)?,
            18..=19 => self.give_back(u, process, resource)?,
            20 => self.resend_give_back(u, process)?,
            21 => self.abandon_borrow(u, process)?,
            22..=23 => self.begin_claim(u, process)?,
            24 if u.ratio(1, 2)? => self.kill_or_replace(u, process)?,
            25..=26 => self.pause_or_resume(u, process)?,
            27 => self.change_limits(u, process, resource)?,
            28 if u.ratio(1, 2)? => self.stop(u, process)?,
            29 if u.arbitrary()? => {
                self.store.is_down ^= true;
                self.store.down_until = self.now;
            }
            29 => self.processes[process].is_partitioned ^= true,
            30 if u.ratio(1, 3)? => {
                self.advance(u, QUIET_MILLIS)?;
                self.lower_to_held_tokens();
            }
            _ => self.check_invariants(),
        }
        Ok(())
    }

    fn borrow(&mut self, u: &mut Unstructured<'_>, process: usize, resource: usize) -> Result<()> {
        let lender = u.choose_index(HOSTS)?;
        let lender = self.processes.iter().rposition(|it| it.host.as_str() == format!("h{lender}"));
        let Some(lender) = lender else { return Ok(()) };
        let share = TrafficShare(*u.choose(&[1, 50_000, 300_000, 1_000_000])?);
        let tokens = TokenCount(u.int_in_range(0..=100)? * TokenCount::ONE.0);
        let (host, incarnation) =
            (self.processes[lender].host.clone(), self.processes[lender].incarnation);
        let borrower = &mut self.processes[process];
        if !borrower.is_running() || borrower.host == host {
            return Ok(());
        }
        let local = borrower.local_time(self.now);
        let resource = &self.configured[resource].0;
        let lender = (&host, incarnation);
        let Some(call) = borrower.ledger.begin_borrow(local, resource, lender, (share, tokens))
        else {
            return Ok(());
        };
        borrower.borrows.push((host.clone(), call.clone()));
        self.transmit(u, SimulationEvent::Borrow { lender: host, process, call })
    }

    fn resend_borrow(&mut self, u: &mut Unstructured<'_>, process: usize) -> Result<()> {
        if !self.processes[process].is_running() || self.processes[process].borrows.is_empty() {
            return Ok(());
        }
        let (lender, call) = u.choose(&self.processes[process].borrows)?.clone();
        self.transmit(u, SimulationEvent::Borrow { lender, process, call })
    }

    fn give_back(
        &mut self,
        u: &mut Unstructured<'_>,
        process: usize,
        resource: usize,
    ) -> Result<()> {
        let borrower = &mut self.processes[process];
        if !borrower.is_running() {
            return Ok(());
        }
        let local = borrower.local_time(self.now);
        let before = local.after(Duration::from_millis(u.int_in_range(0..=6_000)?));
        let resource = &self.configured[resource].0;
        let calls = borrower.ledger.give_back_unused(local, resource, before);
        borrower.give_backs.extend(calls.iter().cloned());
        for call in calls {
            self.transmit(u, SimulationEvent::GiveBack { call })?;
        }
        Ok(())
    }

    fn resend_give_back(&mut self, u: &mut Unstructured<'_>, process: usize) -> Result<()> {
        if !self.processes[process].is_running() || self.processes[process].give_backs.is_empty() {
            return Ok(());
        }
        let call = u.choose(&self.processes[process].give_backs)?.clone();
        self.transmit(u, SimulationEvent::GiveBack { call })
    }

    fn abandon_borrow(&mut self, u: &mut Unstructured<'_>, process: usize) -> Result<()> {
        let borrower = &mut self.processes[process];
        let Some((_, call)) = borrower.borrows.last().filter(|_| borrower.is_running()) else {
            return Ok(());
        };
        let local = borrower.local_time(self.now);
        match borrower.ledger.abandon(local, &call.resource, call.transfer) {
            Some(call) => self.transmit(u, SimulationEvent::GiveBack { call }),
            None => Ok(()),
        }
    }

    fn begin_claim(&mut self, u: &mut Unstructured<'_>, process: usize) -> Result<()> {
        let claimant = &self.processes[process];
        if !claimant.is_running() {
            return Ok(());
        }
        let began = claimant.local_time(self.now);
        self.transmit(u, SimulationEvent::ReadRecord { process, began })
    }

    /// Kills a process and starts a new one on its host; a paused process may be replaced without being killed.
    fn kill_or_replace(&mut self, u: &mut Unstructured<'_>, process: usize) -> Result<()> {
        let host = self.processes[process].host.clone();
        let is_paused = self.processes[process].state == ProcessState::Paused;
        if !(is_paused && u.arbitrary()?) {
            self.processes[process].state = ProcessState::Dead;
        }
        let newest = self.newest_process(&host) == Some(process);
        if newest && self.processes.len() < MAX_PROCESSES {
            let host = self.clock_ppm.len().min(host.as_str()[1..].parse().unwrap_or(0));
            self.start_process(host);
        }
        self.update_reference_limits();
        Ok(())
    }

    fn pause_or_resume(&mut self, u: &mut Unstructured<'_>, process: usize) -> Result<()> {
        let target = &mut self.processes[process];
        match target.state {
            ProcessState::Running => target.state = ProcessState::Paused,
            ProcessState::Paused => {
                target.state = ProcessState::Running;
                let inbox = std::mem::take(&mut target.inbox);
                for event in inbox {
                    self.handle(u, event)?;
                }
            }
            ProcessState::Dead => {}
        }
        Ok(())
    }

    fn change_limits(
        &mut self,
        u: &mut Unstructured<'_>,
        process: usize,
        resource: usize,
    ) -> Result<()> {
        if u.arbitrary()? {
            self.configured[resource].1 = draw_limits(u)?;
        }
        let limits = self.configured[resource].1;
        let is_on_all_hosts = u.arbitrary()?;
        for target in 0..self.processes.len() {
            let is_chosen = is_on_all_hosts || target == process;
            if is_chosen && self.processes[target].is_running() {
                self.set_limits(target, resource, limits);
            }
        }
        Ok(())
    }

    fn stop(&mut self, u: &mut Unstructured<'_>, process: usize) -> Result<()> {
        let target = &mut self.processes[process];
        if !target.is_running() {
            return Ok(());
        }
        target.is_stopping = true;
        let local = target.local_time(self.now);
        let calls = target.ledger.stop(local);
        for call in calls {
            self.transmit(u, SimulationEvent::GiveBack { call })?;
        }
        self.begin_claim(u, process)
    }

    pub(super) fn handle(
        &mut self,
        u: &mut Unstructured<'_>,
        event: SimulationEvent,
    ) -> Result<()> {
        match event {
            SimulationEvent::Borrow { lender, process, call } => {
                let Some(lender) = self.newest_process(&lender) else { return Ok(()) };
                let lender = &mut self.processes[lender];
                if !lender.is_running() {
                    return Ok(());
                }
                let answer = lender.ledger.lend(lender.local_time(self.now), &call);
                let (resource, transfer) = (call.resource, call.transfer);
                self.transmit(u, SimulationEvent::Borrowed { process, resource, transfer, answer })
            }
            SimulationEvent::Borrowed { process, resource, transfer, answer } => {
                let target = &mut self.processes[process];
                let local = target.local_time(self.now);
                target.ledger.accept(local, &resource, transfer, &answer);
                Ok(())
            }
            SimulationEvent::GiveBack { call } => {
                let Some(lender) = self.newest_process(&call.lender) else { return Ok(()) };
                let lender = &mut self.processes[lender];
                if lender.is_running() {
                    lender.ledger.take_back(lender.local_time(self.now), &call);
                }
                Ok(())
            }
            SimulationEvent::Heartbeat { process } => self.heartbeat(u, process),
            SimulationEvent::StoreTimeout { process } => {
                self.processes[process].reclaim_guard.record_failure();
                Ok(())
            }
            event => self.handle_store(u, event),
        }
    }

    /// Renews or creates the leases of a process and sometimes starts a claim.
    fn heartbeat(&mut self, u: &mut Unstructured<'_>, process: usize) -> Result<()> {
        let target = &mut self.processes[process];
        let sent = target.local_time(self.now);
        let leases = target.leases;
        let is_stopping = target.is_stopping;
        let is_down =
            self.store.is_down || self.now < self.store.down_until + MAX_OUTAGE_REPORT_AGE;
        if is_down && self.store.down_until > 0 {
            target.ledger.extend_surplus(sent, sent.after(OUTAGE_REPORT_VALIDITY));
        }
        self.send(HEARTBEAT_MILLIS * MICROS_PER_MILLI, SimulationEvent::Heartbeat { process });
        for kind in LeaseKind::ALL {
            let event = match leases[kind as usize] {
                Some(lease) => SimulationEvent::RenewLease { process, kind, lease, sent },
                None if is_stopping => continue,
                None => SimulationEvent::CreateLease { process, kind, sent },
            };
            self.transmit(u, event)?;
        }
        if u.ratio(1, 3)? { self.begin_claim(u, process) } else { Ok(()) }
    }

    /// Handles the calls that reach the store and its replies.
    fn handle_store(&mut self, u: &mut Unstructured<'_>, event: SimulationEvent) -> Result<()> {
        let now = self.now;
        let is_down = self.store.is_down;
        match event {
            SimulationEvent::CreateLease { process, .. }
            | SimulationEvent::RenewLease { process, .. }
            | SimulationEvent::ReadRecord { process, .. }
            | SimulationEvent::WriteRecord { process, .. }
                if is_down || self.processes[process].is_partitioned =>
            {
                self.send(500 * MICROS_PER_MILLI, SimulationEvent::StoreTimeout { process });
                Ok(())
            }
            SimulationEvent::CreateLease { process, kind, sent } => {
                let creator = &self.processes[process];
                let (host, incarnation) = (creator.host.clone(), creator.incarnation);
                match self.store.create_lease(&host, incarnation, kind, now) {
                    Some(lease) => self
                        .transmit(u, SimulationEvent::LeaseCreated { process, kind, sent, lease }),
                    None => Ok(()),
                }
            }
            SimulationEvent::LeaseCreated { process, kind, sent, lease } => {
                let target = &mut self.processes[process];
                let local = target.local_time(now);
                if target.leases[kind as usize].is_none() {
                    target.leases[kind as usize] = Some(lease);
                    target.ledger.start_lease(local, kind, sent, lease_span(kind));
                }
                Ok(())
            }
            SimulationEvent::RenewLease { process, kind, lease, sent } => {
                let host = self.processes[process].host.clone();
                let is_alive = self.store.renew_lease(&host, kind, lease, now);
                let event = SimulationEvent::LeaseRenewed { process, kind, lease, sent, is_alive };
                self.transmit(u, event)
            }
            SimulationEvent::LeaseRenewed { process, kind, lease, sent, is_alive } => {
                self.record_renewal(process, kind, lease, sent, is_alive);
                Ok(())
            }
            SimulationEvent::ReadRecord { process, began } => {
                let (revision, record) = (self.store.revision, self.store.record.clone());
                self.transmit(u, SimulationEvent::ReadLeases { process, began, revision, record })
            }
            SimulationEvent::ReadLeases { process, began, revision, record } if !is_down => {
                let record = self.decide_claim(process, record);
                self.transmit(u, SimulationEvent::WriteRecord { process, began, revision, record })
            }
            SimulationEvent::WriteRecord { process, began, revision, record } => {
                if !self.store.swap(revision, record.clone()) {
                    return Ok(());
                }
                self.transmit(u, SimulationEvent::RecordWritten { process, began, record })
            }
            SimulationEvent::RecordWritten { process, began, record } => {
                let target = &mut self.processes[process];
                let local = target.local_time(now);
                for (resource, _) in &self.configured {
                    let shares = record.shares(resource, &target.host, target.incarnation);
                    target.ledger.install_claim(local, resource, began, shares);
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn record_renewal(
        &mut self,
        process: usize,
        kind: LeaseKind,
        lease: u64,
        sent: MonoTime,
        is_alive: bool,
    ) {
        let target = &mut self.processes[process];
        let local = target.local_time(self.now);
        target.reclaim_guard.record_answer(sent);
        if target.leases[kind as usize] != Some(lease) {
            return;
        }
        if is_alive {
            target.ledger.renew_lease(local, kind, sent, lease_span(kind));
        } else {
            target.leases[kind as usize] = None;
            target.ledger.end_lease(local, kind);
        }
    }

    fn decide_claim(
        &mut self,
        process: usize,
        record: sapphireknot::quota::QuotaRecord,
    ) -> sapphireknot::quota::QuotaRecord {
        let leases = self.store.lease_view(self.now);
        let claimant = &self.processes[process];
        let (host, incarnation) = (&claimant.host, claimant.incarnation);
        if claimant.is_stopping {
            let lent = |resource: &_| claimant.ledger.lent_shares(resource);
            return release(&record, host, incarnation, lent);
        }
        let began = claimant.local_time(self.now);
        let leases = claimant.reclaim_guard.may_reclaim(began, SHORT_LEASE).then_some(&leases);
        let mut needs = Vec::new();
        for (idx, (resource, _)) in self.configured.iter().enumerate() {
            // Hosts want different shares; one of them wants the whole.
            let part = [150_000, 400_000, 1_000_000, 0][(process + idx) % HOSTS];
            let has_lease = |kind: LeaseKind| claimant.leases[kind as usize].is_some();
            let share = |kind| TrafficShare(if has_lease(kind) { part / 2 } else { 0 });
            let wanted =
                GrantShares { floor: share(LeaseKind::Floor), surplus: share(LeaseKind::Surplus) };
            needs.push(ClaimNeed { resource: resource.clone(), wanted });
        }
        claim(&record, leases, host, incarnation, &needs)
    }
}
