//! Calls for quota transfers and conversion of their messages.

use std::{net::SocketAddr, time::Duration};

use sapphireknot::{
    ids::{HostId, IncarnationId, TransferId},
    quota::{BorrowAnswer, BorrowCall, GiveBackCall},
    units::{TokenCount, TrafficShare},
};
use sapphireknot_wire::peer::{BorrowReply, BorrowRequest, GiveBackRequest};

use super::{
    client::{PeerClients, PeerError},
    fields::{ConvertError, parse_field},
};

fn transfer_from_wire(bytes: &[u8]) -> Result<TransferId, ConvertError> {
    let bytes = bytes
        .try_into()
        .map_err(|_| ConvertError { field: "transfer", reason: "not 16 bytes".to_owned() })?;
    Ok(TransferId(u128::from_be_bytes(bytes)))
}

fn borrow_to_wire(call: &BorrowCall) -> BorrowRequest {
    BorrowRequest {
        borrower: call.borrower.to_string(),
        incarnation: call.incarnation.0,
        transfer: call.transfer.0.to_be_bytes().to_vec(),
        resource: call.resource.to_string(),
        wanted_share_ppm: call.share.0,
        wanted_tokens: call.tokens.0,
    }
}

pub(crate) fn borrow_from_wire(request: &BorrowRequest) -> Result<BorrowCall, ConvertError> {
    Ok(BorrowCall {
        borrower: parse_field("borrower", &request.borrower)?,
        incarnation: IncarnationId(request.incarnation),
        transfer: transfer_from_wire(&request.transfer)?,
        resource: parse_field("resource", &request.resource)?,
        share: TrafficShare(request.wanted_share_ppm),
        tokens: TokenCount(request.wanted_tokens),
    })
}

pub(crate) fn borrow_answer_to_wire(answer: BorrowAnswer) -> BorrowReply {
    BorrowReply {
        granted: answer != BorrowAnswer::REFUSED,
        share_ppm: answer.share.0,
        tokens: answer.tokens.0,
        // Rounded down, so that the borrower does not use the share longer than the lender expects.
        remaining_us: u64::try_from(answer.remaining.as_micros()).unwrap_or(u64::MAX),
    }
}

fn borrow_answer_from_wire(reply: &BorrowReply) -> BorrowAnswer {
    if !reply.granted {
        return BorrowAnswer::REFUSED;
    }
    BorrowAnswer {
        share: TrafficShare(reply.share_ppm),
        tokens: TokenCount(reply.tokens),
        remaining: Duration::from_micros(reply.remaining_us),
    }
}

/// Converts a request that returns a share to this host, `lender`.
pub(crate) fn give_back_from_wire(
    request: &GiveBackRequest,
    lender: &HostId,
) -> Result<GiveBackCall, ConvertError> {
    Ok(GiveBackCall {
        borrower: parse_field("borrower", &request.borrower)?,
        incarnation: IncarnationId(request.incarnation),
        lender: lender.clone(),
        transfer: transfer_from_wire(&request.transfer)?,
        tokens: TokenCount(request.tokens),
    })
}

impl PeerClients {
    /// Asks `peer` to lend a share and waits up to `limit` for the answer.
    pub(crate) async fn borrow(
        &self,
        peer: SocketAddr,
        call: &BorrowCall,
        limit: Duration,
    ) -> Result<BorrowAnswer, PeerError> {
        let mut client = self.client(peer);
        let response = client.borrow(borrow_to_wire(call));
        let reply = self.call("peer borrow", peer, limit, response).await?;
        Ok(borrow_answer_from_wire(&reply))
    }

    /// Returns a borrowed share to `peer` and waits up to `limit` for the answer.
    pub(crate) async fn give_back(
        &self,
        peer: SocketAddr,
        call: &GiveBackCall,
        limit: Duration,
    ) -> Result<bool, PeerError> {
        let mut client = self.client(peer);
        let response = client.give_back(GiveBackRequest {
            borrower: call.borrower.to_string(),
            incarnation: call.incarnation.0,
            transfer: call.transfer.0.to_be_bytes().to_vec(),
            tokens: call.tokens.0,
        });
        Ok(self.call("peer give back", peer, limit, response).await?.accepted)
    }
}
