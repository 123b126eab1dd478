//! Head record of the configuration, with concurrent operators, lost responses and hosts that crash between two writes.

#![cfg(test)]

use std::collections::BTreeMap;

use arbtest::{arbitrary::Unstructured, arbtest};
use sapphireknot::{
    config::{ConfigDocument, ReleaseNote, load_document, load_note},
    head::{
        ConfigHead, DocumentError, EncodedDocument, MAX_CHANGES, MAX_NOTES, NoteDecision,
        NoteWrite, ReadBack, decide_document, decide_note,
    },
    ids::{ConfigGeneration, NoteId},
};

fn note(id: usize, items: &[(usize, bool)]) -> ReleaseNote {
    let items: Vec<_> = items
        .iter()
        .map(|(organisation, is_new)| {
            let action = if *is_new { "add" } else { "change" };
            let entry = format!("{{id: o{organisation}, rate: {id}/s, burst: 1}}");
            format!("{{{action}: {{organisation: {entry}}}}}")
        })
        .collect();
    load_note(&format!("{{id: n{id}, items: [{}]}}", items.join(", "))).unwrap()
}

/// Store that holds a head record, which is replaced by compare-and-swap, and document chunks.
#[derive(Default)]
struct HeadStore {
    revision: u64,
    head: ConfigHead,
    chunks: BTreeMap<String, Vec<u8>>,
}

impl HeadStore {
    fn document(&self) -> ConfigDocument {
        if self.head.generation == ConfigGeneration(0) {
            return ConfigDocument::default();
        }
        let bytes: Vec<u8> =
            self.head.chunks.iter().flat_map(|it| self.chunks[it].clone()).collect();
        EncodedDocument::decode(&bytes, &self.head.digest).unwrap()
    }

    fn swap(&mut self, expected: u64, write: &NoteWrite) -> bool {
        for (digest, chunk) in write.encoded.chunks() {
            self.chunks.insert(digest, chunk.to_vec());
        }
        if self.revision != expected {
            return false;
        }
        assert!(write.head.generation > self.head.generation, "the generation decreases");
        (self.revision, self.head) = (self.revision + 1, write.head.clone());
        true
    }
}

/// Submission of an operator, executed in steps between which other submissions may write.
struct Submission {
    note: ReleaseNote,
    base: ConfigGeneration,
    tried: ConfigGeneration,
    prepared: Option<(u64, Box<NoteWrite>)>,
    is_delayed: bool,
}

fn run_step(
    u: &mut Unstructured<'_>,
    store: &mut HeadStore,
    submission: &mut Submission,
) -> arbtest::arbitrary::Result<Option<Option<ConfigGeneration>>> {
    let Some((expected, write)) = submission.prepared.take() else {
        let decision =
            decide_note(&store.head, &store.document(), &submission.note, submission.base);
        return Ok(match decision.unwrap() {
            NoteDecision::AlreadyAccepted(generation) => Some(Some(generation)),
            NoteDecision::Refused { .. } => Some(None),
            NoteDecision::Write(write) => {
                assert_eq!(write.is_rebased, submission.base < store.head.generation);
                for item in &submission.note.items {
                    let last = store.head.last_changes.get(&item.path().to_string());
                    assert!(
                        last.is_none_or(|it| *it <= submission.base),
                        "a conflict is not detected"
                    );
                }
                submission.prepared = Some((store.revision, write));
                None
            }
        });
    };
    let generation = write.head.generation;
    match u.int_in_range(0..=3)? {
        // The response is lost: the write took effect, did not arrive, or arrives after the next step.
        0 => {
            store.swap(expected, &write);
            Ok(None)
        }
        1 => Ok(None),
        2 if !submission.is_delayed => {
            submission.is_delayed = true;
            submission.prepared = Some((expected, write));
            Ok(None)
        }
        _ => Ok(store.swap(expected, &write).then_some(Some(generation))),
    }
}

fn run_concurrent_submissions(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut store = HeadStore::default();
    let mut submissions: Vec<Submission> = Vec::new();
    let mut accepted: BTreeMap<NoteId, (ReleaseNote, ConfigGeneration)> = BTreeMap::new();
    let mut refused = Vec::new();
    let mut count = 0;
    while !u.is_empty() {
        if submissions.len() < 3 {
            let mut items = Vec::new();
            for _ in 0..=u.int_in_range(0..=2)? {
                items.push((u.int_in_range(0..=5)?, u.arbitrary()?));
            }
            let lag = u.int_in_range(0..=3)?;
            let base = ConfigGeneration(store.head.generation.0.saturating_sub(lag));
            let (note, tried) = (note(count, &items), store.head.generation.next());
            count += 1;
            submissions.push(Submission { note, base, tried, prepared: None, is_delayed: false });
        }
        let idx = u.int_in_range(0..=submissions.len() - 1)?;
        let Some(outcome) = run_step(u, &mut store, &mut submissions[idx])? else { continue };
        let Submission { note, tried, .. } = submissions.remove(idx);
        match outcome {
            Some(generation) => {
                let found = store.head.read_back(&note.id, tried);
                assert_eq!(found, ReadBack::Accepted(generation));
                accepted.insert(note.id.clone(), (note, generation));
            }
            None => refused.push(note.id),
        }
    }
    check_outcomes(&store, &accepted, &refused);
    Ok(())
}

/// Checks that every accepted note produced exactly one generation, that no refused note produced one, and that the
/// document contains all items of each note.
fn check_outcomes(
    store: &HeadStore,
    accepted: &BTreeMap<NoteId, (ReleaseNote, ConfigGeneration)>,
    refused: &[NoteId],
) {
    let head = &store.head;
    for (id, (note, generation)) in accepted {
        assert_eq!(head.generation_of(id), Some(*generation), "an accepted note is lost");
        let document = store.document();
        for item in &note.items {
            let text = item.path().to_string();
            let last = head.last_changes[&text];
            assert!(last >= *generation, "a note is applied in part");
            if last == *generation {
                let organisation = text.split_once('/').unwrap().1.parse().unwrap();
                let rate = format!("{}/s", id.as_str().trim_start_matches('n'));
                let found = document.organisation(&organisation).unwrap();
                assert_eq!(found.rate.to_string(), rate, "a note is applied in part");
            }
        }
    }
    assert!(
        refused.iter().all(|id| head.generation_of(id).is_none()),
        "a refused note is in the head"
    );
    let generations: Vec<_> = head.notes.iter().map(|it| it.generation.0).collect();
    assert_eq!(generations, (1..=head.generation.0).collect::<Vec<_>>());
}

/// Guards against a generation that decreases, an accepted note that is lost, a conflict that is not detected, and a
/// note that is applied in part.
#[test]
fn concurrent_notes() {
    for size in [64_u64, 512, 2_048] {
        for seed in 0..40_u64 {
            arbtest(run_concurrent_submissions).seed((seed << 32) | size).run();
        }
    }
}

/// Guards against a head that grows without bound, or that reports a note as missing after it was removed from the
/// head.
#[test]
fn bounded_head() {
    let mut store = HeadStore::default();
    for id in 0..MAX_NOTES + 2 {
        let note = note(id, &[(id, true)]);
        let base = store.head.generation;
        let decision = decide_note(&store.head, &store.document(), &note, base).unwrap();
        let NoteDecision::Write(write) = decision else { panic!("{decision:?}") };
        assert!(store.swap(store.revision, &write));
    }
    let head = &store.head;
    assert_eq!(head.notes.len(), MAX_NOTES);
    let first: NoteId = "n0".parse().unwrap();
    assert_eq!(head.read_back(&first, ConfigGeneration(1)), ReadBack::Unknown);
    let tried = ConfigGeneration(head.generation.0 - 5);
    assert_eq!(head.read_back(&"other".parse().unwrap(), tried), ReadBack::Missing);

    let items: Vec<_> = (1_000..1_000 + MAX_CHANGES).map(|idx| (idx, true)).collect();
    let large = note(9_999, &items);
    let decision = decide_note(head, &store.document(), &large, head.generation).unwrap();
    let NoteDecision::Write(write) = decision else { panic!("{decision:?}") };
    assert!(write.head.last_changes.len() <= MAX_CHANGES);
    // For a base generation before the retained changes, the head cannot tell what changed since.
    let late = note(10_000, &[(1, false)]);
    let decision = decide_note(&write.head, &write.document, &late, ConfigGeneration(1)).unwrap();
    assert!(matches!(decision, NoteDecision::Refused { conflicts, .. } if conflicts.len() == 1));
}

/// Guards against a different note with an accepted id, a corrupted document, and a document on an outdated base.
#[test]
fn refused_changes() {
    let head = ConfigHead::default();
    let decision =
        decide_note(&head, &ConfigDocument::default(), &note(1, &[(1, true)]), head.generation);
    let NoteDecision::Write(write) = decision.unwrap() else { panic!("refused") };
    let other = decide_note(&write.head, &write.document, &note(1, &[(2, true)]), head.generation);
    assert!(
        matches!(other.unwrap(), NoteDecision::Refused { problems, .. } if problems.len() == 1)
    );
    let corrupted = EncodedDocument::decode(&write.encoded.bytes[1..], &write.head.digest);
    assert!(matches!(corrupted, Err(DocumentError::Digest { .. })));
    let (document, id) = (load_document("{}").unwrap(), "d".parse().unwrap());
    let decision = decide_document(&write.head, document, &id, ConfigGeneration(0)).unwrap();
    assert!(matches!(decision, NoteDecision::Refused { problems, .. } if problems.len() == 1));
}
