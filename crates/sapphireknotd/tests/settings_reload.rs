//! Settings of an entry host that are read again while it runs.

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
    std::fs::read_to_string(path).expect("the sample is there")
}

/// State of a host that was started with the sample, and was given `rest` on its command line.
///
/// The file is replaced by `later` after it was checked and before it is watched.
fn start(name: &str, later: &str, rest: &[&str]) -> Arc<EntryState> {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, sample()).expect("the directory of tests is writable");
    let text = path.to_str().expect("the path is text");
    let arguments = ["sapphireknotd", "--settings", text].into_iter().chain(rest.iter().copied());
    let DaemonOptions { settings, file, .. } =
        options::load(arguments).expect("the sample is valid");
    let DaemonSettings::Managed(settings) = settings else { panic!("settings of another kind") };
    std::fs::write(&path, later).expect("the directory of tests is writable");
    let state = Arc::new(state(*settings));
    let hangup = signal(SignalKind::hangup()).expect("signals can be received");
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

/// Waits until the later text, which has another slack, is in force.
async fn wait_slack(state: &EntryState, slack: u32) {
    let start = Instant::now();
    while state.settings.load().bounds.quota_slack != slack {
        assert!(start.elapsed() < WAIT_LIMIT, "the later text is not in force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a change that is lost because it comes between the check of the file and the start of its watch.
#[tokio::test]
async fn change_during_start() {
    let later = sample().replace("quota_slack: 20", "quota_slack: 7");
    let state = start("reload-early.yaml", &later, &[]);
    wait_slack(&state, 7).await;
}

/// Guards against a reload that drops what the command line says.
#[tokio::test]
async fn command_line_stays() {
    let later = sample().replace("quota_slack: 20", "quota_slack: 7");
    let state = start("reload-override.yaml", &later, &["--log-level", "debug"]);
    wait_slack(&state, 7).await;
    assert_eq!(state.settings.load().log.level, "debug");
}
