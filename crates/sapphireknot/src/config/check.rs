//! Validation of a parsed document.
//!
//! All checks append to one list, so that the operator sees every problem at once.

use std::{collections::BTreeSet, fmt};

use super::{ConfigDocument, ConfigProblem, OrganisationEntry, ServiceEntry};
use crate::units::TrafficShare;

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// Returns every problem of `document`; an empty list means that it can be installed.
pub fn check_document(document: &ConfigDocument) -> Vec<ConfigProblem> {
    let mut problems = Vec::new();
    check_regions(document, &mut problems);
    check_links(document, &mut problems);
    check_organisations(document, &mut problems);
    for (idx, service) in document.services.iter().enumerate() {
        check_service(document, service, &format!("services[{idx}]"), &mut problems);
    }
    let services = document.services.iter().map(|it| &it.id);
    check_unique(services, "services", "id", &mut problems);
    for (idx, entry) in document.client_blocks.iter().enumerate() {
        if !document.regions.iter().any(|it| it.id == entry.region) {
            let field = format!("client_blocks[{idx}].region");
            problems.push(ConfigProblem::new(field, &entry.region, "a region of this document"));
        }
    }
    let blocks = document.client_blocks.iter().map(|it| it.block);
    check_unique(blocks, "client_blocks", "block", &mut problems);
    problems
}

fn check_unique<I, T>(ids: I, section: &str, field: &str, problems: &mut Vec<ConfigProblem>)
where
    I: Iterator<Item = T>,
    T: Ord + fmt::Display,
{
    let mut seen = BTreeSet::new();
    for (idx, id) in ids.enumerate() {
        let text = id.to_string();
        if !seen.insert(id) {
            let field = format!("{section}[{idx}].{field}");
            problems.push(ConfigProblem::new(field, text, "a value that occurs once"));
        }
    }
}

fn check_regions(document: &ConfigDocument, problems: &mut Vec<ConfigProblem>) {
    check_unique(document.regions.iter().map(|it| &it.id), "regions", "id", problems);
    let datacentres = document.regions.iter().flat_map(|it| &it.datacentres);
    check_unique(datacentres, "datacentres of regions", "id", problems);
}

fn check_links(document: &ConfigDocument, problems: &mut Vec<ConfigProblem>) {
    for (idx, link) in document.links.iter().enumerate() {
        for (field, end) in [("from", &link.from), ("to", &link.to)] {
            if !document.regions.iter().any(|it| it.id == *end) {
                let field = format!("links[{idx}].{field}");
                problems.push(ConfigProblem::new(field, end, "a region of this document"));
            }
        }
        if link.from == link.to {
            let field = format!("links[{idx}].to");
            problems.push(ConfigProblem::new(field, &link.to, "another region than 'from'"));
        }
        if link.capacity.0 == 0 {
            let field = format!("links[{idx}].capacity");
            problems.push(ConfigProblem::new(field, link.capacity, "more than zero"));
        }
    }
    let ends = document.links.iter().map(|it| format!("{} to {}", it.from, it.to));
    check_unique(ends, "links", "from", problems);
}

fn check_organisations(document: &ConfigDocument, problems: &mut Vec<ConfigProblem>) {
    let organisations = &document.organisations;
    check_unique(organisations.iter().map(|it| &it.id), "organisations", "id", problems);
    let mut digests = BTreeSet::new();
    for (idx, organisation) in organisations.iter().enumerate() {
        let field = format!("organisations[{idx}]");
        check_organisation(organisation, &field, problems);
        for (key_idx, key) in organisation.keys.iter().enumerate() {
            if !digests.insert(key.sha256.to_ascii_lowercase()) {
                let field = format!("{field}.keys[{key_idx}].sha256");
                problems.push(ConfigProblem::new(field, &key.id, "a key that occurs once"));
            }
        }
    }
}

fn check_organisation(
    organisation: &OrganisationEntry,
    field: &str,
    problems: &mut Vec<ConfigProblem>,
) {
    if organisation.burst.0 == 0 {
        let field = format!("{field}.burst");
        problems.push(ConfigProblem::new(field, organisation.burst, "at least 1"));
    }
    if organisation.weight == 0 {
        let field = format!("{field}.weight");
        problems.push(ConfigProblem::new(field, organisation.weight, "at least 1"));
    }
    let keys = organisation.keys.iter().map(|it| &it.id);
    check_unique(keys, &format!("{field}.keys"), "id", problems);
    for (idx, key) in organisation.keys.iter().enumerate() {
        let is_digest = key.sha256.len() == DIGEST_DIGITS
            && key.sha256.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_digest {
            // The value may be a plain-text key pasted by mistake, so the message must not contain it.
            let field = format!("{field}.keys[{idx}].sha256");
            let found = format!("{} characters", key.sha256.len());
            problems.push(ConfigProblem::new(field, found, "64 hexadecimal digits"));
        }
    }
}

fn check_service(
    document: &ConfigDocument,
    service: &ServiceEntry,
    field: &str,
    problems: &mut Vec<ConfigProblem>,
) {
    check_routes(service, field, problems);
    check_shares(service.versions.values(), &format!("{field}.versions"), problems);
    check_servers(document, service, field, problems);
    if let Some(plan) = &service.traffic {
        let field = format!("{field}.traffic");
        check_shares(plan.target.values(), &format!("{field}.target"), problems);
        for version in plan.target.keys() {
            if !service.versions.contains_key(version) {
                let field = format!("{field}.target");
                problems.push(ConfigProblem::new(field, version, "a version of this service"));
            }
        }
        if plan.cap == TrafficShare::NONE {
            let field = format!("{field}.cap");
            problems.push(ConfigProblem::new(field, plan.cap, "more than 0%"));
        }
    }
    for (idx, spill) in service.spill.iter().enumerate() {
        if !document.regions.iter().any(|it| it.id == spill.into) {
            let field = format!("{field}.spill[{idx}].into");
            problems.push(ConfigProblem::new(field, &spill.into, "a region of this document"));
        }
    }
    let regions = service.spill.iter().map(|it| &it.into);
    check_unique(regions, &format!("{field}.spill"), "into", problems);
}

fn check_routes(service: &ServiceEntry, field: &str, problems: &mut Vec<ConfigProblem>) {
    if service.routes.is_empty() {
        let field = format!("{field}.routes");
        problems.push(ConfigProblem::new(field, "[]", "at least one route"));
    }
    let routes = service.routes.iter().map(|it| &it.id);
    check_unique(routes, &format!("{field}.routes"), "id", problems);
    for (idx, route) in service.routes.iter().enumerate() {
        let field = format!("{field}.routes[{idx}]");
        if !route.prefix.starts_with('/') {
            let field = format!("{field}.prefix");
            problems.push(ConfigProblem::new(field, &route.prefix, "a path that starts with '/'"));
        }
        if route.timeout.0.is_zero() {
            let field = format!("{field}.timeout");
            problems.push(ConfigProblem::new(field, route.timeout, "more than zero"));
        }
        for method in &route.methods {
            if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
                let field = format!("{field}.methods");
                problems.push(ConfigProblem::new(field, method, "a method such as GET"));
            }
        }
    }
}

fn check_shares<'a, I>(shares: I, field: &str, problems: &mut Vec<ConfigProblem>)
where
    I: Iterator<Item = &'a TrafficShare>,
{
    let sum: u64 = shares.map(|it| u64::from(it.0)).sum();
    if sum != u64::from(TrafficShare::WHOLE.0) {
        let found = format!("{}%", sum as f64 / 10_000.0);
        problems.push(ConfigProblem::new(field, found, "shares that sum to 100%"));
    }
}

fn check_servers(
    document: &ConfigDocument,
    service: &ServiceEntry,
    field: &str,
    problems: &mut Vec<ConfigProblem>,
) {
    let servers = service.servers.iter().map(|it| &it.id);
    check_unique(servers, &format!("{field}.servers"), "id", problems);
    for (idx, server) in service.servers.iter().enumerate() {
        let field = format!("{field}.servers[{idx}]");
        if document.region_of(&server.datacentre).is_none() {
            let field = format!("{field}.datacentre");
            let allowed = "a data centre of a region of this document";
            problems.push(ConfigProblem::new(field, &server.datacentre, allowed));
        }
        if !service.versions.contains_key(&server.version) {
            let field = format!("{field}.version");
            problems.push(ConfigProblem::new(field, &server.version, "a version of this service"));
        }
        if server.slots.0 == 0 {
            let field = format!("{field}.slots");
            problems.push(ConfigProblem::new(field, server.slots, "at least 1"));
        }
        if server.connections == 0 {
            let field = format!("{field}.connections");
            problems.push(ConfigProblem::new(field, server.connections, "at least 1"));
        }
    }
}
