//! Commands that query a host.

use sapphireknot::{
    ids::NoteId,
    operator::{DocumentReply, HostStatus, ItemState, NoteStatus},
};

use super::CommandError;
use crate::{client::HostClient, exit::ExitStatus, report::ReportWriter};

/// Reports the state of a release note.
pub(super) async fn note_status(
    client: &HostClient,
    note: &NoteId,
    writer: &mut ReportWriter<'_>,
) -> Result<ExitStatus, CommandError> {
    let status: NoteStatus = client.get(&format!("/v1/notes/{note}")).await?;
    writer.write(&status)?;
    Ok(note_exit_status(&status))
}

/// Reports the state of a host.
pub(super) async fn host_status(
    client: &HostClient,
    writer: &mut ReportWriter<'_>,
) -> Result<ExitStatus, CommandError> {
    let status: HostStatus = client.get("/v1/status").await?;
    writer.write(&status)?;
    Ok(ExitStatus::Success)
}

/// Prints the configuration in force as YAML, which `init` accepts.
pub(super) async fn config(
    client: &HostClient,
    writer: &mut ReportWriter<'_>,
) -> Result<ExitStatus, CommandError> {
    let reply: DocumentReply = client.get("/v1/config").await?;
    let text = serde_yaml_ng::to_string(&reply.document)?;
    writer.write_raw(&format!("# generation {}\n{text}", reply.generation))?;
    Ok(ExitStatus::Success)
}

/// Exit status for the state of a release note.
pub(super) fn note_exit_status(status: &NoteStatus) -> ExitStatus {
    let has = |state| status.items.iter().any(|it| it.state == state);
    if has(ItemState::Reverted) {
        ExitStatus::Reverted
    } else if has(ItemState::Pending) {
        ExitStatus::Pending
    } else {
        ExitStatus::Success
    }
}
