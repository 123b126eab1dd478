//! Tests of the TCP relays that simulate network partitions.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use sapphireknot_platform::{GrpcStore, KeyValueStore, StoreError};
use sapphireknot_standin::{
    fixture::{PartitionTable, TcpRelay, wait_until},
    store::StoreServer,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

const SENDER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1));
const OTHER_SENDER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 2));
const RECEIVER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 2, 1));
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Starts a relay in front of an echo server.
async fn start() -> (TcpRelay, PartitionTable) {
    let listener = TcpListener::bind(SocketAddr::new(RECEIVER, 0)).await.expect("address is free");
    let target = listener.local_addr().expect("listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, peer)) = listener.accept().await {
            assert!([SENDER, OTHER_SENDER].contains(&peer.ip()));
            tokio::spawn(async move {
                let (mut source, mut sink) = stream.split();
                let _ = tokio::io::copy(&mut source, &mut sink).await;
            });
        }
    });
    let table = PartitionTable::default();
    let relay = TcpRelay::start(SocketAddr::new(RECEIVER, 0), None, RECEIVER, &table);
    let relay = relay.expect("address is free");
    relay.set_target(Some(target));
    (relay, table)
}

async fn connect(relay: &TcpRelay, sender: IpAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(SocketAddr::new(sender, 0)).expect("address is free");
    socket.connect(relay.address()).await.expect("relay accepts")
}

/// Sends a byte and reads the echo; `None` on a timeout, 0 if the connection is closed.
async fn exchange(stream: &mut TcpStream, byte: u8) -> Option<u8> {
    // A closed connection is detected by the read below.
    let _ = stream.write_all(&[byte]).await;
    let mut buffer = [0];
    match timeout(RESPONSE_TIMEOUT, stream.read(&mut buffer)).await {
        Err(_) => None,
        Ok(Ok(1)) => Some(buffer[0]),
        Ok(_) => Some(0),
    }
}

async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut buffer = [0];
    matches!(timeout(WAIT_TIMEOUT, stream.read(&mut buffer)).await, Ok(Ok(0) | Err(_)))
}

/// Guards against a partition that forwards bytes, affects another sender, or breaks connections that were idle while
/// it lasted.
#[tokio::test]
async fn cut_drops_bytes() {
    let (relay, table) = start().await;
    let (mut busy, mut idle) = (connect(&relay, SENDER).await, connect(&relay, SENDER).await);
    let mut other = connect(&relay, OTHER_SENDER).await;
    for stream in [&mut busy, &mut idle, &mut other] {
        assert_eq!(exchange(stream, 7).await, Some(7));
    }
    table.cut(&[RECEIVER], &[SENDER]);
    assert!(table.is_cut(SENDER, RECEIVER));
    assert_eq!(exchange(&mut busy, 8).await, None);
    assert_eq!(exchange(&mut other, 8).await, Some(8));
    let mut late = connect(&relay, SENDER).await;
    assert_eq!(exchange(&mut late, 9).await, None);

    table.heal(&[SENDER], &[RECEIVER]);
    assert!(is_closed(&mut busy).await && is_closed(&mut late).await);
    assert_eq!(exchange(&mut idle, 10).await, Some(10));
    let mut fresh = connect(&relay, SENDER).await;
    assert_eq!(exchange(&mut fresh, 11).await, Some(11));
}

/// Guards against a partition that forwards the close of a connection.
#[tokio::test]
async fn cut_hides_close() {
    let (relay, table) = start().await;
    let mut stream = connect(&relay, SENDER).await;
    assert_eq!(exchange(&mut stream, 1).await, Some(1));
    table.cut(&[SENDER], &[RECEIVER]);
    stream.shutdown().await.unwrap();
    let mut buffer = [0];
    // The echo server closes its side as soon as it sees the close; a forwarded close would end this read.
    assert!(timeout(RESPONSE_TIMEOUT, stream.read(&mut buffer)).await.is_err());
    table.heal_all();
    assert!(is_closed(&mut stream).await);
}

/// Guards against a store client that still reaches the store through a partition, or does not recover after it heals.
#[tokio::test]
async fn store_returns_after_heal() {
    let any_port = SocketAddr::new(RECEIVER, 0);
    let server = StoreServer::start(any_port, any_port).unwrap();
    let table = PartitionTable::default();
    let listen = SocketAddr::new(SENDER, 0);
    let relay = TcpRelay::start(listen, Some(SENDER), RECEIVER, &table).unwrap();
    relay.set_target(Some(server.addresses().store));
    let store = GrpcStore::new(relay.address(), RESPONSE_TIMEOUT);
    assert_eq!(store.get("k").await, Ok(None));
    table.cut(&[SENDER], &[RECEIVER]);
    assert!(matches!(store.get("k").await, Err(StoreError::Unanswered { .. })));
    assert_eq!(server.store().counts().reads, 1);
    table.heal_all();
    let probe = async || store.get("k").await.ok();
    assert_eq!(wait_until("the store answers", WAIT_TIMEOUT, probe).await.unwrap(), None);
}

/// Forwards bytes until `is_stalled` is set, and from then on drops them while the connection stays open.
async fn forward(
    mut source: tokio::net::tcp::OwnedReadHalf,
    mut sink: tokio::net::tcp::OwnedWriteHalf,
    is_stalled: Arc<AtomicBool>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(len @ 1..) = source.read(&mut buffer).await {
        if !is_stalled.load(Ordering::Relaxed) && sink.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}

/// Guards against a store client that keeps using a stalled connection although new connections work.
#[tokio::test]
async fn store_returns_on_new_connection() {
    let any_port = SocketAddr::new(RECEIVER, 0);
    let server = StoreServer::start(any_port, any_port).unwrap();
    let target = server.addresses().store;
    let listener = TcpListener::bind(any_port).await.unwrap();
    let address = listener.local_addr().unwrap();
    let stall_first = Arc::new(AtomicBool::new(false));
    let mut is_stalled = stall_first.clone();
    tokio::spawn(async move {
        loop {
            let (client, _) = listener.accept().await.unwrap();
            let upstream = TcpStream::connect(target).await.unwrap();
            let ((from_client, to_client), (from_upstream, to_upstream)) =
                (client.into_split(), upstream.into_split());
            tokio::spawn(forward(from_client, to_upstream, is_stalled.clone()));
            tokio::spawn(forward(from_upstream, to_client, is_stalled));
            is_stalled = Arc::default();
        }
    });
    let store = GrpcStore::new(address, RESPONSE_TIMEOUT);
    assert_eq!(store.get("k").await, Ok(None));
    stall_first.store(true, Ordering::Relaxed);
    assert!(matches!(store.get("k").await, Err(StoreError::Unanswered { .. })));
    let probe = async || store.get("k").await.ok();
    assert_eq!(wait_until("the store answers", WAIT_TIMEOUT, probe).await.unwrap(), None);
}
