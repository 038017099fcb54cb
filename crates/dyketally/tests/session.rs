//! Session tokens, and the state that an edge keeps of a session.

use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::session::{Freshness, Session, SessionToken, TransactionStatus};
use proptest::prelude::*;
use rstest::rstest;

fn position(term: u64, offset: u64) -> LogPosition {
    let term = Term(term);
    LogPosition { term, offset }
}

fn session() -> Session {
    Session::new(GroupName::from("stock"))
}

#[rstest]
#[case::empty("")]
#[case::other_version("v2:stock:1:2")]
#[case::no_group("v1::1:2")]
#[case::short("v1:stock:1")]
#[case::long("v1:stock:1:2:3")]
#[case::negative("v1:stock:-1:2")]
#[case::too_large("v1:stock:1:18446744073709551616")]
fn malformed_tokens_are_refused(#[case] text: &str) {
    let refused = text.parse::<SessionToken>().unwrap_err();
    assert!(refused.to_string().contains("leave it out"));
}

proptest! {
    #[test]
    fn tokens_survive_their_text_form(group in "[a-z0-9-]{1,20}", term: u64, offset: u64) {
        let token = SessionToken { group: GroupName::new(group), seen: position(term, offset) };
        prop_assert_eq!(token.to_string().parse::<SessionToken>(), Ok(token));
    }

    #[test]
    fn parsing_any_text_never_panics(text in ".{0,60}") {
        let _ = text.parse::<SessionToken>();
    }
}

#[rstest]
#[case::nothing_seen(&[], None)]
#[case::one(&["v1:stock:1:7"], Some((1, 7)))]
#[case::earlier_position_is_ignored(&["v1:stock:1:7", "v1:stock:1:5"], Some((1, 7)))]
#[case::later_term_wins(&["v1:stock:1:9", "v1:stock:2:8"], Some((2, 8)))]
#[case::another_group(&["v1:stock:1:7", "v1:lobby:3:9"], None)]
fn offered_tokens_decide_freshness(#[case] tokens: &[&str], #[case] seen: Option<(u64, u64)>) {
    let mut session = session();
    for token in tokens {
        session.offer(&token.parse().unwrap());
    }
    let expected = seen.map_or(Freshness::Current, |(term, offset)| {
        Freshness::AtLeast(position(term, offset))
    });
    assert_eq!(session.freshness(), expected);
}

#[test]
fn a_transaction_is_pinned_from_its_first_batch_to_its_end() {
    let mut session = session();
    let database = DatabaseName::from("stock-a");
    session.done(&database, None, TransactionStatus::Open);
    session.done(&database, None, TransactionStatus::Failed);
    let pin = session.pin().unwrap().clone();
    assert_eq!((pin.number, &pin.database), (0, &database));
    session.done(&database, Some(position(1, 4)), TransactionStatus::Idle);
    assert_eq!(session.pin(), None);
    assert_eq!(session.token().unwrap().to_string(), "v1:stock:1:4");
    session.done(&database, None, TransactionStatus::Open);
    assert_eq!(session.pin().unwrap().number, 1);
    assert!(session.transaction_lost().is_some());
    assert_eq!(session.pin(), None);
}
