//! Memory of bodies and of callers that do not read.

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

/// Guards against bodies that together exceed the memory of a host.
#[tokio::test]
async fn holds_budget_until_bytes_are_gone() {
    let budget = BufferBudget::new(4 << 10);
    let body = || Full::new(Bytes::from(vec![1; 3 << 10]));
    let first = budget.collect(body(), 4 << 10).await.unwrap();
    let part = first.slice(..1);
    drop(first);
    let refused = budget.collect(body(), 4 << 10).await;
    assert!(matches!(refused, Err(CollectError::NoMemory)), "{refused:?}");
    drop(part);
    assert_eq!(budget.collect(body(), 4 << 10).await.unwrap().len(), 3 << 10);
    let refused = budget.collect(body(), 1 << 10).await;
    assert!(matches!(refused, Err(CollectError::TooLarge(_))), "{refused:?}");
}

/// A body of unknown length whose pieces of 64 KiB come one by one; `is_stalled` keeps its end away.
fn slow_body(
    pieces: usize,
    is_stalled: bool,
) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let piece = Bytes::from(vec![1; 64 << 10]);
    let frames = stream::repeat(piece).take(pieces).then(async |it| {
        tokio::task::yield_now().await;
        Ok(Frame::data(it))
    });
    let end = if is_stalled { stream::pending().boxed() } else { stream::empty().boxed() };
    StreamBody::new(frames.boxed().chain(end))
}

/// Guards against partly read bodies that all wait for the memory that the others hold.
#[tokio::test]
async fn bodies_wait_in_turn() {
    let budget = TieredBudget::new(8 << 20);
    for pieces in [1, 10, 48] {
        let bodies = (0..20).map(async |_| {
            budget.collect(slow_body(pieces, false), 4 << 20).await.map(|it| it.len())
        });
        let read = timeout(Duration::from_secs(20), join_all(bodies)).await;
        for len in read.expect("all bodies are read in turn") {
            assert_eq!(len.unwrap(), pieces * (64 << 10));
        }
    }
}

/// Guards against long bodies without an end that keep short ones from being read, or keep memory after they are dropped.
#[tokio::test]
async fn short_beside_stalled() {
    let budget = TieredBudget::new(8 << 20);
    let read_all = async |body| timeout(Duration::from_millis(200), body).await.is_ok();
    let stalled = async {
        join_all((0..20).map(|_| budget.collect(slow_body(48, true), 4 << 20))).await;
    };
    let short = async {
        for _ in 0..10 {
            let body = Full::new(Bytes::from(vec![1; 32 << 10]));
            assert!(read_all(budget.collect(body, 4 << 20)).await, "a short body waits");
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

/// Guards against a longest body that a small budget never takes.
#[tokio::test]
async fn body_beyond_tier() {
    let budget = TieredBudget::new(2 << 20);
    let read = timeout(Duration::from_secs(5), budget.collect(slow_body(32, false), 2 << 20)).await;
    assert_eq!(read.unwrap().unwrap().len(), 2 << 20);
    let refused = budget.collect(slow_body(33, false), 2 << 20).await;
    assert!(matches!(refused, Err(CollectError::TooLarge(_))), "{refused:?}");
}

/// Guards against callers that hold a response by not reading it.
#[tokio::test]
async fn ends_stalled_writes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let mut stream = WriteTimeoutStream::new(stream, Duration::from_millis(30));
    let error = stream.write_all(&vec![0; 64 << 20]).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}
