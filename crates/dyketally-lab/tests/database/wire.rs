//! What pipelined messages get, message by message, over a raw connection.

use bytes::{BufMut, BytesMut};
use dyketally_lab::database::RunningDatabase;
use fallible_iterator::FallibleIterator;
use postgres_protocol::IsNull;
use postgres_protocol::message::backend::Message;
use postgres_protocol::message::frontend;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{fast_settings, single};

const STATUS: &str = "SELECT role, term, log_term, log_offset FROM dyketally_status";

struct RawClient {
    stream: TcpStream,
    received: BytesMut,
}

impl RawClient {
    async fn connect(database: &RunningDatabase) -> Self {
        let stream = TcpStream::connect(database.address())
            .await
            .expect("connection");
        let mut client = Self {
            stream,
            received: BytesMut::new(),
        };
        let mut startup = BytesMut::new();
        let parameters = [("user", "lab"), ("database", "lab")];
        frontend::startup_message(parameters, &mut startup).expect("startup");
        client.send(&startup).await;
        client.until_ready().await;
        client
    }

    async fn send(&mut self, messages: &[u8]) {
        self.stream.write_all(messages).await.expect("send");
    }

    async fn next(&mut self) -> Message {
        loop {
            if let Some(message) = Message::parse(&mut self.received).expect("message") {
                return message;
            }
            let read = self
                .stream
                .read_buf(&mut self.received)
                .await
                .expect("read");
            assert_ne!(read, 0, "the database closed the connection");
        }
    }

    /// Short forms of all messages up to `ReadyForQuery`.
    async fn until_ready(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        loop {
            let message = self.next().await;
            let line = describe(&message);
            lines.push(line);
            if matches!(message, Message::ReadyForQuery(_)) {
                return lines;
            }
        }
    }
}

fn describe(message: &Message) -> String {
    match message {
        Message::ParseComplete => "parsed".into(),
        Message::BindComplete => "bound".into(),
        Message::CloseComplete => "closed".into(),
        Message::NoData => "no data".into(),
        Message::EmptyQueryResponse => "empty".into(),
        Message::PortalSuspended => "suspended".into(),
        Message::ParameterDescription(_) => "parameters".into(),
        Message::RowDescription(_) => "columns".into(),
        Message::DataRow(row) => {
            let buffer = row.buffer();
            let cells = row.ranges().map(|range| {
                Ok(range.map_or("NULL".into(), |range| {
                    String::from_utf8_lossy(&buffer[range]).into_owned()
                }))
            });
            let cells: Vec<String> = cells.collect().expect("cells");
            format!("row {}", cells.join("|"))
        }
        Message::CommandComplete(body) => body.tag().expect("tag").into(),
        Message::ErrorResponse(body) => {
            let mut fields = body.fields();
            let code = fields
                .find(|field| Ok(field.type_() == b'C'))
                .expect("fields");
            let code = code.expect("code");
            format!("error {}", String::from_utf8_lossy(code.value_bytes()))
        }
        Message::ReadyForQuery(body) => format!("ready {}", char::from(body.status())),
        _ => "other".into(),
    }
}

#[derive(Debug, Clone)]
enum Step {
    Query(&'static str),
    /// Parse, bind, describe and execute through the unnamed statement and portal.
    Run(&'static str, &'static [&'static str]),
    Parse(&'static str, &'static str),
    Bind(&'static str, &'static str, &'static [&'static str]),
    Execute(&'static str, i32),
    CloseStatement(&'static str),
    Sync,
}
use Step::{Bind, CloseStatement, Execute, Parse, Query, Run, Sync};

fn encode(step: &Step, buffer: &mut BytesMut) {
    let done = match step {
        Query(sql) => frontend::query(sql, buffer),
        Parse(name, sql) => frontend::parse(name, sql, [], buffer),
        Bind(portal, statement, values) => {
            encode_bind(portal, statement, values, 0, buffer);
            Ok(())
        }
        Execute(portal, rows) => frontend::execute(portal, *rows, buffer),
        CloseStatement(name) => frontend::close(b'S', name, buffer),
        Run(sql, values) => {
            frontend::parse("", sql, [], buffer).expect("parse");
            encode_bind("", "", values, 0, buffer);
            frontend::describe(b'P', "", buffer).expect("describe");
            frontend::execute("", 0, buffer)
        }
        Sync => {
            frontend::sync(buffer);
            Ok(())
        }
    };
    done.expect("encodable");
}

fn encode_bind(
    portal: &str,
    statement: &str,
    values: &[&str],
    result_format: i16,
    buffer: &mut BytesMut,
) {
    let write = |value: &&str, buffer: &mut BytesMut| {
        buffer.put_slice(value.as_bytes());
        Ok(IsNull::No)
    };
    let bound = frontend::bind(
        portal,
        statement,
        [],
        values,
        write,
        [result_format],
        buffer,
    );
    assert!(bound.is_ok());
}

const INSERT: &str = "INSERT INTO t (key, value) VALUES ($1, $2)";
const READ: &str = "SELECT value FROM t WHERE key = $1";

#[rstest]
#[case::query_then_status(
    &[Query("INSERT INTO t VALUES ('a', '1')"), Query(STATUS)],
    &["INSERT 0 1", "ready I", "columns", "row primary|1|1|2", "SELECT 1", "ready I"],
)]
#[case::write_and_status_before_one_sync(
    &[Run(INSERT, &["a", "1"]), Run(STATUS, &[]), Sync],
    &["parsed", "bound", "no data", "INSERT 0 1",
      "parsed", "bound", "columns", "row primary|1|1|2", "SELECT 1", "ready I"],
)]
#[case::write_then_simple_status(
    &[Run(INSERT, &["a", "1"]), Sync, Query(STATUS)],
    &["parsed", "bound", "no data", "INSERT 0 1", "ready I",
      "columns", "row primary|1|1|2", "SELECT 1", "ready I"],
)]
#[case::error_skips_to_sync(
    &[Parse("", "SELEC"), Bind("", "", &[]), Execute("", 0), Sync, Query(STATUS)],
    &["error 42601", "ready I", "columns", "row primary|1|1|1", "SELECT 1", "ready I"],
)]
#[case::failed_execute_skips_what_follows(
    &[Run(INSERT, &["a", "1"]), Run(INSERT, &["a", "2"]), Run(INSERT, &["b", "3"]), Sync, Query(STATUS)],
    &["parsed", "bound", "no data", "INSERT 0 1", "parsed", "bound", "no data", "error 23505", "ready I",
      "columns", "row primary|1|1|2", "SELECT 1", "ready I"],
)]
#[case::transaction_status(
    &[Query("BEGIN"), Run(INSERT, &["a", "1"]), Sync, Run("COMMIT", &[]), Sync],
    &["BEGIN", "ready T", "parsed", "bound", "no data", "INSERT 0 1", "ready T",
      "parsed", "bound", "no data", "COMMIT", "ready I"],
)]
#[case::failed_transaction_status(
    &[Query("BEGIN"), Query("SELEC"), Query(STATUS), Run(READ, &["a"]), Sync, Query("COMMIT")],
    &["BEGIN", "ready T", "error 42601", "ready E", "error 25P02", "ready E",
      "parsed", "bound", "columns", "error 25P02", "ready E", "ROLLBACK", "ready I"],
)]
#[case::failed_extended_transaction(
    &[Query("BEGIN"), Bind("", "nothing", &[]), Sync, Query("ROLLBACK")],
    &["BEGIN", "ready T", "error 26000", "ready E", "ROLLBACK", "ready I"],
)]
#[case::statements_before_an_error_in_one_query_stay(
    &[Query("INSERT INTO t VALUES ('a', '1'); INSERT INTO t VALUES ('a', '2'); INSERT INTO t VALUES ('b', '3')"),
      Query("SELECT key FROM t")],
    &["INSERT 0 1", "error 23505", "ready I", "columns", "row a", "SELECT 1", "ready I"],
)]
#[case::named_statement_used_twice_then_closed(
    &[Parse("put", INSERT), Bind("", "put", &["a", "1"]), Execute("", 0), Bind("", "put", &["b", "2"]), Execute("", 0), Sync,
      CloseStatement("put"), Bind("", "put", &["c", "3"]), Sync],
    &["parsed", "bound", "INSERT 0 1", "bound", "INSERT 0 1", "ready I", "closed", "error 26000", "ready I"],
)]
#[case::suspended_portal(
    &[Query("INSERT INTO t VALUES ('a', '1'), ('b', '2'), ('c', NULL)"),
      Parse("", "SELECT key, value FROM t"), Bind("rows", "", &[]), Execute("rows", 2), Execute("rows", 2), Sync],
    &["INSERT 0 3", "ready I", "parsed", "bound", "row a|1", "row b|2", "suspended", "row c|NULL", "SELECT 1", "ready I"],
)]
#[case::empty_statement(
    &[Run("", &[]), Sync, Query(";")],
    &["parsed", "bound", "no data", "empty", "ready I", "empty", "ready I"],
)]
#[case::two_statements_in_one_parse(
    &[Parse("", "BEGIN; COMMIT"), Sync],
    &["error 42601", "ready I"],
)]
#[tokio::test]
async fn pipelined_messages(#[case] steps: &[Step], #[case] expected: &[&str]) {
    let database = single(fast_settings()).await;
    let mut client = RawClient::connect(&database).await;
    let mut buffer = BytesMut::new();
    for step in steps {
        encode(step, &mut buffer);
    }
    client.send(&buffer).await;
    let syncs = steps
        .iter()
        .filter(|step| matches!(step, Sync | Query(_)))
        .count();
    let mut lines = Vec::new();
    for _ in 0..syncs {
        lines.extend(client.until_ready().await);
    }
    assert_eq!(lines, expected);
}

#[rstest]
#[case::text(0, b"1")]
#[case::binary(1, &[0, 0, 0, 0, 0, 0, 0, 1])]
#[tokio::test]
async fn a_count_comes_in_the_format_that_was_asked_for(
    #[case] format: i16,
    #[case] expected: &[u8],
) {
    let database = single(fast_settings()).await;
    let mut client = RawClient::connect(&database).await;
    let mut buffer = BytesMut::new();
    encode(&Query("INSERT INTO t VALUES ('a', '1')"), &mut buffer);
    encode(&Parse("", "SELECT count(*) FROM t"), &mut buffer);
    encode_bind("", "", &[], format, &mut buffer);
    encode(&Execute("", 0), &mut buffer);
    encode(&Sync, &mut buffer);
    client.send(&buffer).await;
    client.until_ready().await;
    loop {
        if let Message::DataRow(row) = client.next().await {
            let range = row.ranges().next().expect("ranges").flatten();
            assert_eq!(&row.buffer()[range.expect("a value")], expected);
            return;
        }
    }
}
