//! Bad input from callers: a clear error, and the node goes on.

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Config, NoTls};

use crate::support::System;

#[rstest]
#[case::unknown_tenant("stranger", "main", "", "28000")]
#[case::unknown_database("trial", "other", "", "28000")]
#[case::malformed_token("trial", "main", "-c dyketally.session=rubbish", "22023")]
#[tokio::test]
async fn a_startup_that_is_refused(
    #[case] user: &str,
    #[case] database: &str,
    #[case] options: &str,
    #[case] code: &str,
) {
    let system = System::start().await;
    let mut config: Config = system.config();
    config.user(user).dbname(database).options(options);
    let error = config.connect(NoTls).await.err().expect("refused");
    assert_eq!(error.code().map(SqlState::code), Some(code));
}

#[rstest]
#[case::unclassified("VACUUM", "0A000")]
#[case::setting("SET work_mem = 1", "0A000")]
#[case::malformed_token("SET dyketally.session = 'v2:x'", "22023")]
#[tokio::test]
async fn a_statement_that_is_refused(#[case] query: &str, #[case] code: &str) {
    let system = System::start().await;
    let client = system.client().await;
    let error = client.batch_execute(query).await.expect_err("refused");
    assert_eq!(error.code().map(SqlState::code), Some(code));
    client
        .simple_query("SELECT count(*) FROM items")
        .await
        .expect("session goes on");
}

#[tokio::test]
async fn a_token_of_another_group_is_not_trusted() {
    let system = System::start().await;
    let client = system.client().await;
    client
        .batch_execute("SET dyketally.session = 'v1:elsewhere:9:9'")
        .await
        .expect("set");
    client
        .simple_query("SELECT count(*) FROM items")
        .await
        .expect("read at the primary");
}

const STARTUP: &[u8] = b"\x00\x00\x00\x22\x00\x03\x00\x00user\0trial\0database\0main\0\0";

#[rstest]
#[case::garbage_at_the_start(&[0xff; 64])]
#[case::oversized_startup(&[0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0])]
#[case::oversized_message(&[STARTUP, b"Q\x7f\xff\xff\xff"].concat())]
#[case::unknown_message(&[STARTUP, b"z\x00\x00\x00\x04"].concat())]
#[case::truncated_parse(&[STARTUP, b"P\x00\x00\x00\x06a\0"].concat())]
#[case::length_below_its_own(&[STARTUP, b"Q\x00\x00\x00\x01"].concat())]
#[tokio::test]
async fn broken_bytes_end_only_their_own_connection(#[case] bytes: &[u8]) {
    let system = System::start().await;
    let mut stream = TcpStream::connect(system.node.addresses().callers)
        .await
        .expect("connect");
    stream.write_all(bytes).await.expect("write");
    let mut answer = Vec::new();
    // The node may close before it has read everything; the answer before that counts.
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer);
    assert!(text.contains("08P01"), "{text:?}");
    let client = system.client().await;
    client
        .simple_query("SELECT count(*) FROM items")
        .await
        .expect("others are served");
}
