//! Defaults of settings and fixed limits.

use sapphireknot::{time::ClockSpan, units::TrafficShare};

/// Bytes of a request's line and headers.
pub const MAX_HEADER_BYTES: usize = 16 << 10;
/// Bytes of a request's body.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Bytes of a response's body.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Bytes of request bodies that are held at the same time, and of response bodies; an entry host is small.
pub const MAX_BUFFERED_BYTES: usize = 64 << 20;
/// Bytes of a connection that an entry host lets the system keep on the way from a backend server to a caller.
pub const SYSTEM_BUFFER_BYTES: u32 = 128 << 10;
/// Connections of callers at the same time.
pub const MAX_CONNECTIONS: usize = 4_096;
/// Time in which the headers of a request must arrive.
pub const HEADER_TIMEOUT: ClockSpan = ClockSpan::from_secs(5);
/// Time in which the body of a request must arrive.
pub const BODY_TIMEOUT: ClockSpan = ClockSpan::from_secs(10);
/// Time for which a caller may not read its response.
pub const WRITE_TIMEOUT: ClockSpan = ClockSpan::from_secs(10);

/// Part of a service that planned drains take out in one step, without a traffic plan that says another.
pub const DRAIN_CAP: TrafficShare = TrafficShare::percent(20);
/// Longest time without proof that no key was withdrawn.
pub const KEY_FRESHNESS: ClockSpan = ClockSpan::from_secs(5);
/// Time for which callers may cache a look-up.
pub const CACHE_LIFETIME: ClockSpan = ClockSpan::from_secs(5);
/// Time in which a graceful shutdown ends.
pub const DRAIN_LIMIT: ClockSpan = ClockSpan::from_secs(30);
/// Interval of gossip exchanges.
pub const GOSSIP_INTERVAL: ClockSpan = ClockSpan::from_secs(1);
/// Time in which a peer must answer; more than ten one-way trips between regions of 12 ms.
pub const PEER_TIMEOUT: ClockSpan = ClockSpan::from_millis(300);
/// Time after which a suspected host counts as failed.
pub const SUSPICION: ClockSpan = ClockSpan::from_secs(2);
/// Time in which the store must answer.
pub const STORE_TIMEOUT: ClockSpan = ClockSpan::from_millis(500);
/// Longest wait of one watch of the store.
pub const WATCH_WAIT: ClockSpan = ClockSpan::from_secs(10);
/// Shortest time between steps of a rollout.
pub const ROLLOUT_STEP: ClockSpan = ClockSpan::from_secs(5);
/// Time in which hosts take up a step of a rollout.
pub const ROLLOUT_SETTLE: ClockSpan = ClockSpan::from_secs(2);
/// Shortest time left when a rollout reaches its target.
pub const ROLLOUT_SPARE: ClockSpan = ClockSpan::from_secs(10);
/// Interval at which the planner of a rollout asks hosts for evidence.
pub const EVIDENCE_INTERVAL: ClockSpan = ClockSpan::from_secs(1);
/// Age at which evidence is stale; two intervals.
pub const EVIDENCE_AGE: ClockSpan = ClockSpan::from_secs(2);
/// Lease of surplus quota and of roles.
pub const SHORT_LEASE: ClockSpan = ClockSpan::from_secs(5);
/// Lease of the quota that a host keeps during a partition.
pub const LONG_LEASE: ClockSpan = ClockSpan::from_secs(1_800);

/// Retries as a part of requests.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries beyond that part in one window.
pub const RETRY_SLACK: u32 = 10;
/// Time after SIGTERM at which the process is killed.
pub const STOP_GRACE: ClockSpan = ClockSpan::from_secs(6);
/// Time in which a call to the store is answered; its answers may be slower than usual by a factor of sixty.
pub const FLEET_CALL_TIMEOUT: ClockSpan = ClockSpan::from_millis(1_000);
/// Longest wait of one watch. A silent connection is noticed by its keep-alive probes and a lost answer by
/// [`FLEET_REVISION_CHECK`], not by this limit.
pub const FLEET_WATCH_WAIT: ClockSpan = ClockSpan::from_secs(20);
/// Time in which a change in the store takes effect on every host.
pub const APPLY_TIME: ClockSpan = ClockSpan::from_secs(2);
/// Part of that time for which a host waits between watches: changes gather meanwhile, as each call is paid for.
pub const FLEET_WATCH_PAUSE: f64 = 0.15;
/// Part of that time after which a host that waits for changes compares its revision with that of the store. The pause and
/// this leave a third of the time for two calls; a read that may lag costs a tenth of a watch.
pub const FLEET_REVISION_CHECK: f64 = 0.5;
/// Part of that time after which a host that is told of changes by another one compares its revision with that of the
/// store.
pub const FLEET_RELAY_CHECK: f64 = 0.4;
/// Part of that time for which it then waits to be told; the pause of the other host and an exchange fit in. The rest is
/// for its own call to the store.
pub const FLEET_RELAY_PATIENCE: f64 = 0.25;
/// First pause after a failed call to the store.
pub const FLEET_FIRST_RETRY: ClockSpan = ClockSpan::from_millis(200);
/// Longest pause after failed calls; short enough that a host follows soon after the store's return.
pub const FLEET_MAX_RETRY: ClockSpan = ClockSpan::from_millis(500);
/// Lease of a host's registration; callers are told of a host that died for no longer than this.
pub const HOST_LEASE: ClockSpan = ClockSpan::from_millis(3_500);
/// Interval at which the lease is renewed. A renewal that is refused is followed by two more before the lease ends, one
/// that is not answered by one.
pub const HOST_RENEWAL: ClockSpan = ClockSpan::from_millis(1_000);
