//! Publishing and reading the configuration under the faults of the service.

use std::time::Duration;

use dyketally::configuration::{DocumentEdit, PublishOutcome, PublisherSettings, Winner};
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;
use dyketally_proxy::stores::ConfigurationStore;
use dyketally_proxy::stores::memory::{FaultPlan, Outage, RateLimit};
use dyketally_proxy::stores::operations::{
    Publication, PublishError, PublishRequest, current_documents, history, publish,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use crate::backend::{Backend, Implementation};
use crate::documents::{accepted, configuration, faulty_group, group, request};

fn patient() -> PublisherSettings {
    PublisherSettings {
        patience: Duration::from_secs(60),
        backoff: Duration::from_millis(5),
        longest_backoff: Duration::from_millis(50),
    }
}

async fn offer(
    store: &ConfigurationStore,
    request: PublishRequest,
) -> Result<Publication, PublishError> {
    offer_within(store, request, patient()).await
}

async fn offer_within(
    store: &ConfigurationStore,
    request: PublishRequest,
    settings: PublisherSettings,
) -> Result<Publication, PublishError> {
    let seed = rand::random();
    println!("seed {seed}");
    publish(store, request, settings, &mut StdRng::seed_from_u64(seed)).await
}

async fn revisions(store: &ConfigurationStore) -> Vec<u64> {
    let changes = history(store, None, 100).await.expect("the history");
    changes.iter().map(|change| change.revision.0).collect()
}

fn lost_replies(lost_replies: u32) -> FaultPlan {
    FaultPlan {
        lost_replies,
        ..FaultPlan::default()
    }
}

fn limited(requests_per_second: u32) -> FaultPlan {
    FaultPlan {
        rate_limit: Some(RateLimit {
            requests_per_second,
            burst: 1,
        }),
        ..FaultPlan::default()
    }
}

fn outage(outage: Outage) -> FaultPlan {
    FaultPlan {
        outage,
        ..FaultPlan::default()
    }
}

fn slow() -> FaultPlan {
    FaultPlan {
        delay_milliseconds: 30,
        ..FaultPlan::default()
    }
}

#[rstest]
#[case::none(FaultPlan::default())]
#[case::slow(slow())]
#[case::lost_reply(lost_replies(1))]
#[case::lost_replies(lost_replies(3))]
#[case::rate_limit(limited(20))]
#[tokio::test]
async fn a_change_is_accepted_once_whatever_happens_to_its_replies(
    #[case] faults: FaultPlan,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = configuration(backend.store());
    backend.set_faults(faults).await;
    let publication = offer(&store, request("anna", 0, group("1")))
        .await
        .expect("offered");
    assert_eq!(publication.outcome, accepted(1));
    backend.set_faults(FaultPlan::default()).await;
    let changes = history(&store, None, 10).await.expect("the history");
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].change_id, publication.change_id);
    assert_eq!(changes[0].author, "anna");
    let current = current_documents(&store).await.expect("the documents");
    assert_eq!(current.revision, Revision(1));
    assert!(current.documents.groups["ledger"].contains("SELECT 1"));
}

#[rstest]
#[case::refusing(Outage::Refuse)]
#[case::hanging(Outage::Hang)]
#[tokio::test]
async fn nothing_is_published_during_an_outage_and_the_operator_is_told(
    #[case] kind: Outage,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = configuration(backend.store());
    backend.set_faults(outage(kind)).await;
    let settings = PublisherSettings {
        patience: Duration::from_millis(200),
        ..patient()
    };
    let result = offer_within(&store, request("anna", 0, group("1")), settings).await;
    let error = result.expect_err("the service is down");
    assert!(matches!(error, PublishError::Unreadable(_)), "{error}");
    assert!(error.to_string().contains("try again"), "{error}");
    backend.set_faults(FaultPlan::default()).await;
    assert!(revisions(&store).await.is_empty());
}

#[rstest]
#[tokio::test]
async fn an_outage_that_passes_only_delays_the_publication(
    #[values(Outage::Refuse, Outage::Hang)] kind: Outage,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = configuration(backend.store());
    backend.set_faults(outage(kind)).await;
    let heal = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        backend.set_faults(FaultPlan::default()).await;
    };
    let (publication, ()) = tokio::join!(offer(&store, request("anna", 0, group("1"))), heal);
    assert_eq!(publication.expect("offered").outcome, accepted(1));
    assert_eq!(revisions(&store).await, [1]);
}

#[rstest]
#[tokio::test]
async fn of_two_operators_at_once_one_wins_and_the_other_learns_who(
    #[values(0, 1, 2)] lost: u32,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = configuration(backend.store());
    backend.set_faults(lost_replies(lost)).await;
    let (anna, bert) = tokio::join!(
        offer(&store, request("anna", 0, group("1"))),
        offer(&store, request("bert", 0, group("2"))),
    );
    let (anna, bert) = (anna.expect("offered"), bert.expect("offered"));
    let (won, lost, author) = match anna.outcome == accepted(1) {
        true => (anna, bert, "anna"),
        false => (bert, anna, "bert"),
    };
    assert_eq!(won.outcome, accepted(1));
    let winner = Winner {
        change_id: won.change_id,
        author: author.into(),
        revision: Revision(1),
    };
    let current = Revision(1);
    assert_eq!(lost.outcome, PublishOutcome::Conflict { winner, current });
    assert_eq!(revisions(&store).await, [1]);
}

#[rstest]
#[tokio::test]
async fn a_change_made_on_an_old_revision_conflicts_with_the_one_that_followed(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = configuration(backend.store());
    for seen in 0..3 {
        let author = format!("author {seen}");
        let offered = offer(&store, request(&author, seen, group("1"))).await;
        assert_eq!(offered.expect("offered").outcome, accepted(seen + 1));
    }
    let late = offer(&store, request("late", 1, faulty_group())).await;
    let PublishOutcome::Conflict { winner, current } = late.expect("offered").outcome else {
        panic!("a change on an old revision was accepted");
    };
    assert_eq!((winner.author.as_str(), current), ("author 1", Revision(3)));
    let early = offer(&store, request("early", 9, group("1"))).await;
    let current = Revision(3);
    let outcome = early.expect("offered").outcome;
    assert_eq!(outcome, PublishOutcome::ServiceBehind { current });
    assert_eq!(revisions(&store).await, [3, 2, 1]);
}

#[rstest]
#[case::faults_in_documents(request("anna", 0, faulty_group()))]
#[case::nothing_edited(PublishRequest { edits: Vec::new(), ..request("anna", 0, group("1")) })]
#[tokio::test]
async fn a_change_at_fault_is_not_offered(
    #[case] request: PublishRequest,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = configuration(backend.store());
    offer(&store, request)
        .await
        .expect_err("the change is at fault");
    assert!(revisions(&store).await.is_empty());
}

#[rstest]
#[tokio::test]
async fn the_last_edit_of_a_document_counts(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = configuration(backend.store());
    let remove = DocumentEdit::Remove {
        kind: DocumentKind::Group,
        name: "ledger".into(),
    };
    let edits = [
        vec![group("1"), group("2")],
        vec![remove.clone(), group("3")],
        vec![group("4"), remove],
    ];
    let expected = [Some("SELECT 2"), Some("SELECT 3"), None];
    for (seen, (edits, expected)) in edits.into_iter().zip(expected).enumerate() {
        let request = PublishRequest {
            edits,
            ..request("anna", seen as u64, group("1"))
        };
        let publication = offer(&store, request).await.expect("offered");
        assert_eq!(publication.outcome, accepted(seen as u64 + 1));
        let current = current_documents(&store).await.expect("the documents");
        let text = current.documents.groups.get("ledger");
        assert_eq!(text.is_some(), expected.is_some());
        assert!(text.is_none_or(|text| text.contains(expected.unwrap_or_default())));
    }
}

#[rstest]
#[tokio::test]
async fn the_history_is_read_in_pages_newest_first(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = configuration(backend.store());
    for seen in 0..12 {
        offer(&store, request("anna", seen, group("1")))
            .await
            .expect("offered");
    }
    let page = async |before: Option<u64>| -> Vec<u64> {
        let changes = history(&store, before.map(Revision), 5).await;
        let changes = changes.expect("the history");
        changes.iter().map(|change| change.revision.0).collect()
    };
    assert_eq!(page(None).await, [12, 11, 10, 9, 8]);
    assert_eq!(page(Some(8)).await, [7, 6, 5, 4, 3]);
    assert_eq!(page(Some(3)).await, [2, 1]);
}
