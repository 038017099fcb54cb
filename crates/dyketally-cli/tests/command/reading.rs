//! Commands that show what is published.

use super::support::{CHECK_FAILED, OK, Platform, changed_example, example};

const LOBBY: &str = "templates/lobby.toml";

#[tokio::test]
async fn an_empty_configuration_is_shown_as_such() {
    let platform = Platform::start().await;
    let tenants = platform.run(&["tenant", "list"]).await;
    tenants.expect(OK).stdout_has(&["tenants: none"]);
    let history = platform
        .run(&["template", "history", "--output", "json"])
        .await;
    assert_eq!(history.expect(OK).json(), serde_json::json!([]));
    let shown = platform.run(&["template", "show", "lobby"]).await;
    shown
        .expect(CHECK_FAILED)
        .stderr_has(&["there is no template \"lobby\" at revision 0; there are: none"]);
}

#[tokio::test]
async fn a_template_is_shown_as_it_was_written() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let shown = platform
        .run(&["template", "show", "lobby"])
        .await
        .expect(OK);
    let written = std::fs::read_to_string(example(LOBBY)).expect("example");
    assert_eq!(shown.stdout.trim_end(), written.trim_end());
    let shown = platform.run(&["template", "show", "lobbies"]).await;
    shown.expect(CHECK_FAILED).stderr_has(&["there are: lobby"]);
}

#[tokio::test]
async fn tenants_are_listed_with_their_templates_filled_in() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let tenants = platform.run(&["tenant", "list"]).await.expect(OK);
    tenants.stdout_has(&[
        "racers-erie",
        "lobby",
        "400",
        "majority-position",
        "lobby -> lobby-1",
    ]);
    let tenants = platform.run(&["tenant", "list", "--output", "json"]).await;
    let tenants = tenants.expect(OK).json();
    assert_eq!(tenants[0]["tenant"], "racers-erie");
    assert_eq!(tenants[0]["weight"], 10);
}

#[tokio::test]
async fn groups_are_listed_by_database() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let groups = platform.run(&["group", "list", "--output", "json"]).await;
    let groups = groups.expect(OK).json();
    let zones: Vec<&str> = (0..3)
        .filter_map(|index| groups[index]["zone"].as_str())
        .collect();
    assert_eq!(zones, ["erie", "huron", "superior"]);
    assert_eq!(groups[0]["connection_limit"], 100);
    let groups = platform.run(&["group", "list"]).await.expect(OK);
    groups.stdout_has(&["lobby-1-superior", "10.2.3.101:5432"]);
}

#[tokio::test]
async fn history_lists_the_newest_change_first() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let history = platform.run(&["template", "history"]).await.expect(OK);
    history.stdout_has(&[
        "set group lobby-1",
        "set template lobby",
        "set tenant racers-erie",
        "anna",
    ]);
    let history = platform
        .run(&["template", "history", "--output", "json"])
        .await;
    let history = history.expect(OK).json();
    assert_eq!(history[0]["revision"], 3);
    assert_eq!(history[2]["revision"], 1);
    let of_template = platform
        .run(&["template", "history", "lobby", "--output", "json"])
        .await;
    let of_template = of_template.expect(OK).json();
    assert_eq!(of_template[0]["revision"], 2);
    assert_eq!(of_template.as_array().map(Vec::len), Some(1));
    let newest = platform
        .run(&["template", "history", "--limit", "1", "--output", "json"])
        .await;
    assert_eq!(newest.expect(OK).json().as_array().map(Vec::len), Some(1));
}

#[tokio::test]
async fn a_file_is_compared_with_the_published_template() {
    let platform = Platform::start().await;
    platform.publish_examples().await;
    let same = platform.run(&["template", "diff", &example(LOBBY)]).await;
    same.expect(OK)
        .stdout_has(&["is the same as lobby at revision 3"]);
    let file = changed_example("diff", LOBBY, "default = 10", "default = 20");
    let changed = platform.run(&["template", "diff", &file]).await;
    changed
        .expect(OK)
        .stdout_has(&["--- lobby at revision 3", "-default = 10", "+default = 20"]);
    let other = platform
        .run(&["template", "diff", &example("templates/orders.toml")])
        .await;
    other
        .expect(CHECK_FAILED)
        .stderr_has(&["there is no template \"orders\""]);
}
