//! Commands that do not call a host.

use std::{io, path::Path};

use sapphireknot::{
    config::{ConfigProblem, apply_note, load_document, load_note},
    keys::KeyDigest,
};

use super::{CommandError, read_file};
use crate::{
    exit::ExitStatus,
    report::{CheckReport, ReportWriter},
};

/// Checks a configuration document or a release note.
pub(super) fn check(
    file: &Path,
    document: Option<&Path>,
    writer: &mut ReportWriter<'_>,
) -> Result<ExitStatus, CommandError> {
    let text = read_file(file)?;
    let (kind, problems) = if is_note(&text) {
        ("release note", note_problems(&text, document)?)
    } else {
        ("document", load_document(&text).err().unwrap_or_default())
    };
    let status = if problems.is_empty() { ExitStatus::Success } else { ExitStatus::Refused };
    let report = CheckReport { file: file.display().to_string(), kind: kind.to_owned(), problems };
    writer.write(&report)?;
    Ok(status)
}

/// Prints the SHA-256 digest of a key read from standard input.
pub(super) fn digest(writer: &mut ReportWriter<'_>) -> Result<ExitStatus, CommandError> {
    let key = io::read_to_string(io::stdin())?;
    let digest = KeyDigest::of(key.trim_end_matches(['\r', '\n']).as_bytes());
    writer.write_raw(&format!("{}\n", digest.to_hex()))?;
    Ok(ExitStatus::Success)
}

/// Whether a file is a release note, which unlike a document has items.
fn is_note(text: &str) -> bool {
    let value = serde_yaml_ng::from_str::<serde_json::Value>(text).unwrap_or_default();
    value.get("items").is_some()
}

/// Returns the problems of a release note, including those of applying it to `document`.
fn note_problems(text: &str, document: Option<&Path>) -> Result<Vec<ConfigProblem>, CommandError> {
    let note = match load_note(text) {
        Ok(note) => note,
        Err(problems) => return Ok(problems),
    };
    let Some(document) = document else { return Ok(Vec::new()) };
    let applied = load_document(&read_file(document)?).and_then(|it| apply_note(&it, &note));
    Ok(applied.err().unwrap_or_default())
}
