//! Configuration actor.
//!
//! Only this actor installs configuration generations: always complete, with a verified digest, and in increasing
//! order. It also owns the freshness deadline. A freshness proof counts only once the generation that it covers is
//! installed.

use std::{sync::Arc, time::Duration};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use sapphireknot::{
    delta::apply_notes,
    freshness::FreshnessClock,
    head::{ConfigHead, EncodedDocument},
    ids::{ConfigGeneration, HostId, RegionId},
    installed::InstalledConfig,
    membership::MemberRecord,
    time::MonoTime,
};
use sapphireknot_platform::{KeyValueStore, StoredEntry};

use super::{
    messages::{ConfigMessage, MemberMessage, PeerObservation},
    notes::{NoteRecord, note_key},
    shared::{
        ActorResult, ControlShared, EncodedConfig, HEAD_KEY, StoreRecordError, read_head,
        read_record, send,
    },
};
use crate::{loaded_config::LoadedConfig, peer::PeerClients};

/// Interval at which the freshness deadline is recomputed as reports on the store expire.
const TICK: Duration = Duration::from_millis(200);
/// Largest number of notes that are read one by one; for more, reading the whole document takes fewer calls.
const MAX_NOTE_READS: u64 = 16;

/// Time until a starting host knows the other hosts, and thereby the owners of idempotency keys; five gossip exchanges.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_secs(5);

/// Actor that installs configurations and tracks their freshness.
pub(super) struct ConfigActor;

/// Start arguments of the configuration actor.
pub(super) struct ConfigArguments {
    /// State shared by the control modules.
    pub shared: Arc<ControlShared>,
    /// gRPC clients for other hosts.
    pub peers: Arc<PeerClients>,
    /// Member actor, which is notified of installed generations.
    pub members: ActorRef<MemberMessage>,
}

/// State of the configuration actor.
pub(super) struct ConfigState {
    arguments: ConfigArguments,
    freshness: FreshnessClock,
    is_loading: bool,
    is_fetching: bool,
}

#[ractor::async_trait]
impl Actor for ConfigActor {
    type Msg = ConfigMessage;
    type State = ConfigState;
    type Arguments = ConfigArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<ConfigMessage>,
        arguments: ConfigArguments,
    ) -> Result<ConfigState, ActorProcessingErr> {
        let key_freshness = arguments.shared.context.settings.timing.key_freshness.0;
        myself.send_interval(TICK, || ConfigMessage::Tick);
        Ok(ConfigState {
            arguments,
            freshness: FreshnessClock::new(key_freshness),
            is_loading: false,
            is_fetching: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<ConfigMessage>,
        message: ConfigMessage,
        state: &mut ConfigState,
    ) -> ActorResult {
        match message {
            ConfigMessage::HeadRead { began, entry } => state.process_head(&myself, began, entry),
            ConfigMessage::StoreLoaded(result) => {
                state.is_loading = false;
                match result {
                    Ok(loaded) => state.install(loaded),
                    Err(err) => {
                        log::warn!("failed to load the configuration from the store: {err}")
                    }
                }
            }
            ConfigMessage::PeerLoaded(result) => {
                state.is_fetching = false;
                match result {
                    Ok(Some(loaded)) => state.install(loaded),
                    Ok(None) => {}
                    Err(err) => log::warn!("failed to fetch the configuration from a peer: {err}"),
                }
            }
            ConfigMessage::ChangeAccepted(loaded, port) => {
                state.install(loaded);
                if port.send(()).is_err() {
                    log::debug!("the operator no longer waits for the installation");
                }
            }
            ConfigMessage::PeerObserved(observation) => {
                state.process_observation(&myself, *observation)
            }
            ConfigMessage::Tick => state.record_own_report(),
        }
        state.publish();
        Ok(())
    }
}

impl ConfigState {
    fn shared(&self) -> &Arc<ControlShared> {
        &self.arguments.shared
    }

    fn process_head(
        &mut self,
        myself: &ActorRef<ConfigMessage>,
        began: MonoTime,
        entry: Option<StoredEntry>,
    ) {
        let head = match read_head(entry.as_ref()) {
            Ok(head) => head,
            Err(err) => return log::warn!("failed to read the configuration head: {err}"),
        };
        let installed = self.shared().generation();
        if entry.is_none() && installed == ConfigGeneration::default() {
            // While no configuration exists, no host has served a request, so no idempotency key can be in use.
            self.shared().context.claims.set_history_start(began.after(MEMBERSHIP_SETTLE_TIME));
        }
        if head.generation <= installed {
            // A head older than the installed generation proves nothing about freshness.
            if head.generation == installed {
                self.freshness.record_read(began);
            }
            return;
        }
        if !self.is_loading {
            self.is_loading = true;
            let (shared, myself) = (self.shared().clone(), myself.clone());
            tokio::spawn(async move {
                let result = load_head(&shared, &head, began).await;
                send(&myself, ConfigMessage::StoreLoaded(result));
            });
        }
    }

    fn process_observation(
        &mut self,
        myself: &ActorRef<ConfigMessage>,
        observation: PeerObservation,
    ) {
        let installed = self.shared().generation();
        if observation.generation > installed && !self.is_fetching {
            self.is_fetching = true;
            let (peers, myself) = (self.arguments.peers.clone(), myself.clone());
            let address = observation.peer.peer_address;
            let known = self.shared().context.config.load_full();
            tokio::spawn(async move {
                let result = peers.fetch_config(address, known).await;
                send(&myself, ConfigMessage::PeerLoaded(result));
            });
        }
        let Some(sent) = observation.request_sent else { return };
        // The proof shows that the peer's generation was the latest one, so it must not count on a host with an older
        // one.
        if let Some(age) = observation.proof_age
            && observation.generation <= installed
        {
            self.freshness.record_reply(sent, age);
        }
        // If the peer has a newer generation, its report that the store is up does not count before that generation is
        // installed.
        if let Some((is_down, age)) = observation.store_report
            && (is_down || observation.generation <= installed)
            && observation.peer.region == self.shared().context.settings.platform.store_region
        {
            self.freshness.record_report(observation.peer.id, is_down, sent, age);
        }
    }

    /// Installs a generation if it is newer than the one in force.
    fn install(&mut self, loaded: LoadedConfig) {
        let LoadedConfig { generation, document, encoded, notes, began } = loaded;
        if generation > self.shared().generation() {
            let shared = self.shared();
            let encoded = encoded.map_or_else(|| EncodedDocument::new(&document), Ok);
            let log = shared.encoded.load_full().map(|it| it.notes.clone()).unwrap_or_default();
            let installed = encoded.and_then(|encoded| {
                let notes = log.extended(generation, &notes)?;
                Ok(EncodedConfig { generation, encoded, notes })
            });
            let encoded = match installed {
                Ok(encoded) => encoded,
                Err(err) => return log::error!("failed to install generation {generation}: {err}"),
            };
            let config = InstalledConfig::new(generation, document);
            shared.encoded.store(Some(Arc::new(encoded)));
            shared.context.config.store(Some(Arc::new(config)));
            log::info!(generation:% = generation; "configuration installed");
            send(&self.arguments.members, MemberMessage::Installed(generation));
        }
        if let Some(began) = began
            && generation == self.shared().generation()
        {
            self.freshness.record_read(began);
        }
    }

    /// Records this host's own report on the store if it is in the store's region.
    fn record_own_report(&mut self) {
        let shared = self.arguments.shared.clone();
        let now = shared.context.clock.now();
        self.freshness.forget_reports(now);
        let identity = &shared.context.identity;
        if let Some(report) = shared.store.report(self.freshness.proof())
            && identity.region == shared.context.settings.platform.store_region
        {
            let age = now.since(report.observed);
            self.freshness.record_report(identity.id.clone(), report.is_down, now, age);
        }
    }

    fn publish(&self) {
        let shared = self.shared();
        let context = &shared.context;
        let now = context.clock.now();
        let store_region = &context.settings.platform.store_region;
        let live = live_hosts(&context.members.load(), store_region);
        context.fresh_until.set(self.freshness.fresh_until(now, &live));
        if let Some(until) = self.freshness.down_until(now, &live) {
            context.quotas.ledger().extend_surplus(now, until);
        }
        shared.freshness_proof.set(self.freshness.proof().unwrap_or_default());
    }
}

/// Returns the live hosts in `region`, including this one.
fn live_hosts(members: &[MemberRecord], region: &RegionId) -> Vec<HostId> {
    members
        .iter()
        .filter(|it| it.region == *region && it.state.is_live())
        .map(|it| it.id.clone())
        .collect()
}

async fn load_head(
    shared: &ControlShared,
    head: &ConfigHead,
    began: MonoTime,
) -> Result<LoadedConfig, StoreRecordError> {
    match load_notes(shared, head, began).await {
        Ok(Some(loaded)) => return Ok(loaded),
        Ok(None) => {}
        Err(err) => log::warn!("failed to load release notes from the store: {err}"),
    }
    let document = shared.load_document(head).await?;
    let (generation, began) = (head.generation, Some(began));
    Ok(LoadedConfig { generation, document, encoded: None, notes: Vec::new(), began })
}

/// Loads the generation of `head` by applying its notes to the installed document; `None` if the whole document is
/// needed.
async fn load_notes(
    shared: &ControlShared,
    head: &ConfigHead,
    began: MonoTime,
) -> Result<Option<LoadedConfig>, StoreRecordError> {
    let Some(known) = shared.context.config.load_full() else { return Ok(None) };
    let missing = head.generation.0.saturating_sub(known.generation.0);
    let accepted: Vec<_> =
        head.notes.iter().filter(|it| it.generation > known.generation).collect();
    if missing > MAX_NOTE_READS || accepted.len() as u64 != missing {
        return Ok(None);
    }
    let mut notes = Vec::with_capacity(accepted.len());
    for accepted in accepted {
        // A generation made by a whole document has no note record.
        let Some(entry) = shared.store.get(&note_key(&accepted.id)).await? else {
            return Ok(None);
        };
        notes.push(read_record::<NoteRecord>(&entry)?.note);
    }
    let (generation, digest) = (head.generation, head.digest.clone());
    let applying = tokio::task::spawn_blocking(move || {
        let applied = apply_notes(&known.document, &notes, &digest);
        applied.map(|(document, encoded)| (document, encoded, notes))
    });
    let key = HEAD_KEY.to_owned();
    let applied = applying.await.map_err(|err| err.to_string());
    let applied = applied.and_then(|it| it.map_err(|err| err.to_string()));
    let (document, encoded, notes) =
        applied.map_err(|reason| StoreRecordError::Record { key, reason })?;
    let (encoded, began) = (Some(encoded), Some(began));
    Ok(Some(LoadedConfig { generation, document, encoded, notes, began }))
}
