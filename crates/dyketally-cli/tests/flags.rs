//! Pins the flags of `dyketally`, which the compiler derives from names of fields: scripts of operators pass them.

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
#[case(&[], "--key-value DYKETALLY_KEY_VALUE --output --help --version")]
#[case(&["template", "check"], "--key-value DYKETALLY_KEY_VALUE --output --help")]
#[case(&["template", "publish"], "--expect-revision --key-value DYKETALLY_KEY_VALUE --author --output --patience --help")]
#[case(&["template", "show"], "--key-value DYKETALLY_KEY_VALUE --output --help")]
#[case(&["template", "history"], "--key-value DYKETALLY_KEY_VALUE --limit --output --help")]
#[case(&["template", "diff"], "--key-value DYKETALLY_KEY_VALUE --output --help")]
#[case(&["tenant", "set"], "--expect-revision --key-value DYKETALLY_KEY_VALUE --author --output --patience --help")]
#[case(&["tenant", "remove"], "--expect-revision --key-value DYKETALLY_KEY_VALUE --author --output --patience --help")]
#[case(&["tenant", "list"], "--key-value DYKETALLY_KEY_VALUE --output --help")]
#[case(&["group", "set"], "--expect-revision --key-value DYKETALLY_KEY_VALUE --author --output --patience --help")]
#[case(&["group", "remove"], "--expect-revision --key-value DYKETALLY_KEY_VALUE --author --output --patience --help")]
#[case(&["group", "list"], "--key-value DYKETALLY_KEY_VALUE --output --help")]
#[case(&["status"], "--key-value DYKETALLY_KEY_VALUE --node --output --help")]
#[case(&["explain"], "--log --key-value DYKETALLY_KEY_VALUE --output --help")]
#[case(&["completions"], "--key-value DYKETALLY_KEY_VALUE --output --help")]
fn flags_keep_their_names(#[case] arguments: &[&str], #[case] pinned: &str) {
    assert_eq!(flags(env!("CARGO_BIN_EXE_dyketally"), arguments), pinned);
}
