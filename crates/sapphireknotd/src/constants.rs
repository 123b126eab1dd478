//! Defaults of settings and fixed limits.

use sapphireknot::{time::ClockSpan, units::TrafficShare};

/// Maximum size of a request line and headers, in bytes.
pub const MAX_HEADER_BYTES: usize = 16 << 10;
/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum size of a response body, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Memory limit for buffered request bodies, and separately for response bodies; an entry host is small.
pub const MAX_BUFFERED_BYTES: usize = 64 << 20;
/// Kernel buffer size per connection on the path from a backend server to a caller of an entry host.
pub const SYSTEM_BUFFER_BYTES: u32 = 128 << 10;
/// Maximum number of concurrent connections of callers.
pub const MAX_CONNECTIONS: usize = 4_096;
/// Timeout for the headers of a request.
pub const HEADER_TIMEOUT: ClockSpan = ClockSpan::from_secs(5);
/// Timeout for the body of a request.
pub const BODY_TIMEOUT: ClockSpan = ClockSpan::from_secs(10);
/// Timeout of a write to a caller that does not read its response.
pub const WRITE_TIMEOUT: ClockSpan = ClockSpan::from_secs(10);

/// Maximum share of a service that planned drains remove in one step, unless a traffic plan sets another.
pub const DRAIN_CAP: TrafficShare = TrafficShare::percent(20);
/// Maximum age of the last confirmation that no key was revoked.
pub const KEY_FRESHNESS: ClockSpan = ClockSpan::from_secs(5);
/// Cache lifetime of look-up responses.
pub const CACHE_LIFETIME: ClockSpan = ClockSpan::from_secs(5);
/// Time limit of a graceful shutdown.
pub const DRAIN_LIMIT: ClockSpan = ClockSpan::from_secs(30);
/// Interval between gossip exchanges.
pub const GOSSIP_INTERVAL: ClockSpan = ClockSpan::from_secs(1);
/// Timeout of a call to a peer; more than ten times the one-way latency between regions of 12 ms.
pub const PEER_TIMEOUT: ClockSpan = ClockSpan::from_millis(300);
/// Time after which a suspected host is considered failed.
pub const SUSPICION: ClockSpan = ClockSpan::from_secs(2);
/// Timeout of a call to the store.
pub const STORE_TIMEOUT: ClockSpan = ClockSpan::from_millis(500);
/// Maximum duration of one watch of the store.
pub const WATCH_WAIT: ClockSpan = ClockSpan::from_secs(10);
/// Minimum interval between steps of a rollout.
pub const ROLLOUT_STEP: ClockSpan = ClockSpan::from_secs(5);
/// Time allowed for hosts to apply a step of a rollout.
pub const ROLLOUT_SETTLE: ClockSpan = ClockSpan::from_secs(2);
/// Minimum time left before the deadline when a rollout reaches its target.
pub const ROLLOUT_SPARE: ClockSpan = ClockSpan::from_secs(10);
/// Interval at which the planner of a rollout collects evidence from hosts.
pub const EVIDENCE_INTERVAL: ClockSpan = ClockSpan::from_secs(1);
/// Age at which evidence becomes stale; two intervals.
pub const EVIDENCE_AGE: ClockSpan = ClockSpan::from_secs(2);
/// Lease duration of surplus quota and of roles.
pub const SHORT_LEASE: ClockSpan = ClockSpan::from_secs(5);
/// Lease duration of the quota that a host keeps during a partition.
pub const LONG_LEASE: ClockSpan = ClockSpan::from_secs(1_800);

/// Maximum ratio of retries to requests.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries allowed beyond that ratio per window.
pub const RETRY_SLACK: u32 = 10;
/// Time between SIGTERM and SIGKILL.
pub const STOP_GRACE: ClockSpan = ClockSpan::from_secs(6);
/// Timeout of a call to the fleet store, which must tolerate responses sixty times slower than usual.
pub const FLEET_CALL_TIMEOUT: ClockSpan = ClockSpan::from_millis(1_000);
/// Maximum duration of one watch of the fleet store. This limit does not have to detect failures: keep-alive probes
/// detect a dead connection, and [`FLEET_REVISION_CHECK`] a lost response.
pub const FLEET_WATCH_WAIT: ClockSpan = ClockSpan::from_secs(20);
/// Time within which a change in the store takes effect on every host.
pub const APPLY_TIME: ClockSpan = ClockSpan::from_secs(2);
/// Pause between watches, as a fraction of [`APPLY_TIME`]. Changes are batched meanwhile, because each call is charged.
pub const FLEET_WATCH_PAUSE: f64 = 0.15;
/// Time after which a watching host compares its revision with that of the store, as a fraction of [`APPLY_TIME`]. The
/// pause and this check leave a third of the time for two calls; a read that may lag costs a tenth of a watch.
pub const FLEET_REVISION_CHECK: f64 = 0.5;
/// Time after which a host that receives changes through another host compares its revision with that of the store, as
/// a fraction of [`APPLY_TIME`].
pub const FLEET_RELAY_CHECK: f64 = 0.4;
/// Time for which that host then waits for the missing changes from the other host, as a fraction of [`APPLY_TIME`];
/// long enough for the pause of the other host and one exchange. The rest is for its own call to the store.
pub const FLEET_RELAY_WAIT: f64 = 0.25;
/// Initial backoff after a failed call to the store.
pub const FLEET_INITIAL_BACKOFF: ClockSpan = ClockSpan::from_millis(200);
/// Maximum backoff after failed calls; short enough that a host catches up soon after the store has recovered.
pub const FLEET_MAX_BACKOFF: ClockSpan = ClockSpan::from_millis(500);
/// Lease duration of a host's registration; a failed host is listed to callers for at most this time.
pub const HOST_LEASE: ClockSpan = ClockSpan::from_millis(3_500);
/// Interval of lease renewals. Two more renewals fit into the lease after one that is refused, and one after one that
/// times out.
pub const HOST_RENEWAL: ClockSpan = ClockSpan::from_millis(1_000);
