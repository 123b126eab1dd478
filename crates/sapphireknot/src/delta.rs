//! Incremental configuration updates by release notes.
//!
//! A host with an earlier generation only needs the notes accepted since then, which are thousands of times smaller
//! than the document. The digest of the result verifies that it equals the accepted document. If it does not, or if
//! notes are no longer available, the host fetches the whole document.

use std::{collections::VecDeque, sync::Arc};

use thiserror::Error;

use crate::{
    config::{ConfigDocument, ConfigProblem, ReleaseNote, apply_note},
    head::{DocumentError, EncodedDocument},
    ids::{ConfigGeneration, NoteId},
};

/// Maximum number of notes in a log, equal to the number of notes in the head.
const MAX_NOTES: usize = 256;
/// Maximum total size of the notes in a log; on a small host, rare fetches do not justify more memory.
const MAX_BYTES: usize = 1 << 20;

/// Log of the most recently accepted release notes, one per generation.
#[derive(Debug, Clone, Default)]
pub struct NoteLog {
    last: ConfigGeneration,
    // Encoded as JSON and shared by the logs of successive generations.
    notes: VecDeque<Arc<[u8]>>,
}

/// Error when a delta does not produce the expected document.
#[derive(Debug, Error)]
pub enum DeltaError {
    /// A note cannot be applied to the document.
    #[error("apply note {id}: {}", .problems.first().map(ToString::to_string).unwrap_or_default())]
    Apply {
        /// Identifier of the note.
        id: NoteId,
        /// Validation errors.
        problems: Vec<ConfigProblem>,
    },
    /// The result has another digest, or a document or note cannot be encoded or decoded.
    #[error(transparent)]
    Document(#[from] DocumentError),
}

impl NoteLog {
    /// Creates an empty log that ends at generation `last`.
    pub fn new(last: ConfigGeneration) -> Self {
        Self { last, notes: VecDeque::new() }
    }

    /// Returns the log extended by `notes`, which produced the generations up to `generation`; drops the earlier notes
    /// if there is a gap between them and `notes`.
    pub fn extended(
        &self,
        generation: ConfigGeneration,
        notes: &[ReleaseNote],
    ) -> Result<Self, DocumentError> {
        let is_next = self.last.0 + notes.len() as u64 == generation.0;
        let mut log = if is_next { self.clone() } else { Self::default() };
        log.last = generation;
        for note in notes {
            log.notes.push_back(serde_json::to_vec(note).map_err(DocumentError::from)?.into());
        }
        let mut bytes: usize = log.notes.iter().map(|it| it.len()).sum();
        while bytes > MAX_BYTES || log.notes.len() > MAX_NOTES {
            let Some(oldest) = log.notes.pop_front() else { break };
            bytes -= oldest.len();
        }
        Ok(log)
    }

    /// Returns the encoded notes after generation `known`; `None` if some are no longer in the log or `known` is newer.
    pub fn notes_after(&self, known: ConfigGeneration) -> Option<Vec<Vec<u8>>> {
        let count = usize::try_from(self.last.0.checked_sub(known.0)?).ok()?;
        let first = self.notes.len().checked_sub(count)?;
        Some(self.notes.iter().skip(first).map(|it| it.to_vec()).collect())
    }
}

/// Decodes the notes returned by [`NoteLog::notes_after`].
pub fn read_notes(notes: &[Vec<u8>]) -> Result<Vec<ReleaseNote>, DocumentError> {
    Ok(notes.iter().map(|it| serde_json::from_slice(it)).collect::<Result<_, _>>()?)
}

/// Applies `notes` in order and verifies that the resulting document has the digest `digest`.
pub fn apply_notes(
    document: &ConfigDocument,
    notes: &[ReleaseNote],
    digest: &str,
) -> Result<(ConfigDocument, EncodedDocument), DeltaError> {
    let mut changed = None;
    for note in notes {
        let applied = apply_note(changed.as_ref().unwrap_or(document), note);
        let failed = |problems| DeltaError::Apply { id: note.id.clone(), problems };
        changed = Some(applied.map_err(failed)?);
    }
    let document = changed.unwrap_or_else(|| document.clone());
    let encoded = EncodedDocument::new(&document)?;
    if encoded.digest != digest {
        let (expected, found) = (digest.to_owned(), encoded.digest);
        return Err(DocumentError::Digest { expected, found }.into());
    }
    Ok((document, encoded))
}
