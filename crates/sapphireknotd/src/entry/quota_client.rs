//! Client for quota tokens from the hosts that own quotas.

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
    peer_channels::{FAR_CALL_TIMEOUT, PeerChannels},
    state::EntryState,
};

/// Timeout of a call to an owner in the same region, which is a few milliseconds away.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum time for which an organisation is refused without a call, so that one far above its rate causes few calls.
const MIN_DENIAL: Duration = Duration::from_millis(80);

/// Client of the hosts that own quotas.
#[derive(Debug)]
pub struct QuotaClient {
    channels: PeerChannels,
    /// Lock per organisation that allows one call at a time; further requests wait for its result.
    calls: Mutex<HashMap<OrganisationId, Arc<tokio::sync::Mutex<()>>>>,
}

impl Default for QuotaClient {
    fn default() -> Self {
        Self { channels: PeerChannels::new("quotas"), calls: Mutex::default() }
    }
}

impl QuotaClient {
    /// Admits one request of `organisation`, or returns the time at which to retry.
    pub async fn admit(
        &self,
        state: &EntryState,
        organisation: &OrganisationId,
    ) -> Result<(), MonoTime> {
        let decision = state.core.lock().admit(organisation, state.clock.now());
        if let Some(result) = admission_result(decision) {
            return result;
        }
        let call = self.calls.lock().entry(organisation.clone()).or_default().clone();
        let _guard = call.lock().await;
        // The call of another request may have obtained tokens for this one too.
        let decision = state.core.lock().admit_again(organisation, state.clock.now());
        let AdmissionDecision::RequestTokens(count) = decision else {
            return admission_result(decision).unwrap_or(Ok(()));
        };
        match self.request_tokens(state, organisation, count).await {
            Some((granted, retry_at)) => {
                let now = state.clock.now();
                let mut core = state.core.lock();
                core.fill_pool(organisation, granted, retry_at, now);
                admission_result(core.admit_again(organisation, now)).unwrap_or(Err(retry_at))
            }
            None => state.core.lock().admit_locally(organisation, state.clock.now()),
        }
    }

    /// Tokens granted by the owners, and the time at which to retry; `None` if the owner in the own region cannot be
    /// called.
    ///
    /// Regions are busy at different times, so that the part of another region may have tokens left when the own part
    /// is used up.
    async fn request_tokens(
        &self,
        state: &EntryState,
        organisation: &OrganisationId,
        count: u32,
    ) -> Option<(u32, MonoTime)> {
        let now = state.clock.now();
        let (mut own_part, grantors, far, limit) = {
            let mut core = state.core.lock();
            let grant = core.grant(organisation, count, now);
            let grantors = core.local_grantors(organisation, now);
            // A host without a share has nothing to fall back on.
            let limit = if core.has_share(now) { CALL_TIMEOUT } else { FAR_CALL_TIMEOUT };
            (grant, grantors, core.remote_owners(organisation, now), limit)
        };
        for grantor in &grantors {
            if own_part.is_none() {
                own_part =
                    self.request_from_owner(state, grantor, organisation, count, limit).await;
            }
        }
        let own_part = match own_part {
            Some(part) => part,
            // A host that no other one counts may be the only one of its region.
            None if grantors.is_empty() && !far.is_empty() => Err(now),
            None => return None,
        };
        let mut retry_at = match own_part {
            Ok(granted) => return Some((granted, now)),
            Err(retry_at) => retry_at,
        };
        // The calls run concurrently, because the request waits for a round trip to another region.
        let part = count.div_ceil(u32::try_from(far.len()).unwrap_or(u32::MAX).max(1));
        let request = |it| self.request_from_owner(state, it, organisation, part, FAR_CALL_TIMEOUT);
        let calls = far.iter().map(request);
        let mut granted = 0;
        for result in join_all(calls).await.into_iter().flatten() {
            match result {
                Ok(tokens) => granted += tokens,
                Err(retry) => retry_at = retry_at.min(retry),
            }
        }
        if granted > 0 {
            return Some((granted, now));
        }
        Some((0, retry_at.max(state.clock.now().after(MIN_DENIAL))))
    }

    /// Tokens granted by one owner, or the time at which to retry; `None` if it cannot be called.
    async fn request_from_owner(
        &self,
        state: &EntryState,
        owner: &HostRecord,
        organisation: &OrganisationId,
        count: u32,
        limit: Duration,
    ) -> Option<Result<u32, MonoTime>> {
        let call = TakeTokensRequest { organisation: organisation.to_string(), count };
        let mut client = self.channels.client(owner, state.clock.now())?;
        let cause = match tokio::time::timeout(limit, client.take_tokens(call)).await {
            Ok(Ok(reply)) => {
                self.channels.record_success(owner);
                let TakeTokensReply { is_owner, granted, retry_ms } = reply.into_inner();
                let retry_at = state.clock.now().after(Duration::from_millis(retry_ms.into()));
                let result = if granted > 0 { Ok(granted) } else { Err(retry_at) };
                // Hosts disagree on the owner only briefly; the next call goes to the right one.
                return is_owner.then_some(result);
            }
            Ok(Err(status)) => status.message().to_owned(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.channels.record_failure(owner, &cause, state.clock.now());
        None
    }
}

/// Result of an admission `decision`, or `None` if the owner must be called.
fn admission_result(decision: AdmissionDecision) -> Option<Result<(), MonoTime>> {
    match decision {
        AdmissionDecision::Admitted => Some(Ok(())),
        AdmissionDecision::Denied(retry_at) => Some(Err(retry_at)),
        AdmissionDecision::RequestTokens(_) => None,
    }
}
