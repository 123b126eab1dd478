//! Configuration updates by release notes instead of whole documents.

#![cfg(test)]

use sapphireknot::{
    config::{ConfigDocument, ReleaseNote, apply_note, load_note},
    delta::{DeltaError, NoteLog, apply_notes, read_notes},
    head::EncodedDocument,
    ids::ConfigGeneration,
};

fn note(id: u64, padding: usize) -> ReleaseNote {
    let keys: Vec<_> =
        (0..padding).map(|it| format!("{{id: k{it}, sha256: '{id:08x}{it:056x}'}}")).collect();
    let entry = format!("{{id: o{id}, rate: {id}/s, burst: 1, keys: [{}]}}", keys.join(", "));
    load_note(&format!("{{id: n{id}, items: [{{add: {{organisation: {entry}}}}}]}}")).unwrap()
}

/// Guards against a host that applies notes to a result other than the accepted document, because the log skipped notes
/// or because a missing or repeated note was not detected.
#[test]
fn notes_reproduce_document() {
    let mut documents = vec![ConfigDocument::default()];
    let mut log = NoteLog::default();
    for id in 1..=5 {
        let note = note(id, 0);
        documents.push(apply_note(documents.last().unwrap(), &note).unwrap());
        log = log.extended(ConfigGeneration(id), &[note]).unwrap();
    }
    let expected = EncodedDocument::new(&documents[5]).unwrap();
    for (known, document) in documents.iter().enumerate() {
        let notes = log.notes_after(ConfigGeneration(known as u64)).unwrap();
        assert_eq!(notes.len(), 5 - known);
        let notes = read_notes(&notes).unwrap();
        let (result, encoded) = apply_notes(document, &notes, &expected.digest).unwrap();
        assert_eq!((result, encoded), (documents[5].clone(), expected.clone()));
    }
    let notes = read_notes(&log.notes_after(ConfigGeneration(3)).unwrap()).unwrap();
    let missing = apply_notes(&documents[3], &notes[1..], &expected.digest);
    assert!(matches!(missing, Err(DeltaError::Document(_))), "{missing:?}");
    let twice = apply_notes(&documents[4], &notes, &expected.digest);
    assert!(matches!(twice, Err(DeltaError::Apply { .. })), "{twice:?}");
    assert!(log.notes_after(ConfigGeneration(6)).is_none(), "the log has not reached generation 6");
}

/// Guards against a log that returns notes across a missing generation, and against one that grows without bound.
#[test]
fn log_is_bounded_and_contiguous() {
    let log = NoteLog::new(ConfigGeneration(7)).extended(ConfigGeneration(8), &[note(8, 0)]);
    let log = log.unwrap();
    assert_eq!(log.notes_after(ConfigGeneration(7)).unwrap().len(), 1);
    assert!(log.notes_after(ConfigGeneration(6)).is_none(), "the log starts at generation 8");
    let gap = log.extended(ConfigGeneration(10), &[note(10, 0)]).unwrap();
    assert!(gap.notes_after(ConfigGeneration(8)).is_none(), "generation 9 is missing");
    assert_eq!(gap.notes_after(ConfigGeneration(9)).unwrap().len(), 1);
    let mut log = NoteLog::default();
    for id in 1..=300 {
        log = log.extended(ConfigGeneration(id), &[note(id, 0)]).unwrap();
    }
    assert_eq!(log.notes_after(ConfigGeneration(44)).unwrap().len(), 256);
    assert!(log.notes_after(ConfigGeneration(43)).is_none());
    for id in 301..=320 {
        log = log.extended(ConfigGeneration(id), &[note(id, 2_000)]).unwrap();
    }
    let kept = log.notes_after(ConfigGeneration(318)).unwrap();
    assert!(kept.iter().all(|it| it.len() > 100_000));
    assert!(
        log.notes_after(ConfigGeneration(309)).is_none(),
        "eleven large notes exceed the size limit"
    );
}
