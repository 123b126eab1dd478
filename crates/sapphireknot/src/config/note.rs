//! Release notes.
//!
//! A note lists entities that are added, changed or withdrawn. It applies whole or not at all.

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

/// Release note.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Identifier; a second note with the same one is the same note.
    pub id: NoteId,
    /// What changes.
    pub items: Vec<NoteItem>,
}

/// One item of a release note.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NoteItem {
    /// The entity must not exist yet.
    Add(EntityValue),
    /// The entity must exist and is replaced.
    Change(EntityValue),
    /// The entity must exist and is removed.
    Withdraw(EntityPath),
}

/// Entity with its new value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntityValue {
    /// Region.
    Region(RegionEntry),
    /// Link.
    Link(LinkEntry),
    /// Organisation; a change keeps its keys if it lists none.
    Organisation(OrganisationEntry),
    /// Key.
    Key {
        /// Organisation that owns it.
        organisation: OrganisationId,
        /// The key.
        key: KeyEntry,
    },
    /// Service; a change keeps its backend servers if it lists none.
    Service(ServiceEntry),
    /// Route.
    Route {
        /// Service that it belongs to.
        service: ServiceId,
        /// The route.
        route: RouteEntry,
    },
    /// Version with its share before any traffic plan.
    Version {
        /// Service that it belongs to.
        service: ServiceId,
        /// The version.
        version: VersionId,
        /// Its share; a new version starts with none.
        #[serde(default)]
        share: TrafficShare,
    },
    /// Backend server.
    Server {
        /// Service that it belongs to.
        service: ServiceId,
        /// The backend server.
        server: ServerEntry,
    },
    /// Traffic plan.
    Traffic {
        /// Service that it belongs to.
        service: ServiceId,
        /// The plan.
        plan: TrafficPlan,
    },
    /// Spill into a region.
    Spill {
        /// Service that it belongs to.
        service: ServiceId,
        /// The limit.
        spill: SpillEntry,
    },
    /// Client block.
    ClientBlock(ClientBlock),
}

/// Name of an entity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EntityPath {
    /// Region.
    Region(RegionId),
    /// Link.
    Link {
        /// Region that sends.
        from: RegionId,
        /// Region that receives.
        to: RegionId,
    },
    /// Organisation.
    Organisation(OrganisationId),
    /// Key.
    Key {
        /// Organisation that owns it.
        organisation: OrganisationId,
        /// The key.
        key: KeyId,
    },
    /// Service.
    Service(ServiceId),
    /// Route.
    Route {
        /// Service that it belongs to.
        service: ServiceId,
        /// The route.
        route: RouteId,
    },
    /// Version.
    Version {
        /// Service that it belongs to.
        service: ServiceId,
        /// The version.
        version: VersionId,
    },
    /// Backend server.
    Server {
        /// Service that it belongs to.
        service: ServiceId,
        /// The backend server.
        server: ServerId,
    },
    /// Traffic plan.
    Traffic(ServiceId),
    /// Spill into a region.
    Spill {
        /// Service that it belongs to.
        service: ServiceId,
        /// Region that receives.
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
    /// Name of the entity.
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
    /// Name of the entity that the item touches.
    pub fn path(&self) -> EntityPath {
        match self {
            Self::Add(value) | Self::Change(value) => value.path(),
            Self::Withdraw(path) => path.clone(),
        }
    }
}

/// Applies `note` to `document`, whole or not at all.
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

/// Entities of `note` that changed after generation `base`, by the generation of each entity's last change.
///
/// A change of an entity conflicts with a change of what contains it: a key with its organisation, a route with its
/// service.
pub fn conflicting_paths(
    note: &ReleaseNote,
    base: ConfigGeneration,
    last_changes: &BTreeMap<String, ConfigGeneration>,
) -> Vec<EntityPath> {
    let changed_since = |path: &EntityPath| {
        let text = path.to_string();
        last_changes.iter().any(|(other, generation)| {
            *generation > base && (*other == text || is_container(other, &text))
        })
    };
    note.items.iter().map(NoteItem::path).filter(|path| changed_since(path)).collect()
}

/// Whether one of two entity paths names the organisation or service that contains the other.
fn is_container(left: &str, right: &str) -> bool {
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

const MUST_BE_NEW: &str = "an entity that does not exist yet";
const MUST_EXIST: &str = "an entity that exists";

type ItemResult = Result<(), &'static str>;

fn apply_item(document: &mut ConfigDocument, item: &NoteItem) -> ItemResult {
    match item {
        NoteItem::Add(value) => put_entity(document, value.clone(), true),
        NoteItem::Change(value) => put_entity(document, value.clone(), false),
        NoteItem::Withdraw(path) => remove_entity(document, path),
    }
}

/// Inserts or replaces the entry with the same identity.
fn put_entry<T, F>(entries: &mut Vec<T>, entry: T, is_new: bool, is_same: F) -> ItemResult
where
    F: Fn(&T) -> bool,
{
    match (entries.iter().position(is_same), is_new) {
        (None, true) => entries.push(entry),
        (Some(idx), false) => entries[idx] = entry,
        (Some(_), true) => return Err(MUST_BE_NEW),
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
                (true, true) => return Err(MUST_BE_NEW),
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
            let slot = &mut service_mut(document, &service)?.traffic;
            match (&slot, is_new) {
                (Some(_), true) => return Err("a service without a traffic plan"),
                (None, false) => return Err("a service with a traffic plan"),
                _ => *slot = Some(plan),
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
