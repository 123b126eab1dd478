//! Memory of bodies and of callers that do not read.

use std::{io::ErrorKind, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use sapphireknotd::{
    buffers::{BufferBudget, CollectError, MemoryWait},
    front::streams::PromptStream,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

/// Guards against bodies that together exceed the memory of a host.
#[tokio::test]
async fn holds_budget_until_bytes_are_gone() {
    let budget = BufferBudget::new(4 << 10, MemoryWait::Fail);
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

/// Guards against callers that hold a response by not reading it.
#[tokio::test]
async fn ends_stalled_writes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let mut stream = PromptStream::new(stream, Duration::from_millis(30));
    let error = stream.write_all(&vec![0; 64 << 20]).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}
