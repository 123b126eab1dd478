//! Propagation of configuration generations and freshness proofs between hosts.

use std::time::Duration;

use sapphireknot::{
    config::apply_note,
    head::EncodedDocument,
    ids::{ConfigGeneration, HostId},
    membership::MemberState,
    operator::{ChangeReceipt, ItemState, NoteStatus},
};
use sapphireknot_wire::peer::{FetchConfigReply, FetchConfigRequest, peer_client::PeerClient};

use crate::support::{
    FakePlatform, TestHost, add_note, document, start_host, start_host_in, wait_for,
};

const HOSTS: usize = 12;
const LIMIT: Duration = Duration::from_secs(5);

async fn start_hosts(platform: &FakePlatform, count: usize) -> Vec<TestHost> {
    let mut hosts = Vec::new();
    for idx in 0..count {
        hosts.push(start_host(platform, idx).await);
    }
    hosts
}

async fn stop_hosts(hosts: Vec<TestHost>) {
    futures_util::future::join_all(hosts.into_iter().map(|it| it.handle.stop())).await;
}

async fn install_first_generation(hosts: &[TestHost]) {
    let receipt = hosts[0].put_document(document()).await;
    assert_eq!(receipt, ChangeReceipt::Accepted { generation: ConfigGeneration(1) });
    wait_for("first generation", LIMIT, || hosts.iter().all(|it| it.generation() == 1)).await;
    wait_for("freshness", LIMIT, || hosts.iter().all(TestHost::is_fresh)).await;
    let live = |host: &TestHost| host.context.members.load().len();
    wait_for("members", LIMIT, || hosts.iter().all(|it| live(it) == hosts.len())).await;
}

/// Guards against a generation that reaches a host too late, a host that loses freshness, and a note that is reported
/// as in force too early or never.
#[tokio::test(flavor = "multi_thread")]
async fn propagate_generations() {
    let platform = FakePlatform::default();
    let hosts = start_hosts(&platform, HOSTS).await;
    install_first_generation(&hosts).await;
    wait_for("roles", LIMIT, || platform.store.keys("role/watch/").len() == HOSTS).await;
    for round in 0..3_u64 {
        let id = format!("n{round}");
        let host = &hosts[(5 * round as usize) % HOSTS];
        let receipt = host.post_note(add_note(&id, &format!("org{round}")), None).await;
        let generation = ConfigGeneration(2 + round);
        assert_eq!(receipt, ChangeReceipt::Accepted { generation });
        let is_propagated = || hosts.iter().all(|it| it.generation() >= generation.0);
        wait_for("generation", LIMIT, is_propagated).await;
    }
    let start = tokio::time::Instant::now();
    loop {
        let (_, status) = hosts[3].call::<_, NoteStatus>("GET", "/v1/notes/n2", &()).await;
        let status = status.unwrap();
        let is_in_force = status.items.iter().all(|it| it.state == ItemState::InForce);
        assert_eq!(is_in_force, status.waiting_for.is_empty());
        if is_in_force {
            assert!(hosts.iter().all(|it| it.generation() == 4));
            break;
        }
        assert!(start.elapsed() < 2 * LIMIT, "waits for {:?}", status.waiting_for);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // Without faults, hosts stay fresh at all times.
    for _ in 0..60 {
        assert!(hosts.iter().all(TestHost::is_fresh));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    stop_hosts(hosts).await;
}

/// Guards against hosts that stop serving keys while the store is down, and against a restarted host that finds no
/// configuration while the store is down, or accepts no note afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage() {
    let platform = FakePlatform::default();
    let mut hosts = start_hosts(&platform, HOSTS).await;
    install_first_generation(&hosts).await;
    platform.store.set_down(true);
    // Proofs from before the outage expire after 5 s; from then on, freshness depends on the majority of hosts in the
    // store's region.
    tokio::time::sleep(Duration::from_secs(6)).await;
    for _ in 0..40 {
        let stale: Vec<_> = hosts.iter().filter(|it| !it.is_fresh()).collect();
        let names: Vec<_> = stale.iter().map(|it| it.context.identity.id.as_str()).collect();
        assert!(names.is_empty(), "stale hosts: {names:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    hosts.remove(4).handle.abort();
    hosts.push(start_host(&platform, 4).await);
    let last = &hosts[HOSTS - 1];
    wait_for("restart", LIMIT, || last.generation() == 1 && last.is_fresh()).await;
    platform.store.set_down(false);
    let receipt = last.post_note(add_note("n1", "beta"), Some(1)).await;
    assert_eq!(receipt, ChangeReceipt::Accepted { generation: ConfigGeneration(2) });
    wait_for("generation", LIMIT, || hosts.iter().all(|it| it.generation() == 2)).await;
    stop_hosts(hosts).await;
}

/// Guards against a crashed host that stays a live member, a host that shut down and is marked failed, and a role that
/// stays assigned to a crashed host.
#[tokio::test(flavor = "multi_thread")]
async fn crashed_and_stopped_hosts() {
    let platform = FakePlatform::default();
    let mut hosts = start_hosts(&platform, HOSTS).await;
    install_first_generation(&hosts).await;
    let crashed = hosts.remove(7);
    let (crashed_id, stopped) = (crashed.context.identity.id.clone(), hosts.remove(2));
    let stopped_id = stopped.context.identity.id.clone();
    crashed.handle.abort();
    let receipt = hosts[0].post_note(add_note("n1", "beta"), None).await;
    assert_eq!(receipt, ChangeReceipt::Accepted { generation: ConfigGeneration(2) });
    let (_, status) = hosts[0].call::<_, NoteStatus>("GET", "/v1/notes/n1", &()).await;
    let status = status.unwrap();
    assert!(
        status.waiting_for.contains(&crashed_id),
        "a host that may be live is missing in waiting_for"
    );
    assert!(status.items.iter().all(|it| it.state == ItemState::Pending));
    stopped.handle.stop().await;
    let state = |host: &TestHost, id: &HostId| {
        host.context.members.load().iter().find(|it| it.id == *id).map(|it| it.state)
    };
    let limit = 3 * LIMIT;
    wait_for("failed host", limit, || {
        hosts.iter().all(|it| state(it, &crashed_id) == Some(MemberState::Failed))
    })
    .await;
    wait_for("left host", limit, || {
        hosts.iter().all(|it| state(it, &stopped_id) == Some(MemberState::Left))
    })
    .await;
    wait_for("roles", limit, || platform.store.keys("role/watch/").len() == HOSTS - 2).await;
    let others = || hosts.iter().map(|it| it.context.identity.id.clone());
    // On a busy machine, a delayed reply can make a host suspect for a moment, but it must never be marked failed.
    let is_failed = |id: &HostId| hosts.iter().any(|it| state(it, id) > Some(MemberState::Suspect));
    wait_for("alive hosts", LIMIT, || {
        assert!(!others().any(|id| is_failed(&id)), "a live host is marked failed");
        let is_alive = |host| others().all(|id| state(host, &id) == Some(MemberState::Alive));
        hosts.iter().all(is_alive)
    })
    .await;
    stop_hosts(hosts).await;
}

/// Guards against hosts without a watch role that receive generations or proofs too late, and against more than two
/// watches in a data centre.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_without_watch_role() {
    let platform = FakePlatform::default();
    let mut hosts = Vec::new();
    for idx in 0..HOSTS {
        hosts.push(start_host_in(&platform, idx, 0).await);
    }
    install_first_generation(&hosts).await;
    assert_eq!(platform.store.keys("role/watch/"), ["role/watch/d0/0", "role/watch/d0/1"]);
    assert_recent_proofs(&hosts, Duration::from_secs(8)).await;
    let receipt = hosts[11].post_note(add_note("n1", "beta"), None).await;
    assert_eq!(receipt, ChangeReceipt::Accepted { generation: ConfigGeneration(2) });
    wait_for("generation", LIMIT, || hosts.iter().all(|it| it.generation() == 2)).await;
    stop_hosts(hosts).await;
}

/// Guards against regions that lose freshness while they are partitioned from the store but not from their peers, and
/// against an isolated host that still serves keys.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_hosts() {
    let platform = FakePlatform::default();
    let mut hosts = start_hosts(&platform, HOSTS).await;
    install_first_generation(&hosts).await;
    for host in hosts.iter().filter(|it| it.context.identity.region.as_str() != "r0") {
        host.store.partition();
    }
    assert_recent_proofs(&hosts, Duration::from_secs(8)).await;
    let isolated = hosts.remove(4);
    stop_hosts(hosts).await;
    // The isolated host must learn that the others left, or else mark them failed; both take a few seconds.
    wait_for("end of freshness", 2 * LIMIT, || !isolated.is_fresh()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!isolated.is_fresh());
    isolated.handle.stop().await;
}

/// Checks for `time` that no proof becomes older than four of the five seconds for which it is valid.
async fn assert_recent_proofs(hosts: &[TestHost], time: Duration) {
    let start = tokio::time::Instant::now();
    let mut oldest = Duration::ZERO;
    while start.elapsed() < time {
        oldest = hosts.iter().map(TestHost::proof_age).fold(oldest, Duration::max);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(oldest < Duration::from_secs(4), "oldest proof: {oldest:?}");
}

#[cfg(test)]
async fn fetch(host: &TestHost, known_generation: u64, whole: bool) -> FetchConfigReply {
    let address = format!("http://{}", host.context.identity.peer_address);
    let mut client = PeerClient::connect(address).await.unwrap();
    let request = FetchConfigRequest { known_generation, whole };
    client.fetch_config(request).await.unwrap().into_inner()
}

/// Guards against a host that sends the whole document where notes suffice, however it received the change itself, and
/// against notes for a host that cannot apply them.
#[tokio::test(flavor = "multi_thread")]
async fn propagate_notes() {
    let platform = FakePlatform::default();
    let hosts = start_hosts(&platform, HOSTS).await;
    install_first_generation(&hosts).await;
    let mut expected = document();
    for round in 0..3_u64 {
        let note = add_note(&format!("n{round}"), &format!("org{round}"));
        expected = apply_note(&expected, &note).unwrap();
        hosts[round as usize].post_note(note, None).await;
        let is_propagated = || hosts.iter().all(|it| it.generation() == 2 + round);
        wait_for("generation", LIMIT, is_propagated).await;
    }
    let expected = EncodedDocument::new(&expected).unwrap();
    for host in &hosts {
        let reply = fetch(host, 1, false).await;
        assert_eq!((reply.generation, reply.notes.len()), (4, 3));
        assert!(reply.document.is_empty());
        assert_eq!(hex::encode(&reply.digest), expected.digest);
    }
    for reply in [fetch(&hosts[0], 0, false).await, fetch(&hosts[0], 1, true).await] {
        assert_eq!((reply.document, reply.notes.len()), (expected.bytes.clone(), 0));
    }
    assert_eq!(fetch(&hosts[0], 4, false).await, FetchConfigReply::default());
    stop_hosts(hosts).await;
}
