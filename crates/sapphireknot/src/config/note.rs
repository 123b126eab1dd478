//! Release notes.
//!
//! A release note lists entities to add, change or withdraw. It is applied atomically.

use std::{collections::BTreeMap, fmt};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use super::{
    ClientBlock, ConfigDocument, ConfigProblem, KeyEntry, LinkEntry, OrganisationEntry,
    RegionEntry, RouteEntry, ServerEntry, ServiceEntry, SpillEntry, TrafficPlan, check_document,
};
use crate::{
    ids::{
        ConfigGeneration, KeyId, NoteId, OrganisationId, RegionId, RouteId, ServerId, ServiceId,
        VersionId,
    },
    units::TrafficShare,
};

/// Atomic set of configuration changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Identifier; makes the submission of a note idempotent.
    pub id: NoteId,
    /// Changes, applied in order.
    pub items: Vec<NoteItem>,
}

/// Change of one entity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NoteItem {
    /// Creates an entity; it must not exist yet.
    Add(EntityValue),
    /// Replaces an existing entity.
    Change(EntityValue),
    /// Removes an existing entity.
    Withdraw(EntityPath),
}

/// Entity with its new value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntityValue {
    /// Region.
    Region(RegionEntry),
    /// Link between two regions.
    Link(LinkEntry),
    /// Organisation; a change that lists no keys keeps the existing ones.
    Organisation(OrganisationEntry),
    /// API key.
    Key {
        /// Organisation that owns the key.
        organisation: OrganisationId,
        /// Key entry.
        key: KeyEntry,
    },
    /// Service; a change that lists no backend servers keeps the existing ones.
    Service(ServiceEntry),
    /// Route.
    Route {
        /// Service that contains the entity.
        service: ServiceId,
        /// Route entry.
        route: RouteEntry,
    },
    /// Version with its initial share, before any traffic plan.
    Version {
        /// Service that contains the entity.
        service: ServiceId,
        /// Version identifier.
        version: VersionId,
        /// Initial traffic share; zero by default.
        #[serde(default)]
        share: TrafficShare,
    },
    /// Backend server.
    Server {
        /// Service that contains the entity.
        service: ServiceId,
        /// Server entry.
        server: ServerEntry,
    },
    /// Traffic plan.
    Traffic {
        /// Service that contains the entity.
        service: ServiceId,
        /// Traffic plan.
        plan: TrafficPlan,
    },
    /// Limit on traffic that spills into a region.
    Spill {
        /// Service that contains the entity.
        service: ServiceId,
        /// Spill limit.
        spill: SpillEntry,
    },
    /// Client block.
    ClientBlock(ClientBlock),
}

/// Unique path of an entity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EntityPath {
    /// Region.
    Region(RegionId),
    /// Link between two regions.
    Link {
        /// Source region.
        from: RegionId,
        /// Destination region.
        to: RegionId,
    },
    /// Organisation.
    Organisation(OrganisationId),
    /// API key.
    Key {
        /// Organisation that owns the key.
        organisation: OrganisationId,
        /// Key identifier.
        key: KeyId,
    },
    /// Service.
    Service(ServiceId),
    /// Route.
    Route {
        /// Service that contains the entity.
        service: ServiceId,
        /// Route identifier.
        route: RouteId,
    },
    /// Version.
    Version {
        /// Service that contains the entity.
        service: ServiceId,
        /// Version identifier.
        version: VersionId,
    },
    /// Backend server.
    Server {
        /// Service that contains the entity.
        service: ServiceId,
        /// Server identifier.
        server: ServerId,
    },
    /// Traffic plan.
    Traffic(ServiceId),
    /// Limit on traffic that spills into a region.
    Spill {
        /// Service that contains the entity.
        service: ServiceId,
        /// Destination region.
        into: RegionId,
    },
    /// Client block.
    ClientBlock(IpNet),
}

impl fmt::Display for EntityPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Region(id) => write!(f, "region/{id}"),
            Self::Link { from, to } => write!(f, "link/{from}/{to}"),
            Self::Organisation(id) => write!(f, "organisation/{id}"),
            Self::Key { organisation, key } => write!(f, "key/{organisation}/{key}"),
            Self::Service(id) => write!(f, "service/{id}"),
            Self::Route { service, route } => write!(f, "route/{service}/{route}"),
            Self::Version { service, version } => write!(f, "version/{service}/{version}"),
            Self::Server { service, server } => write!(f, "server/{service}/{server}"),
            Self::Traffic(service) => write!(f, "traffic/{service}"),
            Self::Spill { service, into } => write!(f, "spill/{service}/{into}"),
            Self::ClientBlock(block) => write!(f, "client_block/{block}"),
        }
    }
}

impl EntityValue {
    /// Returns the path of the entity.
    pub fn path(&self) -> EntityPath {
        match self {
            Self::Region(it) => EntityPath::Region(it.id.clone()),
            Self::Link(it) => EntityPath::Link { from: it.from.clone(), to: it.to.clone() },
            Self::Organisation(it) => EntityPath::Organisation(it.id.clone()),
            Self::Key { organisation, key } => {
                EntityPath::Key { organisation: organisation.clone(), key: key.id.clone() }
            }
            Self::Service(it) => EntityPath::Service(it.id.clone()),
            Self::Route { service, route } => {
                EntityPath::Route { service: service.clone(), route: route.id.clone() }
            }
            Self::Version { service, version, .. } => {
                EntityPath::Version { service: service.clone(), version: version.clone() }
            }
            Self::Server { service, server } => {
                EntityPath::Server { service: service.clone(), server: server.id.clone() }
            }
            Self::Traffic { service, .. } => EntityPath::Traffic(service.clone()),
            Self::Spill { service, spill } => {
                EntityPath::Spill { service: service.clone(), into: spill.into.clone() }
            }
            Self::ClientBlock(it) => EntityPath::ClientBlock(it.block),
        }
    }
}

impl NoteItem {
    /// Returns the path of the entity that the item changes.
    pub fn path(&self) -> EntityPath {
        match self {
            Self::Add(value) | Self::Change(value) => value.path(),
            Self::Withdraw(path) => path.clone(),
        }
    }
}

/// Applies all items of `note` to a copy of `document`, or returns every problem if any item is invalid.
pub fn apply_note(
    document: &ConfigDocument,
    note: &ReleaseNote,
) -> Result<ConfigDocument, Vec<ConfigProblem>> {
    let mut changed = document.clone();
    let mut problems = Vec::new();
    for (idx, item) in note.items.iter().enumerate() {
        if let Err(allowed) = apply_item(&mut changed, item) {
            problems.push(ConfigProblem::new(format!("items[{idx}]"), item.path(), allowed));
        }
    }
    if problems.is_empty() {
        problems = check_document(&changed);
    }
    if problems.is_empty() { Ok(changed) } else { Err(problems) }
}

/// Returns the entities of `note` that were changed after generation `base`, according to `last_changes`.
///
/// A change of an entity also conflicts with a change of the entity that contains it: a key with its organisation, a
/// route with its service.
pub fn conflicting_paths(
    note: &ReleaseNote,
    base: ConfigGeneration,
    last_changes: &BTreeMap<String, ConfigGeneration>,
) -> Vec<EntityPath> {
    let changed_since = |path: &EntityPath| {
        let text = path.to_string();
        last_changes.iter().any(|(other, generation)| {
            *generation > base && (*other == text || is_ancestor_or_descendant(other, &text))
        })
    };
    note.items.iter().map(NoteItem::path).filter(|path| changed_since(path)).collect()
}

/// Returns whether one of two entity paths refers to the organisation or service that contains the other.
fn is_ancestor_or_descendant(left: &str, right: &str) -> bool {
    let contains = |outer: &str, inner: &str| {
        let Some((kind, id)) = outer.split_once('/') else { return false };
        let Some((inner_kind, rest)) = inner.split_once('/') else { return false };
        let parent = rest.split('/').next().unwrap_or(rest);
        let is_parent_kind = match kind {
            "organisation" => inner_kind == "key",
            "service" => {
                matches!(inner_kind, "route" | "version" | "server" | "traffic" | "spill")
            }
            _ => false,
        };
        is_parent_kind && parent == id
    };
    contains(left, right) || contains(right, left)
}

const MUST_NOT_EXIST: &str = "an entity that does not exist yet";
const MUST_EXIST: &str = "an entity that exists";

type ItemResult = Result<(), &'static str>;

fn apply_item(document: &mut ConfigDocument, item: &NoteItem) -> ItemResult {
    match item {
        NoteItem::Add(value) => put_entity(document, value.clone(), true),
        NoteItem::Change(value) => put_entity(document, value.clone(), false),
        NoteItem::Withdraw(path) => remove_entity(document, path),
    }
}

/// Appends a new entry, or replaces the existing entry that `is_same` selects.
fn put_entry<T, F>(entries: &mut Vec<T>, entry: T, is_new: bool, is_same: F) -> ItemResult
where
    F: Fn(&T) -> bool,
{
    match (entries.iter().position(is_same), is_new) {
        (None, true) => entries.push(entry),
        (Some(idx), false) => entries[idx] = entry,
        (Some(_), true) => return Err(MUST_NOT_EXIST),
        (None, false) => return Err(MUST_EXIST),
    }
    Ok(())
}

fn remove_entry<T, F>(entries: &mut Vec<T>, is_same: F) -> ItemResult
where
    F: Fn(&T) -> bool,
{
    let idx = entries.iter().position(is_same).ok_or(MUST_EXIST)?;
    entries.remove(idx);
    Ok(())
}

fn organisation_mut<'a>(
    document: &'a mut ConfigDocument,
    id: &OrganisationId,
) -> Result<&'a mut OrganisationEntry, &'static str> {
    document.organisations.iter_mut().find(|it| it.id == *id).ok_or("an organisation that exists")
}

fn service_mut<'a>(
    document: &'a mut ConfigDocument,
    id: &ServiceId,
) -> Result<&'a mut ServiceEntry, &'static str> {
    document.services.iter_mut().find(|it| it.id == *id).ok_or("a service that exists")
}

fn put_entity(document: &mut ConfigDocument, value: EntityValue, is_new: bool) -> ItemResult {
    match value {
        EntityValue::Region(entry) => {
            let id = entry.id.clone();
            put_entry(&mut document.regions, entry, is_new, |it| it.id == id)
        }
        EntityValue::Link(entry) => {
            let (from, to) = (entry.from.clone(), entry.to.clone());
            put_entry(&mut document.links, entry, is_new, |it| it.from == from && it.to == to)
        }
        EntityValue::Organisation(mut entry) => {
            let id = entry.id.clone();
            if entry.keys.is_empty()
                && let Some(old) = document.organisation(&id)
            {
                entry.keys = old.keys.clone();
            }
            put_entry(&mut document.organisations, entry, is_new, |it| it.id == id)
        }
        EntityValue::Key { organisation, key } => {
            let keys = &mut organisation_mut(document, &organisation)?.keys;
            let id = key.id.clone();
            put_entry(keys, key, is_new, |it| it.id == id)
        }
        EntityValue::Service(mut entry) => {
            let id = entry.id.clone();
            if entry.servers.is_empty()
                && let Some(old) = document.service(&id)
            {
                entry.servers = old.servers.clone();
            }
            put_entry(&mut document.services, entry, is_new, |it| it.id == id)
        }
        EntityValue::Route { service, route } => {
            let routes = &mut service_mut(document, &service)?.routes;
            let id = route.id.clone();
            put_entry(routes, route, is_new, |it| it.id == id)
        }
        EntityValue::Version { service, version, share } => {
            let versions = &mut service_mut(document, &service)?.versions;
            match (versions.contains_key(&version), is_new) {
                (true, true) => return Err(MUST_NOT_EXIST),
                (false, false) => return Err(MUST_EXIST),
                _ => versions.insert(version, share),
            };
            Ok(())
        }
        EntityValue::Server { service, server } => {
            let servers = &mut service_mut(document, &service)?.servers;
            let id = server.id.clone();
            put_entry(servers, server, is_new, |it| it.id == id)
        }
        EntityValue::Traffic { service, plan } => {
            let current = &mut service_mut(document, &service)?.traffic;
            match (&current, is_new) {
                (Some(_), true) => return Err("a service without a traffic plan"),
                (None, false) => return Err("a service with a traffic plan"),
                _ => *current = Some(plan),
            }
            Ok(())
        }
        EntityValue::Spill { service, spill } => {
            let spills = &mut service_mut(document, &service)?.spill;
            let into = spill.into.clone();
            put_entry(spills, spill, is_new, |it| it.into == into)
        }
        EntityValue::ClientBlock(entry) => {
            let block = entry.block;
            put_entry(&mut document.client_blocks, entry, is_new, |it| it.block == block)
        }
    }
}

fn remove_entity(document: &mut ConfigDocument, path: &EntityPath) -> ItemResult {
    match path {
        EntityPath::Region(id) => remove_entry(&mut document.regions, |it| it.id == *id),
        EntityPath::Link { from, to } => {
            remove_entry(&mut document.links, |it| it.from == *from && it.to == *to)
        }
        EntityPath::Organisation(id) => {
            remove_entry(&mut document.organisations, |it| it.id == *id)
        }
        EntityPath::Key { organisation, key } => {
            remove_entry(&mut organisation_mut(document, organisation)?.keys, |it| it.id == *key)
        }
        EntityPath::Service(id) => remove_entry(&mut document.services, |it| it.id == *id),
        EntityPath::Route { service, route } => {
            remove_entry(&mut service_mut(document, service)?.routes, |it| it.id == *route)
        }
        EntityPath::Version { service, version } => {
            let versions = &mut service_mut(document, service)?.versions;
            versions.remove(version).map(drop).ok_or(MUST_EXIST)
        }
        EntityPath::Server { service, server } => {
            remove_entry(&mut service_mut(document, service)?.servers, |it| it.id == *server)
        }
        EntityPath::Traffic(service) => {
            service_mut(document, service)?.traffic.take().map(drop).ok_or(MUST_EXIST)
        }
        EntityPath::Spill { service, into } => {
            remove_entry(&mut service_mut(document, service)?.spill, |it| it.into == *into)
        }
        EntityPath::ClientBlock(block) => {
            remove_entry(&mut document.client_blocks, |it| it.block == *block)
        }
    }
}
