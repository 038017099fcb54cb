//! Load pattern: hundreds of nodes, each of which runs a few statements a second. When each requested the short contact
//! ten times a second all the same, these requests and their replies were most of all messages between nodes.

use std::time::Duration;

use dyketally::failover::{Contact, SHORT_CONTACT_DURATION};
use dyketally::time::Timestamp;
use rstest::rstest;

const SECONDS: u64 = 10;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

/// How many requests a node sends in ten seconds in which it runs `statements` at equal intervals; each is granted at
/// once.
fn requests(statements: u64) -> u64 {
    let mut contact = Contact::default();
    contact.rest();
    let times = (0..statements).map(|number| at(1 + number * SECONDS * 1_000 / statements));
    let mut requests = 0;
    for now in times {
        contact.record_store_reply(now);
        if contact.needs_grant(now) {
            contact.end_rest(now);
            contact.record_grant(now);
            contact.rest();
            requests += 1;
        }
        assert!(contact.is_in_contact(now));
    }
    requests
}

#[rstest]
#[case::no_statement(0, 0)]
#[case::two_a_second(20, 20)]
#[case::a_hundred_a_second(1_000, 40)]
#[case::ten_thousand_a_second(100_000, 40)]
fn requests_are_made_for_statements_and_at_most_four_a_second(
    #[case] statements: u64,
    #[case] expected: u64,
) {
    assert!(requests(statements) <= expected, "{}", requests(statements));
}

#[test]
fn a_node_that_rests_is_not_late_and_polls_no_other_nodes_for_grants() {
    let mut contact = Contact::default();
    contact.record_store_reply(at(10_000));
    contact.record_grant(at(1_000));
    assert!(contact.is_grant_late(at(10_000)));
    contact.rest();
    assert!(!contact.is_grant_late(at(10_000)));
    assert!(contact.ask_nodes_at(None) > Some(at(12_000)));
}

#[test]
fn a_node_that_rests_is_not_in_contact_once_its_grant_has_ended() {
    let mut contact = Contact::default();
    contact.record_store_reply(at(10_000));
    contact.record_grant(at(10_000));
    contact.rest();
    let ended = at(10_000) + SHORT_CONTACT_DURATION;
    assert!(!contact.is_in_contact(ended));
    assert!(contact.is_available(ended));
}

#[test]
fn a_request_for_a_statement_is_late_once_it_had_no_reply_for_150_ms() {
    let mut contact = Contact::default();
    contact.record_store_reply(at(10_000));
    contact.record_grant(at(1_000));
    contact.rest();
    contact.end_rest(at(10_000));
    assert!(!contact.is_grant_late(at(10_149)));
    assert!(contact.is_grant_late(at(10_150)));
    assert_eq!(contact.ask_nodes_at(None), Some(at(10_150)));
    assert!(!contact.is_available(at(10_000) + SHORT_CONTACT_DURATION));
}

#[test]
fn a_grant_in_force_for_more_than_half_of_its_time_is_not_requested_again() {
    let mut contact = Contact::default();
    contact.rest();
    contact.record_grant(at(10_000));
    let half = SHORT_CONTACT_DURATION / 2;
    assert!(!contact.needs_grant(at(10_000) + half - Duration::from_millis(1)));
    assert!(contact.needs_grant(at(10_000) + half));
}
