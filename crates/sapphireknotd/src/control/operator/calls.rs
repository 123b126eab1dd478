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
const INSTALL_LIMIT: Duration = Duration::from_secs(1);

/// HTTP reply with a JSON body.
#[derive(Debug)]
pub(super) struct CallReply {
    /// HTTP status.
    pub(super) status: StatusCode,
    /// JSON body.
    pub(super) body: Vec<u8>,
}

#[derive(Serialize)]
struct FailureBody<'a> {
    error: &'a str,
}

/// Builds an error reply with the reason in its body.
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
            log::error!("failed to encode a reply to an operator: {err}");
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

/// Installs an accepted change on this host without waiting for the watch, and returns the reply.
///
/// The reply is sent after the installation: the base of the operator's next note is the generation in force here, and
/// an older generation would make the next note conflict with this change.
async fn finish(state: &OperatorState, outcome: SubmitOutcome) -> CallReply {
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
        let installed =
            state.config.call(|port| ConfigMessage::Written(loaded, port), Some(INSTALL_LIMIT));
        if let Err(err) = installed.await {
            log::warn!("install generation {generation}: {err}");
        }
    }
    receipt(&outcome.receipt)
}

pub(super) async fn put_config(state: &OperatorState, body: &[u8]) -> CallReply {
    match read::<DocumentSubmission>(body) {
        Ok(submission) => finish(state, state.writer.submit_document(submission).await).await,
        Err(reply) => reply,
    }
}

pub(super) fn get_config(state: &OperatorState) -> CallReply {
    match &*state.shared.context.config.load() {
        Some(config) => {
            let document = (*config.document).clone();
            reply(StatusCode::OK, &DocumentReply { generation: config.generation, document })
        }
        None => failure(StatusCode::NOT_FOUND, "there is no configuration yet"),
    }
}

pub(super) async fn check_note(state: &OperatorState, body: &[u8]) -> CallReply {
    match read::<ReleaseNote>(body) {
        Ok(note) => receipt(&state.writer.check_note(note).await),
        Err(reply) => reply,
    }
}

pub(super) async fn post_note(state: &OperatorState, body: &[u8]) -> CallReply {
    match read::<NoteSubmission>(body) {
        Ok(submission) => finish(state, state.writer.submit_note(submission).await).await,
        Err(reply) => reply,
    }
}

pub(super) async fn get_note(state: &OperatorState, id: &str) -> CallReply {
    let id = match id.parse::<NoteId>() {
        Ok(id) => id,
        Err(err) => return failure(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    match status::note_status(state, &id).await {
        Ok(Some(status)) => reply(StatusCode::OK, &status),
        Ok(None) => failure(StatusCode::NOT_FOUND, "no such note was accepted"),
        Err(err) => failure(StatusCode::SERVICE_UNAVAILABLE, &err.to_string()),
    }
}

pub(super) fn get_status(state: &OperatorState) -> CallReply {
    reply(StatusCode::OK, &status::host_status(state))
}
