//! Change of a configuration by its release notes.
//!
//! A host that has an earlier generation needs only the notes since then, which are thousands of times smaller than the
//! document. The digest of the result tells whether it is the document that was accepted; otherwise, and when notes are
//! gone, the whole document is fetched.

use std::{collections::VecDeque, sync::Arc};

use thiserror::Error;

use crate::{
    config::{ConfigDocument, ConfigProblem, ReleaseNote, apply_note},
    head::{DocumentError, EncodedDocument},
    ids::{ConfigGeneration, NoteId},
};

/// Notes that a log keeps, as many as the head names.
const MAX_NOTES: usize = 256;
/// Bytes of the notes that a log keeps; more would cost a small host memory that a rare fetch does not justify.
const MAX_BYTES: usize = 1 << 20;

/// Last release notes that made the generations up to one.
#[derive(Debug, Clone, Default)]
pub struct NoteLog {
    last: ConfigGeneration,
    // Encoded, and shared by the logs of successive generations.
    notes: VecDeque<Arc<[u8]>>,
}

/// Notes that do not lead to the named document.
#[derive(Debug, Error)]
pub enum DeltaError {
    /// Note that does not fit the document.
    #[error("apply note {id}: {}", .problems.first().map(ToString::to_string).unwrap_or_default())]
    Apply {
        /// Note.
        id: NoteId,
        /// Problems of the resulting document.
        problems: Vec<ConfigProblem>,
    },
    /// Document that is not the named one, or a note that cannot be read.
    #[error(transparent)]
    Document(#[from] DocumentError),
}

impl NoteLog {
    /// A log of no notes that ends with generation `last`.
    pub fn new(last: ConfigGeneration) -> Self {
        Self { last, notes: VecDeque::new() }
    }

    /// The log after `notes`, which made the generations up to `generation`; earlier notes are kept if none is missing.
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

    /// The encoded notes after generation `known`; none if some are gone.
    pub fn notes_after(&self, known: ConfigGeneration) -> Option<Vec<Vec<u8>>> {
        let count = usize::try_from(self.last.0.checked_sub(known.0)?).ok()?;
        let first = self.notes.len().checked_sub(count)?;
        Some(self.notes.iter().skip(first).map(|it| it.to_vec()).collect())
    }
}

/// Reads notes of [`NoteLog::notes_after`].
pub fn read_notes(notes: &[Vec<u8>]) -> Result<Vec<ReleaseNote>, DocumentError> {
    Ok(notes.iter().map(|it| serde_json::from_slice(it)).collect::<Result<_, _>>()?)
}

/// Applies `notes` in turn and checks that the result is the document with `digest`.
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
