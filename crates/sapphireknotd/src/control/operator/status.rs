//! Status of release notes and of this host.

use std::collections::BTreeMap;

use sapphireknot::{
    config::{EntityPath, EntityValue, NoteItem},
    ids::{ConfigGeneration, HostId, NoteId, PlanId, ServiceId},
    operator::{HostStatus, ItemState, ItemStatus, MemberStatus, NoteStatus, QuotaStatus},
    quota::ResourceId,
};
use sapphireknot_platform::KeyValueStore;
use serde::Deserialize;

use super::state::OperatorState;
use crate::{
    context::HostContext,
    control::shared::{StoreRecordError, read_record},
};

/// Fields of the store record `rollout/<service>` that the status of a note depends on.
#[derive(Debug, Clone, Deserialize)]
struct RolloutRecord {
    plan: PlanId,
    verdict: RolloutVerdict,
    #[serde(default)]
    reason: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RolloutVerdict {
    Running,
    Done,
    Reverted,
}

/// Returns the status of a note, or `None` if no such note was accepted.
pub(super) async fn note_status(
    state: &OperatorState,
    id: &NoteId,
) -> Result<Option<NoteStatus>, StoreRecordError> {
    let Some((record, generation)) = state.writer.find_note(id).await? else { return Ok(None) };
    let waiting_for = lagging_hosts(state, generation);
    let mut rollouts = BTreeMap::new();
    for item in &record.note.items {
        if let EntityPath::Traffic(service) = item.path()
            && !rollouts.contains_key(&service)
        {
            let rollout = read_rollout(state, &service).await?;
            rollouts.insert(service, rollout);
        }
    }
    let items = record.note.items.iter().map(|item| {
        let status = item_status(item, &waiting_for, &rollouts);
        let superseded = replaced_reason(state, item, generation);
        match superseded.filter(|_| matches!(status.state, ItemState::Pending | ItemState::InForce))
        {
            Some(reason) => {
                ItemStatus { state: ItemState::Reverted, reason: Some(reason), ..status }
            }
            None => status,
        }
    });
    let items = items.zip(&record.note.items).map(|(status, item)| {
        if !is_server_drain(item) || status.state != ItemState::InForce {
            return status;
        }
        match count_draining_hosts(state, generation) {
            0 => ItemStatus { state: ItemState::Done, ..status },
            count => {
                let reason = format!("{count} live hosts still use servers that leave");
                ItemStatus { state: ItemState::Pending, reason: Some(reason), ..status }
            }
        }
    });
    let items = items.collect();
    Ok(Some(NoteStatus { note: id.clone(), generation, waiting_for, items }))
}

async fn read_rollout(
    state: &OperatorState,
    service: &ServiceId,
) -> Result<Option<RolloutRecord>, StoreRecordError> {
    match state.shared.store.get(&format!("rollout/{service}")).await? {
        Some(entry) => Ok(Some(read_record(&entry)?)),
        None => Ok(None),
    }
}

/// Returns the live hosts that have not yet reported `generation`.
fn lagging_hosts(state: &OperatorState, generation: ConfigGeneration) -> Vec<HostId> {
    let members = state.shared.context.members.load();
    let is_lagging = |installed| installed < generation;
    members
        .iter()
        .filter(|it| it.state.is_live() && is_lagging(it.generation))
        .map(|it| it.id.clone())
        .collect()
}

fn item_status(
    item: &NoteItem,
    waiting_for: &[HostId],
    rollouts: &BTreeMap<ServiceId, Option<RolloutRecord>>,
) -> ItemStatus {
    let (action, plan) = match item {
        NoteItem::Add(value) => ("add", plan_of(value)),
        NoteItem::Change(value) => ("change", plan_of(value)),
        NoteItem::Withdraw(_) => ("withdraw", None),
    };
    let path = item.path();
    let rollout = match &path {
        EntityPath::Traffic(service) => rollouts.get(service).and_then(Option::as_ref),
        _ => None,
    };
    // A record of another plan does not apply to this item.
    let rollout = rollout.filter(|it| Some(&it.plan) == plan);
    let (state, reason) = match rollout {
        Some(it) if it.verdict == RolloutVerdict::Done => (ItemState::Done, it.reason.clone()),
        Some(it) if it.verdict == RolloutVerdict::Reverted => {
            (ItemState::Reverted, it.reason.clone())
        }
        _ if waiting_for.is_empty() => (ItemState::InForce, None),
        _ => (ItemState::Pending, Some(format!("{} live hosts are behind", waiting_for.len()))),
    };
    ItemStatus { action: action.to_owned(), path, state, reason }
}

fn is_server_drain(item: &NoteItem) -> bool {
    match item {
        NoteItem::Add(value) | NoteItem::Change(value) => {
            matches!(value, EntityValue::Server { server, .. } if server.leaving)
        }
        NoteItem::Withdraw(_) => false,
    }
}

/// Counts the live hosts that have not yet reported the servers leaving by `generation` as drained.
fn count_draining_hosts(state: &OperatorState, generation: ConfigGeneration) -> usize {
    let members = state.shared.context.members.load();
    members.iter().filter(|it| it.state.is_live() && it.drained < generation).count()
}

/// Returns why the plan of an item is no longer in force, once this host has installed `generation` or a later one.
fn replaced_reason(
    state: &OperatorState,
    item: &NoteItem,
    generation: ConfigGeneration,
) -> Option<String> {
    let (NoteItem::Add(value) | NoteItem::Change(value)) = item else { return None };
    let EntityValue::Traffic { service, plan } = value else { return None };
    let config = state.shared.context.config.load();
    let config = config.as_ref().filter(|it| it.generation >= generation)?;
    match config.routes.service(service).and_then(|it| it.traffic.as_ref()) {
        Some(current) if current.id == plan.id => None,
        Some(current) => Some(format!("replaced by plan {} before its end", current.id)),
        None => Some("withdrawn before its end".to_owned()),
    }
}

fn plan_of(value: &EntityValue) -> Option<&PlanId> {
    match value {
        EntityValue::Traffic { plan, .. } => Some(&plan.id),
        _ => None,
    }
}

/// Returns the share of each organisation's quota that this host may use now.
fn quota_statuses(context: &HostContext) -> Vec<QuotaStatus> {
    let config = context.config.load();
    let organisations = config.iter().flat_map(|it| &it.document.organisations);
    organisations
        .filter_map(|it| {
            let view = context.quotas.view(&ResourceId::Organisation(it.id.clone()))?;
            Some(QuotaStatus { organisation: it.id.clone(), share: view.active })
        })
        .collect()
}

/// Returns the status of this host.
pub(super) fn host_status(state: &OperatorState) -> HostStatus {
    let shared = &state.shared;
    let context = &shared.context;
    let members = context.members.load();
    let members = members
        .iter()
        .map(|it| MemberStatus {
            host: it.id.clone(),
            region: it.region.clone(),
            datacentre: it.datacentre.clone(),
            state: it.state,
            generation: it.generation,
        })
        .collect();
    HostStatus {
        host: context.identity.id.clone(),
        incarnation: context.identity.incarnation,
        generation: context.config.load().as_ref().map(|it| it.generation),
        fresh: context.clock.now() < context.fresh_until.get(),
        store_up: shared.store.observation().is_some_and(|it| !it.is_down),
        members,
        quotas: quota_statuses(context),
        rollouts: context.rollouts.statuses(),
    }
}
