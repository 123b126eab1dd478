//! Pipelined requests that start before the responses in front of them are complete.

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use http::Request;
use sapphireknot::time::MonoTime;
use sapphireknotd::front::{
    pipeline_queue::PipelineQueue,
    request_scan::{RequestScanner, ScannedHead},
};

/// Maximum number of requests that start early.
const MAX_AHEAD: usize = 3;

fn head(method: &str, path: &str) -> ScannedHead {
    let text = format!("{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    RequestScanner::new(1 << 10).feed(text.as_bytes()).remove(0)
}

/// Returns whether a request is idempotent; those below `/once` are not.
fn is_idempotent(request: &Request<()>) -> bool {
    !request.uri().path().starts_with("/once")
}

/// Starts every request that may start early, and returns their paths.
fn start_all(queue: &mut PipelineQueue<String>) -> Vec<String> {
    let mut started = Vec::new();
    loop {
        let mut path = None;
        let is_started = queue.start_early(is_idempotent, |request, _| {
            path = Some(request.uri().path().to_owned());
            path.clone()
        });
        if !is_started {
            return started;
        }
        started.extend(path);
    }
}

/// Guards against a non-idempotent request that starts while an earlier response may still close the connection, and
/// against requests that start before a non-idempotent one whose effect they may depend on.
#[test]
fn non_idempotent_request_blocks_early_start() {
    let mut queue = PipelineQueue::new(MAX_AHEAD);
    for (method, path) in [("GET", "/a"), ("GET", "/b"), ("GET", "/once"), ("GET", "/c")] {
        queue.push(head(method, path), MonoTime::default());
    }
    queue.activate_next();
    assert_eq!(start_all(&mut queue), ["/b"]);
    queue.complete_oldest();
    assert_eq!(queue.activate_next().unwrap().work.as_deref(), Some("/b"));
    queue.complete_oldest();
    assert!(queue.activate_next().unwrap().work.is_none());
    assert!(start_all(&mut queue).is_empty(), "started early behind a non-idempotent request");
    queue.complete_oldest();
    assert!(queue.activate_next().unwrap().work.is_none());
}

/// Guards against requests that start early behind an unsafe method, whose unread body may close the connection.
#[test]
fn unsafe_method_blocks_early_start() {
    let mut queue = PipelineQueue::new(MAX_AHEAD);
    queue.push(head("POST", "/a"), MonoTime::default());
    queue.push(head("GET", "/b"), MonoTime::default());
    queue.activate_next();
    assert!(start_all(&mut queue).is_empty());
}

/// Guards against one connection that starts an unbounded number of requests, and against capacity that is not
/// released.
#[test]
fn early_starts_are_bounded() {
    let mut queue = PipelineQueue::new(MAX_AHEAD);
    for idx in 0..8 {
        queue.push(head("GET", &format!("/{idx}")), MonoTime::default());
    }
    queue.activate_next();
    assert_eq!(start_all(&mut queue), ["/1", "/2", "/3"]);
    queue.complete_oldest();
    queue.activate_next();
    assert_eq!(start_all(&mut queue), ["/4"]);
}

fn check_order(u: &mut Unstructured<'_>) -> Result<()> {
    let mut queue = PipelineQueue::new(MAX_AHEAD);
    let (mut pushed, mut begun, mut ended) = (Vec::new(), 0, 0);
    let mut started = Vec::new();
    for _ in 0..60 {
        match u.int_in_range(0..=2)? {
            0 => {
                let path = if u.ratio(1, 4)? { "/once" } else { "/many" };
                let path = format!("{path}/{}", pushed.len());
                queue.push(head("GET", &path), MonoTime::default());
                pushed.push(path);
            }
            // The HTTP library reads the next request once the response to the previous one is complete.
            1 if begun == ended && begun < pushed.len() => {
                let request = queue.activate_next().expect("a request is queued");
                let was_started = started.contains(&pushed[begun]);
                assert_eq!(request.work.is_some(), was_started, "{}", pushed[begun]);
                begun += 1;
            }
            2 if begun > ended => {
                queue.complete_oldest();
                ended += 1;
            }
            _ => {}
        }
        for path in start_all(&mut queue) {
            let position =
                pushed.iter().position(|it| *it == path).expect("the request was pushed");
            assert!(position >= begun, "{path} starts early although its turn has come");
            assert!(!started.contains(&path), "{path} starts twice");
            let unanswered = &pushed[ended..=position];
            assert!(unanswered.iter().all(|it| it.starts_with("/many")), "{unanswered:?}");
            started.push(path);
        }
        let waiting = pushed[begun..].iter().filter(|it| started.contains(it)).count();
        assert!(waiting <= MAX_AHEAD);
        assert_eq!(queue.has_early_work(), waiting > 0);
    }
    Ok(())
}

/// Guards against requests that start twice, beyond the limit or in front of a non-idempotent one, and against work
/// that is assigned to another request.
#[test]
fn random_operation_orders() {
    for seed in 0..100_u64 {
        arbtest(check_order).seed(seed << 32 | 1_024).run();
    }
}
