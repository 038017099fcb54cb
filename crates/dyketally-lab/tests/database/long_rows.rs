//! A row of 5 MB deposes no primary.
//!
//! While a primary passes a long row on, its heartbeats wait behind the row, and in a process of one thread
//! all members stand still while the row is read and copied. A replica compared its clock with the time at
//! which it had last received a whole message: after 360 ms to 1 s of that it stood for election, with
//! 128,000 bytes of the row arrived and nothing whole to read. The other replica had heard as little and
//! voted for it, so the write of the row wasn't confirmed: a group that a healthy primary leads elected
//! another one since it was busy.
//!
//! ```text
//! database stock-b stands for election; 624.015075ms since it saw the clock, 0 messages wait, 128000 bytes
//! have arrived since the last one
//! ```

use std::net::SocketAddr;
use std::time::Duration;

use dyketally::group::Term;
use dyketally::time::Timestamp;
use dyketally_lab::database::replication::{Member, MemberSettings};
use dyketally_lab::database::{
    DatabaseSettings, DatabaseState, PeerSettings, RunningDatabase, start,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::support::{connect, eventually, fast_settings};

const ROW: usize = 5 * 1024 * 1024;
/// Longer than any member waits for a primary.
const STANDSTILL: Duration = Duration::from_secs(2);
/// Bytes a second of a link between two members: it takes the row for longer than any member waits for a
/// primary.
const THIN: usize = 2_500_000;
/// Bytes that a link passes on at a time.
const PIECE: usize = 32 * 1024;

async fn states(members: &[RunningDatabase]) -> Vec<DatabaseState> {
    let mut states = Vec::new();
    for member in members {
        states.push(member.control().state().await.expect("state"));
    }
    states
}

/// Waits for one primary and equal logs; the primary's place and its term.
async fn settle(members: &[RunningDatabase]) -> (usize, u64) {
    eventually("one primary and equal logs", || async {
        let states = states(members).await;
        let place = states.iter().position(DatabaseState::is_primary)?;
        let first = &states[place];
        let equal = |state: &DatabaseState| {
            state.term == first.term && state.log_offset == first.log_offset
        };
        states.iter().all(equal).then_some((place, first.term))
    })
    .await
}

/// Passes on what arrives, at no more than [`THIN`] bytes a second for each connection.
async fn thin_link(listener: TcpListener, to: watch::Receiver<Option<SocketAddr>>) {
    loop {
        let (from, _) = listener.accept().await.expect("a connection");
        tokio::spawn(pass_on(from, to.clone()));
    }
}

async fn pass_on(mut from: TcpStream, mut to: watch::Receiver<Option<SocketAddr>>) {
    let to = *to.wait_for(Option::is_some).await.expect("an address");
    let Ok(mut to) = TcpStream::connect(to.expect("an address")).await else {
        return;
    };
    let mut piece = vec![0; PIECE];
    while let Ok(length @ 1..) = from.read(&mut piece).await {
        if to.write_all(&piece[..length]).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_secs_f64(length as f64 / THIN as f64)).await;
    }
}

/// A group whose members reach each other over thin links.
async fn start_over_thin_links() -> Vec<RunningDatabase> {
    let mut links = Vec::new();
    for name in ["thin-a", "thin-b", "thin-c"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (to, target) = watch::channel(None);
        tokio::spawn(thin_link(listener, target));
        links.push((name, address, to));
    }
    let mut members = Vec::new();
    for (name, _, to) in &links {
        let peers = links.iter().filter(|(peer, ..)| peer != name);
        let peers = peers.map(|(peer, address, _)| PeerSettings {
            name: (*peer).into(),
            address: *address,
        });
        let settings = DatabaseSettings {
            name: (*name).into(),
            peers: peers.collect(),
            ..fast_settings()
        };
        let member = start(settings).await.expect("free ports");
        to.send_replace(Some(member.settings.peer_listen));
        members.push(member);
    }
    members
}

/// The heartbeats wait behind the row for 2 s; its parts arrive meanwhile. Where members stand still, nobody
/// runs for longer than a member waits for a primary while the row is under way, the primary included.
#[rstest]
#[case::all_members_run(false)]
#[case::all_members_stand_still(true)]
#[tokio::test]
async fn a_row_that_takes_long_to_pass_on_deposes_nobody(#[case] stand_still: bool) {
    let members = start_over_thin_links().await;
    let (primary, term) = settle(&members).await;
    let client = connect(&members[primary]).await;
    let value = "v".repeat(ROW);
    let insert = format!("INSERT INTO t (key, value) VALUES ('a', '{value}')");
    client.batch_execute(&insert).await.expect("insert");
    if stand_still {
        // All members run on this thread.
        std::thread::sleep(STANDSTILL);
    }
    eventually("a replica has the row", || async {
        let states = states(&members).await;
        let holding = states.iter().filter(|state| state.log_offset > 1);
        (holding.count() > 1).then_some(())
    })
    .await;
    let now = settle(&members).await;
    assert_eq!(now, (primary, term), "another election was held");
}

/// Without a long row, and in a fixed order: a member that has stood still sees the clock before anything else.
#[test]
fn a_standstill_is_no_silence_of_the_primary() {
    const TERM: Term = Term(1);
    let at = |time| Timestamp::ZERO + time;
    let settings = MemberSettings {
        name: "b".into(),
        peers: vec!["a".into(), "c".into()],
        election_timeout: Duration::from_millis(300),
        heartbeat: Duration::from_millis(50),
        joining: false,
        seed: 1,
    };
    let mut member = Member::new(settings, at(Duration::ZERO));
    member.hear_primary(at(Duration::ZERO), &"a".into(), TERM);
    member.stood_still(STANDSTILL);
    member.tick(at(STANDSTILL));
    assert!(!member.is_candidate());
    // Nobody is heard of for as long as a member waits, twice the shortest time at most.
    member.tick(at(STANDSTILL + Duration::from_millis(600)));
    assert!(member.is_candidate());
}
