//! gRPC clients for calls between hosts, and conversion of their messages. The server is in [`crate::control`].

mod claims;
mod client;
pub mod convert;
pub mod fields;
mod quotas;
mod rollouts;

pub(crate) use self::{
    claims::{claim_from_wire, claim_reply_to_wire},
    client::MAX_MESSAGE_BYTES,
    quotas::{borrow_answer_to_wire, borrow_from_wire, give_back_from_wire},
    rollouts::{evidence_to_wire, rollout_updates_to_wire},
};
pub use self::{
    client::{PeerClients, PeerError},
    rollouts::PeerCounts,
};
