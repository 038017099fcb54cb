//! Pins the flags of `dyketallyd`, which the compiler derives from names of fields: scripts of operators pass them.

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
#[case(&[], "--settings DYKETALLYD_SETTINGS --node --region --zone --listen-callers --listen-peers \
     --listen-membership --listen-admin --advertise-callers --advertise-peers --advertise-membership \
     --seed --key-value --machines --route --drain-deadline --log-layout --log-level --log-file \
     --configuration-file --help --version")]
#[case(&["check"], "--settings DYKETALLYD_SETTINGS --node --region --zone --listen-callers --listen-peers \
     --listen-membership --listen-admin --advertise-callers --advertise-peers --advertise-membership \
     --seed --key-value --machines --route --drain-deadline --log-layout --log-level --log-file \
     --configuration-file --help")]
fn flags_keep_their_names(#[case] arguments: &[&str], #[case] pinned: &str) {
    assert_eq!(flags(env!("CARGO_BIN_EXE_dyketallyd"), arguments), pinned);
}
