//! Messages between operators' tools and a host, as JSON over HTTP.
//!
//! | Call | Body | Reply |
//! |---|---|---|
//! | `PUT /v1/config` | [`DocumentSubmission`] | [`ChangeReceipt`] |
//! | `GET /v1/config` | | [`DocumentReply`] |
//! | `POST /v1/check` | [`ReleaseNote`] | [`ChangeReceipt`] of what `POST /v1/notes` would answer |
//! | `POST /v1/notes` | [`NoteSubmission`] | [`ChangeReceipt`] |
//! | `GET /v1/notes/<id>` | | [`NoteStatus`], or 404 |
//! | `GET /v1/status` | | [`HostStatus`] |
//!
//! A receipt comes with status 200 if accepted, 409 if refused and 202 if resolving. Every call needs
//! `Authorization: Bearer <token>`; 401 answers a wrong one.

use serde::{Deserialize, Serialize};

use crate::{
    config::{ConfigDocument, ConfigProblem, EntityPath, ReleaseNote},
    ids::{
        ConfigGeneration, DatacentreId, HostId, IncarnationId, NoteId, OrganisationId, PlanId,
        RegionId, ServiceId, VersionId,
    },
    membership::MemberState,
    units::TrafficShare,
};

/// First configuration, or replacement of the whole.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentSubmission {
    /// The document.
    pub document: ConfigDocument,
    /// Generation that it replaces; 0 if there is none yet.
    pub base: ConfigGeneration,
}

/// Configuration in force on the host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentReply {
    /// Generation.
    pub generation: ConfigGeneration,
    /// The document.
    pub document: ConfigDocument,
}

/// Release note with the generation that its author saw.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NoteSubmission {
    /// The note.
    pub note: ReleaseNote,
    /// Generation that the author saw; the host's own one if absent.
    #[serde(default)]
    pub base: Option<ConfigGeneration>,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum ChangeReceipt {
    /// In the store.
    Accepted {
        /// Generation of the change.
        generation: ConfigGeneration,
    },
    /// Not in the store and never will be.
    Refused {
        /// Problems of the document that would result.
        problems: Vec<ConfigProblem>,
        /// Entities that another operator changed meanwhile.
        conflicts: Vec<EntityPath>,
    },
    /// The store did not answer; ask for the status of the note.
    Resolving {
        /// What is known.
        reason: String,
    },
}

/// Release note as it stands.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NoteStatus {
    /// Identifier.
    pub note: NoteId,
    /// Generation that it made.
    pub generation: ConfigGeneration,
    /// Live hosts that have not reported this generation.
    pub waiting_for: Vec<HostId>,
    /// Items in the order of the note.
    pub items: Vec<ItemStatus>,
}

/// Item of a release note as it stands.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ItemStatus {
    /// Action: add, change or withdraw.
    pub action: String,
    /// Entity.
    pub path: EntityPath,
    /// State.
    pub state: ItemState,
    /// Why, if it was reverted or what it waits for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// State of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemState {
    /// Some live host has not reported the generation yet.
    Pending,
    /// Every live host has reported the generation.
    InForce,
    /// A move that reached its target.
    Done,
    /// A move that was taken back.
    Reverted,
}

/// Host as it stands.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostStatus {
    /// Identifier.
    pub host: HostId,
    /// Run of the process.
    pub incarnation: IncarnationId,
    /// Generation in force; none before the first.
    pub generation: Option<ConfigGeneration>,
    /// Whether keyed requests are served.
    pub fresh: bool,
    /// Whether the store answers this host.
    pub store_up: bool,
    /// Known hosts.
    pub members: Vec<MemberStatus>,
    /// Quota that this host holds.
    pub quotas: Vec<QuotaStatus>,
    /// Moves of traffic.
    pub rollouts: Vec<RolloutStatus>,
}

/// Host as seen by another one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identifier.
    pub host: HostId,
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub datacentre: DatacentreId,
    /// State.
    pub state: MemberState,
    /// Generation that it reported.
    pub generation: ConfigGeneration,
}

/// Quota of an organisation on this host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Share of rate and burst that this host may use now.
    pub share: TrafficShare,
}

/// Move of traffic of one service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Service.
    pub service: ServiceId,
    /// Plan.
    pub plan: PlanId,
    /// Shares in use.
    pub shares: Vec<(VersionId, TrafficShare)>,
    /// State: pending while it runs.
    pub state: ItemState,
    /// Why it was reverted or what holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}
