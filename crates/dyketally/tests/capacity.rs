//! How many sessions a node accepts for its file descriptors.

use dyketally::capacity::{Capacity, SessionVerdict};
use rstest::rstest;

fn with_descriptors(descriptors: u32) -> Capacity {
    Capacity {
        descriptors: Some(descriptors),
        memory_mb: None,
    }
}

#[rstest]
#[case::first(4_300, 0, SessionVerdict::Serve)]
#[case::last_that_fits(4_300, 3_659, SessionVerdict::Serve)]
#[case::one_too_many(4_300, 3_660, SessionVerdict::Refuse)]
#[case::last_that_gets_an_answer(4_300, 3_787, SessionVerdict::Refuse)]
#[case::no_descriptor_left_to_answer(4_300, 3_788, SessionVerdict::Close)]
#[case::few_descriptors(100, 15, SessionVerdict::Serve)]
#[case::few_descriptors_used_up(100, 16, SessionVerdict::Refuse)]
fn sessions_leave_descriptors_for_other_uses(
    #[case] descriptors: u32,
    #[case] open: u32,
    #[case] expected: SessionVerdict,
) {
    assert_eq!(with_descriptors(descriptors).judge(open), expected);
}

#[test]
fn a_node_without_limits_accepts_all_sessions() {
    let unlimited = Capacity::default();
    assert_eq!(unlimited.judge(u32::MAX), SessionVerdict::Serve);
    assert!(!unlimited.is_full(u32::MAX, false));
}

#[rstest]
#[case::not_yet(3_659, false, false)]
#[case::full(3_660, false, true)]
#[case::stays_full(3_400, true, true)]
#[case::is_no_longer_full(3_294, true, false)]
fn a_full_node_accepts_again_at_nine_tenths(
    #[case] open: u32,
    #[case] was_full: bool,
    #[case] expected: bool,
) {
    assert_eq!(with_descriptors(4_300).is_full(open, was_full), expected);
}
