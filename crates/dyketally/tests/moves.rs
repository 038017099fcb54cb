//! How often the primary of a group may be moved to another region.

use dyketally::eligibility::PrimaryMoves;
use dyketally::identifiers::GroupName;
use dyketally::time::Timestamp;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

#[test]
fn a_group_is_moved_at_most_once_in_10_s() {
    let (orders, stock) = (GroupName::from("orders"), GroupName::from("stock"));
    let mut moves = PrimaryMoves::default();
    assert!(moves.may_move(&orders, at(0)));
    moves.record_move(&orders, at(0));
    assert!(!moves.may_move(&orders, at(9_999)));
    assert!(moves.may_move(&stock, at(9_999)));
    assert!(moves.may_move(&orders, at(10_000)));
}

#[test]
fn a_deferred_move_may_begin_again_after_1_s() {
    let orders = GroupName::from("orders");
    let mut moves = PrimaryMoves::default();
    moves.record_move(&orders, at(0));
    moves.defer(&orders, at(500));
    assert!(!moves.may_move(&orders, at(1_499)));
    assert!(moves.may_move(&orders, at(1_500)));
}
