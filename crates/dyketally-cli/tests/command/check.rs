//! Commands that need no service, and wrong command lines.

use rstest::rstest;

use super::support::{CHECK_FAILED, OK, UNAVAILABLE, USAGE, changed_example, dyketally, example};

#[rstest]
#[case::help(&["--help"], OK, "Exit codes:")]
#[case::completions(&["completions", "bash"], OK, "_dyketally()")]
#[case::completions_of_zsh(&["completions", "zsh"], OK, "#compdef dyketally")]
#[case::no_command(&[], USAGE, "")]
#[case::unknown_command(&["tenants"], USAGE, "")]
#[case::unknown_flag(&["status", "--nodes", "1"], USAGE, "")]
#[case::malformed_node(&["status", "--node", "proxy-1"], USAGE, "")]
#[case::check_without_files(&["template", "check"], USAGE, "")]
#[case::no_service(&["tenant", "list"], USAGE, "")]
#[case::malformed_url(&["tenant", "list", "--key-value", "https://10.0.0.1:2379"], USAGE, "")]
#[case::malformed_patience(&["tenant", "set", "x", "--patience", "long"], USAGE, "")]
#[case::missing_file(&["template", "check", "no-such-file.toml"], CHECK_FAILED, "")]
#[case::no_such_service(&["tenant", "list", "--key-value", "http://127.0.0.1:1"], UNAVAILABLE, "")]
#[tokio::test]
async fn exit_codes(#[case] arguments: &[&str], #[case] code: i32, #[case] printed: &str) {
    let ran = dyketally(arguments).await.expect(code);
    ran.stdout_has(&[printed]);
    let told = !ran.stderr.is_empty();
    assert_eq!(told, code != OK, "{ran:#?}");
}

#[tokio::test]
async fn sound_templates_are_named() {
    let (orders, lobby) = (
        example("templates/orders.toml"),
        example("templates/lobby.toml"),
    );
    let ran = dyketally(&["template", "check", &orders, &lobby]).await;
    let ran = ran.expect(OK);
    ran.stdout_has(&[
        "template \"orders\" is sound",
        "template \"lobby\" is sound",
    ]);
}

#[tokio::test]
async fn the_faults_of_all_files_are_told_at_once() {
    let file = "templates/lobby.toml";
    let weight = changed_example("zero-weight", file, "\"${weight}\"", "0");
    let deadline = changed_example("no-unit", file, "\"3s\"", "3");
    let ran = dyketally(&["template", "check", &weight, &deadline]).await;
    let ran = ran.expect(CHECK_FAILED);
    ran.stderr_has(&[
        "error: 5 faults; mend all of them",
        "zero-weight.toml: parameters.weight: is declared but not used",
        "zero-weight.toml: weight: is 0; set it to a value from 1 to 1000",
        "no-unit.toml: statements[6].deadline: is 3; set it to a duration",
    ]);
}
