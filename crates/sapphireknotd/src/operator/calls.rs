//! Operators' calls.

use http::StatusCode;
use sapphireknot::{
    config::ReleaseNote,
    ids::NoteId,
    operator::{ChangeReceipt, DocumentReply, DocumentSubmission, NoteSubmission},
};
use serde::{Serialize, de::DeserializeOwned};

use super::{server::OperatorServer, status};
use crate::control::{ConfigMessage, LoadedConfig, SubmitOutcome, send};

/// Status and JSON body of a reply.
#[derive(Debug)]
pub(super) struct CallReply {
    /// Status.
    pub(super) status: StatusCode,
    /// Body.
    pub(super) body: Vec<u8>,
}

#[derive(Serialize)]
struct FailureBody<'a> {
    error: &'a str,
}

/// A reply that says why there is no other one.
pub(super) fn failure(status: StatusCode, reason: &str) -> CallReply {
    reply(status, &FailureBody { error: reason })
}

fn reply<T>(status: StatusCode, value: &T) -> CallReply
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => CallReply { status, body },
        Err(err) => {
            log::error!("encode a reply to an operator: {err}");
            CallReply { status: StatusCode::INTERNAL_SERVER_ERROR, body: b"{}".to_vec() }
        }
    }
}

fn receipt(receipt: &ChangeReceipt) -> CallReply {
    let status = match receipt {
        ChangeReceipt::Accepted { .. } => StatusCode::OK,
        ChangeReceipt::Refused { .. } => StatusCode::CONFLICT,
        ChangeReceipt::Resolving { .. } => StatusCode::ACCEPTED,
    };
    reply(status, receipt)
}

fn read<T>(body: &[u8]) -> Result<T, CallReply>
where
    T: DeserializeOwned,
{
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|err| {
        let reason = format!("field {}: {}", err.path(), err.inner());
        failure(StatusCode::BAD_REQUEST, &reason)
    })
}

/// Installs an accepted change here without waiting for the watch, and answers.
fn finish(server: &OperatorServer, outcome: SubmitOutcome) -> CallReply {
    if let Some(change) = outcome.change
        && let Some(document) = change.document
    {
        let (document, encoded) = *document;
        let loaded = LoadedConfig {
            generation: change.generation,
            document,
            encoded: Some(encoded),
            notes: change.note.into_iter().collect(),
            began: Some(change.began),
        };
        send(&server.config, ConfigMessage::Written(loaded));
    }
    receipt(&outcome.receipt)
}

pub(super) async fn put_config(server: &OperatorServer, body: &[u8]) -> CallReply {
    match read::<DocumentSubmission>(body) {
        Ok(submission) => finish(server, server.writer.submit_document(submission).await),
        Err(reply) => reply,
    }
}

pub(super) fn get_config(server: &OperatorServer) -> CallReply {
    match &*server.shared.context.config.load() {
        Some(config) => {
            let document = (*config.document).clone();
            reply(StatusCode::OK, &DocumentReply { generation: config.generation, document })
        }
        None => failure(StatusCode::NOT_FOUND, "there is no configuration yet"),
    }
}

pub(super) async fn check_note(server: &OperatorServer, body: &[u8]) -> CallReply {
    match read::<ReleaseNote>(body) {
        Ok(note) => receipt(&server.writer.check_note(note).await),
        Err(reply) => reply,
    }
}

pub(super) async fn post_note(server: &OperatorServer, body: &[u8]) -> CallReply {
    match read::<NoteSubmission>(body) {
        Ok(submission) => finish(server, server.writer.submit_note(submission).await),
        Err(reply) => reply,
    }
}

pub(super) async fn get_note(server: &OperatorServer, id: &str) -> CallReply {
    let id = match id.parse::<NoteId>() {
        Ok(id) => id,
        Err(err) => return failure(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    match status::note_status(server, &id).await {
        Ok(Some(status)) => reply(StatusCode::OK, &status),
        Ok(None) => failure(StatusCode::NOT_FOUND, "no such note was accepted"),
        Err(err) => failure(StatusCode::SERVICE_UNAVAILABLE, &err.to_string()),
    }
}

pub(super) fn get_status(server: &OperatorServer) -> CallReply {
    reply(StatusCode::OK, &status::host_status(server))
}
