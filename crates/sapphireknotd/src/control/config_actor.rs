//! Configuration of this host.
//!
//! The actor is the only one that installs a generation: only a higher one, whole, and with its digest checked. It also
//! owns the freshness deadline. A proof counts only once the generation that it showed is installed.

use std::{sync::Arc, time::Duration};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use sapphireknot::{
    delta::apply_notes,
    freshness::FreshnessTracker,
    head::{ConfigHead, EncodedDocument},
    ids::{ConfigGeneration, HostId, RegionId},
    installed::InstalledConfig,
    membership::MemberRecord,
    time::MonoTime,
};
use sapphireknot_platform::{KeyValueStore, StoredEntry};

use super::{
    messages::{ConfigMessage, MemberMessage, PeerEvidence},
    notes::{NoteRecord, note_key},
    shared::{
        ActorResult, ControlShared, EncodedConfig, HEAD_KEY, ReadError, read_head, read_record,
        send,
    },
};
use crate::{loaded_config::LoadedConfig, peer::PeerClients};

/// Interval at which the freshness deadline is recomputed from reports that end.
const TICK: Duration = Duration::from_millis(200);
/// Notes that are read from the store one by one; beyond this the document costs fewer calls.
const MAX_NOTE_READS: u64 = 16;

/// Time until a host that starts knows the others, and with them the owners of idempotency keys; five exchanges of gossip.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Configuration actor.
pub(super) struct ConfigActor;

/// What the actor needs.
pub(super) struct ConfigArguments {
    /// Shared state.
    pub shared: Arc<ControlShared>,
    /// Clients of peers.
    pub peers: Arc<PeerClients>,
    /// Member actor.
    pub members: ActorRef<MemberMessage>,
}

/// State of the actor.
pub(super) struct ConfigState {
    arguments: ConfigArguments,
    freshness: FreshnessTracker,
    is_reading: bool,
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
            freshness: FreshnessTracker::new(key_freshness),
            is_reading: false,
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
            ConfigMessage::HeadRead { began, entry } => state.take_head(&myself, began, entry),
            ConfigMessage::StoreLoaded(result) => {
                state.is_reading = false;
                match result {
                    Ok(loaded) => state.install(loaded),
                    Err(err) => log::warn!("load the configuration from the store: {err}"),
                }
            }
            ConfigMessage::PeerLoaded(result) => {
                state.is_fetching = false;
                match result {
                    Ok(Some(loaded)) => state.install(loaded),
                    Ok(None) => {}
                    Err(err) => log::warn!("fetch the configuration: {err}"),
                }
            }
            ConfigMessage::Written(loaded, port) => {
                state.install(loaded);
                if port.send(()).is_err() {
                    log::debug!("the operator no longer waits for the installation");
                }
            }
            ConfigMessage::PeerHeard(evidence) => state.take_evidence(&myself, *evidence),
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

    fn take_head(
        &mut self,
        myself: &ActorRef<ConfigMessage>,
        began: MonoTime,
        entry: Option<StoredEntry>,
    ) {
        let head = match read_head(entry.as_ref()) {
            Ok(head) => head,
            Err(err) => return log::warn!("{err}"),
        };
        let installed = self.shared().generation();
        if entry.is_none() && installed == ConfigGeneration::default() {
            // Without a configuration no host has served a request.
            self.shared().context.claims.set_complete_from(began.after(SETTLE_TIME));
        }
        if head.generation <= installed {
            // A lower head is not the one that this host has seen and proves nothing.
            if head.generation == installed {
                self.freshness.record_read(began);
            }
            return;
        }
        if !self.is_reading {
            self.is_reading = true;
            let (shared, myself) = (self.shared().clone(), myself.clone());
            tokio::spawn(async move {
                let result = load_head(&shared, &head, began).await;
                send(&myself, ConfigMessage::StoreLoaded(result));
            });
        }
    }

    fn take_evidence(&mut self, myself: &ActorRef<ConfigMessage>, evidence: PeerEvidence) {
        let installed = self.shared().generation();
        if evidence.generation > installed && !self.is_fetching {
            self.is_fetching = true;
            let (peers, myself) = (self.arguments.peers.clone(), myself.clone());
            let address = evidence.peer.peer_address;
            let known = self.shared().context.config.load_full();
            tokio::spawn(async move {
                let result = peers.fetch_config(address, known).await;
                send(&myself, ConfigMessage::PeerLoaded(result));
            });
        }
        let Some(sent) = evidence.sent else { return };
        // The proof says that the peer's generation was the latest one; a host behind it must not count it.
        if let Some(age) = evidence.proof_age
            && evidence.generation <= installed
        {
            self.freshness.record_reply(sent, age);
        }
        // Of a peer that is ahead, neither the proof nor the end of an outage counts before its generation is in force here.
        if let Some((is_down, age)) = evidence.report
            && (is_down || evidence.generation <= installed)
            && evidence.peer.region == self.shared().context.settings.platform.store_region
        {
            self.freshness.record_report(evidence.peer.id, is_down, sent, age);
        }
    }

    /// Installs a generation if it is higher than the one in force.
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
                Err(err) => return log::error!("install generation {generation}: {err}"),
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

    /// Counts this host's own view of the store, if it is in the store's region.
    fn record_own_report(&mut self) {
        let shared = self.arguments.shared.clone();
        let now = shared.context.clock.now();
        self.freshness.remove_expired_reports(now);
        let identity = &shared.context.identity;
        if let Some(seen) = shared.store.report(self.freshness.proof())
            && identity.region == shared.context.settings.platform.store_region
        {
            let age = now.since(seen.observed);
            self.freshness.record_report(identity.id.clone(), seen.is_down, now, age);
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
        shared.proof.set(self.freshness.proof().unwrap_or_default());
    }
}

/// Live hosts in `region`, this one included.
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
) -> Result<LoadedConfig, ReadError> {
    match load_notes(shared, head, began).await {
        Ok(Some(loaded)) => return Ok(loaded),
        Ok(None) => {}
        Err(err) => log::warn!("load release notes from the store: {err}"),
    }
    let document = shared.load_document(head).await?;
    let (generation, began) = (head.generation, Some(began));
    Ok(LoadedConfig { generation, document, encoded: None, notes: Vec::new(), began })
}

/// Loads what `head` names from the installed document and the notes since then; none if the whole document is needed.
async fn load_notes(
    shared: &ControlShared,
    head: &ConfigHead,
    began: MonoTime,
) -> Result<Option<LoadedConfig>, ReadError> {
    let Some(known) = shared.context.config.load_full() else { return Ok(None) };
    let missing = head.generation.0.saturating_sub(known.generation.0);
    let accepted: Vec<_> =
        head.notes.iter().filter(|it| it.generation > known.generation).collect();
    if missing > MAX_NOTE_READS || accepted.len() as u64 != missing {
        return Ok(None);
    }
    let mut notes = Vec::with_capacity(accepted.len());
    for accepted in accepted {
        // A submitted document has no record of a note.
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
    let (document, encoded, notes) = applied.map_err(|reason| ReadError::Record { key, reason })?;
    let (encoded, began) = (Some(encoded), Some(began));
    Ok(Some(LoadedConfig { generation, document, encoded, notes, began }))
}
