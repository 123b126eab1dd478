//! Commands that change the configuration.

use std::{path::Path, time::Duration};

use hyper::Method;
use sapphireknot::{
    config::{load_document, load_note},
    ids::{ConfigGeneration, NoteId},
    operator::{ChangeReceipt, DocumentSubmission, ItemState, NoteStatus, NoteSubmission},
    time::ClockSpan,
};
use tokio::time::Instant;

use super::{CommandError, query::note_exit_status, read_file};
use crate::{
    client::{ClientError, HostClient},
    exit::ExitStatus,
    report::{CheckReport, ReportWriter},
};

/// Interval at which the status of a release note is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Stores the first configuration.
pub(super) async fn init(
    client: &HostClient,
    file: &Path,
    writer: &mut ReportWriter<'_>,
) -> Result<ExitStatus, CommandError> {
    let document = match load_document(&read_file(file)?) {
        Ok(document) => document,
        Err(problems) => {
            let file = file.display().to_string();
            writer.write(&CheckReport { file, kind: "document".to_owned(), problems })?;
            return Ok(ExitStatus::Refused);
        }
    };
    let submission = DocumentSubmission { document, base: ConfigGeneration(0) };
    let receipt = client.send(Method::PUT, "/v1/config", &submission).await?;
    writer.write(&receipt)?;
    Ok(receipt_exit_status(&receipt))
}

/// Submits a release note and optionally waits until none of its items is pending.
pub(super) async fn apply(
    client: &HostClient,
    file: &Path,
    wait: Option<ClockSpan>,
    writer: &mut ReportWriter<'_>,
) -> Result<ExitStatus, CommandError> {
    let note = match load_note(&read_file(file)?) {
        Ok(note) => note,
        Err(problems) => {
            let file = file.display().to_string();
            writer.write(&CheckReport { file, kind: "release note".to_owned(), problems })?;
            return Ok(ExitStatus::Refused);
        }
    };
    let id = note.id.clone();
    let submission = NoteSubmission { note, base: None };
    let receipt = match client.send(Method::POST, "/v1/notes", &submission).await {
        Ok(receipt) => receipt,
        // The host may have stored the note before the connection broke.
        Err(ClientError::Unanswered { reason, .. }) => ChangeReceipt::Resolving { reason },
        Err(err) => return Err(err.into()),
    };
    match (wait, &receipt) {
        (None, _) | (_, ChangeReceipt::Refused { .. }) => {
            writer.write(&receipt)?;
            Ok(receipt_exit_status(&receipt))
        }
        (Some(wait), _) => {
            let deadline = Instant::now() + wait.0;
            match poll_note(client, &id, deadline).await? {
                Some(status) => {
                    writer.write(&status)?;
                    Ok(note_exit_status(&status))
                }
                None => {
                    writer.write(&receipt)?;
                    Ok(ExitStatus::Pending)
                }
            }
        }
    }
}

/// Polls a release note until no item is pending or the deadline passes, and returns its last known status.
async fn poll_note(
    client: &HostClient,
    id: &NoteId,
    deadline: Instant,
) -> Result<Option<NoteStatus>, CommandError> {
    let path = format!("/v1/notes/{id}");
    let mut last = None;
    loop {
        match client.get::<NoteStatus>(&path).await {
            Ok(status) => {
                let is_settled = status.items.iter().all(|it| it.state != ItemState::Pending);
                last = Some(status);
                if is_settled {
                    return Ok(last);
                }
            }
            Err(err) if err.is_not_found() => {}
            Err(ClientError::Unanswered { .. }) => {}
            Err(err) => return Err(err.into()),
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Ok(last);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Exit status for the receipt of a change.
fn receipt_exit_status(receipt: &ChangeReceipt) -> ExitStatus {
    match receipt {
        ChangeReceipt::Accepted { .. } => ExitStatus::Success,
        ChangeReceipt::Refused { .. } => ExitStatus::Refused,
        ChangeReceipt::Resolving { .. } => ExitStatus::Pending,
    }
}
