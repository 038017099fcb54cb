//! Pins the values that the log writes by `{:?}`: `change` of `directory_changed`, `evidence` and `verdict` of
//! `primary_suspected` and `primary_polled`, and `detail` of `failover_step`.
//!
//! Operators search the log for these names. A renamed variant would change them without a message of the compiler.

use std::path::Path;

use dyketally::directory::DirectoryChange;
use dyketally::failover::{Candidate, Evidence, FenceRound, FenceVerdict, Succession, Verdict};
use dyketally::group::{LogPosition, Role, Term};
use dyketally::identifiers::DatabaseName;
use dyketally::statement::DatabaseStatus;
use dyketally::time::Timestamp;
use dyketally_gateway::ports::Appointment;

fn debug_texts<T: std::fmt::Debug>(values: &[T]) -> String {
    let texts: Vec<String> = values.iter().map(|value| format!("{value:?}")).collect();
    texts.join(" ")
}

/// The names of the variants of an enumeration in a source file, in their order: lines of four blanks and a capital.
/// Enumerations that are private to the crate can't be built here.
fn variants(file: &str, enumeration: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    let text = std::fs::read_to_string(path).expect("a source");
    let start = text
        .find(&format!("enum {enumeration} {{"))
        .expect("the enumeration");
    let end = text[start..].find("\n}").expect("its end") + start;
    let lines = text[start..end]
        .lines()
        .filter_map(|line| line.strip_prefix("    "))
        .filter(|line| line.starts_with(|first: char| first.is_uppercase()));
    let names: Vec<&str> = lines
        .map(|line| line.split([' ', '(', ',']).next().unwrap_or_default())
        .collect();
    names.join(" ")
}

#[test]
fn changes_of_the_directory_keep_their_names() {
    let name = || DatabaseName::from("stock-0");
    let changes = [
        DirectoryChange::Appeared(name()),
        DirectoryChange::Leaving(name()),
        DirectoryChange::RoleChanged(name(), Role::Primary),
        DirectoryChange::RoleChanged(name(), Role::Replica),
        DirectoryChange::Forgotten(name()),
    ];
    let pinned = r#"Appeared(DatabaseName("stock-0")) Leaving(DatabaseName("stock-0")) RoleChanged(DatabaseName("stock-0"), Primary) RoleChanged(DatabaseName("stock-0"), Replica) Forgotten(DatabaseName("stock-0"))"#;
    assert_eq!(debug_texts(&changes), pinned);
}

#[test]
fn evidence_and_verdicts_keep_their_names() {
    let evidence = [Evidence::Answered, Evidence::Refused, Evidence::Silent];
    assert_eq!(debug_texts(&evidence), "Answered Refused Silent");
    let verdicts = [Verdict::Alive, Verdict::Lost, Verdict::Undecided];
    assert_eq!(debug_texts(&verdicts), "Alive Lost Undecided");
}

#[test]
fn fences_keep_their_names() {
    let verdicts = [
        FenceVerdict::Closed,
        FenceVerdict::Open,
        FenceVerdict::Contested,
        FenceVerdict::NoQuorum,
    ];
    assert_eq!(debug_texts(&verdicts), "Closed Open Contested NoQuorum");
    let round = FenceRound::new(Timestamp::ZERO, 3);
    let pinned = "FenceRound { nodes: 3, confirmed: 0, lapsed: 0, contested: false, \
                  lease_broken: false, began: Timestamp(0), quorum: None, published: None }";
    assert_eq!(format!("{round:?}"), pinned);
}

#[test]
fn surveys_and_choices_keep_their_names() {
    let received = LogPosition {
        term: Term(2),
        offset: 397,
    };
    let candidate = Candidate {
        name: DatabaseName::from("stock-0"),
        received: Some(received),
        ready: true,
        cold: false,
        preference: 1,
    };
    let pinned = r#"Candidate { name: DatabaseName("stock-0"), received: Some(LogPosition { term: Term(2), offset: 397 }), ready: true, cold: false, preference: 1 }"#;
    assert_eq!(format!("{candidate:?}"), pinned);
    let status = DatabaseStatus {
        leads: true,
        term: 2,
        received,
        held_term: 0,
    };
    let pinned = "DatabaseStatus { leads: true, term: 2, received: LogPosition { term: Term(2), offset: 397 } }";
    assert_eq!(format!("{status:?}"), pinned);
    let choices = [
        Succession::Promote(DatabaseName::from("stock-0")),
        Succession::TooFewLogs {
            known: 0,
            needed: 1,
        },
        Succession::NoCandidate,
    ];
    let pinned =
        r#"Promote(DatabaseName("stock-0")) TooFewLogs { known: 0, needed: 1 } NoCandidate"#;
    assert_eq!(debug_texts(&choices), pinned);
}

#[test]
fn appointments_keep_their_names() {
    let appointments = [
        Appointment::Accepted,
        Appointment::Refused,
        Appointment::Later,
        Appointment::Unknown,
    ];
    assert_eq!(debug_texts(&appointments), "Accepted Refused Later Unknown");
}

#[test]
fn causes_and_confirmations_keep_their_names() {
    assert_eq!(
        variants("src/succession/cause.rs", "Cause"),
        "Leaves Unlisted Evacuated Misplaced Cold Lost Shunned NoPrimary"
    );
    assert_eq!(
        variants("src/succession/confirm.rs", "Confirmation"),
        "Leads Follows Unclear"
    );
    assert_eq!(
        variants("src/succession/confirm.rs", "Unclear"),
        "NoConnection NoAnswer Fenced Rivalled"
    );
}
