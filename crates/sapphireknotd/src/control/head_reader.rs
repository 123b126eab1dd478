//! Reading and watching of the head.
//!
//! Holders of a watch role read the head about every second, which is the proof of freshness that peers pass on, and
//! wait on the store's watch. Other hosts read it only while they have no configuration, or, in the store's region,
//! while proofs do not arrive, so that a majority there can tell that the store is down.

use std::{sync::Arc, time::Duration};

use ractor::ActorRef;
use sapphireknot_platform::{KeyValueStore, StoreRevision};

use super::{
    messages::ConfigMessage,
    shared::{ControlShared, HEAD_KEY, send},
};

/// Interval of reads, so that a proof is at most a second old.
const READ_INTERVAL: Duration = Duration::from_millis(900);
/// Age of the latest proof at which a host of the store's region reads the head itself.
const PROOF_OVERDUE: Duration = Duration::from_secs(2);
/// Pause of the watch while this host holds no role or after a failed call.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

fn holds_watch(shared: &ControlShared) -> bool {
    shared.context.clock.now() < shared.watch_until.get()
}

fn must_read(shared: &ControlShared) -> bool {
    let context = &shared.context;
    let now = context.clock.now();
    let is_overdue = shared.proof().is_none_or(|it| now.since(it) > PROOF_OVERDUE);
    let in_store_region = context.identity.region == context.settings.platform.store_region;
    let has_config = context.config.load().is_some();
    holds_watch(shared) || !has_config || (in_store_region && is_overdue)
}

/// Reads the head at the interval, for as long as the task runs.
pub(super) async fn read_heads(shared: Arc<ControlShared>, config: ActorRef<ConfigMessage>) {
    let mut interval = tokio::time::interval(READ_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if !must_read(&shared) {
            continue;
        }
        let began = shared.context.clock.now();
        match shared.store.get(HEAD_KEY).await {
            Ok(entry) => send(&config, ConfigMessage::HeadRead { began, entry }),
            Err(err) => log::debug!("read the head: {err}"),
        }
    }
}

/// Waits on the store's watch of the head, for as long as the task runs.
pub(super) async fn watch_head(shared: Arc<ControlShared>, config: ActorRef<ConfigMessage>) {
    let wait = shared.context.settings.timing.watch_wait.0;
    let mut known = StoreRevision::ABSENT;
    loop {
        if !holds_watch(&shared) {
            tokio::time::sleep(WATCH_PAUSE).await;
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
                log::debug!("watch the head: {err}");
                tokio::time::sleep(WATCH_PAUSE).await;
            }
        }
    }
}
