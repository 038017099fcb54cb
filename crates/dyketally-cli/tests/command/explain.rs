//! From a request's id to its cause, by the logs alone.

use std::path::PathBuf;

use super::support::{CHECK_FAILED, OK, dyketally};

/// Lines of a bench run, shortened: a primary stepped down while a transaction was open.
const COLLECTED: &str = r#"
  21.7 node-2 {"at_ms":15792,"dropped":0,"event":"failover_step","group":"pugo87a","step":"start","detail":"Leaves(i-c1a6)"}
  21.8 node-2 {"at_ms":15900,"dropped":0,"event":"failover_step","group":"other","step":"start","detail":"Lost(i-0000)"}
  22.0 node-3 {"at_ms":12148,"dropped":0,"event":"statement_decided","id":"26b5","group":"pugo87a","outcome":"Aborted","reason":"the transaction could not go on","attempts":1,"elapsed_ms":0}
  22.1 node-2 {"at_ms":16131,"dropped":0,"event":"statement_decided","id":"3b2c","group":"pugo87a","outcome":"Aborted","reason":"the transaction could not go on","attempts":1,"elapsed_ms":42}
  22.2 node-2 {"at_ms":16254,"dropped":0,"event":"failover_step","group":"pugo87a","step":"appoint","detail":"i-7bb3"}
"#;

fn log(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a log");
    path.display().to_string()
}

#[tokio::test]
async fn a_request_is_explained_by_what_its_process_saw() {
    let log = log("collected.log", COLLECTED);
    let ran = dyketally(&["explain", "3b2c", "--log", &log]).await;
    let ran = ran.expect(OK);
    ran.stdout_has(&[
        "request 3b2c",
        "Leaves(i-c1a6)",
        "outcome=Aborted",
        "node-2",
    ]);
    for other in ["node-3", "Lost(i-0000)", "i-7bb3"] {
        assert!(!ran.stdout.contains(other), "{ran:#?}");
    }
}

#[tokio::test]
async fn programs_get_json() {
    let log = log("collected-json.log", COLLECTED);
    let ran = dyketally(&["--output", "json", "explain", "26b5", "--log", &log]).await;
    let ran = ran.expect(OK);
    let timeline: serde_json::Value = serde_json::from_str(&ran.stdout).expect("JSON");
    assert_eq!(timeline[0]["process"], "node-3");
    assert_eq!(timeline[0]["event"], "statement_decided");
}

#[tokio::test]
async fn a_request_that_no_log_names_is_told() {
    let log = log("collected-none.log", COLLECTED);
    let ran = dyketally(&["explain", "ffff", "--log", &log]).await;
    let ran = ran.expect(CHECK_FAILED);
    assert!(ran.stderr.contains("ffff"), "{ran:#?}");
}
