//! Differences (deltas) between two versions of a document.

use dyketally::delta::Delta;
use proptest::prelude::*;
use rstest::rstest;

fn document(version: u32, routes: std::ops::Range<u32>) -> String {
    let routes: Vec<String> = routes
        .map(|route| format!("{{\"name\":\"r-{route}\",\"timeout_ms\":{}}}", route % 7))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}]}}",
        routes.join(",")
    )
}

#[rstest]
#[case::the_same(document(1, 0..500), document(1, 0..500))]
#[case::only_the_version(document(1, 0..500), document(2, 0..500))]
#[case::one_more_at_the_end(document(1, 0..500), document(2, 0..501))]
#[case::one_less_at_the_start(document(1, 0..500), document(2, 1..500))]
#[case::one_replaced(
    document(1, 0..500),
    document(2, 0..500).replace("r-250\"", "renamed\"")
)]
fn a_small_change_makes_a_small_difference(#[case] old: String, #[case] new: String) {
    let delta = Delta::between(old.as_bytes(), new.as_bytes()).expect("a difference");
    assert_eq!(delta.apply(old.as_bytes()), Some(new.into_bytes()));
    let encoded = postcard::to_stdvec(&delta).expect("encodes");
    assert!(encoded.len() < 150, "{} bytes", encoded.len());
}

#[test]
fn a_difference_that_reaches_beyond_the_older_version_isnt_applied() {
    let (old, new) = (document(1, 0..50), document(2, 0..50));
    let delta = Delta::between(old.as_bytes(), new.as_bytes()).expect("a difference");
    assert_eq!(delta.apply(&old.as_bytes()[..40]), None);
}

fn text() -> impl Strategy<Value = Vec<u8>> {
    // Few letters, so that pieces repeat.
    prop::collection::vec(prop::sample::select(b"ab{},".to_vec()), 0..300)
}

proptest! {
    #[test]
    fn applying_a_difference_gives_the_newer_version(old in text(), new in text()) {
        let delta = Delta::between(&old, &new).expect("a difference");
        prop_assert_eq!(delta.apply(&old), Some(new));
    }

    #[test]
    fn applying_to_another_version_never_panics(old in text(), new in text(), other in text()) {
        let delta = Delta::between(&old, &new).expect("a difference");
        let _ = delta.apply(&other);
    }
}
