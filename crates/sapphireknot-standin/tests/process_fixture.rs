//! Tests of the process fixture, with a shell script in place of the daemon.

use std::{
    fs,
    io::{BufRead, BufReader},
    os::unix::fs::{PermissionsExt, symlink},
    process::{Command, Stdio},
    time::Duration,
};

use sapphireknot_platform::{GrpcHosts, GrpcStore, HostList, KeyValueStore, StoreError};
use sapphireknot_standin::{
    backend::{BackendPlan, RunCounts},
    client::HttpCall,
    fixture::{
        BedPlan, BinaryKind, BinarySet, FixtureError, ProcessSignal, RegionPlan, TestBed,
        wait_until,
    },
};
use sapphireknotd::settings::HostSettings;

const CALL_TIMEOUT: Duration = Duration::from_millis(400);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Prints its settings and the `listening` log line that the fixture waits for.
const DAEMON_SCRIPT: &str = r#"#!/bin/sh
cat "$2"; echo
echo '{"message":"starting"}'
echo '{"message":"listening","caller":"127.0.1.1:81","peer":"127.0.1.1:82","operator":"127.0.1.1:83"}'
exec sleep 600
"#;

/// Whether a process exists and is not a zombie.
fn is_running(id: u32) -> bool {
    fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(|it| !it.contains(") Z "))
}

/// Guards against signals that are sent to the wrong process or to none, processes that outlive the test bed, and exit
/// codes that are not reported.
#[tokio::test]
async fn signals_reach_processes() {
    let mut bed = TestBed::start(BedPlan::default()).await.unwrap();
    let backend = bed.add_backend(&BackendPlan::default()).await.unwrap();
    let help = bed.run_command(None, &["--help"], WAIT_TIMEOUT).await.unwrap();
    assert_eq!(help.code, Some(0));
    assert!(help.stdout.contains("Usage"), "{}", help.stderr);
    let store = GrpcStore::new(bed.store().addresses.store, CALL_TIMEOUT);
    assert_eq!(store.get("k").await.unwrap(), None);
    bed.store().process.signal(ProcessSignal::Freeze).unwrap();
    assert!(matches!(store.get("k").await, Err(StoreError::Unanswered { .. })));
    bed.store().process.signal(ProcessSignal::Thaw).unwrap();
    assert_eq!(store.get("k").await.unwrap(), None);

    let addresses = bed.backends()[backend].addresses;
    bed.caller().send(addresses.backend, HttpCall::get("/x")).await.unwrap();
    let counts: RunCounts = bed.caller().read_control(addresses.control, "/counts").await.unwrap();
    assert_eq!(counts.ended, 1);
    let process = &bed.backends()[backend].process;
    process.signal(ProcessSignal::Terminate).unwrap();
    assert!(!process.wait_exit(WAIT_TIMEOUT).await.unwrap().success());
    assert!(process.signal(ProcessSignal::Kill).is_err());

    // A process stopped by SIGSTOP must be killed as well.
    bed.store().process.signal(ProcessSignal::Freeze).unwrap();
    let ids = [bed.store().process.id(), bed.host_list().process.id()];
    assert!(ids.iter().all(|&id| is_running(id)));
    drop(bed);
    assert!(!ids.iter().any(|&id| is_running(id)));
}

/// Guards against generated settings that the daemon rejects, hosts that are missing from the host list, and hosts that
/// outlive the test bed.
#[tokio::test]
async fn hosts_start_and_end() {
    let folder = tempfile::tempdir().unwrap();
    let standin = BinarySet::of_running_test().find(BinaryKind::Standin).unwrap();
    fs::create_dir(folder.path().join("examples")).unwrap();
    symlink(standin, folder.path().join("examples/standin")).unwrap();
    let daemon = folder.path().join("sapphireknotd");
    fs::write(&daemon, DAEMON_SCRIPT).unwrap();
    fs::set_permissions(&daemon, fs::Permissions::from_mode(0o755)).unwrap();

    let region = |id: &str| RegionPlan {
        id: id.to_owned(),
        datacentres: vec![(format!("{id}-a"), 1), (format!("{id}-b"), 2)],
    };
    let mut plan = BedPlan { regions: vec![region("west"), region("east")], ..BedPlan::default() };
    plan.timing.insert("gossip_interval".to_owned(), "200ms".into());
    plan.binaries = Some(BinarySet::new(folder.path()));
    let mut bed = TestBed::start(plan).await.unwrap();
    let host = &bed.hosts()[5];
    assert_eq!((host.id(), host.ip().to_string().as_str()), ("east-b-2", "127.0.4.2"));
    assert_eq!(host.caller_address().port(), 81);
    let settings = HostSettings::load(&host.process().lines()[0]).unwrap();
    assert_eq!(settings.platform.store_region.as_str(), "west");
    assert_eq!(settings.timing.gossip_interval.0, Duration::from_millis(200));
    let list = GrpcHosts::new(bed.host_list().addresses.hosts, CALL_TIMEOUT);
    let listed = list.list_hosts().await.unwrap();
    assert_eq!(listed.len(), 6);
    assert_eq!(Some(listed[5].peer_address), settings.advertise.peer);

    let first = bed.hosts()[5].process().id();
    bed.restart_host(5).await.unwrap();
    let second = bed.hosts()[5].process().id();
    assert!(!is_running(first) && is_running(second));
    drop(bed);
    assert!(!is_running(second));
}

/// Guards against processes that outlive a killed test, which runs no destructors.
#[tokio::test]
async fn children_end_with_parent() {
    let standin = BinarySet::of_running_test().find(BinaryKind::Standin).unwrap();
    let script = r#""$0" exec --parent $$ sleep 600 & echo $!; wait"#;
    let mut shell = Command::new("sh")
        .args(["-c", script])
        .arg(standin)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(shell.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let id: u32 = line.trim().parse().unwrap();
    let runs_sleep = async || {
        let name = fs::read_to_string(format!("/proc/{id}/comm")).ok()?;
        (name.trim() == "sleep").then_some(())
    };
    let started = wait_until("the program runs", WAIT_TIMEOUT, runs_sleep).await;
    shell.kill().unwrap();
    shell.wait().unwrap();
    started.unwrap();
    wait_until("the program has ended", WAIT_TIMEOUT, async || (!is_running(id)).then_some(()))
        .await
        .unwrap();
}

/// Guards against a missing binary whose error message does not name the command that builds it.
#[test]
fn missing_program_names_build_command() {
    let set = BinarySet::new("/nonexistent/release");
    let error = set.find(BinaryKind::Daemon).unwrap_err();
    assert!(matches!(error, FixtureError::MissingProgram { .. }));
    assert!(error.to_string().contains("`cargo build -p sapphireknotd --release`"));
}
