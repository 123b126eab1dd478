//! Handlers of the operator API calls.

use std::time::Duration;

use http::StatusCode;
use sapphireknot::{
    config::ReleaseNote,
    ids::NoteId,
    operator::{ChangeReceipt, DocumentReply, DocumentSubmission, NoteSubmission},
};
use serde::{Serialize, de::DeserializeOwned};

use super::{state::OperatorState, status};
use crate::{
    control::{messages::ConfigMessage, notes::SubmitOutcome},
    loaded_config::LoadedConfig,
};

/// Longest wait for the installation of an accepted change, which normally takes milliseconds.
const INSTALL_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP reply with a JSON body.
#[derive(Debug)]
pub(super) struct OperatorReply {
    /// HTTP status.
    pub(super) status: StatusCode,
    /// JSON body.
    pub(super) body: Vec<u8>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Builds an error reply with the reason in its body.
pub(super) fn error_reply(status: StatusCode, reason: &str) -> OperatorReply {
    json_reply(status, &ErrorBody { error: reason })
}

fn json_reply<T>(status: StatusCode, value: &T) -> OperatorReply
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => OperatorReply { status, body },
        Err(err) => {
            log::error!("failed to encode a reply to an operator: {err}");
            OperatorReply { status: StatusCode::INTERNAL_SERVER_ERROR, body: b"{}".to_vec() }
        }
    }
}

fn receipt_reply(receipt: &ChangeReceipt) -> OperatorReply {
    let status = match receipt {
        ChangeReceipt::Accepted { .. } => StatusCode::OK,
        ChangeReceipt::Refused { .. } => StatusCode::CONFLICT,
        ChangeReceipt::Resolving { .. } => StatusCode::ACCEPTED,
    };
    json_reply(status, receipt)
}

fn parse_body<T>(body: &[u8]) -> Result<T, OperatorReply>
where
    T: DeserializeOwned,
{
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|err| {
        let reason = format!("field {}: {}", err.path(), err.inner());
        error_reply(StatusCode::BAD_REQUEST, &reason)
    })
}

/// Installs an accepted change on this host without waiting for the watch, and returns the reply.
///
/// The reply is sent after the installation: the base of the operator's next note is the generation in force here, and
/// an older generation would make the next note conflict with this change.
async fn install_and_reply(state: &OperatorState, outcome: SubmitOutcome) -> OperatorReply {
    if let Some(change) = outcome.change
        && let Some(document) = change.document
    {
        let (document, encoded) = *document;
        let generation = change.generation;
        let loaded = LoadedConfig {
            generation,
            document,
            encoded: Some(encoded),
            notes: change.note.into_iter().collect(),
            began: Some(change.began),
        };
        let installed = state
            .config
            .call(|port| ConfigMessage::ChangeAccepted(loaded, port), Some(INSTALL_TIMEOUT));
        if let Err(err) = installed.await {
            log::warn!("install generation {generation}: {err}");
        }
    }
    receipt_reply(&outcome.receipt)
}

pub(super) async fn put_config(state: &OperatorState, body: &[u8]) -> OperatorReply {
    match parse_body::<DocumentSubmission>(body) {
        Ok(submission) => {
            install_and_reply(state, state.writer.submit_document(submission).await).await
        }
        Err(reply) => reply,
    }
}

pub(super) fn get_config(state: &OperatorState) -> OperatorReply {
    match &*state.shared.context.config.load() {
        Some(config) => {
            let document = (*config.document).clone();
            json_reply(StatusCode::OK, &DocumentReply { generation: config.generation, document })
        }
        None => error_reply(StatusCode::NOT_FOUND, "there is no configuration yet"),
    }
}

pub(super) async fn check_note(state: &OperatorState, body: &[u8]) -> OperatorReply {
    match parse_body::<ReleaseNote>(body) {
        Ok(note) => receipt_reply(&state.writer.check_note(note).await),
        Err(reply) => reply,
    }
}

pub(super) async fn post_note(state: &OperatorState, body: &[u8]) -> OperatorReply {
    match parse_body::<NoteSubmission>(body) {
        Ok(submission) => {
            install_and_reply(state, state.writer.submit_note(submission).await).await
        }
        Err(reply) => reply,
    }
}

pub(super) async fn get_note(state: &OperatorState, id: &str) -> OperatorReply {
    let id = match id.parse::<NoteId>() {
        Ok(id) => id,
        Err(err) => return error_reply(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    match status::note_status(state, &id).await {
        Ok(Some(status)) => json_reply(StatusCode::OK, &status),
        Ok(None) => error_reply(StatusCode::NOT_FOUND, "no such note was accepted"),
        Err(err) => error_reply(StatusCode::SERVICE_UNAVAILABLE, &err.to_string()),
    }
}

pub(super) fn get_status(state: &OperatorState) -> OperatorReply {
    json_reply(StatusCode::OK, &status::host_status(state))
}
