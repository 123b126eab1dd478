//! Memory limits for bodies, and write timeouts for callers that do not read.

use std::{convert::Infallible, io::ErrorKind, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, future::join_all, stream};
use http_body_util::{Full, StreamBody};
use hyper::body::{Body, Frame};
use sapphireknotd::{
    buffers::{BufferBudget, CollectError, TieredBudget},
    front::write_timeout::WriteTimeoutStream,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Guards against bodies that together exceed the memory budget of a host.
#[tokio::test]
async fn budget_is_held_until_bytes_are_dropped() {
    let budget = BufferBudget::new(4 << 10);
    let body = || Full::new(Bytes::from(vec![1; 3 << 10]));
    let first = budget.collect(body(), 4 << 10).await.unwrap();
    let slice = first.slice(..1);
    drop(first);
    let refused = budget.collect(body(), 4 << 10).await;
    assert!(matches!(refused, Err(CollectError::NoMemory)), "{refused:?}");
    drop(slice);
    assert_eq!(budget.collect(body(), 4 << 10).await.unwrap().len(), 3 << 10);
    let refused = budget.collect(body(), 1 << 10).await;
    assert!(matches!(refused, Err(CollectError::TooLarge(_))), "{refused:?}");
}

/// Returns a body of unknown length that yields chunks of 64 KiB one at a time; a stalled body never ends.
fn slow_body(
    chunks: usize,
    is_stalled: bool,
) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let chunk = Bytes::from(vec![1; 64 << 10]);
    let frames = stream::repeat(chunk).take(chunks).then(async |it| {
        tokio::task::yield_now().await;
        Ok(Frame::data(it))
    });
    let end = if is_stalled { stream::pending().boxed() } else { stream::empty().boxed() };
    StreamBody::new(frames.boxed().chain(end))
}

/// Guards against a deadlock of partly read bodies that wait for each other's memory.
#[tokio::test]
async fn concurrent_bodies_do_not_deadlock() {
    let budget = TieredBudget::new(8 << 20);
    for chunks in [1, 10, 48] {
        let bodies = (0..20).map(async |_| {
            budget.collect(slow_body(chunks, false), 4 << 20).await.map(|it| it.len())
        });
        let read = timeout(Duration::from_secs(20), join_all(bodies)).await;
        for len in read.expect("all bodies are read in time") {
            assert_eq!(len.unwrap(), chunks * (64 << 10));
        }
    }
}

/// Guards against stalled long bodies that block short ones, or that hold memory after they are dropped.
#[tokio::test]
async fn short_bodies_are_read_while_long_ones_stall() {
    let budget = TieredBudget::new(8 << 20);
    let read_all = async |body| timeout(Duration::from_millis(200), body).await.is_ok();
    let stalled = async {
        join_all((0..20).map(|_| budget.collect(slow_body(48, true), 4 << 20))).await;
    };
    let short = async {
        for _ in 0..10 {
            let body = Full::new(Bytes::from(vec![1; 32 << 10]));
            assert!(read_all(budget.collect(body, 4 << 20)).await, "a short body is blocked");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = stalled => unreachable!("stalled bodies do not end"),
        () = short => {}
    }
    let long = budget.collect(slow_body(64, false), 4 << 20);
    assert!(timeout(Duration::from_secs(5), long).await.unwrap().is_ok());
}

/// Guards against a body of the maximum size that a small budget never admits.
#[tokio::test]
async fn body_of_maximum_size() {
    let budget = TieredBudget::new(2 << 20);
    let read = timeout(Duration::from_secs(5), budget.collect(slow_body(32, false), 2 << 20)).await;
    assert_eq!(read.unwrap().unwrap().len(), 2 << 20);
    let refused = budget.collect(slow_body(33, false), 2 << 20).await;
    assert!(matches!(refused, Err(CollectError::TooLarge(_))), "{refused:?}");
}

/// Guards against callers that keep a response in memory by not reading it.
#[tokio::test]
async fn stalled_writes_time_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let mut stream = WriteTimeoutStream::new(stream, Duration::from_millis(30));
    let error = stream.write_all(&vec![0; 64 << 20]).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}
