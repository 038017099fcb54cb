//! How unfinished messages are read.

use dyketally_gateway::decision::intake::SmallReads;

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
