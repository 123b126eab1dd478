//! Look-ups of the library on one core: the client block table and the ranking of hosts.

use std::{error::Error, hint::black_box, time::Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    ids::OrganisationId,
    lookup::{BlockTable, HostCandidate, HostIndex, LookupQuery, RegionDistances, order_hosts},
};

use crate::{
    table::{MeasureRun, MeasureTable},
    target_size::{client_address, document, members},
    usage::{mebibytes, resident_bytes},
};

/// Maximum number of hosts in a look-up response of the daemon.
const MAX_HOSTS: usize = 8;

/// Measures look-ups, and build time and memory of the tables behind them.
pub(crate) fn measure(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let (blocks, hosts, rounds) =
        if run.is_small { (20_000, 140, 20_000) } else { (400_000, 1_400, 1_000_000) };
    run.step(format!("document with {blocks} blocks"));
    let document = document(blocks)?;
    let members = members(hosts)?;
    let started = Instant::now();
    let table = BlockTable::new(&document);
    let table_build = started.elapsed();
    // Averages over 8 tables, since the first one may reuse memory freed after parsing the document.
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
    let started = Instant::now();
    let index = HostIndex::new(candidates.iter().copied());
    let index_build = started.elapsed();

    let mut rng = ChaCha8Rng::seed_from_u64(run.seed);
    let organisations: Result<Vec<OrganisationId>, _> =
        (0..64).map(|it| format!("o{it}").parse()).collect();
    let organisations = organisations?;
    let callers: Vec<_> = (0..rounds)
        .map(|_| (client_address(rng.random_range(0..blocks)).into(), rng.random_range(0..64)))
        .collect();
    let time_lookups = |name: &str, rounds: usize, rank: &dyn Fn(&LookupQuery<'_>) -> usize| {
        run.step(format!("{name}, {rounds} look-ups"));
        let started = Instant::now();
        for (client, organisation) in &callers[..rounds] {
            if let Some((block, region)) = table.find(*client) {
                let organisation = organisations.get::<usize>(*organisation);
                black_box(rank(&LookupQuery { organisation, block, region }));
            }
        }
        started.elapsed().as_secs_f64() * 1e6 / rounds as f64
    };
    let mut results = MeasureTable::new(
        format!("lookups: one core, {blocks} blocks, {hosts} hosts, seed {}", run.seed),
        &["look-up", "count", "microseconds", "a second"],
    );
    let all = |query: &LookupQuery<'_>| order_hosts(query, &candidates, &distances).len();
    let nearest = |query: &LookupQuery<'_>| index.nearest(query, &distances, MAX_HOSTS).len();
    let cases = [
        ("block only", rounds, time_lookups("block only", rounds, &|_| 0)),
        ("all hosts ordered", rounds / 100, time_lookups("all hosts ordered", rounds / 100, &all)),
        ("nearest 8 hosts", rounds, time_lookups("nearest 8 hosts", rounds, &nearest)),
    ];
    for (name, rounds, micros) in cases {
        results.push(&[&name, &rounds, &format!("{micros:.3}"), &format!("{:.0}", 1e6 / micros)]);
    }
    let mut tables = MeasureTable::new("lookups: state", &["what", "build ms", "MiB"]);
    tables.push(&[
        &"block table",
        &format!("{:.1}", table_build.as_secs_f64() * 1e3),
        &mebibytes(table_bytes),
    ]);
    tables.push(&[&"host index", &format!("{:.3}", index_build.as_secs_f64() * 1e3), &"-"]);
    Ok(vec![results, tables])
}
