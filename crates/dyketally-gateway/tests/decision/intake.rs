//! How unfinished messages are read.

use std::time::Duration;

use dyketally_gateway::decision::intake::{Arrival, SmallReads, is_late, next_check};
use rstest::rstest;
use tokio::time::Instant;

fn after(reads: impl IntoIterator<Item = usize>) -> SmallReads {
    let mut small_reads = SmallReads::default();
    reads
        .into_iter()
        .for_each(|bytes| small_reads.record(bytes));
    small_reads
}

/// Each piece of a byte woke the node, 8,000 times a second for four callers.
#[test]
fn a_message_in_tiny_pieces_is_read_less_often() {
    assert_eq!(after([1; 15]).pause(), None);
    assert!(after([1; 16]).pause().is_some());
}

#[test]
fn a_long_message_in_packets_is_read_as_it_comes() {
    assert_eq!(after([1_448; 725]).pause(), None);
}

#[test]
fn a_message_in_a_few_small_pieces_is_read_as_it_comes() {
    assert_eq!(after([40, 200, 13]).pause(), None);
}

fn arrival(began: Instant, reserved: Option<Duration>, is_contended: bool) -> Arrival {
    Arrival {
        began: Some(began),
        reserved: reserved.map(|after| began + after),
        is_contended,
    }
}

/// Unfinished messages of clients that never end them kept the memory that others waited for.
#[rstest]
#[case::alone(Some(0), false, 5_000, false)]
#[case::others_wait(Some(0), true, 499, false)]
#[case::in_the_way_of_others(Some(0), true, 500, true)]
#[case::reserved_just_now(Some(4_800), true, 5_000, false)]
#[case::short_without_memory(None, false, 29_999, false)]
#[case::never_ended(None, false, 30_000, true)]
#[case::never_ended_though_alone(Some(0), false, 30_000, true)]
fn an_unfinished_message_is_late(
    #[case] reserved_ms: Option<u64>,
    #[case] is_contended: bool,
    #[case] now_ms: u64,
    #[case] expected: bool,
) {
    let began = Instant::now();
    let reserved = reserved_ms.map(Duration::from_millis);
    let arrival = arrival(began, reserved, is_contended);
    let now = began + Duration::from_millis(now_ms);
    assert_eq!(is_late(&arrival, now), expected);
}

#[test]
fn a_connection_without_a_message_isnt_checked() {
    assert_eq!(next_check(&Arrival::default(), Instant::now()), None);
}
