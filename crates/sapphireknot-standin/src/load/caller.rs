//! Client that selects its host by look-up.

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde::Deserialize;

use crate::client::{ClientError, HttpCall, HttpClient, HttpReply};

/// Configuration of a caller.
#[derive(Debug, Clone)]
pub struct CallerPlan {
    /// Client address that is sent in look-ups.
    pub client: IpAddr,
    /// Organisation that is sent in look-ups.
    pub organisation: String,
    /// API key, sent as a bearer token.
    pub key: Option<String>,
    /// Hosts that answer look-ups, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// Whether requests go directly to the entries, without a look-up.
    pub direct: bool,
}

#[derive(Debug, Deserialize)]
struct LookupReply {
    hosts: Vec<LookupHost>,
}

#[derive(Debug, Deserialize)]
struct LookupHost {
    address: SocketAddr,
}

/// Look-up result that is valid until its deadline.
#[derive(Debug, Clone)]
struct CachedLookup {
    hosts: Vec<SocketAddr>,
    deadline: Instant,
}

/// Caller with a look-up cache and a connection pool.
#[derive(Debug)]
pub struct LookupCaller {
    plan: CallerPlan,
    entries: Mutex<Vec<SocketAddr>>,
    client: HttpClient,
    cache: Mutex<Option<CachedLookup>>,
}

impl LookupCaller {
    /// Creates a caller with an empty look-up cache whose requests fail after `time_limit`.
    pub fn new(plan: CallerPlan, time_limit: Duration) -> Self {
        let entries = Mutex::new(plan.entries.clone());
        Self { plan, entries, client: HttpClient::new(time_limit), cache: Mutex::default() }
    }

    /// Replaces the hosts that answer look-ups; a cached look-up stays valid.
    pub fn replace_entries(&self, entries: Vec<SocketAddr>) {
        *self.entries.lock() = entries;
    }

    /// Sends a request to the first host of the look-up to which a connection can be opened.
    pub async fn send(&self, call: HttpCall) -> Result<HttpReply, ClientError> {
        let call = match &self.plan.key {
            Some(key) => call.header("authorization", format!("Bearer {key}")),
            None => call,
        };
        let mut last = None;
        for host in self.hosts().await? {
            match self.client.send(host, call.clone()).await {
                // Only an unsent request may be retried at another host: any other may have run.
                Err(err) if err.is_unsent() => last = Some(err),
                result => return result,
            }
        }
        Err(last.unwrap_or_else(|| self.no_host_error()))
    }

    /// Returns the hosts of the cached look-up, or of a new one if it has expired.
    async fn hosts(&self) -> Result<Vec<SocketAddr>, ClientError> {
        if self.plan.direct {
            return Ok(self.entries.lock().clone());
        }
        let cached = self.cache.lock().clone();
        if let Some(lookup) = cached.filter(|it| Instant::now() < it.deadline) {
            return Ok(lookup.hosts);
        }
        let mut last = None;
        let entries = self.entries.lock().clone();
        for entry in entries {
            match self.look_up(entry).await {
                Ok(lookup) => {
                    let hosts = lookup.hosts.clone();
                    *self.cache.lock() = Some(lookup);
                    return Ok(hosts);
                }
                Err(err) => last = Some(err),
            }
        }
        Err(last.unwrap_or_else(|| self.no_host_error()))
    }

    async fn look_up(&self, entry: SocketAddr) -> Result<CachedLookup, ClientError> {
        let CallerPlan { client, organisation, .. } = &self.plan;
        let target = format!("/v1/lookup?client={client}&organisation={organisation}");
        // The lifetime counts from before the request, so that a slow response does not extend it.
        let sent = Instant::now();
        let reply = self.client.send(entry, HttpCall::get(target)).await?;
        let failure = |reason: String| ClientError { step: "look up", peer: entry, reason };
        if !reply.status.is_success() {
            return Err(failure(format!("status {}", reply.status)));
        }
        let content: LookupReply =
            serde_json::from_slice(&reply.body).map_err(|err| failure(err.to_string()))?;
        let lifetime = reply.header("cache-control").and_then(max_age).unwrap_or_default();
        let hosts = content.hosts.iter().map(|it| it.address).collect();
        Ok(CachedLookup { hosts, deadline: sent + lifetime })
    }

    fn no_host_error(&self) -> ClientError {
        let peer = self.entries.lock().first().copied();
        let peer = peer.unwrap_or_else(|| SocketAddr::new(self.plan.client, 0));
        ClientError { step: "look up", peer, reason: "no host is listed".to_owned() }
    }
}

fn max_age(header: &str) -> Option<Duration> {
    let seconds = header.split(',').find_map(|it| it.trim().strip_prefix("max-age="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
