//! What the store holds, from other hosts while this one cannot read the store.
//!
//! At the start all known hosts are asked at once and the newest of their copies is taken, as the first one may be that
//! of a host which lost the store long ago. Until the store answers, they are asked again for what is new.
//! [`CopySearch`] decides which answer is taken.
//!
//! A host that loses the store later asks a few hosts at a time, drawn anew each time, whether they know more. All hosts
//! may have lost it, and the seeds must not have to answer them all.

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
    copy_calls::{CopyRound, STALE_AGE, is_fresh, read_newest},
    fleet_actor::FleetMessage,
    state::EntryState,
};

/// Head start of the store over other hosts; hosts in other regions read an undisturbed store in 0.17 s.
const HEAD_START: Duration = Duration::from_millis(300);
/// Interval at which hosts are asked again; half of the time in which a change takes effect by default.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Hosts beside the seeds that are asked at once.
const MORE_HOSTS: usize = 3;
/// Hosts that a host which has lost the store asks at once; one of them may have lost it too.
const DRAWN_HOSTS: usize = 2;
/// Longest interval at which hosts that have lost the store, as all have, are asked.
const MAX_ASK_INTERVAL: Duration = Duration::from_secs(4);

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
        let newest = read_newest(&state, drawn_hosts(&state), known).await.newest;
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
        let CopyRound { answered, newest } = read_newest(state, peers, known).await;
        let others = |offer: &CopyOffer| !named_hosts(state, offer).is_empty();
        match search.next_step(newest.into_iter().collect(), STALE_AGE, state.clock.now(), others) {
            SearchStep::Take(answer) => {
                if actor.cast(FleetMessage::Offered(answer)).is_err() {
                    return;
                }
            }
            SearchStep::AskMore => continue,
            SearchStep::NoCopy => {
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
