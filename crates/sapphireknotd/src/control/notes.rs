//! Submission of configuration changes to the store.
//!
//! Chunks are written before the head, and the head is replaced by compare-and-swap. When the reply to that write is
//! lost, the head is read again: it lists the accepted notes, so that the reply to the operator is always definite.

use std::{sync::Arc, time::Duration};

use sapphireknot::{
    config::{ConfigDocument, ConfigProblem, EntityPath, ReleaseNote},
    head::{
        ConfigHead, EncodedDocument, NoteDecision, NoteWrite, ReadBack, decide_document,
        decide_note,
    },
    ids::{ConfigGeneration, NoteId},
    operator::{ChangeReceipt, DocumentSubmission, NoteSubmission},
    time::MonoTime,
};
use sapphireknot_platform::{
    KeyValueStore, StoreError, StoreRevision, StoredEntry, SwapOutcome, SwapWrite,
};
use serde::{Deserialize, Serialize};

use super::shared::{ControlShared, HEAD_KEY, StoreRecordError, chunk_key, read_head, read_record};

/// Time after which a submission whose outcome is still unknown is answered as resolving.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a retry after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Record of a release note in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NoteRecord {
    /// Release note.
    pub note: ReleaseNote,
    /// Generation that the note was written against.
    pub base: ConfigGeneration,
    /// Lowest generation that an attempt may have used.
    pub tried: ConfigGeneration,
    /// Generation that the note produced; `None` until that is known.
    pub accepted: Option<ConfigGeneration>,
}

/// Requested configuration change.
enum ChangeRequest {
    Note { note: ReleaseNote, base: Option<ConfigGeneration> },
    Document { id: NoteId, submission: DocumentSubmission },
}

/// Accepted change, which can be installed without another read.
#[derive(Debug)]
pub struct AcceptedChange {
    /// Generation that contains the change.
    pub generation: ConfigGeneration,
    /// Document with its encoded form; `None` if the change had been accepted earlier.
    pub document: Option<Box<(ConfigDocument, EncodedDocument)>>,
    /// Submitted note; `None` if a whole document was submitted.
    pub note: Option<ReleaseNote>,
    /// Start of the write of the head.
    pub began: MonoTime,
}

/// Outcome of a submission.
#[derive(Debug)]
pub struct SubmitOutcome {
    /// Receipt for the operator.
    pub receipt: ChangeReceipt,
    /// Change, if it was accepted.
    pub change: Option<AcceptedChange>,
}

/// Outcome of one attempt to apply a change to the current head.
enum AttemptOutcome {
    Ended(SubmitOutcome),
    /// Another write replaced the head first.
    Retry(String),
    /// The write of the head was not answered and may have taken effect.
    HeadUnanswered(String),
    /// The store refused the write of the head.
    HeadRefused(String),
}

fn refused(problems: Vec<ConfigProblem>, conflicts: Vec<EntityPath>) -> SubmitOutcome {
    SubmitOutcome { receipt: ChangeReceipt::Refused { problems, conflicts }, change: None }
}

fn resolving(reason: String) -> SubmitOutcome {
    SubmitOutcome { receipt: ChangeReceipt::Resolving { reason }, change: None }
}

fn accepted(
    generation: ConfigGeneration,
    document: Option<Box<(ConfigDocument, EncodedDocument)>>,
    began: MonoTime,
) -> SubmitOutcome {
    let receipt = ChangeReceipt::Accepted { generation };
    let change = Some(AcceptedChange { generation, document, note: None, began });
    SubmitOutcome { receipt, change }
}

/// Returns the store key of the note `id`.
pub(super) fn note_key(id: &NoteId) -> String {
    format!("note/{id}")
}

/// Derives the id under which the head lists a document; it is the same for equal documents with the same base.
fn document_id(submission: &DocumentSubmission) -> Result<NoteId, StoreRecordError> {
    let encoded = EncodedDocument::new(&submission.document)?;
    let text = format!("document.{}.{}", submission.base, &encoded.digest[..32]);
    text.parse::<NoteId>()
        .map_err(|err| StoreRecordError::Record { key: text, reason: err.to_string() })
}

/// Writer of configuration changes. Runs one submission at a time, so that those of one host do not conflict.
pub struct NoteWriter {
    shared: Arc<ControlShared>,
    submit_lock: tokio::sync::Mutex<()>,
}

impl NoteWriter {
    /// Creates a writer that uses the store of `shared`.
    pub fn new(shared: Arc<ControlShared>) -> Self {
        Self { shared, submit_lock: tokio::sync::Mutex::new(()) }
    }

    /// Submits a release note.
    pub async fn submit_note(&self, submission: NoteSubmission) -> SubmitOutcome {
        let NoteSubmission { note, base } = submission;
        if note.items.is_empty() {
            let problems = vec![ConfigProblem::new("items", "[]", "at least one item")];
            return refused(problems, Vec::new());
        }
        let deadline = self.shared.context.clock.now().after(SUBMIT_TIMEOUT);
        let _guard = self.submit_lock.lock().await;
        let base = base.unwrap_or_else(|| self.shared.generation());
        let record = match self.prepare_record(&note, base, deadline).await {
            Ok(record) => record,
            Err(outcome) => return *outcome,
        };
        let request = ChangeRequest::Note { note, base: Some(base) };
        let mut outcome = self.submit(&request, record.tried, deadline).await;
        if let Some(change) = &mut outcome.change {
            change.note = Some(record.note.clone());
        }
        self.finish_record(record, &outcome.receipt).await;
        outcome
    }

    /// Submits a whole document.
    pub async fn submit_document(&self, submission: DocumentSubmission) -> SubmitOutcome {
        let deadline = self.shared.context.clock.now().after(SUBMIT_TIMEOUT);
        let _guard = self.submit_lock.lock().await;
        let id = match document_id(&submission) {
            Ok(id) => id,
            Err(err) => return resolving(format!("name the submission: {err}")),
        };
        let tried = submission.base.next();
        self.submit(&ChangeRequest::Document { id, submission }, tried, deadline).await
    }

    /// Returns the receipt that [`Self::submit_note`] would give, without writing anything.
    pub async fn check_note(&self, note: ReleaseNote) -> ChangeReceipt {
        let request = ChangeRequest::Note { note, base: None };
        match self.decide(&request).await {
            Ok((_, NoteDecision::Write(write))) => {
                ChangeReceipt::Accepted { generation: write.head.generation }
            }
            Ok((_, NoteDecision::AlreadyAccepted(generation))) => {
                ChangeReceipt::Accepted { generation }
            }
            Ok((_, NoteDecision::Refused { problems, conflicts })) => {
                ChangeReceipt::Refused { problems, conflicts }
            }
            Err(err) => ChangeReceipt::Resolving { reason: err.to_string() },
        }
    }

    /// Returns the record and generation of an accepted note, or `None` if no such note was accepted.
    pub async fn find_note(
        &self,
        id: &NoteId,
    ) -> Result<Option<(NoteRecord, ConfigGeneration)>, StoreRecordError> {
        let Some(entry) = self.shared.store.get(&note_key(id)).await? else { return Ok(None) };
        let record: NoteRecord = read_record(&entry)?;
        if let Some(generation) = record.accepted {
            return Ok(Some((record, generation)));
        }
        let head = read_head(self.shared.store.get(HEAD_KEY).await?.as_ref())?;
        Ok(head.generation_of(id).map(|generation| (record, generation)))
    }

    /// Writes the record of a note before the first attempt to apply it, or reads the existing record.
    async fn prepare_record(
        &self,
        note: &ReleaseNote,
        base: ConfigGeneration,
        deadline: MonoTime,
    ) -> Result<NoteRecord, Box<SubmitOutcome>> {
        loop {
            let reason = match self.find_or_create_record(note, base).await {
                Ok(record) if record.note != *note => {
                    let allowed = "an id that no other note has";
                    let problems = vec![ConfigProblem::new("id", &note.id, allowed)];
                    return Err(Box::new(refused(problems, Vec::new())));
                }
                Ok(record) => match record.accepted {
                    Some(generation) => {
                        let began = self.shared.context.clock.now();
                        return Err(Box::new(accepted(generation, None, began)));
                    }
                    None => return Ok(record),
                },
                Err(StoreRecordError::Store(StoreError::Refused { reason, .. })) => {
                    let allowed = format!("a note that the store accepts: {reason}");
                    let problems = vec![ConfigProblem::new("note", &note.id, allowed)];
                    return Err(Box::new(refused(problems, Vec::new())));
                }
                Err(err) => err.to_string(),
            };
            if self.shared.context.clock.now() >= deadline {
                return Err(Box::new(resolving(reason)));
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn find_or_create_record(
        &self,
        note: &ReleaseNote,
        base: ConfigGeneration,
    ) -> Result<NoteRecord, StoreRecordError> {
        let key = note_key(&note.id);
        if let Some(entry) = self.shared.store.get(&key).await? {
            return read_record(&entry);
        }
        let head = read_head(self.shared.store.get(HEAD_KEY).await?.as_ref())?;
        let tried = head.generation.next();
        let record = NoteRecord { note: note.clone(), base, tried, accepted: None };
        match self.put_record(&record, StoreRevision::ABSENT).await? {
            SwapOutcome::Conflict(Some(entry)) => read_record(&entry),
            SwapOutcome::Conflict(None) | SwapOutcome::LeaseEnded => {
                Err(StoreRecordError::Record {
                    key,
                    reason: "the write was not accepted".to_owned(),
                })
            }
            SwapOutcome::Swapped(_) => Ok(record),
        }
    }

    async fn put_record(
        &self,
        record: &NoteRecord,
        expected: StoreRevision,
    ) -> Result<SwapOutcome, StoreRecordError> {
        let key = note_key(&record.note.id);
        let value = serde_json::to_vec(record).map_err(|err| StoreRecordError::Record {
            key: key.clone(),
            reason: err.to_string(),
        })?;
        let write = SwapWrite { key, expected, value: Some(value), lease: None };
        Ok(self.shared.store.compare_and_swap(write).await?)
    }

    /// Completes the record of an accepted note, and deletes that of a refused one so that its id can be used again.
    ///
    /// A failure is harmless: the head lists an accepted note, and a record without a generation does not mean
    /// acceptance.
    async fn finish_record(&self, mut record: NoteRecord, receipt: &ChangeReceipt) {
        let key = note_key(&record.note.id);
        let Ok(entry) = self.shared.store.get(&key).await else { return };
        let expected = entry.as_ref().map(|it| it.revision).unwrap_or(StoreRevision::ABSENT);
        let result = match receipt {
            ChangeReceipt::Accepted { generation } => {
                record.accepted = Some(*generation);
                self.put_record(&record, expected).await.map(drop)
            }
            ChangeReceipt::Refused { .. } if entry.is_some() => {
                let write = SwapWrite { key, expected, value: None, lease: None };
                self.shared
                    .store
                    .compare_and_swap(write)
                    .await
                    .map(drop)
                    .map_err(StoreRecordError::from)
            }
            ChangeReceipt::Refused { .. } | ChangeReceipt::Resolving { .. } => Ok(()),
        };
        if let Err(err) = result {
            log::warn!("failed to complete the record of note {}: {err}", record.note.id);
        }
    }

    async fn submit(
        &self,
        request: &ChangeRequest,
        tried: ConfigGeneration,
        deadline: MonoTime,
    ) -> SubmitOutcome {
        let mut has_unanswered_write = false;
        loop {
            let reason = match self.attempt(request, tried).await {
                Ok(AttemptOutcome::Ended(outcome)) => return outcome,
                Ok(AttemptOutcome::Retry(reason)) => reason,
                Ok(AttemptOutcome::HeadUnanswered(reason)) => {
                    has_unanswered_write = true;
                    reason
                }
                // The change is refused only if no earlier write is unanswered, since that one may still take effect.
                Ok(AttemptOutcome::HeadRefused(reason)) if !has_unanswered_write => {
                    let allowed = "a change that the store accepts";
                    let problems = vec![ConfigProblem::new("head", reason, allowed)];
                    return refused(problems, Vec::new());
                }
                Ok(AttemptOutcome::HeadRefused(reason)) => {
                    tokio::time::sleep(RETRY_DELAY).await;
                    reason
                }
                Err(err) => {
                    tokio::time::sleep(RETRY_DELAY).await;
                    err.to_string()
                }
            };
            if self.shared.context.clock.now() >= deadline {
                return resolving(reason);
            }
        }
    }

    async fn attempt(
        &self,
        request: &ChangeRequest,
        tried: ConfigGeneration,
    ) -> Result<AttemptOutcome, StoreRecordError> {
        let began = self.shared.context.clock.now();
        let (expected, decision) = self.decide(request).await?;
        let id = match request {
            ChangeRequest::Note { note, .. } => &note.id,
            ChangeRequest::Document { id, .. } => id,
        };
        match decision {
            NoteDecision::AlreadyAccepted(generation) => {
                Ok(AttemptOutcome::Ended(accepted(generation, None, began)))
            }
            NoteDecision::Refused { problems, conflicts } => {
                Ok(AttemptOutcome::Ended(refused(problems, conflicts)))
            }
            NoteDecision::Write(write) => {
                let before = ConfigHead {
                    generation: ConfigGeneration(write.head.generation.0 - 1),
                    ..ConfigHead::default()
                };
                if before.read_back(id, tried) == ReadBack::Unknown {
                    let reason = "the head has forgotten the notes of that time".to_owned();
                    return Ok(AttemptOutcome::Ended(resolving(reason)));
                }
                self.write(*write, expected).await
            }
        }
    }

    /// Decides on a change. Returns the decision with the revision of the head that it is based on.
    async fn decide(
        &self,
        request: &ChangeRequest,
    ) -> Result<(StoreRevision, NoteDecision), StoreRecordError> {
        let entry = self.shared.store.get(HEAD_KEY).await?;
        let head = read_head(entry.as_ref())?;
        let decision = match request {
            ChangeRequest::Note { note, base } => {
                let document = self.shared.load_document(&head).await?;
                decide_note(&head, &document, note, base.unwrap_or(head.generation))?
            }
            ChangeRequest::Document { id, submission } => {
                decide_document(&head, submission.document.clone(), id, submission.base)?
            }
        };
        let revision = entry.map(|it: StoredEntry| it.revision).unwrap_or(StoreRevision::ABSENT);
        Ok((revision, decision))
    }

    async fn write(
        &self,
        write: NoteWrite,
        expected: StoreRevision,
    ) -> Result<AttemptOutcome, StoreRecordError> {
        for (digest, chunk) in write.encoded.chunks() {
            // A conflict means that the chunk already exists, since its key is its digest.
            let key = chunk_key(&digest);
            let value = Some(chunk.to_vec());
            let put = SwapWrite { key, expected: StoreRevision::ABSENT, value, lease: None };
            self.shared.store.compare_and_swap(put).await?;
        }
        let key = HEAD_KEY.to_owned();
        let value = serde_json::to_vec(&write.head).map_err(|err| StoreRecordError::Record {
            key: key.clone(),
            reason: err.to_string(),
        })?;
        let began = self.shared.context.clock.now();
        let put = SwapWrite { key, expected, value: Some(value), lease: None };
        match self.shared.store.compare_and_swap(put).await {
            Ok(SwapOutcome::Swapped(_)) => {
                let generation = write.head.generation;
                let document = Box::new((write.document, write.encoded));
                Ok(AttemptOutcome::Ended(accepted(generation, Some(document), began)))
            }
            Ok(SwapOutcome::Conflict(_)) => {
                Ok(AttemptOutcome::Retry("another change came first".to_owned()))
            }
            Ok(SwapOutcome::LeaseEnded) => {
                Ok(AttemptOutcome::Retry("the lease had ended".to_owned()))
            }
            Err(err @ StoreError::Refused { .. }) => {
                Ok(AttemptOutcome::HeadRefused(err.to_string()))
            }
            // The next attempt reads the head, which lists this change if the write took effect.
            Err(err @ StoreError::Unanswered { .. }) => {
                Ok(AttemptOutcome::HeadUnanswered(err.to_string()))
            }
        }
    }
}
