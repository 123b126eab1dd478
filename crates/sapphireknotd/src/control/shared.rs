//! State shared by the control actors, the peer server and the operator API.

use std::{collections::BTreeMap, sync::Arc};

use arc_swap::{ArcSwap, ArcSwapOption};
use ractor::{ActorProcessingErr, ActorRef};
use sapphireknot::{
    config::ConfigDocument,
    delta::NoteLog,
    head::{ConfigHead, DocumentError, EncodedDocument},
    ids::{ConfigGeneration, FencingToken, HostId, IncarnationId, ServiceId},
    time::MonoTime,
};
use sapphireknot_platform::{HostList, KeyValueStore, StoreError, StoredEntry};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::store::ObservedStore;
use crate::{context::HostContext, interfaces::SharedDeadline};

/// Store key of the configuration head.
pub const HEAD_KEY: &str = "config/head";

/// Returns the store key of the chunk with `digest`.
pub(super) fn chunk_key(digest: &str) -> String {
    format!("config/chunk/{digest}")
}

/// Installed document in encoded form, as served to peers.
#[derive(Debug)]
pub struct EncodedConfig {
    /// Generation of the document.
    pub generation: ConfigGeneration,
    /// Encoded document.
    pub encoded: EncodedDocument,
    /// Latest release notes up to this generation.
    pub notes: NoteLog,
}

/// Clients for the platform services.
#[derive(Clone)]
pub struct PlatformClients {
    /// Client for the key-value store.
    pub store: Arc<dyn KeyValueStore>,
    /// Client for the host list.
    pub hosts: Arc<dyn HostList>,
}

/// State shared by the control modules.
pub struct ControlShared {
    /// State read by the request path.
    pub context: Arc<HostContext>,
    /// Client for the key-value store.
    pub store: Arc<ObservedStore>,
    /// Client for the host list.
    pub hosts: Arc<dyn HostList>,
    /// Encoded document of the installed generation. Written by the configuration actor.
    pub encoded: ArcSwapOption<EncodedConfig>,
    /// Start of the read behind the latest freshness proof; zero if there is none. Written by the configuration actor.
    pub freshness_proof: SharedDeadline,
    /// Time until which this host holds a watch role. Written by the session actor.
    pub watch_role_until: SharedDeadline,
    /// Planner roles of this host. Written by the session actor.
    pub planner_roles: ArcSwap<PlannerRoles>,
}

/// Planner roles that this host holds.
#[derive(Debug, Default)]
pub struct PlannerRoles {
    /// Fencing token of the planner role of each service.
    pub tokens: BTreeMap<ServiceId, FencingToken>,
    /// Time at which this host stops using the roles.
    pub usable_until: MonoTime,
}

impl PlannerRoles {
    /// Returns the fencing token for `service` if its planner role may be used at `now`.
    pub fn token(&self, service: &ServiceId, now: MonoTime) -> Option<FencingToken> {
        self.tokens.get(service).copied().filter(|_| now < self.usable_until)
    }
}

/// Holder of a role or owner of a host record, as stored under its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Host that holds it.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: IncarnationId,
}

/// Error while accessing records or the configuration in the store.
#[derive(Debug, Error)]
pub enum StoreRecordError {
    /// The store call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A store record is missing, invalid or could not be written.
    #[error("read the record {key}: {reason}")]
    Record {
        /// Key of the record.
        key: String,
        /// Reason.
        reason: String,
    },
    /// The configuration document is invalid.
    #[error(transparent)]
    Document(#[from] DocumentError),
}

impl ControlShared {
    /// Returns the generation in force, or zero before the first.
    pub fn generation(&self) -> ConfigGeneration {
        self.context.config.load().as_ref().map(|it| it.generation).unwrap_or_default()
    }

    /// Returns the start of the read behind the latest freshness proof.
    pub fn freshness_proof(&self) -> Option<MonoTime> {
        Some(self.freshness_proof.get()).filter(|it| *it > MonoTime::default())
    }

    /// Loads the document that `head` refers to, without reading the store if that document is installed.
    pub async fn load_document(
        &self,
        head: &ConfigHead,
    ) -> Result<ConfigDocument, StoreRecordError> {
        if head.generation == ConfigGeneration::default() {
            return Ok(ConfigDocument::default());
        }
        if let Some(config) = &*self.context.config.load()
            && let Some(encoded) = &*self.encoded.load()
            && encoded.generation == config.generation
            && encoded.encoded.digest == head.digest
        {
            return Ok((*config.document).clone());
        }
        let mut bytes = Vec::new();
        for digest in &head.chunks {
            let key = chunk_key(digest);
            match self.store.get(&key).await? {
                Some(entry) => bytes.extend(entry.value),
                None => return Err(StoreRecordError::Record { key, reason: "absent".to_owned() }),
            }
        }
        Ok(EncodedDocument::decode(&bytes, &head.digest)?)
    }
}

/// Decodes the configuration head; a missing entry is the head before the first generation.
pub(super) fn read_head(entry: Option<&StoredEntry>) -> Result<ConfigHead, StoreRecordError> {
    let Some(entry) = entry else { return Ok(ConfigHead::default()) };
    read_record(entry)
}

/// Decodes the JSON record in a store entry.
pub fn read_record<T>(entry: &StoredEntry) -> Result<T, StoreRecordError>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(&entry.value)
        .map_err(|err| StoreRecordError::Record { key: entry.key.clone(), reason: err.to_string() })
}

/// Result of an actor's message handler.
pub(super) type ActorResult = Result<(), ActorProcessingErr>;

/// Sends a message to an actor that may have stopped.
pub(crate) fn send<M>(actor: &ActorRef<M>, message: M)
where
    M: ractor::Message,
{
    if let Err(err) = actor.cast(message) {
        log::debug!("failed to send a message to an actor: {err}");
    }
}
