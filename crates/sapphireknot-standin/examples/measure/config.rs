//! Cost of a configuration document of the target size and of one change to it.

use std::{error::Error, hint::black_box, time::Instant};

use sapphireknot::{
    config::{apply_note, check_document, load_note},
    head::{EncodedDocument, hex_digest},
    ids::ConfigGeneration,
    installed::InstalledConfig,
};

use crate::{
    table::{MeasureRun, MeasureTable, quantile},
    target_size::document,
    usage::{mebibytes, resident_bytes},
};

/// Configuration changes per day at the target size.
const CHANGES_PER_DAY: f64 = 1_800.0;

/// Measures each step of a change: apply, check, encode, digest, decode and index.
pub(crate) fn measure(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let sizes: &[usize] =
        if run.is_small { &[5_000, 20_000] } else { &[50_000, 100_000, 200_000, 400_000] };
    let columns = [
        "blocks",
        "bytes",
        "chunks",
        "apply ms",
        "check ms",
        "encode ms",
        "digest ms",
        "decode ms",
        "index ms",
        "installed MiB",
    ];
    let mut costs = MeasureTable::new("config: cost of one change, medians of 5 runs", &columns);
    let mut traffic = MeasureTable::new(
        format!("config: bytes a second and host at {CHANGES_PER_DAY} changes a day"),
        &["blocks", "whole document", "note"],
    );
    for &blocks in sizes {
        run.step(format!("{blocks} blocks"));
        let document = document(blocks)?;
        let text =
            "{id: change, items: [{change: {organisation: {id: o1, rate: 300/s, burst: 500}}}]}";
        let note = load_note(text).map_err(|problems| format!("{problems:?}"))?;
        let note_bytes = serde_json::to_vec(&note)?.len();
        let mut times = vec![Vec::new(); 6];
        let mut encoded = EncodedDocument::new(&document)?;
        for _ in 0..5 {
            let mut lap_start = Instant::now();
            let mut lap = |idx: usize| {
                times[idx].push(lap_start.elapsed().as_secs_f64() * 1e3);
                lap_start = Instant::now();
            };
            let changed = apply_note(&document, &note).map_err(|it| format!("{it:?}"))?;
            lap(0);
            black_box(check_document(&changed));
            lap(1);
            encoded = EncodedDocument::new(&changed)?;
            lap(2);
            black_box(hex_digest(&encoded.bytes));
            lap(3);
            black_box(EncodedDocument::decode(&encoded.bytes, &encoded.digest)?);
            lap(4);
            black_box(InstalledConfig::new(ConfigGeneration(2), changed));
            lap(5);
        }
        let install_copy = |_| -> Result<_, Box<dyn Error>> {
            let copy = EncodedDocument::decode(&encoded.bytes, &encoded.digest)?;
            Ok((InstalledConfig::new(ConfigGeneration(1), copy), encoded.bytes.clone()))
        };
        // Averages over 8 copies, since the first ones reuse memory that earlier steps have freed.
        let before = resident_bytes(None);
        let copies: Result<Vec<_>, _> = (0..8).map(install_copy).collect();
        let memory = resident_bytes(None).saturating_sub(before) / 8;
        black_box(copies?);
        let median = |idx: usize| {
            let mut sorted = times[idx].clone();
            sorted.sort_by(f64::total_cmp);
            format!("{:.1}", quantile(&sorted, 0.5))
        };
        let bytes = encoded.bytes.len();
        let medians: Vec<_> = (0..6).map(median).collect();
        let chunks = encoded.chunks().len();
        costs.push(&[
            &blocks,
            &bytes,
            &chunks,
            &medians[0],
            &medians[1],
            &medians[2],
            &medians[3],
            &medians[4],
            &medians[5],
            &mebibytes(memory),
        ]);
        let bytes_per_second =
            |bytes: usize| format!("{:.1}", bytes as f64 * CHANGES_PER_DAY / 86_400.0);
        traffic.push(&[&blocks, &bytes_per_second(bytes), &bytes_per_second(note_bytes)]);
    }
    Ok(vec![costs, traffic])
}
