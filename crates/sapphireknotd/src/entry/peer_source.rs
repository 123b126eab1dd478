//! What the store holds, from other hosts while this one cannot read the store.
//!
//! At the start all known hosts are asked at once and the newest of their answers is taken, as the first one may be that
//! of a host which lost the store long ago. Until the store answers, they are asked again for what is new.
//! [`CopySearch`] decides which answer is taken.
//!
//! A host that loses the store later asks a few hosts at a time, drawn anew each time, whether they know more. All hosts
//! may have lost it, and the seeds must not have to answer them all.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use ractor::ActorRef;
use rand::seq::SliceRandom;
use sapphireknot::{
    steering::{
        copy_search::{CopyAnswer, CopySearch, SearchStep},
        core::FleetChange,
        feed_copy::{CopyOffer, CopyRevision, OfferedEntry, RawEntry},
    },
    time::MonoTime,
};
use sapphireknot_wire::entry::{CopiedEntry, CopyPart, ReadCopyRequest, entry_client::EntryClient};
use tokio::time::{Instant, sleep, timeout_at};
use tonic::{Status, transport::Endpoint};

use super::{fleet_actor::FleetMessage, state::EntryState};
use crate::constants::{FLEET_CALL_TIMEOUT, FLEET_WATCH_WAIT};

/// Head start of the store over other hosts; hosts in other regions read an undisturbed store in 0.17 s.
const HEAD_START: Duration = Duration::from_millis(300);
/// Interval at which hosts are asked again; half of the time in which a change takes effect by default.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Time to open a connection; several trips between regions, as seeds may be far away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a copy of some megabytes arrives from a host with little processor time.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for further answers once a host that is in touch with the store has answered.
const FURTHER_ANSWERS: Duration = Duration::from_millis(200);
/// Hosts beside the seeds that are asked at once.
const MORE_HOSTS: usize = 3;
/// Hosts that a host which has lost the store asks at once; one of them may have lost it too.
const DRAWN_HOSTS: usize = 2;
/// Longest interval at which hosts that have lost the store, as all have, are asked.
const MAX_ASK_INTERVAL: Duration = Duration::from_secs(4);
/// Age above which the host that answered has lost the store: the longest wait of a watch and the time for its answer.
pub const STALE_AGE: Duration = FLEET_WATCH_WAIT.0.saturating_add(FLEET_CALL_TIMEOUT.0);
/// Bytes of the values in one message.
const PART_BYTES: usize = 128 << 10;
/// Bytes of a copy that is taken; several times the largest one that is expected.
const MAX_COPY_BYTES: usize = 16 << 20;

/// Asks other hosts until the store has told everything, and whenever it stops to tell what changes.
pub async fn run(state: Arc<EntryState>, actor: ActorRef<FleetMessage>) {
    sleep(HEAD_START).await;
    start(&state, &actor).await;
    let mut pause = ASK_INTERVAL;
    loop {
        sleep(pause).await;
        if state.copy.lock().follows_store() {
            pause = ASK_INTERVAL;
            continue;
        }
        let known = state.copy.lock().known();
        let answers = ask_all(&state, drawn_hosts(&state), known).await;
        let newer = |best: CopyAnswer, it: CopyAnswer| {
            if it.offer.is_newer(&best.offer) { it } else { best }
        };
        let newest = answers.into_iter().flatten().reduce(newer);
        pause = match &newest {
            Some(answer) if is_fresh(&state, &answer.offer) => ASK_INTERVAL,
            _ => (pause * 2).min(MAX_ASK_INTERVAL),
        };
        if let Some(answer) = newest
            && actor.cast(FleetMessage::Offered(answer)).is_err()
        {
            return;
        }
    }
}

/// Asks other hosts until the store has told everything.
async fn start(state: &EntryState, actor: &ActorRef<FleetMessage>) {
    let mut search = CopySearch::default();
    let mut has_told = false;
    while !state.copy.lock().follows_store() {
        let known = state.copy.lock().known();
        let peers = peers(state, &search);
        let asked = peers.len();
        let answers = ask_all(state, peers, known).await;
        let answered = answers.len();
        let offers: Vec<CopyAnswer> = answers.into_iter().flatten().collect();
        let others = |offer: &CopyOffer| !named_hosts(state, offer).is_empty();
        match search.settle(offers, STALE_AGE, state.clock.now(), others) {
            SearchStep::Take(answer) => {
                if actor.cast(FleetMessage::Offered(answer)).is_err() {
                    return;
                }
            }
            SearchStep::AskMore => continue,
            SearchStep::Nothing => {
                if asked > 0 && !std::mem::replace(&mut has_told, true) {
                    log::warn!(asked, answered; "no other host has a copy of the store");
                }
            }
        }
        sleep(ASK_INTERVAL).await;
    }
}

/// Hosts to ask: the seeds, and some of those that the search or this host's own copy names.
fn peers(state: &EntryState, search: &CopySearch) -> Vec<SocketAddr> {
    let own = state.record.peer_address;
    let seeds = state.settings.load().seeds.clone();
    let mut more: Vec<SocketAddr> = match search.candidate() {
        Some(answer) => named_hosts(state, &answer.offer),
        None => state.core.lock().hosts().map(|it| it.peer_address).collect(),
    };
    more.retain(|it| !seeds.contains(it));
    more.shuffle(&mut rand::rng());
    more.truncate(MORE_HOSTS);
    let mut known = HashSet::from([own]);
    seeds.into_iter().chain(more).filter(|it| known.insert(*it)).collect()
}

/// Some of the hosts that this host knows, without itself.
fn drawn_hosts(state: &EntryState) -> Vec<SocketAddr> {
    let own = state.record.peer_address;
    let mut hosts: Vec<SocketAddr> = state.core.lock().hosts().map(|it| it.peer_address).collect();
    hosts.retain(|it| *it != own);
    hosts.shuffle(&mut rand::rng());
    hosts.truncate(DRAWN_HOSTS);
    hosts
}

/// Whether the host that offers this copy still hears of the store, as far as can be told.
fn is_fresh(state: &EntryState, offer: &CopyOffer) -> bool {
    state.clock.now().since(offer.confirmed_at) <= STALE_AGE
}

/// Hosts that an offer names, without this one.
fn named_hosts(state: &EntryState, offer: &CopyOffer) -> Vec<SocketAddr> {
    let entries = offer.entries.iter().filter_map(|it| {
        let OfferedEntry { key, revision, value } = it.clone();
        let entry = RawEntry { key, revision, value: Some(value?) };
        match state.platform.store.decode_entry(&entry)? {
            FleetChange::Host(host) => Some(host.peer_address),
            _ => None,
        }
    });
    entries.filter(|it| *it != state.record.peer_address).collect()
}

/// Answers of hosts; `None` for one that has no copy.
async fn ask_all(
    state: &EntryState,
    peers: Vec<SocketAddr>,
    known: CopyRevision,
) -> Vec<Option<CopyAnswer>> {
    let mut calls: FuturesUnordered<_> =
        peers.into_iter().map(|peer| ask(state, peer, known)).collect();
    let mut deadline = Instant::now() + ASK_TIMEOUT;
    let mut answers = Vec::new();
    while let Ok(Some((peer, result))) = timeout_at(deadline, calls.next()).await {
        match result {
            Ok(offer) => {
                if offer.as_ref().is_some_and(|it| is_fresh(state, it)) {
                    deadline = deadline.min(Instant::now() + FURTHER_ANSWERS);
                }
                answers.push(offer.map(|offer| CopyAnswer { peer, offer }));
            }
            Err(status) => log::debug!(peer:%, error:% = status; "ask for a copy"),
        }
    }
    answers
}

async fn ask(
    state: &EntryState,
    peer: SocketAddr,
    known: CopyRevision,
) -> (SocketAddr, Result<Option<CopyOffer>, Status>) {
    (peer, read_copy(state, peer, known).await)
}

async fn read_copy(
    state: &EntryState,
    peer: SocketAddr,
    known: CopyRevision,
) -> Result<Option<CopyOffer>, Status> {
    // The age was true when the host sent it, which was after this.
    let began = state.clock.now();
    // A new connection each time, as a kept one may have gone silent.
    let endpoint = Endpoint::from_shared(format!("http://{peer}"))
        .map_err(|err| Status::invalid_argument(err.to_string()))?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
    let channel = endpoint.connect().await;
    let channel = channel.map_err(|err| Status::unavailable(err.to_string()))?;
    let request = ReadCopyRequest { known_revision: known.0 };
    let mut parts = EntryClient::new(channel).read_copy(request).await?.into_inner();
    let mut offer: Option<CopyOffer> = None;
    let mut bytes = 0;
    while let Some(CopyPart { revision, age_ms, entries }) = parts.message().await? {
        bytes += entries.iter().map(entry_bytes).sum::<usize>();
        if bytes > MAX_COPY_BYTES {
            return Err(Status::resource_exhausted(format!("more than {MAX_COPY_BYTES} bytes")));
        }
        let offer = offer.get_or_insert_with(|| CopyOffer {
            revision: CopyRevision(revision),
            confirmed_at: began.before(Duration::from_millis(age_ms)),
            entries: Vec::new(),
        });
        offer.entries.extend(entries.into_iter().map(|it| OfferedEntry {
            key: it.key,
            revision: CopyRevision(it.revision),
            value: it.value.map(Into::into),
        }));
    }
    Ok(offer)
}

fn entry_bytes(entry: &CopiedEntry) -> usize {
    entry.key.len() + entry.value.as_ref().map_or(0, Vec::len)
}

/// Parts of `offer`, each encoded when it is sent; the first one has the revision and the age at `now`.
pub fn parts(offer: CopyOffer, now: MonoTime) -> impl Iterator<Item = CopyPart> {
    let CopyOffer { revision, confirmed_at, entries } = offer;
    let age_ms = u64::try_from(now.since(confirmed_at).as_millis()).unwrap_or(u64::MAX);
    let mut entries = entries.into_iter().peekable();
    let mut is_first = true;
    std::iter::from_fn(move || {
        if !std::mem::take(&mut is_first) && entries.peek().is_none() {
            return None;
        }
        let mut part = CopyPart { revision: revision.0, age_ms, entries: Vec::new() };
        let mut bytes = 0;
        while bytes < PART_BYTES
            && let Some(OfferedEntry { key, revision, value }) = entries.next()
        {
            let value = value.map(|it| it.to_vec());
            let entry = CopiedEntry { key, revision: revision.0, value };
            bytes += entry_bytes(&entry);
            part.entries.push(entry);
        }
        Some(part)
    })
}
