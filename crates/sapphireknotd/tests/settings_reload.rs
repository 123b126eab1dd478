//! Reload of the settings of a running entry host.

use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use sapphireknot::{
    ids::IncarnationId,
    steering::fleet::{HostCapacity, HostRecord},
};
use sapphireknot_adapter::{HttpDialect, HttpFleetStore};
use sapphireknotd::{
    clock::HostClock,
    entry::{EntryPlatform, reload, settings::EntrySettings, state::EntryState},
    options::{self, DaemonOptions, DaemonSettings},
};
use tokio::signal::unix::{SignalKind, signal};

const WAIT_LIMIT: Duration = Duration::from_secs(10);

fn sample() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sample-settings.yaml");
    std::fs::read_to_string(path).expect("the sample exists")
}

/// Starts a host with the sample settings and the additional arguments `rest`, and returns its state.
///
/// The file is replaced by `later` after it was loaded and before it is watched.
fn start(name: &str, later: &str, rest: &[&str]) -> Arc<EntryState> {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, sample()).expect("the test directory is writable");
    let text = path.to_str().expect("the path is valid UTF-8");
    let arguments = ["sapphireknotd", "--settings", text].into_iter().chain(rest.iter().copied());
    let DaemonOptions { settings, file, .. } =
        options::load(arguments).expect("the sample is valid");
    let DaemonSettings::Managed(settings) = settings else {
        panic!("expected settings for a managed platform")
    };
    std::fs::write(&path, later).expect("the test directory is writable");
    let state = Arc::new(state(*settings));
    let hangup = signal(SignalKind::hangup()).expect("the signal handler is installed");
    tokio::spawn(reload::run(state.clone(), file, hangup));
    state
}

fn state(settings: EntrySettings) -> EntryState {
    let store = HttpFleetStore::new(settings.managed.store, Duration::from_secs(1));
    let platform = EntryPlatform { store: Arc::new(store), dialect: Arc::new(HttpDialect) };
    let record = HostRecord {
        id: settings.host.clone(),
        incarnation: IncarnationId(1),
        region: settings.region.clone(),
        datacentre: settings.datacentre.clone(),
        address: settings.listen.caller,
        peer_address: settings.listen.peer,
        capacity: HostCapacity::default(),
    };
    EntryState::new(settings, platform, HostClock::start(), record)
}

/// Waits until settings with the quota slack `slack` are active.
async fn wait_for_slack(state: &EntryState, slack: u32) {
    let start = Instant::now();
    while state.settings.load().bounds.quota_slack != slack {
        assert!(start.elapsed() < WAIT_LIMIT, "the new settings are not active");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a change that is lost because it is made after the file was loaded and before it is watched.
#[tokio::test]
async fn change_during_start() {
    let later = sample().replace("quota_slack: 20", "quota_slack: 7");
    let state = start("reload-early.yaml", &later, &[]);
    wait_for_slack(&state, 7).await;
}

/// Guards against a reload that discards command-line overrides.
#[tokio::test]
async fn reload_keeps_command_line_overrides() {
    let later = sample().replace("quota_slack: 20", "quota_slack: 7");
    let state = start("reload-override.yaml", &later, &["--log-level", "debug"]);
    wait_for_slack(&state, 7).await;
    assert_eq!(state.settings.load().log.level, "debug");
}
