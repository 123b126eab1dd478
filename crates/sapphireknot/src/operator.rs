//! Messages of the operator API, as JSON over HTTP.
//!
//! | Call | Body | Reply |
//! |---|---|---|
//! | `PUT /v1/config` | [`DocumentSubmission`] | [`ChangeReceipt`] |
//! | `GET /v1/config` | | [`DocumentReply`] |
//! | `POST /v1/check` | [`ReleaseNote`] | [`ChangeReceipt`] that `POST /v1/notes` would return |
//! | `POST /v1/notes` | [`NoteSubmission`] | [`ChangeReceipt`] |
//! | `GET /v1/notes/<id>` | | [`NoteStatus`], or 404 |
//! | `GET /v1/status` | | [`HostStatus`] |
//!
//! A receipt is returned with status 200 if accepted, 409 if refused and 202 if resolving. Every call requires
//! `Authorization: Bearer <token>`; an invalid token is rejected with 401.

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

/// Initial configuration, or replacement of the whole configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentSubmission {
    /// The document.
    pub document: ConfigDocument,
    /// Generation to replace; 0 for the initial configuration.
    pub base: ConfigGeneration,
}

/// Configuration installed on the host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentReply {
    /// Generation.
    pub generation: ConfigGeneration,
    /// The document.
    pub document: ConfigDocument,
}

/// Release note with its base generation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NoteSubmission {
    /// The note.
    pub note: ReleaseNote,
    /// Generation on which the note is based; defaults to the generation installed on the host.
    #[serde(default)]
    pub base: Option<ConfigGeneration>,
}

/// Result of a submitted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum ChangeReceipt {
    /// The change is in the store.
    Accepted {
        /// Generation that the change produced.
        generation: ConfigGeneration,
    },
    /// The change is not in the store and will not be written.
    Refused {
        /// Validation errors.
        problems: Vec<ConfigProblem>,
        /// Entities that were changed concurrently.
        conflicts: Vec<EntityPath>,
    },
    /// The outcome is unknown because the store did not respond; query the status of the note.
    Resolving {
        /// Description of the failure.
        reason: String,
    },
}

/// Status of a release note.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NoteStatus {
    /// Identifier.
    pub note: NoteId,
    /// Generation that the note produced.
    pub generation: ConfigGeneration,
    /// Live hosts that have not reported this generation yet.
    pub waiting_for: Vec<HostId>,
    /// Status of each item, in the order of the note.
    pub items: Vec<ItemStatus>,
}

/// Status of one item of a release note.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ItemStatus {
    /// Action: add, change or withdraw.
    pub action: String,
    /// Path of the changed entity.
    pub path: EntityPath,
    /// State.
    pub state: ItemState,
    /// Reason why the item was reverted or is pending.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// State of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemState {
    /// At least one live host has not reported the generation yet.
    Pending,
    /// Every live host has reported the generation.
    InForce,
    /// Traffic plan that reached its target.
    Done,
    /// Traffic plan that was reverted.
    Reverted,
}

/// Status of a host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostStatus {
    /// Identifier.
    pub host: HostId,
    /// Incarnation of the process.
    pub incarnation: IncarnationId,
    /// Installed generation; `None` before the first one.
    pub generation: Option<ConfigGeneration>,
    /// Whether the configuration is fresh enough to serve requests with API keys.
    pub fresh: bool,
    /// Whether the store is reachable from this host.
    pub store_up: bool,
    /// Hosts in the membership table.
    pub members: Vec<MemberStatus>,
    /// Quota shares held by this host.
    pub quotas: Vec<QuotaStatus>,
    /// Traffic rollouts.
    pub rollouts: Vec<RolloutStatus>,
}

/// State of a host as seen by the reporting host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identifier.
    pub host: HostId,
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub datacentre: DatacentreId,
    /// Membership state.
    pub state: MemberState,
    /// Latest generation that the host reported.
    pub generation: ConfigGeneration,
}

/// Quota share of an organisation on this host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Share of rate and burst that this host can currently use.
    pub share: TrafficShare,
}

/// Status of the traffic rollout of one service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Service.
    pub service: ServiceId,
    /// Traffic plan.
    pub plan: PlanId,
    /// Current share of each version.
    pub shares: Vec<(VersionId, TrafficShare)>,
    /// State; pending while the rollout is running.
    pub state: ItemState,
    /// Reason why the rollout was reverted or is on hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}
