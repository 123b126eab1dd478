//! Borrowing of quota shares from other hosts and their return.

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

/// Number of peers asked at once; asking one or all of them gave worse results in measurements.
const BORROW_FANOUT: usize = 3;
/// Timeout of calls to lenders; several round trips to another region.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a peer that did not answer is not asked again.
const UNANSWERED_BACKOFF: Duration = Duration::from_secs(1);
/// Number of attempts to return a share; if all fail, it reverts to the lender when the sublease ends.
const RETURN_ATTEMPTS: u32 = 4;
/// Delay between these attempts.
const RETURN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Result of a borrow call.
#[derive(Debug)]
pub struct LenderAnswer {
    resource: ResourceId,
    lender: HostId,
    outcome: LenderOutcome,
}

#[derive(Debug, PartialEq, Eq)]
enum LenderOutcome {
    Full,
    Partial,
    Refused,
    Unanswered,
}

impl QuotaState {
    /// Asks the nearest peers for the shares that the demand and the waiting requests lack.
    pub(super) fn borrow(&mut self, myself: &ActorRef<QuotaMessage>, resource: &ResourceId) {
        let now = self.now();
        let Some(order) = self.lender_orders.get(resource) else { return };
        let waiting = self.quotas.waiting(resource);
        let mut ledger = self.quotas.ledger().ledger(resource);
        let Some(wanted) = ledger.borrow_need(now, resource, waiting) else { return };
        let mut calls = Vec::new();
        for (_, lender) in order.nearest(now, BORROW_FANOUT) {
            let Some((address, incarnation)) = self.find_peer(lender) else { continue };
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
                send(
                    &myself,
                    QuotaMessage::BorrowEnded(LenderAnswer { resource, lender, outcome }),
                );
            });
        }
    }

    fn find_peer(&self, host: &HostId) -> Option<(SocketAddr, IncarnationId)> {
        let member = self.members.iter().find(|it| it.id == *host)?;
        Some((member.peer_address, member.incarnation))
    }

    /// Updates the order of lenders after a borrow call, and borrows again while requests are waiting.
    pub(super) fn process_answer(&mut self, myself: &ActorRef<QuotaMessage>, answer: LenderAnswer) {
        let now = self.now();
        if let Some(order) = self.lender_orders.get_mut(&answer.resource) {
            match answer.outcome {
                LenderOutcome::Full => order.record_full_loan(&answer.lender),
                LenderOutcome::Partial => order.record_shortage(&answer.lender, now, false),
                LenderOutcome::Refused => order.record_shortage(&answer.lender, now, true),
                LenderOutcome::Unanswered => {
                    order.back_off(&answer.lender, now.after(UNANSWERED_BACKOFF));
                }
            }
        }
        if self.quotas.waiting(&answer.resource) > 0 {
            self.borrow(myself, &answer.resource);
        }
    }

    /// Gives back subleases that the demand does not need or that end soon.
    pub(super) fn return_unused(&self, resource: &ResourceId) {
        let now = self.now();
        let before = now.after(RETURN_LEAD);
        let calls = self.quotas.ledger().ledger(resource).give_back_unused(now, resource, before);
        for call in calls {
            if let Some((address, _)) = self.find_peer(&call.lender) {
                tokio::spawn(give_back(self.peers.clone(), address, call));
            }
        }
    }

    /// Stops using all shares and returns the borrowed ones.
    pub(super) async fn return_all(&self) {
        let calls = self.quotas.ledger().stop(self.now());
        let returns = calls.into_iter().filter_map(|call| {
            let (address, _) = self.find_peer(&call.lender)?;
            Some(give_back(self.peers.clone(), address, call))
        });
        // A lender that does not answer in time gets its share back when the sublease ends.
        let all_returns = futures_util::future::join_all(returns);
        let _ = tokio::time::timeout(RETURN_RETRY_DELAY, all_returns).await;
    }
}

async fn ask_lender(
    shared: &Arc<ControlShared>,
    peers: &Arc<PeerClients>,
    address: SocketAddr,
    call: BorrowCall,
) -> LenderOutcome {
    let quotas = &shared.context.quotas;
    let result = peers.borrow(address, &call, CALL_TIMEOUT).await;
    let now = shared.context.clock.now();
    let resource = &call.resource;
    match result {
        Ok(answer) => {
            quotas.ledger().ledger(resource).accept(now, resource, call.transfer, &answer);
            if answer == BorrowAnswer::REFUSED {
                return LenderOutcome::Refused;
            }
            quotas.wake(resource);
            let is_full = answer.share >= call.share && answer.tokens >= call.tokens;
            if is_full { LenderOutcome::Full } else { LenderOutcome::Partial }
        }
        Err(err) => {
            log::debug!("failed to borrow {resource}: {err}");
            let unused = quotas.ledger().ledger(resource).abandon(now, resource, call.transfer);
            if let Some(unused) = unused {
                tokio::spawn(give_back(peers.clone(), address, unused));
            }
            LenderOutcome::Unanswered
        }
    }
}

/// Repeats the call until it is answered. Repeated calls are safe, since the lender takes the share back only once.
async fn give_back(peers: Arc<PeerClients>, address: SocketAddr, call: GiveBackCall) {
    for _ in 0..RETURN_ATTEMPTS {
        match peers.give_back(address, &call, CALL_TIMEOUT).await {
            Ok(_) => return,
            Err(err) => log::debug!("failed to return a share to host {}: {err}", call.lender),
        }
        tokio::time::sleep(RETURN_RETRY_DELAY).await;
    }
}
