//! Publishing: by compare-and-swap on the revision that the operator saw.

use dyketally_proxy::stores::memory::{FaultPlan, Outage};

use super::support::{
    CHECK_FAILED, CONFLICT, OK, Platform, Ran, UNAVAILABLE, UNKNOWN, changed_example, example,
    run_at,
};
use crate::lossy::LossyService;

const LOBBY: &str = "templates/lobby.toml";

#[tokio::test]
async fn each_change_makes_the_next_revision() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let file = changed_example("more-weight", LOBBY, "default = 10", "default = 20");
    let ran = platform.run(&["template", "publish", &file]).await;
    ran.expect(OK)
        .stdout_has(&["published template \"lobby\" as revision 4"]);
    let ran = platform.run(&["tenant", "remove", "racers-erie"]).await;
    ran.expect(OK)
        .stdout_has(&["removed tenant \"racers-erie\" as revision 5"]);
    assert_eq!(platform.revision().await, 5);
}

#[tokio::test]
async fn the_same_document_again_changes_nothing() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let ran = platform
        .run(&["template", "publish", &example(LOBBY)])
        .await;
    ran.expect(OK).stdout_has(&["nothing was published"]);
    assert_eq!(platform.revision().await, 3);
}

#[tokio::test]
async fn a_document_at_fault_is_refused_whole() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let file = changed_example(
        "recorded-read",
        LOBBY,
        "access = \"write\"",
        "access = \"read\"",
    );
    let ran = platform.run(&["template", "publish", &file]).await;
    ran.expect(CHECK_FAILED)
        .stderr_has(&["statements[0].repeat: records a read"]);
    assert_eq!(platform.revision().await, 3);
}

/// A change is checked together with the documents that depend on it.
#[tokio::test]
async fn a_change_that_breaks_another_document_is_refused() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let required = changed_example("required", LOBBY, "default = 400\n", "");
    let required = platform.run(&["template", "publish", &required]).await;
    required
        .expect(CHECK_FAILED)
        .stderr_has(&["tenant \"racers-erie\": parameters.queue_limit: is missing"]);
    let removed = platform.run(&["group", "remove", "lobby-1"]).await;
    removed
        .expect(CHECK_FAILED)
        .stderr_has(&["tenant \"racers-erie\": databases.lobby: names the group"]);
    let unknown = platform
        .run(&["tenant", "set", &example("tenants/shops.toml")])
        .await;
    unknown
        .expect(CHECK_FAILED)
        .stderr_has(&["names the template \"orders\", which doesn't exist"]);
    assert_eq!(platform.revision().await, 3);
}

#[tokio::test]
async fn of_two_operators_at_once_one_wins_and_the_other_is_told() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let anna = changed_example("anna", LOBBY, "default = 10", "default = 20");
    let bert = changed_example("bert", LOBBY, "default = 10", "default = 30");
    let publish = async |file: &str, author: &str| -> Ran {
        let seen = ["--expect-revision", "3", "--author", author];
        platform
            .run(&[&["template", "publish", file], &seen[..]].concat())
            .await
    };
    let (anna, bert) = tokio::join!(publish(&anna, "anna"), publish(&bert, "bert"));
    let (winner, loser) = match anna.code {
        OK => ("anna", bert),
        _ => ("bert", anna),
    };
    let winner = format!("{winner} published revision 4");
    loser.expect(CONFLICT).stderr_has(&[
        "nothing was published: you expected revision 3",
        &winner,
        "publish again with --expect-revision 4",
    ]);
    assert_eq!(platform.revision().await, 4);
}

#[tokio::test]
async fn an_old_revision_is_refused_and_the_change_after_it_named() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let file = changed_example("stale", LOBBY, "default = 10", "default = 20");
    let ran = platform
        .run(&["template", "publish", &file, "--expect-revision", "1"])
        .await;
    ran.expect(CONFLICT).stderr_has(&[
        "anna published revision 2 (set template lobby) first",
        "at revision 3 now",
        "--expect-revision 3",
    ]);
    let ran = platform
        .run(&["template", "publish", &file, "--expect-revision", "9"])
        .await;
    ran.expect(CONFLICT)
        .stderr_has(&["revision 9 is expected, but the service is at revision 3"]);
    assert_eq!(platform.revision().await, 3);
}

#[tokio::test]
async fn a_change_whose_reply_is_lost_is_recognised() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let file = changed_example("lost", LOBBY, "default = 10", "default = 20");
    platform.running.store().set_faults(FaultPlan {
        lost_replies: 1,
        ..FaultPlan::default()
    });
    let ran = platform.run(&["template", "publish", &file]).await;
    ran.expect(OK).stdout_has(&["as revision 4"]);
    assert_eq!(platform.revision().await, 4);
}

#[tokio::test]
async fn during_an_outage_nothing_is_changed() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let file = changed_example("outage", LOBBY, "default = 10", "default = 20");
    platform.running.store().set_faults(FaultPlan {
        outage: Outage::Refuse,
        ..FaultPlan::default()
    });
    let arguments = ["template", "publish", &file, "--patience", "1s"];
    let ran = platform.run(&arguments).await.expect(UNAVAILABLE);
    ran.stderr_has(&["nothing was changed"]);
    platform.running.store().set_faults(FaultPlan::default());
    assert_eq!(platform.revision().await, 3);
}

/// The service takes the change, loses the reply and falls silent: it can't be told.
#[tokio::test]
async fn an_unknown_outcome_is_told_as_such() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let lossy = LossyService::start(platform.url()).await;
    let file = changed_example("unknown", LOBBY, "default = 10", "default = 20");
    let arguments = ["template", "publish", &file, "--patience", "1s"];
    let ran = run_at(lossy.url(), &arguments).await.expect(UNKNOWN);
    ran.stderr_has(&[
        "it is unknown whether change",
        "--expect-revision 3 is safe",
    ]);
    assert_eq!(platform.revision().await, 4);
    let again = ["template", "publish", &file, "--expect-revision", "3"];
    platform.run(&again).await.expect(CONFLICT);
    let again = platform.run(&["template", "publish", &file]).await;
    again.expect(OK).stdout_has(&["nothing was published"]);
}
