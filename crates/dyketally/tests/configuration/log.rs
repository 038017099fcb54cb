//! The configuration log applies only newer changes, and gives peers the changes that they lack.

use std::sync::Arc;

use dyketally::configuration::{
    Applied, Change, ChangeError, ChangeId, ConfigurationLog, DocumentEdit, Installed,
    LARGEST_CHANGE_BYTES, MOST_EDITS, Missing, Snapshot,
};
use dyketally::policy::Revision;
use dyketally::template::{DocumentKind, Documents};
use rstest::rstest;

use crate::sample::{change, change_by, change_id, changes, put};

fn log_at(revision: u64, kept: usize) -> ConfigurationLog {
    let mut log = ConfigurationLog::new(kept);
    for change in changes(1..=revision) {
        assert_eq!(log.apply(change), Applied::InForce);
    }
    log
}

#[rstest]
#[case::next(change(4), Applied::InForce, 4)]
#[case::newest_again(change(3), Applied::AlreadyKnown, 3)]
#[case::older(change(1), Applied::AlreadyKnown, 3)]
#[case::revision_zero(change(0), Applied::AlreadyKnown, 3)]
#[case::after_a_gap(change(5), Applied::Gap, 3)]
#[case::far_in_the_future(change(u64::MAX), Applied::Gap, 3)]
#[case::other_change_of_the_newest_revision(change_by(99, 3), Applied::Contradiction, 3)]
#[case::other_change_of_an_older_revision(change_by(99, 2), Applied::Contradiction, 3)]
#[case::other_change_no_longer_kept(change_by(99, 1), Applied::AlreadyKnown, 3)]
fn only_the_next_change_is_applied(
    #[case] offered: Arc<Change>,
    #[case] expected: Applied,
    #[case] revision: u64,
) {
    let mut log = log_at(3, 2);
    let before = log.snapshot().clone();
    assert_eq!(log.apply(offered), expected);
    assert_eq!(log.revision(), Revision(revision));
    assert_eq!(*log.snapshot() == before, expected != Applied::InForce);
}

#[rstest]
#[case::newer(4, Installed::InForce, 4)]
#[case::same(3, Installed::NotNewer, 3)]
#[case::older(2, Installed::NotNewer, 3)]
fn only_a_newer_snapshot_is_installed(
    #[case] revision: u64,
    #[case] expected: Installed,
    #[case] after: u64,
) {
    let mut log = log_at(3, 10);
    let snapshot = Snapshot {
        revision: Revision(revision),
        documents: Arc::new(Documents::default()),
    };
    assert_eq!(log.install(snapshot), expected);
    assert_eq!(log.revision(), Revision(after));
    if expected == Installed::InForce {
        assert_eq!(log.since(Revision(revision - 1)), Missing::Snapshot);
        assert_eq!(log.apply(change(revision + 1)), Applied::InForce);
    }
}

#[rstest]
#[case::peer_is_ahead(9, Missing::Nothing)]
#[case::level(6, Missing::Nothing)]
#[case::one_behind(5, Missing::Changes(changes([6])))]
#[case::as_far_as_is_kept(3, Missing::Changes(changes([4, 5, 6])))]
#[case::further_than_is_kept(2, Missing::Snapshot)]
#[case::fresh(0, Missing::Snapshot)]
fn a_peer_gets_the_changes_it_lacks_or_the_snapshot(#[case] have: u64, #[case] missing: Missing) {
    assert_eq!(log_at(6, 3).since(Revision(have)), missing);
}

#[test]
fn the_edits_of_a_change_take_effect_together() {
    let mut log = ConfigurationLog::new(1);
    let first = Change {
        edits: vec![put("a", "1"), put("b", "1")],
        ..(*change(1)).clone()
    };
    let remove = DocumentEdit::Remove {
        kind: DocumentKind::Tenant,
        name: "a".into(),
    };
    let second = Change {
        edits: vec![put("b", "2"), remove.clone(), remove],
        ..(*change(2)).clone()
    };
    log.apply(Arc::new(first));
    log.apply(Arc::new(second));
    let expected = [("b".to_owned(), "2".to_owned())];
    assert_eq!(log.snapshot().documents.tenants, expected.into());
}

#[rstest]
#[case::empty(Vec::new(), Err(ChangeError::Empty))]
#[case::one(vec![put("a", "1")], Ok(()))]
#[case::most_edits(vec![put("a", "1"); MOST_EDITS], Ok(()))]
#[case::too_many_edits(
    vec![put("a", "1"); MOST_EDITS + 1],
    Err(ChangeError::TooManyEdits { edits: MOST_EDITS + 1 })
)]
#[case::too_large(
    vec![put("", &"x".repeat(LARGEST_CHANGE_BYTES + 1))],
    Err(ChangeError::TooLarge { bytes: LARGEST_CHANGE_BYTES + 1 })
)]
fn a_change_is_bounded(
    #[case] edits: Vec<DocumentEdit>,
    #[case] expected: Result<(), ChangeError>,
) {
    let change = Change {
        author: String::new(),
        edits,
        ..(*change(1)).clone()
    };
    assert_eq!(change.check_bounds(), expected);
}

#[test]
fn an_identifier_is_read_back_from_its_text() {
    let id = change_id(7);
    assert_eq!(id.to_string().len(), 32);
    assert_eq!(id.to_string().parse(), Ok(id));
    assert_eq!(
        "not hexadecimal".parse::<ChangeId>(),
        Err(ChangeError::MalformedId)
    );
}
