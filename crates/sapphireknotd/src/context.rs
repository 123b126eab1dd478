//! Shared state and services of this host, for the request path, the control modules and the operator interface.
//!
//! Only the top level of the daemon uses the whole [`HostContext`]. The modules in it use [`PublishedState`] and the
//! traits of [`crate::interfaces`] instead.

use std::{ops::Deref, sync::Arc};

use crate::{
    claims::RequestClaims,
    interfaces::{QuotaGate, ServerPool, SpillGate, VersionRouter},
    published::PublishedState,
    quota::HostQuotas,
    rollout::RolloutTable,
};

/// Published state and the services that handle requests.
pub struct HostContext {
    /// Published state; the context dereferences to it.
    pub state: Arc<PublishedState>,
    /// Admission by quota. Owner: quota actor.
    pub quota: Arc<dyn QuotaGate>,
    /// Quota shares and tokens of this host. Owner: quota actor.
    pub quotas: Arc<HostQuotas>,
    /// Version selection. Owner: rollout actor.
    pub versions: Arc<dyn VersionRouter>,
    /// State of rollouts. Owner: rollout actor.
    pub rollouts: Arc<RolloutTable>,
    /// Admission of spill to other regions. Owner: quota actor.
    pub spill: Arc<dyn SpillGate>,
    /// Claims on idempotency keys.
    pub claims: Arc<RequestClaims>,
    /// Selection of backend servers. Owner: upstream module.
    pub servers: Arc<dyn ServerPool>,
}

impl Deref for HostContext {
    type Target = PublishedState;

    fn deref(&self) -> &Self::Target {
        &self.state
    }
}
