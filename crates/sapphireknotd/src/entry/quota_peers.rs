//! Admissions from the hosts that own quotas.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use parking_lot::Mutex;
use sapphireknot::{
    ids::OrganisationId,
    steering::{fleet::HostRecord, tokens::AdmissionDecision},
    time::MonoTime,
};
use sapphireknot_wire::entry::{TakeTokensReply, TakeTokensRequest};

use super::{
    peer_channels::{PeerChannels, call_limit},
    state::EntryState,
};

/// Time in which an owner of the same region answers, which is a few milliseconds away.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Least time for which an organisation is refused without a call, so that one that sends far too much costs few calls.
const MIN_DENIAL: Duration = Duration::from_millis(80);

/// Clients of the hosts that own quotas.
#[derive(Debug)]
pub struct QuotaPeers {
    channels: PeerChannels,
    /// One call at a time for each organisation; further requests wait for its result.
    calls: Mutex<HashMap<OrganisationId, Arc<tokio::sync::Mutex<()>>>>,
}

impl Default for QuotaPeers {
    fn default() -> Self {
        Self { channels: PeerChannels::new("quotas"), calls: Mutex::default() }
    }
}

impl QuotaPeers {
    /// Admits one request of `organisation`; otherwise returns when another one may pass.
    pub async fn admit(
        &self,
        state: &EntryState,
        organisation: &OrganisationId,
    ) -> Result<(), MonoTime> {
        let answer = state.core.lock().admit(organisation, state.clock.now());
        if let Some(result) = settled(answer) {
            return result;
        }
        let call = self.calls.lock().entry(organisation.clone()).or_default().clone();
        let _turn = call.lock().await;
        // Another request may have got admissions for this one too.
        let answer = state.core.lock().admit_again(organisation, state.clock.now());
        let AdmissionDecision::RequestTokens(count) = answer else {
            return settled(answer).unwrap_or(Ok(()));
        };
        match self.ask(state, organisation, count).await {
            Some((granted, retry_at)) => {
                let now = state.clock.now();
                let mut core = state.core.lock();
                core.fill_pool(organisation, granted, retry_at, now);
                settled(core.admit_again(organisation, now)).unwrap_or(Err(retry_at))
            }
            None => state.core.lock().admit_locally(organisation, state.clock.now()),
        }
    }

    /// What owners grant, and when more is expected; `None` if the region's own one cannot be asked.
    ///
    /// Regions are busy at different times, so that another region's part may be free while the own one is used up.
    async fn ask(
        &self,
        state: &EntryState,
        organisation: &OrganisationId,
        count: u32,
    ) -> Option<(u32, MonoTime)> {
        let now = state.clock.now();
        let (own_grant, owner, far) = {
            let mut core = state.core.lock();
            let grant = core.grant(organisation, count, now);
            let owner = core.quota_owner(organisation, now)?.clone();
            (grant, owner, core.remote_owners(organisation, now))
        };
        let near = match own_grant {
            Some(grant) => grant,
            None => self.ask_owner(state, &owner, organisation, count).await?,
        };
        let mut retry_at = match near {
            Ok(granted) => return Some((granted, now)),
            Err(retry_at) => retry_at,
        };
        // All at once, as the request waits for the way to another region.
        let part = count.div_ceil(u32::try_from(far.len()).unwrap_or(u32::MAX).max(1));
        let calls = far.iter().map(|it| self.ask_owner(state, it, organisation, part));
        let mut granted = 0;
        for answer in join_all(calls).await.into_iter().flatten() {
            match answer {
                Ok(tokens) => granted += tokens,
                Err(other) => retry_at = retry_at.min(other),
            }
        }
        if granted > 0 {
            return Some((granted, now));
        }
        Some((0, retry_at.max(state.clock.now().after(MIN_DENIAL))))
    }

    /// What one owner grants, or when more is expected; `None` if it cannot be asked.
    async fn ask_owner(
        &self,
        state: &EntryState,
        owner: &HostRecord,
        organisation: &OrganisationId,
        count: u32,
    ) -> Option<Result<u32, MonoTime>> {
        let call = TakeTokensRequest { organisation: organisation.to_string(), count };
        let mut client = self.channels.client(owner, state.clock.now())?;
        let limit = call_limit(owner, &state.record, CALL_TIMEOUT);
        let cause = match tokio::time::timeout(limit, client.take_tokens(call)).await {
            Ok(Ok(reply)) => {
                self.channels.record_answer(owner);
                let TakeTokensReply { is_owner, granted, retry_ms } = reply.into_inner();
                let retry_at = state.clock.now().after(Duration::from_millis(retry_ms.into()));
                let result = if granted > 0 { Ok(granted) } else { Err(retry_at) };
                // A host that sees another owner does so for a moment only.
                return is_owner.then_some(result);
            }
            Ok(Err(status)) => status.message().to_owned(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.channels.record_loss(owner, &cause, state.clock.now());
        None
    }
}

/// The result of a request, unless the owner is to be asked.
fn settled(answer: AdmissionDecision) -> Option<Result<(), MonoTime>> {
    match answer {
        AdmissionDecision::Admitted => Some(Ok(())),
        AdmissionDecision::Denied(retry_at) => Some(Err(retry_at)),
        AdmissionDecision::RequestTokens(_) => None,
    }
}
