//! Reading of response bodies that arrive at various rates.
//!
//! A response of 986,615 bytes was repeatedly aborted after 0.8 s with 704,437 bytes received, since the time limit of
//! the call included the transfer of the body. A body may therefore take any time as long as it makes progress.

use std::time::Duration;

use dyketally_http::{BodyError, LONGEST_BODY, SILENCE_LIMIT, SLOWEST_RATE, read_body};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How a server sends a body.
#[derive(Clone, Copy)]
struct Sending {
    /// Number of pieces.
    pieces: usize,
    /// Length of a piece in bytes.
    piece: usize,
    /// Time before each piece.
    pause: Duration,
    /// Bytes by which `Content-Length` exceeds the pieces' total; if not 0, the server stalls after the last piece.
    missing: usize,
}

/// Starts a server that answers one request with the body that `sending` describes, and returns its address.
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
            // Writing fails once the reader has aborted the body and closed the connection.
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
    // The transfer takes 5/3 of the silence limit, at twice the slowest rate, with pauses of 1/15 of the silence limit.
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

/// Without a lowest rate, a server that sends a few bytes at a time could keep the reader indefinitely.
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

/// The body's length is known from `Content-Length`, so that the reader rejects it without waiting for the transfer.
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
