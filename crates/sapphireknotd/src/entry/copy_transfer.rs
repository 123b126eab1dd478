//! Calls with which hosts read each other's copies of the store.
//!
//! A host first asks several others for the revision and the age of their copies, and then reads the entries of only
//! the newest one. Many hosts may start at once, and each copy occupies the link of the host that sends it.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use sapphireknot::{
    steering::{
        copy_search::CopyAnswer,
        feed_copy::{CopyOffer, CopyRevision, OfferedEntry},
    },
    time::MonoTime,
};
use sapphireknot_wire::entry::{CopiedEntry, CopyPart, ReadCopyRequest, entry_client::EntryClient};
use tokio::time::{Instant, timeout, timeout_at};
use tonic::{
    Status,
    transport::{Channel, Endpoint},
};

use super::state::EntryState;
use crate::constants::{FLEET_CALL_TIMEOUT, FLEET_WATCH_WAIT};

/// Timeout for connecting; several round trips between regions, as seeds may be far away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for the revision and age of a copy, also from a host with little processor time.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for a copy of a few megabytes from such a host.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time to wait for further answers after one from a host that is in touch with the store.
const FURTHER_ANSWERS_WAIT: Duration = Duration::from_millis(200);
/// Age of a copy above which its host has lost the store: the longest wait of a watch plus the time for its answer.
pub const STALE_AGE: Duration = FLEET_WATCH_WAIT.0.saturating_add(FLEET_CALL_TIMEOUT.0);
/// Known revision that requests only the revision and the age of a copy.
const HEAD_ONLY: CopyRevision = CopyRevision(u64::MAX);
/// Size of the entries at which a message is complete.
const MESSAGE_BYTES: usize = 128 << 10;
/// Maximum size of a copy; several times the largest one that is expected.
const MAX_COPY_BYTES: usize = 16 << 20;

/// Result of a query to several hosts.
#[derive(Debug)]
pub struct CopyQueryResult {
    /// Number of hosts that answered, including those without a copy.
    pub answered: usize,
    /// Newest copy.
    pub newest: Option<CopyAnswer>,
}

/// Revision and age of a host's copy.
struct CopyHead {
    client: EntryClient<Channel>,
    /// The copy without its entries; `None` if the host has no copy.
    answer: Option<CopyAnswer>,
}

/// Queries `peers` for their copies and reads the entries later than `known` from the newest one.
pub async fn read_newest(
    state: &EntryState,
    peers: Vec<SocketAddr>,
    known: CopyRevision,
) -> CopyQueryResult {
    let heads = read_heads(state, peers).await;
    let answered = heads.len();
    let mut answers: Vec<_> =
        heads.into_iter().filter_map(|it| Some((it.client, it.answer?))).collect();
    // The sort is stable, so that of equal copies the one that was returned first is read.
    answers.sort_by_key(|(_, it)| Reverse((it.offer.revision, is_fresh(state, &it.offer))));
    for (client, answer) in answers {
        if answer.offer.revision <= known {
            return CopyQueryResult { answered, newest: Some(answer) };
        }
        let peer = answer.peer;
        match timeout(READ_TIMEOUT, read_copy(state, client, known)).await {
            Ok(Ok(Some(offer))) => {
                return CopyQueryResult { answered, newest: Some(CopyAnswer { peer, offer }) };
            }
            Ok(Ok(None)) => {}
            Ok(Err(status)) => log::debug!(peer:%, error:% = status; "read copy from host"),
            Err(_) => log::debug!(peer:%; "read copy from host: no answer in time"),
        }
    }
    CopyQueryResult { answered, newest: None }
}

/// Whether the host that offers this copy is still in touch with the store, judging by the age of the copy.
pub fn is_fresh(state: &EntryState, offer: &CopyOffer) -> bool {
    state.clock.now().since(offer.confirmed_at) <= STALE_AGE
}

async fn read_heads(state: &EntryState, peers: Vec<SocketAddr>) -> Vec<CopyHead> {
    let mut calls: FuturesUnordered<_> =
        peers.into_iter().map(|peer| async move { (peer, read_head(state, peer).await) }).collect();
    let mut deadline = Instant::now() + HEAD_TIMEOUT;
    let mut heads = Vec::new();
    while let Ok(Some((peer, result))) = timeout_at(deadline, calls.next()).await {
        match result {
            Ok(head) => {
                if head.answer.as_ref().is_some_and(|it| is_fresh(state, &it.offer)) {
                    deadline = deadline.min(Instant::now() + FURTHER_ANSWERS_WAIT);
                }
                heads.push(head);
            }
            Err(status) => log::debug!(peer:%, error:% = status; "query copy of host"),
        }
    }
    heads
}

async fn read_head(state: &EntryState, peer: SocketAddr) -> Result<CopyHead, Status> {
    // A new connection for each query, because a pooled one may be dead without notice.
    let endpoint = Endpoint::from_shared(format!("http://{peer}"))
        .map_err(|err| Status::invalid_argument(err.to_string()))?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
    let channel = endpoint.connect().await;
    let channel = channel.map_err(|err| Status::unavailable(err.to_string()))?;
    let client = EntryClient::new(channel);
    let offer = read_copy(state, client.clone(), HEAD_ONLY).await?;
    Ok(CopyHead { client, answer: offer.map(|offer| CopyAnswer { peer, offer }) })
}

async fn read_copy(
    state: &EntryState,
    mut client: EntryClient<Channel>,
    known: CopyRevision,
) -> Result<Option<CopyOffer>, Status> {
    // The age was measured when the host sent it, which is later than this, so that the copy is never taken to be
    // fresher than it is.
    let started = state.clock.now();
    let request = ReadCopyRequest { known_revision: known.0 };
    let mut parts = client.read_copy(request).await?.into_inner();
    let mut offer: Option<CopyOffer> = None;
    let mut bytes = 0;
    while let Some(CopyPart { revision, age_ms, entries }) = parts.message().await? {
        bytes += entries.iter().map(entry_bytes).sum::<usize>();
        if bytes > MAX_COPY_BYTES {
            return Err(Status::resource_exhausted(format!("more than {MAX_COPY_BYTES} bytes")));
        }
        let offer = offer.get_or_insert_with(|| CopyOffer {
            revision: CopyRevision(revision),
            confirmed_at: started.before(Duration::from_millis(age_ms)),
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

/// Splits `offer` into messages, each encoded when it is sent, with the revision and the age at `now`.
pub fn copy_parts(offer: CopyOffer, now: MonoTime) -> impl Iterator<Item = CopyPart> {
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
        while bytes < MESSAGE_BYTES
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
