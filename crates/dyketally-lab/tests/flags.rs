//! Pins the flags of `dyketally-lab`, which the compiler derives from names of fields: scripts of operators pass them.

use std::process::Command;

use rstest::rstest;

/// The flags and environment variables that a help text names, in their order.
fn flags(program: &str, arguments: &[&str]) -> String {
    let output = Command::new(program)
        .args(arguments)
        .arg("--help")
        .output()
        .expect("the program runs");
    let help = String::from_utf8(output.stdout).expect("text");
    let words =
        help.split(|letter: char| !(letter.is_ascii_alphanumeric() || "-_".contains(letter)));
    let mut found: Vec<&str> = Vec::new();
    for word in words {
        let is_flag = word.starts_with("--") && word.len() > 2;
        let is_variable = word.starts_with("DYKETALLY") && word.contains('_');
        if (is_flag || is_variable) && !found.contains(&word) {
            found.push(word);
        }
    }
    found.join(" ")
}

#[rstest]
#[case(&[], "--help --version")]
#[case(&["database"], "--settings --name --zone --listen --peer-listen --control-listen --peer --connection-limit \
     --slots --connect-cost-ms --service-time-us --reply-delay-us --replication-lag-ms \
     --election-timeout-ms --joining --seed --help")]
#[case(&["platform"], "--gateway --control --machines --machine-list-lag --help")]
#[case(&["network"], "--settings --help")]
#[case(&["faults"], "--out --case --selection --user --seconds --seed --list --judge --help")]
#[case(&["demo"], "--out --help")]
#[case(&["load"], "--out --reads --clients --seconds --idle --commit --help")]
fn flags_keep_their_names(#[case] arguments: &[&str], #[case] pinned: &str) {
    assert_eq!(
        flags(env!("CARGO_BIN_EXE_dyketally-lab"), arguments),
        pinned
    );
}
