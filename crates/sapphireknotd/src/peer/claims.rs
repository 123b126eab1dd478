//! Conversion of idempotency key claims to and from gRPC messages.

use std::net::SocketAddr;

use sapphireknot::{
    idempotency::{ClaimHolder, ClaimKey, ClaimOutcome, ClaimReply},
    ids::IncarnationId,
    keys::KeyDigest,
};
use sapphireknot_wire::peer::{
    ClaimRequestReply, ClaimRequestRequest, ClaimState, ClaimStep as WireStep,
};

use super::{
    client::PeerClients,
    fields::{ConvertError, parse_field},
};
use crate::claims::{ClaimCalls, ClaimMessage, ClaimStep};

fn claim_to_wire(message: &ClaimMessage) -> ClaimRequestRequest {
    let step = match message.step {
        ClaimStep::Begin => WireStep::Begin,
        ClaimStep::End(ClaimOutcome::NotRun) => WireStep::NotRun,
        ClaimStep::End(ClaimOutcome::Ran) => WireStep::Ran,
        ClaimStep::End(ClaimOutcome::Unknown) => WireStep::Unknown,
    };
    ClaimRequestRequest {
        organisation: message.key.organisation.to_string(),
        digest: message.key.digest.as_bytes().to_vec(),
        claimant: message.holder.host.to_string(),
        incarnation: message.holder.incarnation.0,
        step: step.into(),
        request: message.holder.request,
    }
}

pub(crate) fn claim_from_wire(request: &ClaimRequestRequest) -> Result<ClaimMessage, ConvertError> {
    let digest = KeyDigest::from_bytes(&request.digest)
        .ok_or_else(|| ConvertError { field: "digest", reason: "not 32 bytes".to_owned() })?;
    let step = match WireStep::try_from(request.step) {
        Ok(WireStep::Begin) => ClaimStep::Begin,
        Ok(WireStep::NotRun) => ClaimStep::End(ClaimOutcome::NotRun),
        Ok(WireStep::Ran) => ClaimStep::End(ClaimOutcome::Ran),
        Ok(WireStep::Unknown) => ClaimStep::End(ClaimOutcome::Unknown),
        Err(err) => return Err(ConvertError { field: "step", reason: err.to_string() }),
    };
    Ok(ClaimMessage {
        key: ClaimKey { organisation: parse_field("organisation", &request.organisation)?, digest },
        holder: ClaimHolder {
            host: parse_field("claimant", &request.claimant)?,
            incarnation: IncarnationId(request.incarnation),
            request: request.request,
        },
        step,
    })
}

pub(crate) fn claim_reply_to_wire(reply: ClaimReply) -> ClaimRequestReply {
    let state = match reply {
        ClaimReply::Granted { .. } => ClaimState::Granted,
        ClaimReply::InProgress => ClaimState::InProgress,
        ClaimReply::Ran => ClaimState::Ran,
        ClaimReply::Unknown => ClaimState::Unknown,
    };
    let complete = reply == ClaimReply::Granted { is_complete: true };
    ClaimRequestReply { state: state.into(), complete }
}

fn claim_reply_from_wire(reply: ClaimRequestReply) -> ClaimReply {
    match ClaimState::try_from(reply.state) {
        Ok(ClaimState::Granted) => ClaimReply::Granted { is_complete: reply.complete },
        Ok(ClaimState::InProgress) => ClaimReply::InProgress,
        Ok(ClaimState::Ran) => ClaimReply::Ran,
        Ok(ClaimState::Unknown) | Err(_) => ClaimReply::Unknown,
    }
}

#[async_trait::async_trait]
impl ClaimCalls for PeerClients {
    async fn call(&self, owner: SocketAddr, message: &ClaimMessage) -> Option<ClaimReply> {
        match self.claim_request(owner, claim_to_wire(message)).await {
            Ok(reply) => Some(claim_reply_from_wire(reply)),
            Err(err) => {
                log::debug!(error:% = err; "owner of an idempotency key did not answer");
                None
            }
        }
    }
}
