//! Idempotency keys of callers, claimed at the hosts that own them.
//!
//! [`RequestClaims`] keeps the keys that this host owns and claims keys for its own requests. One task per owner sends
//! the claim and, after the owner's answer, how the request ended, so that the end does not overtake the claim.

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

/// Part of the window by which the claimant stops earlier, since the owners' clocks may be faster.
const DRIFT_DIVISOR: u32 = 100;
/// Times that an owner is told how a request ended.
const END_ATTEMPTS: u32 = 3;
/// Pause between them.
const END_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a caller may ask again for a request that runs.
const RUNNING_RETRY: Duration = Duration::from_secs(1);

/// What an owner is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// The holder wants to run the request.
    Begin,
    /// The request ended.
    End(ClaimOutcome),
}

/// Message of a claimant to an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimMessage {
    /// Key.
    pub key: ClaimKey,
    /// Claimant and its request.
    pub holder: ClaimHolder,
    /// Step.
    pub step: ClaimStep,
}

/// Calls to owners on other hosts.
#[async_trait]
pub trait ClaimCalls: Send + Sync {
    /// The reply of `owner`; none if it did not answer in time.
    async fn call(&self, owner: SocketAddr, message: &ClaimMessage) -> Option<ClaimReply>;
}

/// Claims of this host and those that it keeps for others.
pub struct RequestClaims {
    table: Mutex<ClaimTable>,
    limits: ClaimLimits,
    clock: HostClock,
    calls: OnceLock<Arc<dyn ClaimCalls>>,
    requests: AtomicU64,
}

impl RequestClaims {
    /// Claims of a host that has just started and does not know what ran before.
    pub fn new(limits: ClaimLimits, clock: HostClock) -> Self {
        Self {
            table: Mutex::new(ClaimTable::new(limits, false, clock.now())),
            limits,
            clock,
            calls: OnceLock::new(),
            requests: AtomicU64::new(0),
        }
    }

    /// Sets the calls to other hosts; before that only this host's own answers count.
    pub fn connect(&self, calls: Arc<dyn ClaimCalls>) {
        if self.calls.set(calls).is_err() {
            log::warn!("calls for claims are connected already");
        }
    }

    /// Notes that no request can have run before `time`.
    pub fn set_complete_from(&self, time: MonoTime) {
        self.table.lock().set_complete_from(time);
    }

    /// Answers a claimant; the reply to an end has no meaning beyond its arrival.
    pub fn answer(&self, message: ClaimMessage) -> ClaimReply {
        let now = self.clock.now();
        let ClaimMessage { key, holder, step } = message;
        let mut table = self.table.lock();
        match step {
            ClaimStep::Begin => table.claim(key, holder, now),
            ClaimStep::End(end) => {
                table.finish(&key, &holder, end, now);
                ClaimReply::Granted { is_complete: false }
            }
        }
    }

    /// Claims `key` for one request, until `deadline` at most.
    pub async fn claim(
        self: &Arc<Self>,
        state: &PublishedState,
        key: ClaimKey,
        deadline: MonoTime,
    ) -> Result<RequestClaim, RequestRefusal> {
        let asked_at = self.clock.now();
        let window = self.limits.window;
        let holder = ClaimHolder {
            host: state.identity.id.clone(),
            incarnation: state.identity.incarnation,
            request: self.requests.fetch_add(1, Ordering::Relaxed),
        };
        let (end_sender, end) = watch::channel(None);
        // Gives the key back if the claim fails or the caller leaves meanwhile.
        let claim = RequestClaim {
            send_by: asked_at.after(window - window / DRIFT_DIVISOR),
            is_sent: AtomicBool::new(false),
            end: None,
            end_sender,
        };
        let (reply_sender, replies) = mpsc::channel(OWNER_COUNT);
        let members = state.members.load_full();
        for owner in claim_owners(&key, members.iter().map(|it| &it.id)) {
            let record = members.iter().find(|it| it.id == *owner);
            let address = record.filter(|it| it.id != holder.host).map(|it| it.peer_address);
            let (key, holder) = (key.clone(), holder.clone());
            let message = ClaimMessage { key, holder, step: ClaimStep::Begin };
            let task = self.clone().hold(address, message, reply_sender.clone(), end.clone());
            tokio::spawn(task);
        }
        drop(reply_sender);
        match collect_verdict(replies, self.clock.instant(deadline)).await {
            ClaimDecision::Run => Ok(claim),
            ClaimDecision::InProgress => {
                let refusal = RequestRefusal::unknown(RefusalReason::Duplicate);
                Err(refusal.retry_at(self.clock.now().after(RUNNING_RETRY)))
            }
            ClaimDecision::Ran => {
                let refusal = RequestRefusal::unknown(RefusalReason::Duplicate);
                Err(RequestRefusal { ran: RunState::Ran, ..refusal })
            }
            ClaimDecision::Unknown => Err(RequestRefusal::unknown(RefusalReason::Duplicate)),
        }
    }

    /// Claims a key at one owner and tells it the end; an owner without address is this host.
    async fn hold(
        self: Arc<Self>,
        owner: Option<SocketAddr>,
        message: ClaimMessage,
        replies: mpsc::Sender<Option<ClaimReply>>,
        mut end: watch::Receiver<Option<ClaimOutcome>>,
    ) {
        let reply = self.call(owner, &message).await;
        if replies.send(reply).await.is_err() {
            log::debug!("the claim was decided before an owner answered");
        }
        drop(replies);
        let is_held = matches!(reply, None | Some(ClaimReply::Granted { .. }));
        if !is_held {
            return;
        }
        let end = end.wait_for(|it| it.is_some()).await.ok().and_then(|it| *it);
        let step = ClaimStep::End(end.unwrap_or(ClaimOutcome::Unknown));
        let message = ClaimMessage { step, ..message };
        for _ in 0..END_ATTEMPTS {
            if self.call(owner, &message).await.is_some() {
                return;
            }
            sleep(END_PAUSE).await;
        }
    }

    async fn call(&self, owner: Option<SocketAddr>, message: &ClaimMessage) -> Option<ClaimReply> {
        match owner {
            None => Some(self.answer(message.clone())),
            Some(address) => self.calls.get()?.call(address, message).await,
        }
    }
}

/// The verdict of the owners that answer until `until`; ends early once further answers cannot matter.
async fn collect_verdict(
    mut replies: mpsc::Receiver<Option<ClaimReply>>,
    until: tokio::time::Instant,
) -> ClaimDecision {
    let mut known = Vec::new();
    while let Ok(Some(reply)) = timeout_at(until, replies.recv()).await {
        known.push(reply);
        let verdict = decide_claim(&known);
        // Any two quorums share an owner, so that a third answer cannot contradict a granted quorum.
        if verdict != ClaimDecision::Unknown {
            return verdict;
        }
    }
    decide_claim(&known)
}

/// Key that is held for one request; its owners are told the end when it is dropped.
#[derive(Debug)]
pub struct RequestClaim {
    send_by: MonoTime,
    is_sent: AtomicBool,
    end: Option<ClaimOutcome>,
    end_sender: watch::Sender<Option<ClaimOutcome>>,
}

impl RequestClaim {
    /// When the owners may forget the claim; the request must not run after it.
    pub fn send_by(&self) -> MonoTime {
        self.send_by
    }

    /// Notes that the request goes out.
    pub fn record_sent(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Ends the claim.
    pub fn finish(mut self, end: ClaimOutcome) {
        self.end = Some(end);
    }
}

impl Drop for RequestClaim {
    fn drop(&mut self) {
        let is_sent = self.is_sent.load(Ordering::Relaxed);
        let unfinished = if is_sent { ClaimOutcome::Unknown } else { ClaimOutcome::NotRun };
        self.end_sender.send_replace(Some(self.end.unwrap_or(unfinished)));
    }
}
