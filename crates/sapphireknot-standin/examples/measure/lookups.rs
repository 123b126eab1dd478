//! Look-ups of the library on one core: the block table and the order of hosts.

use std::{error::Error, hint::black_box, time::Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    ids::OrganisationId,
    lookup::{BlockTable, HostCandidate, HostIndex, LookupQuery, RegionDistances, order_hosts},
};

use crate::{
    table::{MeasureRun, MeasureTable},
    target::{client_address, document, members},
    usage::{mebibytes, resident_bytes},
};

/// Hosts in an answer of the daemon.
const MAX_HOSTS: usize = 8;

/// Measures look-ups.
pub(crate) fn measure(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let (blocks, hosts, rounds) =
        if run.is_small { (20_000, 140, 20_000) } else { (400_000, 1_400, 1_000_000) };
    run.step(format!("document with {blocks} blocks"));
    let document = document(blocks)?;
    let members = members(hosts)?;
    let began = Instant::now();
    let table = BlockTable::new(&document);
    let build = began.elapsed();
    // Several tables, since the first one may take memory that the reading of the document has freed.
    let before = resident_bytes(None);
    let copies: Vec<_> = (0..8).map(|_| BlockTable::new(&document)).collect();
    let table_bytes = resident_bytes(None).saturating_sub(before) / 8;
    drop(copies);
    let distances = RegionDistances::new(&document);
    let candidates: Vec<_> = members
        .iter()
        .enumerate()
        .map(|(idx, it)| HostCandidate {
            id: &it.id,
            region: &it.region,
            weight: 900 + idx as u32 % 200,
        })
        .collect();
    let began = Instant::now();
    let index = HostIndex::new(candidates.iter().copied());
    let index_build = began.elapsed();

    let mut rng = ChaCha8Rng::seed_from_u64(run.seed);
    let organisations: Result<Vec<OrganisationId>, _> =
        (0..64).map(|it| format!("o{it}").parse()).collect();
    let organisations = organisations?;
    let callers: Vec<_> = (0..rounds)
        .map(|_| (client_address(rng.random_range(0..blocks)).into(), rng.random_range(0..64)))
        .collect();
    let find = |name: &str, rounds: usize, order: &dyn Fn(&LookupQuery<'_>) -> usize| {
        run.step(format!("{name}, {rounds} look-ups"));
        let began = Instant::now();
        for (client, organisation) in &callers[..rounds] {
            if let Some((block, region)) = table.find(*client) {
                let organisation = organisations.get::<usize>(*organisation);
                black_box(order(&LookupQuery { organisation, block, region }));
            }
        }
        began.elapsed().as_secs_f64() * 1e6 / rounds as f64
    };
    let mut results = MeasureTable::new(
        format!("lookups: one core, {blocks} blocks, {hosts} hosts, seed {}", run.seed),
        &["look-up", "count", "microseconds", "a second"],
    );
    let all = |query: &LookupQuery<'_>| order_hosts(query, &candidates, &distances).len();
    let nearest = |query: &LookupQuery<'_>| index.nearest(query, &distances, MAX_HOSTS).len();
    let cases = [
        ("block only", rounds, find("block only", rounds, &|_| 0)),
        ("all hosts ordered", rounds / 100, find("all hosts ordered", rounds / 100, &all)),
        ("nearest 8 hosts", rounds, find("nearest 8 hosts", rounds, &nearest)),
    ];
    for (name, rounds, micros) in cases {
        results.push(&[&name, &rounds, &format!("{micros:.3}"), &format!("{:.0}", 1e6 / micros)]);
    }
    let mut state = MeasureTable::new("lookups: state", &["what", "build ms", "MiB"]);
    state.push(&[
        &"block table",
        &format!("{:.1}", build.as_secs_f64() * 1e3),
        &mebibytes(table_bytes),
    ]);
    state.push(&[&"host index", &format!("{:.3}", index_build.as_secs_f64() * 1e3), &"-"]);
    Ok(vec![results, state])
}
