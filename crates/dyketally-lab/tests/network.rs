//! Relays: delay, order, cuts in both or one direction, resets, healing and UDP.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dyketally_lab::network::{
    ControlClient, CutRequest, Delay, DelayRequest, Endpoint, Network, NetworkSettings, Passage,
    Place,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// Long enough to see that nothing arrives; the tests hold for any length.
const QUIET: Duration = Duration::from_millis(80);

const ONE_WAY: Duration = Duration::from_millis(20);

struct Fixture {
    network: Network,
    control: ControlClient,
    via: SocketAddr,
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn endpoint(name: &str, zone: &str, addresses: Vec<SocketAddr>) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        zone: zone.to_owned(),
        addresses,
    }
}

async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("bound");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

async fn fixture(target: SocketAddr) -> Fixture {
    let settings = NetworkSettings {
        control: any_port(),
        endpoints: vec![
            endpoint("caller", "north", Vec::new()),
            endpoint("server", "south", vec![target]),
        ],
        delays: vec![Delay {
            between: ["south".to_owned(), "north".to_owned()],
            one_way_ms: ONE_WAY.as_secs_f64() * 1_000.0,
        }],
    };
    let network = Network::start(&settings).await.expect("started");
    let control = ControlClient::new(network.control_address());
    let via = network.routes()[0].via;
    Fixture {
        network,
        control,
        via,
    }
}

fn cut(both_ways: bool, from: &str, passage: Passage) -> CutRequest {
    CutRequest {
        from: Place::Zone(from.to_owned()),
        to: Place::Anywhere,
        both_ways,
        passage,
    }
}

async fn echo(stream: &mut TcpStream, text: &[u8]) -> Vec<u8> {
    stream.write_all(text).await.expect("written");
    let mut reply = vec![0; text.len()];
    stream.read_exact(&mut reply).await.expect("read");
    reply
}

#[tokio::test]
async fn bytes_arrive_in_order_and_no_sooner_than_the_delay() {
    let fixture = fixture(echo_server().await).await;
    let mut stream = TcpStream::connect(fixture.via).await.expect("connected");
    echo(&mut stream, b"open").await;
    let text: Vec<u8> = (0..200_000_u32).flat_map(u32::to_le_bytes).collect();
    let started = Instant::now();
    let (mut reader, mut writer) = stream.split();
    let mut reply = vec![0; text.len()];
    let (written, read) = tokio::join!(writer.write_all(&text), reader.read_exact(&mut reply));
    written.expect("written");
    read.expect("read");
    assert!(started.elapsed() >= ONE_WAY * 2);
    assert!(reply == text, "the bytes arrived changed or out of order");
}

#[rstest]
#[case::both_ways(true, "north")]
#[case::requests_only(false, "north")]
#[case::replies_only(false, "south")]
#[tokio::test]
async fn a_held_link_hangs_and_delivers_after_healing(#[case] both_ways: bool, #[case] from: &str) {
    let fixture = fixture(echo_server().await).await;
    let mut stream = TcpStream::connect(fixture.via).await.expect("connected");
    echo(&mut stream, b"before").await;
    let request = cut(both_ways, from, Passage::Held);
    fixture.control.cut(&request).await.expect("cut");
    stream.write_all(b"during").await.expect("written");
    let mut reply = [0; 6];
    let early = timeout(QUIET, stream.read_exact(&mut reply)).await;
    assert!(early.is_err(), "a reply came through a cut link");
    fixture.control.heal_all().await.expect("healed");
    stream.read_exact(&mut reply).await.expect("read");
    assert_eq!(&reply, b"during");
}

#[tokio::test]
async fn a_connection_opened_during_a_cut_works_after_healing() {
    let fixture = fixture(echo_server().await).await;
    fixture.control.isolate("server").await.expect("cut");
    let mut stream = TcpStream::connect(fixture.via).await.expect("accepted");
    stream.write_all(b"hello").await.expect("written");
    let mut reply = [0; 5];
    let early = timeout(QUIET, stream.read_exact(&mut reply)).await;
    assert!(early.is_err(), "a reply came through a cut link");
    fixture.control.heal_all().await.expect("healed");
    stream.read_exact(&mut reply).await.expect("read");
    assert_eq!(&reply, b"hello");
}

#[tokio::test]
async fn a_reset_link_breaks_connections_and_refuses_new_ones() {
    let fixture = fixture(echo_server().await).await;
    let mut stream = TcpStream::connect(fixture.via).await.expect("connected");
    echo(&mut stream, b"before").await;
    let request = cut(true, "north", Passage::Reset);
    fixture.control.cut(&request).await.expect("cut");
    let mut byte = [0; 1];
    assert!(stream.read_exact(&mut byte).await.is_err());
    let mut refused = TcpStream::connect(fixture.via).await.expect("accepted");
    assert!(refused.read_exact(&mut byte).await.is_err());
    fixture.control.heal_all().await.expect("healed");
    let mut stream = TcpStream::connect(fixture.via).await.expect("connected");
    assert_eq!(echo(&mut stream, b"after").await, b"after");
}

#[tokio::test]
async fn datagrams_and_their_replies_pass_until_the_link_is_cut() {
    let server = UdpSocket::bind(any_port()).await.expect("bound");
    let fixture = fixture(server.local_addr().expect("an address")).await;
    let caller = UdpSocket::bind(any_port()).await.expect("bound");
    let mut buffer = [0; 16];
    caller.send_to(b"ping", fixture.via).await.expect("sent");
    let (length, source) = server.recv_from(&mut buffer).await.expect("received");
    assert_eq!(&buffer[..length], b"ping");
    server.send_to(b"pong", source).await.expect("sent");
    let (length, source) = caller.recv_from(&mut buffer).await.expect("received");
    assert_eq!((&buffer[..length], source), (&b"pong"[..], fixture.via));
    fixture.control.isolate("caller").await.expect("cut");
    caller.send_to(b"lost", fixture.via).await.expect("sent");
    let lost = timeout(QUIET, server.recv_from(&mut buffer)).await;
    assert!(lost.is_err(), "a datagram came through a cut link");
}

#[tokio::test]
async fn an_unknown_place_is_refused_with_the_remedy() {
    let fixture = fixture(echo_server().await).await;
    let refusal = fixture
        .control
        .isolate("nobody")
        .await
        .expect_err("refused");
    assert!(refusal.to_string().contains("name zones and processes"));
}

#[tokio::test]
async fn a_changed_delay_holds_for_open_connections() {
    let fixture = fixture(echo_server().await).await;
    let mut stream = TcpStream::connect(fixture.via).await.expect("connected");
    echo(&mut stream, b"open").await;
    let request = DelayRequest {
        from: Place::Zone("north".to_owned()),
        to: Place::Zone("south".to_owned()),
        one_way_ms: 60.0,
    };
    fixture.control.delay(&request).await.expect("set");
    let started = Instant::now();
    echo(&mut stream, b"slower").await;
    assert!(started.elapsed() >= Duration::from_millis(120));
}

#[tokio::test]
async fn the_control_address_tells_the_relays() {
    let fixture = fixture(echo_server().await).await;
    let routes = fixture.control.routes().await.expect("routes");
    assert_eq!(routes, fixture.network.routes());
}
