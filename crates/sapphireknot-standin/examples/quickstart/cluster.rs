//! In-process cluster of the quickstart: hosts, platform and backend servers.

use std::{
    error::Error,
    ffi::OsString,
    fs,
    io::{Write, stdout},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use sapphireknot::keys::KeyDigest;
use sapphireknot_cli::exit::ExitStatus;
use sapphireknot_standin::{
    backend::{BackendPlan, BackendServer},
    client::{HttpCall, HttpClient},
    fixture::wait_until,
    hosts::{HostListServer, HostRow},
    store::StoreServer,
};
use sapphireknotd::{daemon::RunningHost, settings::HostSettings};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::path_arg;

/// Regions, each with one data centre, one host and two backend servers.
const REGIONS: [&str; 3] = ["east", "north", "west"];
/// Organisations with their API keys.
pub(crate) const KEYS: [(&str, &str); 2] =
    [("orchard", "orchard-first-key"), ("harbour", "harbour-first-key")];
/// Bearer token of the operator.
const TOKEN: &str = "quickstart-token";
/// Time within which every host must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Release note that adds an organisation, changes a rate and withdraws a key.
pub(crate) const RELEASE_NOTE: &str = "
id: quickstart-1
items:
  - add: {organisation: {id: mill, rate: 20/s, burst: 40}}
  - change: {organisation: {id: orchard, rate: 800/s, burst: 1600}}
  - withdraw: {key: {organisation: harbour, key: first}}
";

/// Running hosts with their platform and backend servers.
pub(crate) struct QuickstartCluster {
    hosts: Vec<RunningHost>,
    backends: Vec<BackendServer>,
    caller: HttpClient,
    folder: TempDir,
    // Dropping a server stops it.
    _store: StoreServer,
    _host_list: HostListServer,
}

fn any_port(last: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, last)), 0)
}

impl QuickstartCluster {
    /// Starts the platform, the backend servers and the hosts.
    pub(crate) async fn start() -> Result<Self, Box<dyn Error>> {
        let store = StoreServer::start(any_port(1), any_port(1))?;
        let host_list = HostListServer::start(any_port(1), any_port(1))?;
        let mut backends = Vec::new();
        for name in REGIONS.iter().flat_map(|it| [format!("{it}-s1"), format!("{it}-s2")]) {
            let plan = BackendPlan { name, ..BackendPlan::default() };
            backends.push(BackendServer::start(plan, any_port(1), any_port(1))?);
        }
        let mut hosts = Vec::new();
        for (region, last) in REGIONS.into_iter().zip(11..) {
            let platform = (store.addresses().store, host_list.addresses().hosts);
            hosts.push(RunningHost::start(settings(region, last, platform)?).await?);
        }
        host_list.registry().set_hosts(hosts.iter().map(host_row).collect());
        let folder = tempfile::tempdir()?;
        fs::write(folder.path().join("token"), TOKEN)?;
        let caller = HttpClient::new(CALL_TIMEOUT);
        Ok(Self { hosts, backends, caller, folder, _store: store, _host_list: host_list })
    }

    /// Returns the caller addresses of all hosts.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|it| it.identity().caller_address).collect()
    }

    /// Writes a file for use by an operator command and returns its path.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> Result<String, Box<dyn Error>> {
        let path = self.folder.path().join(name);
        fs::write(&path, text)?;
        Ok(path_arg(&path))
    }

    /// Writes the configuration document and returns its path.
    pub(crate) fn write_document(&self) -> Result<String, Box<dyn Error>> {
        self.write_file("document.yaml", &document(&self.backends).to_string())
    }

    /// Runs an operator command against the first host and prints its output.
    pub(crate) async fn command(&self, args: &[&str]) -> Result<ExitStatus, Box<dyn Error>> {
        let host = self.hosts[0].identity().operator_address.to_string();
        let token = path_arg(&self.folder.path().join("token"));
        let fixed = ["sapphireknot", "--host", &host, "--token-file", &token];
        let args_with_options: Vec<OsString> =
            fixed.iter().chain(args).map(OsString::from).collect();
        // The command line creates its own Tokio runtime, which cannot be nested in this one.
        let run = move || {
            let (mut output, mut errors) = (Vec::new(), Vec::new());
            let status = sapphireknot_cli::run(args_with_options, &mut output, &mut errors);
            (status, output, errors)
        };
        let (status, output, errors) = tokio::task::spawn_blocking(run).await?;
        let mut out = stdout().lock();
        out.write_all(&output)?;
        out.write_all(&errors)?;
        Ok(status)
    }

    /// Waits until every host returns all hosts for a look-up and serves a request.
    pub(crate) async fn wait_ready(&self) -> Result<(), Box<dyn Error>> {
        for address in self.caller_addresses() {
            wait_until("every host serves requests", READY_TIMEOUT, async || {
                let lookup = HttpCall::get("/v1/lookup?client=127.0.0.1&organisation=orchard");
                let reply = self.caller.send(address, lookup).await.ok()?;
                let hosts: Value = serde_json::from_slice(&reply.body).ok()?;
                let request = HttpCall::get("/reports/items/1")
                    .header("authorization", format!("Bearer {}", KEYS[0].1));
                let served = self.caller.send(address, request).await.ok()?;
                (hosts["hosts"].as_array()?.len() == 3 && served.status == 200).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Shuts down all hosts gracefully and concurrently.
    pub(crate) async fn stop(self) {
        let stops: Vec<_> = self.hosts.into_iter().map(|it| tokio::spawn(it.stop())).collect();
        for stop in stops {
            // A host that fails to stop ends with the process.
            let _ = stop.await;
        }
    }
}

fn settings(
    region: &str,
    last: u8,
    (store, host_list): (SocketAddr, SocketAddr),
) -> Result<HostSettings, Box<dyn Error>> {
    let listen = any_port(last);
    let text = json!({
        "host": format!("{region}-a-1"),
        "region": region,
        "datacentre": format!("{region}-a"),
        "listen": { "caller": listen, "peer": listen, "operator": listen },
        "platform": { "store": store, "store_region": REGIONS[0], "host_list": host_list },
        "operator_token_sha256": KeyDigest::of(TOKEN.as_bytes()).to_hex(),
        "timing": { "cache_lifetime": "1s" },
    });
    // The loader parses YAML, of which JSON is a subset.
    HostSettings::load(&text.to_string()).map_err(|problems| format!("{problems:?}").into())
}

fn host_row(host: &RunningHost) -> HostRow {
    let identity = host.identity();
    HostRow {
        id: identity.id.to_string(),
        region: identity.region.to_string(),
        datacentre: identity.datacentre.to_string(),
        peer_address: identity.peer_address,
        caller_address: identity.caller_address,
        leaving: false,
    }
}

fn document(backends: &[BackendServer]) -> Value {
    let regions = REGIONS.map(|it| json!({ "id": it, "datacentres": [format!("{it}-a")] }));
    let organisations = KEYS.map(|(id, key)| {
        let keys = [json!({ "id": "first", "sha256": KeyDigest::of(key.as_bytes()).to_hex() })];
        json!({ "id": id, "rate": "400/s", "burst": 800, "keys": keys })
    });
    let servers = backends.iter().enumerate().map(|(idx, it)| {
        json!({
            "id": it.state().plan().name, "address": it.addresses().backend,
            "datacentre": format!("{}-a", REGIONS[idx / 2]), "version": "v1", "slots": 4,
            "connections": 400,
        })
    });
    json!({
        "regions": regions,
        "organisations": organisations,
        "services": [{
            "id": "reports",
            "routes": [
                { "id": "fetch", "prefix": "/items", "methods": ["GET"], "idempotent": true, "timeout": "2s" },
                { "id": "book", "prefix": "/book", "methods": ["POST"], "timeout": "2s" },
            ],
            "versions": { "v1": "100%" },
            "servers": servers.collect::<Vec<_>>(),
        }],
        "client_blocks": [{ "block": "127.0.0.0/8", "region": "east" }],
    })
}
