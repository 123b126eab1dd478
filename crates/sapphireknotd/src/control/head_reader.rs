//! Polling and watching of the configuration head in the store.
//!
//! Holders of a watch role read the head about every second and wait on the store's watch. Each read is a freshness
//! proof that gossip spreads to the other hosts. Other hosts read the head only while they have no configuration, or,
//! in the store's region, while proofs are overdue, so that a majority there can establish that the store is down.

use std::{sync::Arc, time::Duration};

use ractor::ActorRef;
use sapphireknot_platform::{KeyValueStore, StoreRevision};

use super::{
    messages::ConfigMessage,
    shared::{ControlShared, HEAD_KEY, send},
};

/// Interval of reads, which keeps the latest proof at most a second old.
const READ_INTERVAL: Duration = Duration::from_millis(900);
/// Age of the latest proof beyond which a host in the store's region reads the head itself.
const MAX_PROOF_AGE: Duration = Duration::from_secs(2);
/// Delay before the next attempt to watch while this host holds no watch role, or after a failed call.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(200);

fn holds_watch_role(shared: &ControlShared) -> bool {
    shared.context.clock.now() < shared.watch_role_until.get()
}

fn should_read_head(shared: &ControlShared) -> bool {
    let context = &shared.context;
    let now = context.clock.now();
    let is_overdue = shared.freshness_proof().is_none_or(|it| now.since(it) > MAX_PROOF_AGE);
    let in_store_region = context.identity.region == context.settings.platform.store_region;
    let has_config = context.config.load().is_some();
    holds_watch_role(shared) || !has_config || (in_store_region && is_overdue)
}

/// Reads the head at a fixed interval while [`should_read_head`] holds. Runs until the task is aborted.
pub(super) async fn poll_head(shared: Arc<ControlShared>, config: ActorRef<ConfigMessage>) {
    let mut interval = tokio::time::interval(READ_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if !should_read_head(&shared) {
            continue;
        }
        let began = shared.context.clock.now();
        match shared.store.get(HEAD_KEY).await {
            Ok(entry) => send(&config, ConfigMessage::HeadRead { began, entry }),
            Err(err) => log::debug!("failed to read the configuration head: {err}"),
        }
    }
}

/// Watches the head while this host holds a watch role. Runs until the task is aborted.
pub(super) async fn watch_head(shared: Arc<ControlShared>, config: ActorRef<ConfigMessage>) {
    let wait = shared.context.settings.timing.watch_wait.0;
    let mut known = StoreRevision::ABSENT;
    loop {
        if !holds_watch_role(&shared) {
            tokio::time::sleep(WATCH_RETRY_DELAY).await;
            continue;
        }
        let began = shared.context.clock.now();
        match shared.store.watch(HEAD_KEY, known, wait).await {
            Ok(Some(entry)) => {
                known = entry.as_ref().map(|it| it.revision).unwrap_or(StoreRevision::ABSENT);
                send(&config, ConfigMessage::HeadRead { began, entry });
            }
            Ok(None) => {}
            Err(err) => {
                log::debug!("failed to watch the configuration head: {err}");
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
            }
        }
    }
}
