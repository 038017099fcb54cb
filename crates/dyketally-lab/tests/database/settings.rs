//! The settings file that is shipped as an example, and flags over it.

use std::path::Path;

use clap::Parser;
use dyketally_lab::database::{Arguments, DatabaseSettings};

#[derive(Parser)]
struct CommandLine {
    #[command(flatten)]
    arguments: Arguments,
}

fn settings(flags: &[&str]) -> eyre::Result<DatabaseSettings> {
    let line = ["database"].iter().chain(flags);
    CommandLine::try_parse_from(line)?.arguments.into_settings()
}

fn example() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let path = root.join("examples/lab/database.toml");
    path.to_str().expect("a path in UTF-8").to_owned()
}

#[test]
fn flags_pass_over_the_settings_file() {
    let from_file = settings(&["--settings", &example()]).expect("the example");
    assert_eq!(from_file.peers.len(), 2);
    let flags = [
        "--settings",
        &example(),
        "--slots",
        "7",
        "--peer",
        "z=127.0.0.1:9",
    ];
    let with_flags = settings(&flags).expect("the example");
    assert_eq!(with_flags.slots, 7);
    assert_eq!(with_flags.peers.len(), 1);
    assert_eq!(with_flags.name, from_file.name);
}

#[test]
fn mistakes_are_named() {
    let missing = settings(&["--settings", "/nowhere/database.toml"]);
    assert!(format!("{:?}", missing.expect_err("no file")).contains("/nowhere/database.toml"));
    let peer = settings(&["--peer", "no-address"]).expect_err("no address");
    assert!(peer.to_string().contains("name=address"));
}
