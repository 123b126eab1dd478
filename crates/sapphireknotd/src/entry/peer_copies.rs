//! Reads copies of the store from other hosts while this host cannot read the store.
//!
//! At startup all known hosts are queried at once and the newest of their copies is used, because the first answer may
//! come from a host that lost the store long ago. Until the store answers, they are queried again for changes.
//! [`CopySearch`] decides which answer is used.
//!
//! A host that loses the store later queries a small random sample of hosts each time for later changes. All hosts may
//! have lost the store, and then all their queries must not go to the seeds.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use ractor::ActorRef;
use rand::seq::SliceRandom;
use sapphireknot::steering::{
    copy_search::{CopySearch, SearchStep},
    core::FleetChange,
    feed_copy::{CopyOffer, OfferedEntry, RawEntry},
};
use tokio::time::sleep;

use super::{
    copy_transfer::{CopyQueryResult, STALE_AGE, is_fresh, read_newest},
    fleet_actor::FleetMessage,
    state::EntryState,
};

/// Time that the store has to answer before other hosts are queried; hosts in other regions read a store without faults
/// in 0.17 s.
const STORE_HEAD_START: Duration = Duration::from_millis(300);
/// Query interval; half of the default time in which a change takes effect.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Hosts that are queried at once in addition to the seeds.
const MAX_EXTRA_HOSTS: usize = 3;
/// Hosts that a host which has lost the store queries at once; one of them may have lost it too.
const SAMPLE_HOSTS: usize = 2;
/// Longest query interval while the hosts queried have lost the store as well.
const MAX_QUERY_INTERVAL: Duration = Duration::from_secs(4);

/// Queries other hosts until the store has been read completely, and again whenever it is lost.
pub async fn run(state: Arc<EntryState>, actor: ActorRef<FleetMessage>) {
    sleep(STORE_HEAD_START).await;
    initial_read(&state, &actor).await;
    let mut pause = QUERY_INTERVAL;
    loop {
        sleep(pause).await;
        if state.copy.lock().follows_store() {
            pause = QUERY_INTERVAL;
            continue;
        }
        let known = state.copy.lock().known();
        let newest = read_newest(&state, sampled_hosts(&state), known).await.newest;
        pause = match &newest {
            Some(answer) if is_fresh(&state, &answer.offer) => QUERY_INTERVAL,
            _ => (pause * 2).min(MAX_QUERY_INTERVAL),
        };
        if let Some(answer) = newest
            && actor.cast(FleetMessage::PeerCopy(answer)).is_err()
        {
            return;
        }
    }
}

/// Queries other hosts until the store has been read completely.
async fn initial_read(state: &EntryState, actor: &ActorRef<FleetMessage>) {
    let mut search = CopySearch::default();
    let mut has_warned = false;
    while !state.copy.lock().follows_store() {
        let known = state.copy.lock().known();
        let peers = query_targets(state, &search);
        let asked = peers.len();
        let CopyQueryResult { answered, newest } = read_newest(state, peers, known).await;
        let lists_others = |offer: &CopyOffer| !listed_hosts(state, offer).is_empty();
        match search.next_step(
            newest.into_iter().collect(),
            STALE_AGE,
            state.clock.now(),
            lists_others,
        ) {
            SearchStep::Take(answer) => {
                if actor.cast(FleetMessage::PeerCopy(answer)).is_err() {
                    return;
                }
            }
            SearchStep::AskMore => continue,
            SearchStep::NoCopy => {
                if asked > 0 && !std::mem::replace(&mut has_warned, true) {
                    log::warn!(asked, answered; "no other host has a copy of the store");
                }
            }
        }
        sleep(QUERY_INTERVAL).await;
    }
}

/// Hosts to query: the seeds, and some of the hosts listed in the candidate of the search or known to this host.
fn query_targets(state: &EntryState, search: &CopySearch) -> Vec<SocketAddr> {
    let own = state.record.peer_address;
    let seeds = state.settings.load().seeds.clone();
    let mut extra: Vec<SocketAddr> = match search.candidate() {
        Some(answer) => listed_hosts(state, &answer.offer),
        None => state.core.lock().hosts().map(|it| it.peer_address).collect(),
    };
    extra.retain(|it| !seeds.contains(it));
    extra.shuffle(&mut rand::rng());
    extra.truncate(MAX_EXTRA_HOSTS);
    let mut known = HashSet::from([own]);
    seeds.into_iter().chain(extra).filter(|it| known.insert(*it)).collect()
}

/// Random sample of the known hosts, without this one.
fn sampled_hosts(state: &EntryState) -> Vec<SocketAddr> {
    let own = state.record.peer_address;
    let mut hosts: Vec<SocketAddr> = state.core.lock().hosts().map(|it| it.peer_address).collect();
    hosts.retain(|it| *it != own);
    hosts.shuffle(&mut rand::rng());
    hosts.truncate(SAMPLE_HOSTS);
    hosts
}

/// Hosts listed in an offered copy, without this one.
fn listed_hosts(state: &EntryState, offer: &CopyOffer) -> Vec<SocketAddr> {
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
