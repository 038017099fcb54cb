//! Links: bad input on the peer port, and what a link's end means for requests in flight.

use std::net::SocketAddr;

use bytes::{BufMut, BytesMut};
use dyketally::identifiers::NodeName;
use dyketally_protocol::{
    EdgeMessage, Hello, HomeMessage, LONGEST_FRAME, LinkCodec, PROTOCOL_VERSION,
};
use futures::{SinkExt, StreamExt};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Encoder, Framed};

use crate::support::System;

type Codec = LinkCodec<EdgeMessage, HomeMessage>;

async fn link(address: SocketAddr) -> Framed<TcpStream, Codec> {
    let stream = TcpStream::connect(address).await.expect("connect");
    Framed::new(stream, Codec::default())
}

fn hello(version: u16) -> EdgeMessage {
    let node = NodeName::new("test");
    EdgeMessage::Hello(Hello { version, node })
}

fn encoded(message: EdgeMessage) -> Vec<u8> {
    let mut buffer = BytesMut::new();
    Codec::default()
        .encode(message, &mut buffer)
        .expect("encode");
    buffer.to_vec()
}

fn oversized() -> Vec<u8> {
    let mut buffer = BytesMut::new();
    buffer.put_u32(LONGEST_FRAME as u32 + 1);
    buffer.to_vec()
}

#[rstest]
#[case::garbage(vec![0xff; 64])]
#[case::oversized_frame(oversized())]
#[case::no_hello(vec![0, 0, 0, 2, 3, 1])]
#[case::second_hello([encoded(hello(PROTOCOL_VERSION)), encoded(hello(PROTOCOL_VERSION))].concat())]
#[case::garbage_after_hello([encoded(hello(PROTOCOL_VERSION)), vec![0, 0, 0, 2, 0xff, 0xff]].concat())]
#[tokio::test]
async fn broken_bytes_end_only_their_own_link(#[case] bytes: Vec<u8>) {
    let system = System::start().await;
    let address = system.node.addresses().peers;
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(&bytes).await.expect("write");
    let mut answer = Vec::new();
    // Ends when the node closes the link; a reset counts as closed.
    let _ = stream.read_to_end(&mut answer).await;
    let mut good = link(address).await;
    good.send(hello(PROTOCOL_VERSION)).await.expect("send");
    assert!(matches!(good.next().await, Some(Ok(HomeMessage::Hello(_)))));
}

#[tokio::test]
async fn a_truncated_frame_leaves_nothing_behind() {
    let system = System::start().await;
    let address = system.node.addresses().peers;
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(&[0, 0, 0, 9, 0]).await.expect("write");
    drop(stream);
    let mut good = link(address).await;
    good.send(hello(PROTOCOL_VERSION)).await.expect("send");
    assert!(matches!(good.next().await, Some(Ok(HomeMessage::Hello(_)))));
}

#[tokio::test]
async fn another_version_is_told_ours_and_refused() {
    let system = System::start().await;
    let mut link = link(system.node.addresses().peers).await;
    link.send(hello(PROTOCOL_VERSION + 1)).await.expect("send");
    let Some(Ok(HomeMessage::Hello(answer))) = link.next().await else {
        panic!("the node answers with its own version");
    };
    assert_eq!(answer.version, PROTOCOL_VERSION);
    assert!(link.next().await.is_none(), "the node closes the link");
}
