//! Borrowing from other hosts and giving back.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ractor::ActorRef;
use sapphireknot::{
    ids::{HostId, IncarnationId},
    quota::{BorrowAnswer, BorrowCall, GiveBackCall, ResourceId},
};

use super::{QuotaMessage, QuotaState, RETURN_LEAD};
use crate::{
    control::shared::{ControlShared, send},
    peer::PeerClients,
};

/// Peers asked at once; one or all of them were measured as worse.
const ASKED_PEERS: usize = 3;
/// Time for which a lender's answer is awaited; several times the way to another region and back.
const ANSWER_WAIT: Duration = Duration::from_millis(150);
/// Time for which a peer that did not answer is passed over.
const SILENT_PASS_OVER: Duration = Duration::from_secs(1);
/// Attempts to return share; what is not returned comes back when the sublease ends.
const RETURN_ATTEMPTS: u32 = 4;
/// Pause between them.
const RETURN_PAUSE: Duration = Duration::from_millis(400);

/// What asking a lender brought.
#[derive(Debug)]
pub struct LenderAnswer {
    resource: ResourceId,
    lender: HostId,
    outcome: LenderOutcome,
}

#[derive(Debug, PartialEq, Eq)]
enum LenderOutcome {
    Enough,
    TooLittle,
    Nothing,
    Silent,
}

impl QuotaState {
    /// Asks the nearest peers for what the demand and the waiting requests lack.
    pub(super) fn borrow(&mut self, myself: &ActorRef<QuotaMessage>, resource: &ResourceId) {
        let now = self.now();
        let Some(order) = self.orders.get(resource) else { return };
        let waiting = self.quotas.waiting(resource);
        let mut ledger = self.quotas.ledger().ledger(resource);
        let Some(wanted) = ledger.borrow_need(now, resource, waiting) else { return };
        let mut calls = Vec::new();
        for (_, lender) in order.nearest(now, ASKED_PEERS) {
            let Some((address, incarnation)) = self.run_of(lender) else { continue };
            let lender = (lender, incarnation);
            if let Some(call) = ledger.begin_borrow(now, resource, lender, wanted) {
                calls.push((lender.0.clone(), address, call));
            }
        }
        drop(ledger);
        for (lender, address, call) in calls {
            let (shared, peers) = (self.shared.clone(), self.peers.clone());
            let myself = myself.clone();
            tokio::spawn(async move {
                let resource = call.resource.clone();
                let outcome = ask_lender(&shared, &peers, address, call).await;
                send(&myself, QuotaMessage::Asked(LenderAnswer { resource, lender, outcome }));
            });
        }
    }

    fn run_of(&self, host: &HostId) -> Option<(SocketAddr, IncarnationId)> {
        let member = self.members.iter().find(|it| it.id == *host)?;
        Some((member.peer_address, member.incarnation))
    }

    /// Passes over a lender that had too little, and asks others for what is still lacking.
    pub(super) fn take_answer(&mut self, myself: &ActorRef<QuotaMessage>, answer: LenderAnswer) {
        let now = self.now();
        if let Some(order) = self.orders.get_mut(&answer.resource) {
            match answer.outcome {
                LenderOutcome::Enough => order.record_full_loan(&answer.lender),
                LenderOutcome::TooLittle => order.record_shortage(&answer.lender, now, false),
                LenderOutcome::Nothing => order.record_shortage(&answer.lender, now, true),
                LenderOutcome::Silent => {
                    order.back_off(&answer.lender, now.after(SILENT_PASS_OVER));
                }
            }
        }
        if self.quotas.waiting(&answer.resource) > 0 {
            self.borrow(myself, &answer.resource);
        }
    }

    /// Gives back what the demand does not need and what ends soon.
    pub(super) fn return_unused(&self, resource: &ResourceId) {
        let now = self.now();
        let before = now.after(RETURN_LEAD);
        let calls = self.quotas.ledger().ledger(resource).give_back_unused(now, resource, before);
        for call in calls {
            if let Some((address, _)) = self.run_of(&call.lender) {
                tokio::spawn(give_back(self.peers.clone(), address, call));
            }
        }
    }

    /// Stops using share and returns what is borrowed.
    pub(super) async fn return_all(&self) {
        let calls = self.quotas.ledger().stop(self.now());
        let returns = calls.into_iter().filter_map(|call| {
            let (address, _) = self.run_of(&call.lender)?;
            Some(give_back(self.peers.clone(), address, call))
        });
        // A lender that does not answer has its share back when the sublease ends.
        let returning = futures_util::future::join_all(returns);
        let _ = tokio::time::timeout(RETURN_PAUSE, returning).await;
    }
}

async fn ask_lender(
    shared: &Arc<ControlShared>,
    peers: &Arc<PeerClients>,
    address: SocketAddr,
    call: BorrowCall,
) -> LenderOutcome {
    let quotas = &shared.context.quotas;
    let result = peers.borrow(address, &call, ANSWER_WAIT).await;
    let now = shared.context.clock.now();
    let resource = &call.resource;
    match result {
        Ok(answer) => {
            quotas.ledger().ledger(resource).accept(now, resource, call.transfer, &answer);
            if answer == BorrowAnswer::REFUSED {
                return LenderOutcome::Nothing;
            }
            quotas.wake(resource);
            let is_enough = answer.share >= call.share && answer.tokens >= call.tokens;
            if is_enough { LenderOutcome::Enough } else { LenderOutcome::TooLittle }
        }
        Err(err) => {
            log::debug!("borrow {resource}: {err}");
            let unused = quotas.ledger().ledger(resource).abandon(now, resource, call.transfer);
            if let Some(unused) = unused {
                tokio::spawn(give_back(peers.clone(), address, unused));
            }
            LenderOutcome::Silent
        }
    }
}

/// Repeats the call until it is answered; the lender takes the share back once.
async fn give_back(peers: Arc<PeerClients>, address: SocketAddr, call: GiveBackCall) {
    for _ in 0..RETURN_ATTEMPTS {
        match peers.give_back(address, &call, ANSWER_WAIT).await {
            Ok(_) => return,
            Err(err) => log::debug!("return share to host {}: {err}", call.lender),
        }
        tokio::time::sleep(RETURN_PAUSE).await;
    }
}
