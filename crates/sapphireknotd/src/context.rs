//! All that the request path, the control modules and the operator interface use of this host.
//!
//! Only the top of the daemon takes the whole [`HostContext`]. Modules that it holds take [`PublishedState`] and the
//! traits of [`crate::interfaces`] instead.

use std::{ops::Deref, sync::Arc};

use crate::{
    claims::RequestClaims,
    interfaces::{QuotaGate, ServerPool, SpillGate, VersionRouter},
    published::PublishedState,
    quota::HostQuotas,
    rollout::RolloutTable,
};

/// Published state, and the modules that serve requests.
pub struct HostContext {
    /// Published state; also reached by dereferencing the context.
    pub state: Arc<PublishedState>,
    /// Admission. Owner: quota actor.
    pub quota: Arc<dyn QuotaGate>,
    /// Shares and tokens of this host. Owner: quota actor.
    pub quotas: Arc<HostQuotas>,
    /// Versions. Owner: rollout actor.
    pub versions: Arc<dyn VersionRouter>,
    /// Rollouts. Owner: rollout actor.
    pub rollouts: Arc<RolloutTable>,
    /// Spill to other regions. Owner: quota actor.
    pub spill: Arc<dyn SpillGate>,
    /// Idempotency keys.
    pub claims: Arc<RequestClaims>,
    /// Backend servers. Owner: upstream module.
    pub servers: Arc<dyn ServerPool>,
}

impl Deref for HostContext {
    type Target = PublishedState;

    fn deref(&self) -> &Self::Target {
        &self.state
    }
}
