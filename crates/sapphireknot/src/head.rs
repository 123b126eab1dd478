//! Head record of the configuration.
//!
//! The store holds one head. It names the chunks of the document by their SHA-256 and is replaced by compare-and-swap,
//! so that exactly one note makes each generation. The decisions here say what a host writes for a note, and what a
//! head that was read back tells about a write whose answer was lost.

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

/// Note ids that a head remembers.
pub const MAX_NOTES: usize = 256;
/// Entities whose last change a head remembers; about 100 bytes each, so that a head stays under the 1 MB of a value.
pub const MAX_CHANGES: usize = 4_096;
/// Bytes of a chunk; the store accepts values of up to 1 MB.
pub const CHUNK_BYTES: usize = 1_000_000;

/// Note that made a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedNote {
    /// Note.
    pub id: NoteId,
    /// Generation that it made.
    pub generation: ConfigGeneration,
    /// SHA-256 of the note, so that another note with the same id is not taken for it.
    pub digest: String,
}

/// Head of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Generation.
    pub generation: ConfigGeneration,
    /// SHA-256 of each chunk, 64 hexadecimal digits.
    pub chunks: Vec<String>,
    /// SHA-256 of the whole document, 64 hexadecimal digits.
    pub digest: String,
    /// Generation of the last change per entity.
    pub last_changes: BTreeMap<String, ConfigGeneration>,
    /// Changes up to this generation may be missing from `last_changes`.
    pub changes_pruned: ConfigGeneration,
    /// Last accepted notes, oldest first.
    pub notes: Vec<AcceptedNote>,
}

/// Document in the form in which hosts store and exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedDocument {
    /// JSON.
    pub bytes: Vec<u8>,
    /// SHA-256 of the bytes, 64 hexadecimal digits.
    pub digest: String,
}

/// Document that cannot be encoded, or bytes that are not the named document.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// Other bytes than those that were named.
    #[error("check the document's digest: expected {expected}, found {found}")]
    Digest {
        /// Digest that was named.
        expected: String,
        /// Digest of the bytes.
        found: String,
    },
    /// Bytes that are no document.
    #[error("read the document: {0}")]
    Syntax(#[from] serde_json::Error),
    /// Document that fails its check.
    #[error("check the document: {}", .0.first().map(ToString::to_string).unwrap_or_default())]
    Problems(Vec<ConfigProblem>),
}

/// SHA-256 of `bytes` as 64 hexadecimal digits.
pub fn hex_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

impl EncodedDocument {
    /// Encodes `document`.
    pub fn new(document: &ConfigDocument) -> Result<Self, DocumentError> {
        let bytes = serde_json::to_vec(document)?;
        Ok(Self { digest: hex_digest(&bytes), bytes })
    }

    /// Reads back bytes of which the digest is known.
    pub fn decode(bytes: &[u8], digest: &str) -> Result<ConfigDocument, DocumentError> {
        let found = hex_digest(bytes);
        if found != digest {
            return Err(DocumentError::Digest { expected: digest.to_owned(), found });
        }
        let document = serde_json::from_slice(bytes)?;
        let problems = check_document(&document);
        if problems.is_empty() { Ok(document) } else { Err(DocumentError::Problems(problems)) }
    }

    /// The chunks with their digests.
    pub fn chunks(&self) -> Vec<(String, &[u8])> {
        self.bytes.chunks(CHUNK_BYTES).map(|chunk| (hex_digest(chunk), chunk)).collect()
    }
}

/// What a host does with a note.
#[derive(Debug)]
pub enum NoteDecision {
    /// The note made this generation earlier.
    AlreadyAccepted(ConfigGeneration),
    /// Write the chunks, then replace the head.
    Write(Box<NoteWrite>),
    /// The note does not fit.
    Refused {
        /// Problems of the resulting document.
        problems: Vec<ConfigProblem>,
        /// Entities that changed after the base.
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
    /// The same in encoded form.
    pub encoded: EncodedDocument,
    /// Whether the author saw an earlier generation than the one that is replaced.
    pub is_rebased: bool,
}

/// What a head that was read back says about a write whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBack {
    /// The write took effect at this generation.
    Accepted(ConfigGeneration),
    /// The write did not take effect so far; it may be repeated on this head, since a late first write then fails its
    /// comparison or makes the second one fail.
    Missing,
    /// The head has forgotten the notes of that time.
    Unknown,
}

impl ConfigHead {
    /// The generation that note `id` made, as far as the head remembers.
    pub fn generation_of(&self, id: &NoteId) -> Option<ConfigGeneration> {
        self.notes.iter().find(|it| it.id == *id).map(|it| it.generation)
    }

    /// What became of note `id`, for which no generation below `tried` was attempted.
    pub fn read_back(&self, id: &NoteId, tried: ConfigGeneration) -> ReadBack {
        match self.generation_of(id) {
            Some(generation) => ReadBack::Accepted(generation),
            None if self.generation.0.saturating_sub(tried.0) < MAX_NOTES as u64 => {
                ReadBack::Missing
            }
            None => ReadBack::Unknown,
        }
    }

    /// The decision on a note of which the head knows the id.
    fn known_decision(&self, id: &NoteId, digest: &str) -> Option<NoteDecision> {
        let known = self.notes.iter().find(|it| it.id == *id)?;
        if known.digest == digest {
            return Some(NoteDecision::AlreadyAccepted(known.generation));
        }
        let problems = vec![ConfigProblem::new("id", id, "an id that no other note has")];
        Some(NoteDecision::Refused { problems, conflicts: Vec::new() })
    }

    /// The head after this one.
    fn successor(&self, id: &NoteId, digest: String, encoded: &EncodedDocument) -> Self {
        let generation = self.generation.next();
        let mut notes = self.notes.clone();
        notes.push(AcceptedNote { id: id.clone(), generation, digest });
        let surplus = notes.len().saturating_sub(MAX_NOTES);
        notes.drain(..surplus);
        Self {
            generation,
            chunks: encoded.chunks().into_iter().map(|(digest, _)| digest).collect(),
            digest: encoded.digest.clone(),
            last_changes: self.last_changes.clone(),
            changes_pruned: self.changes_pruned,
            notes,
        }
    }

    /// Records that `paths` changed in this generation and drops the oldest changes beyond the bound.
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
        // Half of the bound is dropped at once, so that not every note has to sort.
        let pruned = generations[generations.len() - MAX_CHANGES / 2];
        self.last_changes.retain(|_, generation| *generation > pruned);
        self.changes_pruned = self.changes_pruned.max(pruned);
    }
}

/// Decides on `note`, whose author saw generation `base`, against the current head and its document.
pub fn decide_note(
    head: &ConfigHead,
    document: &ConfigDocument,
    note: &ReleaseNote,
    base: ConfigGeneration,
) -> Result<NoteDecision, DocumentError> {
    let note_digest = hex_digest(&serde_json::to_vec(note)?);
    if let Some(decision) = head.known_decision(&note.id, &note_digest) {
        return Ok(decision);
    }
    if base > head.generation {
        let allowed = format!("at most the current generation {}", head.generation);
        let problems = vec![ConfigProblem::new("base", base, allowed)];
        return Ok(NoteDecision::Refused { problems, conflicts: Vec::new() });
    }
    // Without a record of the changes since the base, each entity of the note may have changed.
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

/// Decides on a whole document that replaces generation `base`; `id` names this submission in the head.
pub fn decide_document(
    head: &ConfigHead,
    document: ConfigDocument,
    id: &NoteId,
    base: ConfigGeneration,
) -> Result<NoteDecision, DocumentError> {
    let encoded = EncodedDocument::new(&document)?;
    if let Some(decision) = head.known_decision(id, &encoded.digest) {
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
