//! Bodies that arrive in various ways.
//!
//! An answer of 986,615 bytes was given up after 0.8 s with 704,437 of them, again and again, since the
//! time that a call may take counted its transfer. So bodies may take as long as they make progress.

use std::time::Duration;

use dyketally_http::{BodyError, LONGEST_BODY, SILENCE_LIMIT, SLOWEST_RATE, read_body};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How a server sends a body.
#[derive(Clone, Copy)]
struct Sending {
    pieces: usize,
    piece: usize,
    pause: Duration,
    /// Bytes that the head promises beyond those that are sent before the server falls silent.
    missing: usize,
}

/// Starts a server that answers one request, and returns its address.
async fn serve(sending: Sending) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await.expect("a request");
        let length = sending.pieces * sending.piece + sending.missing;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("a head");
        for _ in 0..sending.pieces {
            tokio::time::sleep(sending.pause).await;
            // A reader that gave up has closed the connection.
            if stream.write_all(&vec![b'a'; sending.piece]).await.is_err() {
                return;
            }
        }
        if sending.missing > 0 {
            std::future::pending::<()>().await;
        }
    });
    address
}

async fn read(sending: Sending) -> Result<usize, BodyError> {
    read_at_most(sending, LONGEST_BODY).await
}

async fn read_at_most(sending: Sending, longest: usize) -> Result<usize, BodyError> {
    let address = serve(sending).await;
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.expect("a client");
    let response = client.get(format!("http://{address}/")).send().await;
    let body = read_body(response.expect("a head"), longest).await?;
    Ok(body.len())
}

#[tokio::test]
async fn a_body_may_take_as_long_as_it_makes_progress() {
    // Two thirds more than the silence that ends a body, at twice the slowest rate.
    let sending = Sending {
        pieces: 25,
        piece: SLOWEST_RATE as usize / 5,
        pause: SILENCE_LIMIT / 15,
        missing: 0,
    };
    let length = sending.pieces * sending.piece;
    assert_eq!(read(sending).await.expect("a body"), length);
}

#[rstest]
#[case::at_once(0)]
#[case::after_some_bytes(3)]
#[tokio::test]
async fn a_body_that_falls_silent_is_given_up(#[case] pieces: usize) {
    let sending = Sending {
        pieces,
        piece: SLOWEST_RATE as usize,
        pause: Duration::from_millis(5),
        missing: 1,
    };
    let failed = read(sending).await.expect_err("no whole body");
    let BodyError::Silent(progress) = failed else {
        panic!("{failed}");
    };
    assert_eq!(progress.arrived, pieces * sending.piece);
}

/// A byte now and then would keep the reader for ever.
#[tokio::test]
async fn a_body_that_trickles_is_given_up() {
    let sending = Sending {
        pieces: 1_000,
        piece: 10,
        pause: Duration::from_millis(50),
        missing: 0,
    };
    let failed = read(sending).await.expect_err("no whole body");
    assert!(matches!(failed, BodyError::Slow(_)), "{failed}");
}

#[tokio::test]
async fn a_failure_tells_how_much_had_arrived() {
    let sending = Sending {
        pieces: 2,
        piece: 100,
        pause: Duration::from_millis(5),
        missing: 50,
    };
    let failed = read(sending).await.expect_err("no whole body");
    let text = failed.to_string();
    assert!(text.contains("200 of 250 bytes had arrived"), "{text}");
}

/// It isn't transferred: the head tells its length.
#[tokio::test]
async fn a_body_that_is_too_long_is_given_up_at_its_head() {
    let sending = Sending {
        pieces: 2,
        piece: 100,
        pause: SILENCE_LIMIT * 2,
        missing: 0,
    };
    let failed = read_at_most(sending, 199).await.expect_err("no body");
    assert!(matches!(failed, BodyError::Long { .. }), "{failed}");
}
