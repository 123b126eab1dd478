//! Head record of the configuration.
//!
//! The store holds a single head, which references the chunks of the document by SHA-256 digest. It is replaced by
//! compare-and-swap, so that each generation is produced by exactly one note. This module decides what a host writes
//! for a note, and whether a write whose response was lost took effect, given a head that was read back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::{
    config::{
        ConfigDocument, ConfigProblem, EntityPath, NoteItem, ReleaseNote, apply_note,
        check_document, conflicting_paths,
    },
    ids::{ConfigGeneration, NoteId},
};

/// Maximum number of accepted notes in a head.
pub const MAX_NOTES: usize = 256;
/// Maximum number of entities in `last_changes` of a head; at about 100 bytes each, a head stays below the store's
/// value limit of 1 MB.
pub const MAX_CHANGES: usize = 4_096;
/// Maximum size of a chunk in bytes; the store accepts values of up to 1 MB.
pub const CHUNK_BYTES: usize = 1_000_000;

/// Accepted note with the generation that it produced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedNote {
    /// Identifier of the note.
    pub id: NoteId,
    /// Generation that it produced.
    pub generation: ConfigGeneration,
    /// SHA-256 of the note, to distinguish it from another note with the same id.
    pub digest: String,
}

/// Head record: current generation, document chunks and recent changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Current generation.
    pub generation: ConfigGeneration,
    /// SHA-256 of each chunk, 64 hexadecimal digits.
    pub chunks: Vec<String>,
    /// SHA-256 of the whole document, 64 hexadecimal digits.
    pub digest: String,
    /// Generation of the last change per entity.
    pub last_changes: BTreeMap<String, ConfigGeneration>,
    /// Generation up to which changes may be missing from `last_changes`.
    pub changes_pruned: ConfigGeneration,
    /// Most recently accepted notes, oldest first.
    pub notes: Vec<AcceptedNote>,
}

/// Serialized document, as stored and exchanged by hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedDocument {
    /// Document as JSON.
    pub bytes: Vec<u8>,
    /// SHA-256 of the bytes, 64 hexadecimal digits.
    pub digest: String,
}

/// Error when a document cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The digest of the bytes is not the expected one.
    #[error("check the document's digest: expected {expected}, found {found}")]
    Digest {
        /// Expected digest.
        expected: String,
        /// Actual digest.
        found: String,
    },
    /// The document or a note cannot be converted to or from JSON.
    #[error("read the document: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The document is invalid.
    #[error("check the document: {}", .0.first().map(ToString::to_string).unwrap_or_default())]
    Problems(Vec<ConfigProblem>),
}

/// Returns the SHA-256 digest of `bytes` as 64 hexadecimal digits.
pub fn hex_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

impl EncodedDocument {
    /// Serializes `document`.
    pub fn new(document: &ConfigDocument) -> Result<Self, DocumentError> {
        let bytes = serde_json::to_vec(document)?;
        Ok(Self { digest: hex_digest(&bytes), bytes })
    }

    /// Deserializes and validates a document, after verifying that its digest is `digest`.
    pub fn decode(bytes: &[u8], digest: &str) -> Result<ConfigDocument, DocumentError> {
        let found = hex_digest(bytes);
        if found != digest {
            return Err(DocumentError::Digest { expected: digest.to_owned(), found });
        }
        let document = serde_json::from_slice(bytes)?;
        let problems = check_document(&document);
        if problems.is_empty() { Ok(document) } else { Err(DocumentError::Problems(problems)) }
    }

    /// Splits the document into chunks and returns them with their digests.
    pub fn chunks(&self) -> Vec<(String, &[u8])> {
        self.bytes.chunks(CHUNK_BYTES).map(|chunk| (hex_digest(chunk), chunk)).collect()
    }
}

/// Decision on a submitted note or document.
#[derive(Debug)]
pub enum NoteDecision {
    /// The note was accepted earlier and produced this generation.
    AlreadyAccepted(ConfigGeneration),
    /// The note can be applied: write the chunks, then replace the head.
    Write(Box<NoteWrite>),
    /// The note cannot be applied.
    Refused {
        /// Validation errors.
        problems: Vec<ConfigProblem>,
        /// Entities that changed after the base generation.
        conflicts: Vec<EntityPath>,
    },
}

/// Document and head to be written.
#[derive(Debug)]
pub struct NoteWrite {
    /// New head.
    pub head: ConfigHead,
    /// New document.
    pub document: ConfigDocument,
    /// The same document, serialized.
    pub encoded: EncodedDocument,
    /// Whether the base generation of the note is older than the generation that is replaced.
    pub is_rebased: bool,
}

/// Outcome of a write whose response was lost, determined from a head that was read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBack {
    /// The write took effect and produced this generation.
    Accepted(ConfigGeneration),
    /// The write has not taken effect. It can be retried on this head: if the first write is still in progress, the
    /// compare-and-swap of one of them fails.
    Missing,
    /// The head no longer contains the notes of that generation.
    Unknown,
}

impl ConfigHead {
    /// Returns the generation that note `id` produced, if the head still contains the note.
    pub fn generation_of(&self, id: &NoteId) -> Option<ConfigGeneration> {
        self.notes.iter().find(|it| it.id == *id).map(|it| it.generation)
    }

    /// Returns the outcome of writing note `id`, which was not attempted for any generation below `tried`.
    pub fn read_back(&self, id: &NoteId, tried: ConfigGeneration) -> ReadBack {
        match self.generation_of(id) {
            Some(generation) => ReadBack::Accepted(generation),
            None if self.generation.0.saturating_sub(tried.0) < MAX_NOTES as u64 => {
                ReadBack::Missing
            }
            None => ReadBack::Unknown,
        }
    }

    /// Returns the decision on a note whose id was already accepted.
    fn decide_known_note(&self, id: &NoteId, digest: &str) -> Option<NoteDecision> {
        let known = self.notes.iter().find(|it| it.id == *id)?;
        if known.digest == digest {
            return Some(NoteDecision::AlreadyAccepted(known.generation));
        }
        let problems = vec![ConfigProblem::new("id", id, "an id that no other note has")];
        Some(NoteDecision::Refused { problems, conflicts: Vec::new() })
    }

    /// Returns the head of the next generation, produced by note `id`.
    fn successor(&self, id: &NoteId, digest: String, encoded: &EncodedDocument) -> Self {
        let generation = self.generation.next();
        let mut notes = self.notes.clone();
        notes.push(AcceptedNote { id: id.clone(), generation, digest });
        let excess = notes.len().saturating_sub(MAX_NOTES);
        notes.drain(..excess);
        Self {
            generation,
            chunks: encoded.chunks().into_iter().map(|(digest, _)| digest).collect(),
            digest: encoded.digest.clone(),
            last_changes: self.last_changes.clone(),
            changes_pruned: self.changes_pruned,
            notes,
        }
    }

    /// Records that `paths` changed in this generation, and prunes the oldest changes beyond [`MAX_CHANGES`].
    fn record_changes<I>(&mut self, paths: I)
    where
        I: Iterator<Item = EntityPath>,
    {
        self.last_changes.extend(paths.map(|path| (path.to_string(), self.generation)));
        if self.last_changes.len() <= MAX_CHANGES {
            return;
        }
        let mut generations: Vec<_> = self.last_changes.values().copied().collect();
        generations.sort_unstable();
        // Prunes down to half of the limit, so that the sort does not run for every note.
        let pruned = generations[generations.len() - MAX_CHANGES / 2];
        self.last_changes.retain(|_, generation| *generation > pruned);
        self.changes_pruned = self.changes_pruned.max(pruned);
    }
}

/// Decides whether `note`, based on generation `base`, can be applied to the current head and its document.
pub fn decide_note(
    head: &ConfigHead,
    document: &ConfigDocument,
    note: &ReleaseNote,
    base: ConfigGeneration,
) -> Result<NoteDecision, DocumentError> {
    let note_digest = hex_digest(&serde_json::to_vec(note)?);
    if let Some(decision) = head.decide_known_note(&note.id, &note_digest) {
        return Ok(decision);
    }
    if base > head.generation {
        let allowed = format!("at most the current generation {}", head.generation);
        let problems = vec![ConfigProblem::new("base", base, allowed)];
        return Ok(NoteDecision::Refused { problems, conflicts: Vec::new() });
    }
    // Changes since the base may have been pruned, so every entity of the note may have changed.
    let conflicts: Vec<_> = if base < head.changes_pruned {
        note.items.iter().map(NoteItem::path).collect()
    } else {
        conflicting_paths(note, base, &head.last_changes)
    };
    if !conflicts.is_empty() {
        return Ok(NoteDecision::Refused { problems: Vec::new(), conflicts });
    }
    let changed = match apply_note(document, note) {
        Ok(changed) => changed,
        Err(problems) => {
            return Ok(NoteDecision::Refused { problems, conflicts: Vec::new() });
        }
    };
    let encoded = EncodedDocument::new(&changed)?;
    let mut successor = head.successor(&note.id, note_digest, &encoded);
    successor.record_changes(note.items.iter().map(NoteItem::path));
    let is_rebased = base < head.generation;
    let write = NoteWrite { head: successor, document: changed, encoded, is_rebased };
    Ok(NoteDecision::Write(Box::new(write)))
}

/// Decides whether `document` can replace generation `base` as a whole; `id` identifies the submission in the head.
pub fn decide_document(
    head: &ConfigHead,
    document: ConfigDocument,
    id: &NoteId,
    base: ConfigGeneration,
) -> Result<NoteDecision, DocumentError> {
    let encoded = EncodedDocument::new(&document)?;
    if let Some(decision) = head.decide_known_note(id, &encoded.digest) {
        return Ok(decision);
    }
    let mut problems = check_document(&document);
    if base != head.generation {
        let allowed = format!("the current generation {}", head.generation);
        problems.push(ConfigProblem::new("base", base, allowed));
    }
    if !problems.is_empty() {
        return Ok(NoteDecision::Refused { problems, conflicts: Vec::new() });
    }
    let mut successor = head.successor(id, encoded.digest.clone(), &encoded);
    successor.last_changes.clear();
    successor.changes_pruned = successor.generation;
    let write = NoteWrite { head: successor, document, encoded, is_rebased: false };
    Ok(NoteDecision::Write(Box::new(write)))
}
