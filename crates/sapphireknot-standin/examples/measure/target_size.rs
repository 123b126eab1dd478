//! Generated configuration and member records of the target size.

use std::{error::Error, fmt::Write as _, net::Ipv4Addr};

use sapphireknot::{
    config::{ClientBlock, ConfigDocument, load_document},
    ids::{ConfigGeneration, IncarnationId},
    membership::{MemberRecord, MemberState},
};

/// Number of regions.
const REGIONS: usize = 10;
/// Number of data centres with hosts.
const HOST_DATACENTRES: usize = 39;
/// Number of data centres with backend servers only.
const SERVER_DATACENTRES: usize = 470;
/// Number of services.
const SERVICES: usize = 4;
/// Number of organisations.
const ORGANISATIONS: usize = 64;
/// Odd multiplier that spreads the block indices over the address space.
///
/// Adjacent blocks would share most of the nodes of the block table.
const BLOCK_MULTIPLIER: u32 = 0x9e37_79b1;

/// Returns a client address in the block with the index `idx`.
pub(crate) fn client_address(idx: usize) -> Ipv4Addr {
    Ipv4Addr::from((idx as u32).wrapping_mul(BLOCK_MULTIPLIER) << 8 | 7)
}

/// Generates a document with `blocks` client blocks and ten backend servers in each of the
/// [`SERVER_DATACENTRES`] data centres.
pub(crate) fn document(blocks: usize) -> Result<ConfigDocument, Box<dyn Error>> {
    let mut text = String::from("regions:\n");
    for region in 0..REGIONS {
        let host_datacentres =
            (region..HOST_DATACENTRES).step_by(REGIONS).map(|it| format!("d{it}"));
        let server_datacentres =
            (region..SERVER_DATACENTRES).step_by(REGIONS).map(|it| format!("s{it}"));
        let all: Vec<_> = host_datacentres.chain(server_datacentres).collect();
        writeln!(text, "- {{id: r{region}, datacentres: [{}]}}", all.join(", "))?;
    }
    text.push_str("links:\n");
    for from in 0..REGIONS {
        for to in (0..REGIONS).filter(|it| *it != from) {
            let latency = 10 + from.abs_diff(to);
            let capacity = "300Mbit/s";
            writeln!(
                text,
                "- {{from: r{from}, to: r{to}, capacity: {capacity}, latency: {latency}ms}}"
            )?;
        }
    }
    text.push_str("organisations:\n");
    for organisation in 0..ORGANISATIONS {
        let key = format!("{{id: k1, sha256: '{organisation:064x}'}}");
        writeln!(text, "- {{id: o{organisation}, rate: 200/s, burst: 400, keys: [{key}]}}")?;
    }
    text.push_str("services:\n");
    for service in 0..SERVICES {
        writeln!(text, "- id: service{service}\n  routes: [{{id: a, prefix: /a, timeout: 2s}}]")?;
        writeln!(text, "  versions: {{v1: 100%}}\n  servers:")?;
        for idx in (service..SERVER_DATACENTRES * 10).step_by(SERVICES) {
            let address = format!("10.{}.{}.1:80", idx / 256, idx % 256);
            let location = format!("address: '{address}', datacentre: s{}", idx / 10);
            writeln!(
                text,
                "  - {{id: b{idx}, {location}, version: v1, slots: 4, connections: 400}}"
            )?;
        }
    }
    let mut document = load_document(&text).map_err(|problems| format!("{problems:?}"))?;
    let region = |idx: usize| document.regions[idx * 7 / 16 % REGIONS].id.clone();
    let block = |idx| -> Result<ClientBlock, Box<dyn Error>> {
        let block = ipnet::Ipv4Net::new(client_address(idx), 24)?.trunc();
        Ok(ClientBlock { block: block.into(), region: region(idx) })
    };
    let blocks: Result<Vec<_>, _> = (0..blocks).map(block).collect();
    document.client_blocks = blocks?;
    Ok(document)
}

/// Generates the member records of `count` hosts spread evenly over the data centres.
pub(crate) fn members(count: usize) -> Result<Vec<MemberRecord>, Box<dyn Error>> {
    let member = |idx: usize| -> Result<MemberRecord, Box<dyn Error>> {
        let datacentre = idx % HOST_DATACENTRES;
        let address = format!("10.{datacentre}.{}.{}", idx / 256, idx % 256);
        Ok(MemberRecord {
            id: format!("d{datacentre}-host-{idx}").parse()?,
            region: format!("r{}", datacentre % REGIONS).parse()?,
            datacentre: format!("d{datacentre}").parse()?,
            peer_address: format!("{address}:7001").parse()?,
            caller_address: format!("{address}:7000").parse()?,
            incarnation: IncarnationId(1_780_000_000_000 + idx as u64),
            state: MemberState::Alive,
            generation: ConfigGeneration(1),
            drained: ConfigGeneration(1),
            load_permille: 0,
            version: 1,
        })
    };
    (0..count).map(member).collect()
}
