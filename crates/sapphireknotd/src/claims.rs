//! Claims on callers' idempotency keys, held at the hosts that own the keys.
//!
//! [`RequestClaims`] stores the keys that this host owns and claims keys for its own requests. One task per owner sends
//! the claim and, after the owner's reply, the outcome of the request, so that the outcome cannot overtake the claim.

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use parking_lot::Mutex;
use sapphireknot::{
    idempotency::{
        ClaimDecision, ClaimHolder, ClaimKey, ClaimLimits, ClaimOutcome, ClaimReply, ClaimTable,
        OWNER_COUNT, claim_owners, decide_claim,
    },
    refusal::{RefusalReason, RequestRefusal, RunState},
    time::MonoTime,
};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout_at},
};

use crate::{clock::HostClock, published::PublishedState};

/// Divisor of the window that gives the safety margin for owners whose clocks run faster.
const CLOCK_DRIFT_DIVISOR: u32 = 100;
/// Maximum number of attempts to send the outcome of a request to an owner.
const MAX_OUTCOME_ATTEMPTS: u32 = 3;
/// Pause between these attempts.
const OUTCOME_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// `Retry-After` for a duplicate of a request in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Step of a claim that is sent to an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// The holder requests to run.
    Begin,
    /// The request ended with this outcome.
    End(ClaimOutcome),
}

/// Message from a claimant to an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimMessage {
    /// Claimed key.
    pub key: ClaimKey,
    /// Claiming host and its request.
    pub holder: ClaimHolder,
    /// Step.
    pub step: ClaimStep,
}

/// Client for owners on other hosts.
#[async_trait]
pub trait ClaimCalls: Send + Sync {
    /// Sends `message` to `owner`; returns `None` if it did not reply in time.
    async fn call(&self, owner: SocketAddr, message: &ClaimMessage) -> Option<ClaimReply>;
}

/// Claims of this host's requests, and the claim table of the keys that this host owns.
pub struct RequestClaims {
    table: Mutex<ClaimTable>,
    limits: ClaimLimits,
    clock: HostClock,
    calls: OnceLock<Arc<dyn ClaimCalls>>,
    requests: AtomicU64,
}

impl RequestClaims {
    /// Creates the claims of a host that has just started and has no record of earlier requests.
    pub fn new(limits: ClaimLimits, clock: HostClock) -> Self {
        Self {
            table: Mutex::new(ClaimTable::new(limits, false, clock.now())),
            limits,
            clock,
            calls: OnceLock::new(),
            requests: AtomicU64::new(0),
        }
    }

    /// Sets the client for other hosts; without it, only this host's own replies count.
    pub fn connect(&self, calls: Arc<dyn ClaimCalls>) {
        if self.calls.set(calls).is_err() {
            log::warn!("client for claims is already set");
        }
    }

    /// Declares that no request can have run before `time`.
    pub fn set_complete_from(&self, time: MonoTime) {
        self.table.lock().set_complete_from(time);
    }

    /// Handles a message of a claimant; the reply to [`ClaimStep::End`] is only an acknowledgement.
    pub fn answer(&self, message: ClaimMessage) -> ClaimReply {
        let now = self.clock.now();
        let ClaimMessage { key, holder, step } = message;
        let mut table = self.table.lock();
        match step {
            ClaimStep::Begin => table.claim(key, holder, now),
            ClaimStep::End(outcome) => {
                table.finish(&key, &holder, outcome, now);
                ClaimReply::Granted { is_complete: false }
            }
        }
    }

    /// Claims `key` for one request; waits for the owners until `deadline`.
    pub async fn claim(
        self: &Arc<Self>,
        state: &PublishedState,
        key: ClaimKey,
        deadline: MonoTime,
    ) -> Result<RequestClaim, RequestRefusal> {
        let started_at = self.clock.now();
        let window = self.limits.window;
        let holder = ClaimHolder {
            host: state.identity.id.clone(),
            incarnation: state.identity.incarnation,
            request: self.requests.fetch_add(1, Ordering::Relaxed),
        };
        let (outcome_sender, outcome) = watch::channel(None);
        // Dropping this value releases the key if the claim fails or the caller disconnects.
        let claim = RequestClaim {
            send_by: started_at.after(window - window / CLOCK_DRIFT_DIVISOR),
            is_sent: AtomicBool::new(false),
            outcome: None,
            outcome_sender,
        };
        let (reply_sender, replies) = mpsc::channel(OWNER_COUNT);
        let members = state.members.load_full();
        for owner in claim_owners(&key, members.iter().map(|it| &it.id)) {
            let record = members.iter().find(|it| it.id == *owner);
            let address = record.filter(|it| it.id != holder.host).map(|it| it.peer_address);
            let (key, holder) = (key.clone(), holder.clone());
            let message = ClaimMessage { key, holder, step: ClaimStep::Begin };
            let task = self.clone().claim_at_owner(
                address,
                message,
                reply_sender.clone(),
                outcome.clone(),
            );
            tokio::spawn(task);
        }
        drop(reply_sender);
        match decide_from_replies(replies, self.clock.instant(deadline)).await {
            ClaimDecision::Run => Ok(claim),
            ClaimDecision::InProgress => {
                let refusal = RequestRefusal::unknown(RefusalReason::Duplicate);
                Err(refusal.retry_at(self.clock.now().after(IN_PROGRESS_RETRY_AFTER)))
            }
            ClaimDecision::Ran => {
                let refusal = RequestRefusal::unknown(RefusalReason::Duplicate);
                Err(RequestRefusal { ran: RunState::Ran, ..refusal })
            }
            ClaimDecision::Unknown => Err(RequestRefusal::unknown(RefusalReason::Duplicate)),
        }
    }

    /// Claims a key at one owner and later reports the outcome; `None` stands for this host.
    async fn claim_at_owner(
        self: Arc<Self>,
        owner: Option<SocketAddr>,
        message: ClaimMessage,
        replies: mpsc::Sender<Option<ClaimReply>>,
        mut outcome: watch::Receiver<Option<ClaimOutcome>>,
    ) {
        let reply = self.call(owner, &message).await;
        if replies.send(reply).await.is_err() {
            log::debug!("owner replied after the claim was decided");
        }
        drop(replies);
        let must_report = matches!(reply, None | Some(ClaimReply::Granted { .. }));
        if !must_report {
            return;
        }
        let outcome = outcome.wait_for(|it| it.is_some()).await.ok().and_then(|it| *it);
        let step = ClaimStep::End(outcome.unwrap_or(ClaimOutcome::Unknown));
        let message = ClaimMessage { step, ..message };
        for _ in 0..MAX_OUTCOME_ATTEMPTS {
            if self.call(owner, &message).await.is_some() {
                return;
            }
            sleep(OUTCOME_RETRY_PAUSE).await;
        }
    }

    async fn call(&self, owner: Option<SocketAddr>, message: &ClaimMessage) -> Option<ClaimReply> {
        match owner {
            None => Some(self.answer(message.clone())),
            Some(address) => self.calls.get()?.call(address, message).await,
        }
    }
}

/// Combines the replies received until `until`; returns early when further replies cannot change the decision.
async fn decide_from_replies(
    mut replies: mpsc::Receiver<Option<ClaimReply>>,
    until: tokio::time::Instant,
) -> ClaimDecision {
    let mut received = Vec::new();
    while let Ok(Some(reply)) = timeout_at(until, replies.recv()).await {
        received.push(reply);
        let decision = decide_claim(&received);
        // Any two quorums share an owner, so a third reply cannot contradict a granted quorum.
        if decision != ClaimDecision::Unknown {
            return decision;
        }
    }
    decide_claim(&received)
}

/// Claim on a key for one request; on drop, the owners are sent the outcome.
#[derive(Debug)]
pub struct RequestClaim {
    send_by: MonoTime,
    is_sent: AtomicBool,
    outcome: Option<ClaimOutcome>,
    outcome_sender: watch::Sender<Option<ClaimOutcome>>,
}

impl RequestClaim {
    /// Time at which the owners may expire the claim; the request must not run later.
    pub fn send_by(&self) -> MonoTime {
        self.send_by
    }

    /// Records that the request is being sent to a backend server.
    pub fn record_sent(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Ends the claim with the given outcome.
    pub fn finish(mut self, outcome: ClaimOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for RequestClaim {
    fn drop(&mut self) {
        let is_sent = self.is_sent.load(Ordering::Relaxed);
        let unfinished = if is_sent { ClaimOutcome::Unknown } else { ClaimOutcome::NotRun };
        self.outcome_sender.send_replace(Some(self.outcome.unwrap_or(unfinished)));
    }
}
