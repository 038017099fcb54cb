//! Nodes pull the changes that they lack; late, repeated and invalid messages do no harm.

use std::time::Duration;

use dyketally::configuration::sync::{
    DocumentKey, PartOfSnapshot, PullReply, PullRequest, PullSettings, SyncAction, SyncSettings,
    Synchronizer,
};
use dyketally::configuration::{Document, Snapshot};
use dyketally::identifiers::NodeName;
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;
use dyketally::time::Timestamp;
use rstest::rstest;

use crate::sample::{change_by, changes, in_force, node_at};

const NOW: Timestamp = Timestamp::from_millis(1000);

fn settings(reply_bytes: usize, changes_kept: usize) -> SyncSettings {
    SyncSettings {
        pull: PullSettings {
            reply_bytes,
            changes_kept,
            ..PullSettings::default()
        },
        ..SyncSettings::default()
    }
}

fn node(revision: u64) -> Synchronizer {
    node_at("node", revision, SyncSettings::default())
}

fn name(name: &str) -> NodeName {
    name.into()
}

/// The request among `actions`.
fn request(actions: &[SyncAction]) -> Option<(NodeName, PullRequest)> {
    actions.iter().find_map(|action| match action {
        SyncAction::Pull { peer, request } => Some((peer.clone(), request.clone())),
        _ => None,
    })
}

/// Lets `node` pull from `peer` until it lacks nothing; returns the number of replies.
fn pull_all(node: &mut Synchronizer, peer: &Synchronizer) -> usize {
    let mut actions = node.peer_revision(name("peer"), peer.revision(), NOW);
    let mut replies = 0;
    while let Some((receiver, request)) = request(&actions) {
        replies += 1;
        assert!(
            replies < 1000,
            "the node still pulls after {replies} replies"
        );
        actions = node.pull_reply(&receiver, peer.pull_request(request), NOW);
    }
    replies
}

#[rstest]
#[case::level(5, 5, settings(1 << 16, 10), 0)]
#[case::peer_behind(5, 3, settings(1 << 16, 10), 0)]
#[case::changes_in_one_reply(2, 5, settings(1 << 16, 10), 1)]
#[case::changes_in_several_replies(0, 10, settings(60, 100), 5)]
#[case::one_change_larger_than_a_reply(0, 3, settings(1, 10), 3)]
#[case::snapshot_in_one_reply(0, 5, settings(1 << 16, 2), 1)]
#[case::snapshot_in_several_replies(0, 10, settings(30, 2), 5)]
#[case::one_document_larger_than_a_reply(0, 5, settings(1, 2), 5)]
fn a_node_that_is_behind_catches_up_in_bounded_replies(
    #[case] have: u64,
    #[case] ahead: u64,
    #[case] settings: SyncSettings,
    #[case] replies: usize,
) {
    let peer = node_at("peer", ahead, settings);
    let mut node = node_at("node", have, settings);
    assert_eq!(pull_all(&mut node, &peer), replies);
    assert_eq!(node.revision(), Revision(have.max(ahead)));
    if ahead >= have {
        assert_eq!(node.snapshot(), peer.snapshot());
    }
}

#[rstest]
#[case::duplicate(changes([3]), 3)]
#[case::old(changes([1, 2]), 3)]
#[case::next_and_duplicates(changes([3, 4, 4]), 4)]
#[case::reordered(changes([5, 4]), 4)]
#[case::gap(changes([5, 6]), 3)]
#[case::future(changes([u64::MAX]), 3)]
#[case::contradiction(vec![change_by(99, 3)], 3)]
#[case::nothing(Vec::new(), 3)]
fn changes_are_applied_in_order_or_not_at_all(
    #[case] changes: Vec<std::sync::Arc<dyketally::configuration::Change>>,
    #[case] revision: u64,
) {
    let mut node = node(3);
    let actions = node.pull_reply(&name("peer"), PullReply::Changes { changes }, NOW);
    assert_eq!(node.revision(), Revision(revision));
    let expected: Vec<Revision> = (revision > 3)
        .then_some(Revision(revision))
        .into_iter()
        .collect();
    assert_eq!(in_force(&actions), expected);
}

fn part(revision: u64, after: Option<&str>, last: bool, names: &[&str]) -> PullReply {
    let documents = names.iter().map(|name| Document {
        kind: DocumentKind::Tenant,
        name: (*name).into(),
        text: String::new(),
    });
    let after = after.map(|name| DocumentKey {
        kind: DocumentKind::Tenant,
        name: name.into(),
    });
    PullReply::Part {
        part: PartOfSnapshot {
            revision: Revision(revision),
            after,
        },
        last,
        documents: documents.collect(),
    }
}

#[rstest]
#[case::whole(vec![part(9, None, true, &["a"])], 9, &["a"])]
#[case::two_parts(vec![part(9, None, false, &["a"]), part(9, Some("a"), true, &["b"])], 9, &["a", "b"])]
#[case::first_part_again(
    vec![
        part(9, None, false, &["a"]),
        part(9, None, false, &["a"]),
        part(9, Some("a"), true, &["b"]),
    ],
    9,
    &["a", "b"]
)]
#[case::first_part_again_later(
    vec![
        part(9, None, false, &["a"]),
        part(9, Some("a"), false, &["b"]),
        part(9, None, false, &["a"]),
        part(9, Some("b"), true, &["c"]),
    ],
    9,
    &["a", "b", "c"]
)]
#[case::parts_of_two_revisions_are_not_mixed(
    vec![part(8, None, false, &["a"]), part(9, Some("a"), true, &["b"])],
    3,
    &[]
)]
#[case::newer_revision_begins_anew(
    vec![
        part(8, None, false, &["a"]),
        part(9, None, false, &["b"]),
        part(8, Some("a"), true, &["x"]),
        part(9, Some("b"), true, &["c"]),
    ],
    9,
    &["b", "c"]
)]
#[case::reordered(vec![part(9, Some("a"), true, &["b"]), part(9, None, false, &["a"])], 3, &[])]
#[case::a_part_is_missing(
    vec![part(9, None, false, &["a"]), part(9, Some("b"), true, &["c"])],
    3,
    &[]
)]
#[case::not_newer(vec![part(3, None, true, &["a"])], 3, &[])]
#[case::old(vec![part(2, None, true, &["a"])], 3, &[])]
#[case::empty_part_without_an_end(vec![part(9, None, false, &[])], 3, &[])]
fn a_snapshot_is_installed_whole_or_not_at_all(
    #[case] replies: Vec<PullReply>,
    #[case] revision: u64,
    #[case] names: &[&str],
) {
    let mut node = node(3);
    let before = node.snapshot().clone();
    for reply in replies {
        node.pull_reply(&name("peer"), reply, NOW);
    }
    assert_eq!(node.revision(), Revision(revision));
    if revision == 3 {
        assert_eq!(*node.snapshot(), before);
        return;
    }
    let tenants: Vec<&str> = node
        .snapshot()
        .documents
        .tenants
        .keys()
        .map(String::as_str)
        .collect();
    assert_eq!(tenants, names);
}

#[test]
fn snapshot_parts_may_come_from_peers_with_different_reply_sizes() {
    let large = node_at("large", 10, settings(40, 2));
    let small = node_at("small", 10, settings(20, 2));
    let mut node = node(0);
    let mut actions = node.peer_revision(name("peer"), Revision(10), NOW);
    let mut turn = 0;
    while let Some((receiver, request)) = request(&actions) {
        let peer = [&large, &small][turn % 2];
        turn += 1;
        assert!(turn < 1000, "the node still pulls after {turn} replies");
        actions = node.pull_reply(&receiver, peer.pull_request(request), NOW);
    }
    assert!(turn > 2);
    assert_eq!(node.snapshot(), large.snapshot());
}

#[rstest]
#[case::unknown_part(PartOfSnapshot { revision: Revision(77), after: None })]
#[case::part_past_the_end(PartOfSnapshot {
    revision: Revision(5),
    after: Some(DocumentKey { kind: DocumentKind::Tenant, name: "zzz".into() }),
})]
fn an_invalid_request_is_answered_within_bounds(#[case] part: PartOfSnapshot) {
    let peer = node_at("peer", 5, settings(30, 2));
    let request = PullRequest {
        have: Revision(0),
        part: Some(part),
    };
    let PullReply::Part { documents, .. } = peer.pull_request(request) else {
        panic!("the peer doesn't keep the changes");
    };
    assert!(documents.len() <= 2, "{documents:?}");
}

#[test]
fn after_a_timeout_the_next_peer_gets_the_request() {
    let mut node = node(3);
    let first = request(&node.peer_revision(name("a"), Revision(5), NOW));
    assert_eq!(first.expect("a request").0, name("a"));
    assert_eq!(node.peer_revision(name("b"), Revision(4), NOW), []);
    let late = NOW + PullSettings::default().timeout;
    assert_eq!(node.tick(late - Duration::from_millis(1)), []);
    let second = request(&node.tick(late)).expect("a request");
    assert_eq!(second.0, name("b"));
    assert_eq!(node.counters().pull_timeouts, 1);
    let reply = PullReply::Changes {
        changes: changes([4, 5]),
    };
    let actions = node.pull_reply(&name("a"), reply, late);
    assert_eq!(
        in_force(&actions),
        [Revision(5)],
        "a late reply is still applied"
    );
}

#[test]
fn a_peer_that_claims_a_revision_it_does_not_have_gets_one_request() {
    let mut node = node(3);
    let mut actions = node.peer_revision(name("liar"), Revision(u64::MAX), NOW);
    let mut requests = 0;
    while let Some((peer, _)) = request(&actions) {
        requests += 1;
        assert_eq!(requests, 1);
        let reply = PullReply::Changes {
            changes: Vec::new(),
        };
        actions = node.pull_reply(&peer, reply, NOW);
    }
    assert_eq!(requests, 1);
    assert_eq!(node.tick(NOW + Duration::from_secs(60)), []);
}

#[test]
fn a_fresh_node_starts_from_a_peer_without_the_service() {
    let peer = node_at("peer", 5, settings(30, 2));
    let mut fresh = Synchronizer::new(name("fresh"), SyncSettings::default(), 1);
    fresh.set_relays(&[name("fresh")], 1, NOW);
    pull_all(&mut fresh, &peer);
    assert_eq!(fresh.snapshot(), peer.snapshot());
    assert_eq!(fresh.counters().watches_opened, 0);
}

#[test]
fn each_advance_is_reported_once_with_the_newest_documents() {
    let mut node = node(0);
    let reply = PullReply::Changes {
        changes: changes(1..=4),
    };
    let actions = node.pull_reply(&name("peer"), reply, NOW);
    let [
        SyncAction::InForce(Snapshot {
            revision,
            documents,
        }),
    ] = actions.as_slice()
    else {
        panic!("{actions:?}");
    };
    assert_eq!(*revision, Revision(4));
    assert_eq!(documents.tenants.len(), 4);
}
