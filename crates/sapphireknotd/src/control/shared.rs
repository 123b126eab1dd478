//! What the control actors, the peer server and the operator interface read of one another.

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

/// Key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Key of the chunk with `digest`.
pub(super) fn chunk_key(digest: &str) -> String {
    format!("config/chunk/{digest}")
}

/// Installed document in encoded form, for peers.
#[derive(Debug)]
pub struct EncodedConfig {
    /// Generation.
    pub generation: ConfigGeneration,
    /// Document.
    pub encoded: EncodedDocument,
    /// Last notes that led to it.
    pub notes: NoteLog,
}

/// Clients of the platform.
#[derive(Clone)]
pub struct PlatformClients {
    /// Key-value store.
    pub store: Arc<dyn KeyValueStore>,
    /// Host list.
    pub hosts: Arc<dyn HostList>,
}

/// State shared by the control modules.
pub struct ControlShared {
    /// State that requests read.
    pub context: Arc<HostContext>,
    /// Key-value store.
    pub store: Arc<ObservedStore>,
    /// Host list.
    pub hosts: Arc<dyn HostList>,
    /// Document of the installed generation. Owner: configuration actor.
    pub encoded: ArcSwapOption<EncodedConfig>,
    /// Beginning of the read behind the latest proof; zero if there is none. Owner: configuration actor.
    pub proof: SharedDeadline,
    /// Until when this host holds a watch role. Owner: session actor.
    pub watch_until: SharedDeadline,
    /// Planner roles of this host. Owner: session actor.
    pub planners: ArcSwap<PlannerRoles>,
}

/// Planner roles that this host holds.
#[derive(Debug, Default)]
pub struct PlannerRoles {
    /// Fencing token of each service's role.
    pub tokens: BTreeMap<ServiceId, FencingToken>,
    /// When this host stops using them.
    pub usable_until: MonoTime,
}

impl PlannerRoles {
    /// The token of the role of `service`, if it may be used at `now`.
    pub fn token(&self, service: &ServiceId, now: MonoTime) -> Option<FencingToken> {
        self.tokens.get(service).copied().filter(|_| now < self.usable_until)
    }
}

/// Holder of a role or owner of a host record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Host.
    pub host: HostId,
    /// Run of its process.
    pub incarnation: IncarnationId,
}

/// Failed reading of the configuration from the store.
#[derive(Debug, Error)]
pub enum ReadError {
    /// Store call that failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Record of the store that cannot be read.
    #[error("read the record {key}: {reason}")]
    Record {
        /// Key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// Document that cannot be read.
    #[error(transparent)]
    Document(#[from] DocumentError),
}

impl ControlShared {
    /// Generation in force; zero before the first.
    pub fn generation(&self) -> ConfigGeneration {
        self.context.config.load().as_ref().map(|it| it.generation).unwrap_or_default()
    }

    /// Beginning of the read behind the latest proof.
    pub fn proof(&self) -> Option<MonoTime> {
        Some(self.proof.get()).filter(|it| *it > MonoTime::default())
    }

    /// Reads the document that `head` names, from the installed one if that is the same.
    pub async fn load_document(&self, head: &ConfigHead) -> Result<ConfigDocument, ReadError> {
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
                None => return Err(ReadError::Record { key, reason: "absent".to_owned() }),
            }
        }
        Ok(EncodedDocument::decode(&bytes, &head.digest)?)
    }
}

/// The head in an entry of the store; an absent entry is the head before the first generation.
pub(super) fn read_head(entry: Option<&StoredEntry>) -> Result<ConfigHead, ReadError> {
    let Some(entry) = entry else { return Ok(ConfigHead::default()) };
    read_record(entry)
}

/// The record in an entry of the store.
pub fn read_record<T>(entry: &StoredEntry) -> Result<T, ReadError>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(&entry.value)
        .map_err(|err| ReadError::Record { key: entry.key.clone(), reason: err.to_string() })
}

/// Result of an actor's handler.
pub(super) type ActorResult = Result<(), ActorProcessingErr>;

/// Sends a message to an actor that may have stopped.
pub(crate) fn send<M>(actor: &ActorRef<M>, message: M)
where
    M: ractor::Message,
{
    if let Err(err) = actor.cast(message) {
        log::debug!("message to a stopped actor: {err}");
    }
}
