//! The database as a process of its own.

use std::process::Stdio;

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Command;
use tokio_postgres::NoTls;

use crate::support::eventually;

#[tokio::test]
async fn the_command_tells_where_it_listens() {
    let mut process = Command::new(env!("CARGO_BIN_EXE_dyketally-lab"))
        .args(["database", "--name", "alone", "--connect-cost-ms", "0"])
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the command");
    let output = process.stdout.take().expect("standard output");
    let mut lines = BufReader::new(output).lines();
    let line = lines.next_line().await.expect("readable").expect("a line");
    let words: Vec<&str> = line.split([' ', ',']).collect();
    assert_eq!(&words[..4], ["database", "alone", "ready:", "clients"]);
    let (address, port) = words[4].split_once(':').expect("an address");

    let text = format!("host={address} port={port} user=lab");
    let (client, connection) = tokio_postgres::connect(&text, NoTls)
        .await
        .expect("connection");
    tokio::spawn(connection);
    let insert = "INSERT INTO t VALUES ('a', '1') ON CONFLICT DO NOTHING";
    eventually("a write", || async {
        client.batch_execute(insert).await.ok()
    })
    .await;
    process.kill().await.expect("kill");
    eventually("the connection breaks", || async {
        client.is_closed().then_some(())
    })
    .await;
}
