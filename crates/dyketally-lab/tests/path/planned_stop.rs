//! A planned stop: callers are turned away between two statements, and none is cut off.

use std::time::Duration;

use bytes::BytesMut;
use postgres_protocol::message::frontend;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::System;

/// Far beyond what any step takes.
const LIMIT: Duration = Duration::from_secs(30);

/// The tag of a message that tells that the server is ready for the next statement.
const READY: u8 = b'Z';

/// Reads until the bytes hold `end`.
async fn read_past(stream: &mut TcpStream, end: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    while !bytes.windows(end.len()).any(|window| window == end) {
        let read = timeout(LIMIT, stream.read_buf(&mut bytes)).await;
        assert!(read.expect("in time").expect("read") > 0, "ended early");
    }
    bytes
}

#[tokio::test]
async fn a_statement_on_its_way_when_the_node_leaves_is_told_not_run() {
    let system = System::start().await;
    let address = system.node.addresses().callers;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let mut message = BytesMut::new();
    let parameters = [("user", "trial"), ("database", "main")];
    frontend::startup_message(parameters, &mut message).expect("a message");
    stream.write_all(&message).await.expect("sent");
    read_past(&mut stream, &[READY, 0, 0, 0, 5, b'I']).await;

    let stopping = tokio::spawn(system.node.stop());
    let told = read_past(&mut stream, b"57P03").await;
    assert!(!told.is_empty());
    // The statement reaches the node after it has turned the caller away.
    let mut message = BytesMut::new();
    frontend::query("SELECT count(*) FROM items", &mut message).expect("a message");
    for _ in 0..3 {
        stream
            .write_all(&message)
            .await
            .expect("the node still reads");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut rest = Vec::new();
    let ended = timeout(LIMIT, stream.read_to_end(&mut rest)).await;
    ended.expect("in time").expect("an orderly end, no reset");
    drop(stream);
    let report = timeout(LIMIT, stopping).await.expect("in time");
    assert!(report.expect("stopped").is_clean());
}
