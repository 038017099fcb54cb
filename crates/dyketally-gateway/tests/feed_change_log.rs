//! Load pattern: all nodes of a fleet start, or half of them are lost, so that a relay's watch delivers hundreds of changes
//! in one reply. The changes were kept for followers by number, 256 at most: with more nodes than that all followers were
//! too far behind before the first of them could send anything. Each left its relay, for one of another region if need be,
//! and had all keys copied again.

use bytes::Bytes;
use dyketally_gateway::store::feed::change_log::{ChangeLog, Follower, TooFarBehind};
use rstest::rstest;

/// Length of a change of a node's record or of an announcement, in bytes.
const CHANGE_BYTES: usize = 250;
const FOLLOWERS: usize = 80;

fn change(number: usize) -> Bytes {
    let mut bytes = vec![0; CHANGE_BYTES];
    bytes[..8].copy_from_slice(&(number as u64).to_be_bytes());
    Bytes::from(bytes)
}

fn follow(log: &ChangeLog) -> Vec<Follower> {
    (0..FOLLOWERS).map(|_| log.follow()).collect()
}

#[rstest]
#[case(250)]
#[case(1_000)]
#[case(2_000)]
fn no_follower_needs_all_keys_after_each_node_and_database_changed_at_once(#[case] nodes: usize) {
    let databases = 3 * nodes;
    let log = ChangeLog::default();
    let mut followers = follow(&log);
    let keys = nodes + databases;
    let changes: Vec<Bytes> = (0..keys).map(change).collect();
    for change in &changes {
        log.push(change.clone(), keys * CHANGE_BYTES);
    }
    for follower in &mut followers {
        assert_eq!(follower.take(&log).as_ref(), Ok(&changes));
    }
}

#[test]
fn a_follower_gets_each_change_once_and_in_order() {
    let log = ChangeLog::default();
    log.push(change(0), 0);
    let mut follower = log.follow();
    assert_eq!(follower.take(&log), Ok(Vec::new()));
    log.push(change(1), 0);
    log.push(change(2), 0);
    assert_eq!(follower.take(&log), Ok(vec![change(1), change(2)]));
    log.push(change(3), 0);
    assert_eq!(follower.take(&log), Ok(vec![change(3)]));
}

#[test]
fn a_follower_that_lacks_more_than_all_keys_needs_them_anew() {
    let log = ChangeLog::default();
    let mut follower = log.follow();
    let long = Bytes::from(vec![0; 600 << 10]);
    for _ in 0..3 {
        log.push(long.clone(), 0);
    }
    assert_eq!(follower.take(&log), Err(TooFarBehind));
}

#[test]
fn the_log_keeps_no_more_bytes_than_the_keys_have() {
    let log = ChangeLog::default();
    let mut early = log.follow();
    let long = Bytes::from(vec![0; 600 << 10]);
    for _ in 0..3 {
        log.push(long.clone(), 3 * long.len());
    }
    assert_eq!(early.take(&log).map(|messages| messages.len()), Ok(3));
    let mut late = log.follow();
    log.push(long.clone(), 0);
    log.push(long.clone(), 0);
    assert_eq!(late.take(&log), Err(TooFarBehind));
}
