//! A pass of a fault case means something: falsified logs and histories are reported.

use std::path::Path;
use std::time::Duration;

use dyketally::group::{LogPosition, Term};
use dyketally::history::{
    CheckSettings, Entry, Event, Key, LookupAnswer, RequestNumber, SessionName, Statement,
    TransactionEnd, TransactionName, Violation, WriteBegan, WriteEnded, WriteOutcome, check,
};
use dyketally::identifiers::NodeName;
use dyketally::policy::{Confirmation, Repeat};
use dyketally_lab::database::{LogRecord, RowChange, RowKey, RowWrite};
use dyketally_lab::faults::{
    Action, CaseReport, CaseSettings, FaultCase, Outcomes, Target, User, cases, judge_file,
    log_events, read_history, run_case, write_history,
};
use dyketally_lab::testbed::{Configuration, RequestKind, Sample, SampleOutcome};
use rstest::rstest;

fn write(request: u64, keys: &[&str], outcome: WriteOutcome) -> [Event; 2] {
    let entry = |key: &&str| Entry {
        key: Key((*key).to_owned()),
        value: String::from("1"),
    };
    let began = WriteBegan {
        request: RequestNumber(request),
        session: SessionName(format!("session-{request}")),
        entries: keys.iter().map(entry).collect(),
        repeat: Repeat::Never,
    };
    let ended = WriteEnded {
        request: RequestNumber(request),
        outcome,
    };
    [Event::WriteBegan(began), Event::WriteEnded(ended)]
}

/// An order with its payment, a result post, and a seat claim that was told not-run.
fn told() -> Vec<Event> {
    let told = [
        write(1, &["orders/a", "payments/a"], WriteOutcome::Acknowledged),
        write(2, &["results/b"], WriteOutcome::Acknowledged),
        write(3, &["seats/c"], WriteOutcome::NotRun),
    ];
    told.into_iter().flatten().collect()
}

/// One transaction of the log for each element; a row is `table/key=value`.
fn log(transactions: &[&str]) -> Vec<LogRecord> {
    let record = |(offset, rows): (u64, &&str)| LogRecord {
        position: LogPosition {
            term: Term(1),
            offset,
        },
        writes: rows.split_whitespace().map(row_write).collect(),
    };
    (1..).zip(transactions).map(record).collect()
}

fn row_write(row: &str) -> RowWrite {
    let (name, value) = row.split_once('=').expect("a row has a value");
    let (table, key) = name.split_once('/').expect("a row has a table");
    RowWrite {
        row: RowKey {
            table: table.to_owned(),
            key: key.to_owned(),
        },
        change: RowChange::Put(Some(value.to_owned())),
    }
}

fn violations(transactions: &[&str]) -> Vec<Violation> {
    let mut history = told();
    let events = log_events(&history, &log(transactions));
    history.extend(events);
    check(&history, CheckSettings::default())
}

#[test]
fn a_log_that_fits_what_callers_were_told_passes() {
    let transactions = [
        "results/b=0 results/unused=0",
        "",
        "orders/a=1 payments/a=1",
        "results/b=1",
    ];
    assert_eq!(violations(&transactions), vec![]);
}

macro_rules! shows {
    ($pattern:pat) => {
        |violation: &Violation| matches!(violation, $pattern)
    };
}

#[rstest]
#[case::lost(&["orders/a=1 payments/a=1"], shows!(Violation::AcknowledgedWriteLost { .. }))]
#[case::counter_not_added(
    &["results/b=0", "orders/a=1 payments/a=1"],
    shows!(Violation::AcknowledgedWriteLost { .. })
)]
#[case::in_part(&["orders/a=1", "results/b=1"], shows!(Violation::AcknowledgedWriteLost { .. }))]
#[case::in_two_transactions(
    &["orders/a=1", "payments/a=1", "results/b=1"],
    shows!(Violation::RunTwice { .. })
)]
#[case::posted_twice(
    &["orders/a=1 payments/a=1", "results/b=1", "results/b=2"],
    shows!(Violation::AppliedTwice { .. })
)]
#[case::not_run_was_applied(
    &["orders/a=1 payments/a=1", "results/b=1", "seats/c=1"],
    shows!(Violation::NotRunWasApplied { .. })
)]
#[case::mixed(&["orders/a=1 payments/a=1 results/b=1"], shows!(Violation::TransactionsMixed { .. }))]
#[case::foreign(
    &["orders/a=1 payments/a=1", "results/b=1", "orders/x=1"],
    shows!(Violation::ForeignEntry { .. })
)]
fn a_false_log_is_reported(
    #[case] transactions: &[&str],
    #[case] expected: fn(&Violation) -> bool,
) {
    let violations = violations(transactions);
    assert!(violations.iter().any(expected), "{violations:?}");
}

/// Falsifies a history; the checker must find what `expected` names.
struct Falsification {
    name: &'static str,
    falsify: fn(&mut Vec<Event>),
    expected: fn(&Violation) -> bool,
}

const FALSIFICATIONS: &[Falsification] = &[
    Falsification {
        name: "an acknowledged write is missing from the log",
        falsify: |events| {
            let key = acknowledged_key(events);
            events.retain(
                |event| !matches!(event, Event::FinalEntry { key: kept, .. } if *kept == key),
            );
        },
        expected: shows!(Violation::AcknowledgedWriteLost { .. }),
    },
    Falsification {
        name: "an entry was applied twice",
        falsify: |events| {
            let entry = events.iter_mut().find_map(|event| match event {
                Event::FinalEntry { times, .. } => Some(times),
                _ => None,
            });
            *entry.expect("an entry") += 1;
        },
        expected: shows!(Violation::AppliedTwice { .. }),
    },
    Falsification {
        name: "an acknowledged write was told not-run",
        falsify: |events| {
            let ended = events.iter_mut().rev().find_map(|event| match event {
                Event::WriteEnded(ended) if ended.outcome == WriteOutcome::Acknowledged => {
                    Some(ended)
                }
                _ => None,
            });
            ended.expect("an acknowledged write").outcome = WriteOutcome::NotRun;
        },
        expected: shows!(Violation::NotRunWasApplied { .. }),
    },
    Falsification {
        name: "own writes are not found",
        falsify: |events| {
            for event in events {
                if let Event::LookupEnded(ended) = event {
                    ended.answer = LookupAnswer::Absent;
                }
            }
        },
        expected: shows!(Violation::OwnWriteNotRead { .. }),
    },
    Falsification {
        name: "a lookup is answered with another's value",
        falsify: |events| {
            let ended = events.iter_mut().find_map(|event| match event {
                Event::LookupEnded(ended) => Some(ended),
                _ => None,
            });
            ended.expect("a lookup").answer = LookupAnswer::Found(String::from("another's"));
        },
        expected: shows!(Violation::ForeignAnswer { .. }),
    },
    Falsification {
        name: "a reply comes twice",
        falsify: |events| {
            let reply = events
                .iter()
                .find(|event| matches!(event, Event::LookupEnded(_)));
            let reply = reply.expect("a reply").clone();
            events.push(reply);
        },
        expected: shows!(Violation::UnexpectedReply { .. }),
    },
    Falsification {
        name: "a reply never comes",
        falsify: |events| {
            let reply = events
                .iter()
                .rposition(|event| matches!(event, Event::WriteEnded(_)));
            events.remove(reply.expect("a reply"));
        },
        expected: shows!(Violation::Unanswered { .. }),
    },
    Falsification {
        name: "two transactions shared a connection",
        falsify: |events| {
            let mut statements = events.iter_mut().filter_map(statement_of);
            let first = statements.next().expect("a statement");
            first.end = None;
            let connection = first.connection;
            statements.next().expect("another").connection = connection;
        },
        expected: shows!(Violation::TransactionsMixed { .. }),
    },
    Falsification {
        name: "a write ran twice",
        falsify: |events| {
            let mut again = events
                .iter_mut()
                .find_map(statement_of)
                .expect("a statement")
                .clone();
            again.transaction = TransactionName(String::from("again"));
            again.end = Some(TransactionEnd::Committed);
            events.push(Event::Statement(again));
        },
        expected: shows!(Violation::RunTwice { .. }),
    },
    Falsification {
        name: "a planned stop cut a request off",
        falsify: |events| {
            let node = NodeName::new("proxy-1/0");
            events.push(Event::Stopped { node, cut_off: 1 });
        },
        expected: shows!(Violation::StopCutOff { .. }),
    },
];

fn statement_of(event: &mut Event) -> Option<&mut Statement> {
    match event {
        Event::Statement(statement) => Some(statement),
        _ => None,
    }
}

fn acknowledged_key(events: &[Event]) -> Key {
    let is_acknowledged = |request: RequestNumber| {
        events.iter().any(|event| {
            matches!(event, Event::WriteEnded(ended)
                if ended.request == request && ended.outcome == WriteOutcome::Acknowledged)
        })
    };
    let written = events.iter().find_map(|event| match event {
        Event::WriteBegan(write) if is_acknowledged(write.request) => write.entries.first(),
        _ => None,
    });
    written.expect("an acknowledged write").key.clone()
}

/// Runs a case on real processes, which the build of the whole workspace provides.
#[tokio::test]
async fn a_case_passes_and_its_falsified_history_does_not() {
    let directory = std::env::temp_dir().join(format!("dyketally-faults-{}", std::process::id()));
    let case = cases().find(|case| case.name == "primary-killed");
    let settings = CaseSettings {
        load: Duration::from_secs(1),
        seed: 7,
    };
    println!("seed {}", settings.seed);
    let report = run_case(
        case.expect("the case is in the table"),
        settings,
        &directory,
    )
    .await;
    let report = report
        .and_then(CaseReport::into_result)
        .expect("no violations");
    assert_eq!(judge_file(&report.history).expect("a history"), vec![]);
    let history = read_history(&report.history).expect("a history");
    for falsification in FALSIFICATIONS {
        let path = directory.join("falsified.jsonl");
        falsify(&history, falsification, &path);
        let violations = judge_file(&path).expect("a history");
        let is_found = violations.iter().any(falsification.expected);
        assert!(is_found, "{}: {violations:?}", falsification.name);
    }
    std::fs::remove_dir_all(&directory).expect("removed");
}

/// Writes confirmed by the majority's term alone may be lost with their primary.
const WRITES_LOST: FaultCase = FaultCase {
    name: "writes-lost",
    shows: "the primary is killed with acknowledged writes that no replica holds",
    user: User::Huber,
    is_short: false,
    configuration: Configuration::File,
    confirmation: Confirmation::MajorityTerm,
    must_not_cut: false,
    script: &[
        Action::Lag(Duration::from_secs(2)),
        Action::Wait(Duration::from_secs(1)),
        Action::Kill(Target::Primary),
        Action::Wait(Duration::from_secs(3)),
        Action::Restart,
    ],
};

#[tokio::test]
async fn writes_lost_by_real_processes_are_reported() {
    let directory = std::env::temp_dir().join(format!("dyketally-lost-{}", std::process::id()));
    let settings = CaseSettings {
        load: Duration::from_secs(1),
        seed: 8,
    };
    println!("seed {}", settings.seed);
    let report = run_case(&WRITES_LOST, settings, &directory)
        .await
        .expect("the case runs");
    let is_loss =
        |violation: &Violation| matches!(violation, Violation::AcknowledgedWriteLost { .. });
    assert!(report.violations.iter().any(is_loss), "{report}");
    assert!(report.into_result().is_err(), "the case must fail");
    std::fs::remove_dir_all(&directory).expect("removed");
}

fn falsify(history: &[Event], falsification: &Falsification, path: &Path) {
    let mut events = history.to_vec();
    (falsification.falsify)(&mut events);
    write_history(path, &events).expect("written");
}

#[test]
fn samples_are_counted_and_the_longest_write_gap_is_found() {
    let sample = |kind, outcome, began, ended| Sample {
        kind,
        outcome,
        began: Duration::from_millis(began),
        ended: Duration::from_millis(ended),
    };
    let samples = [
        sample(RequestKind::Write, SampleOutcome::Done, 100, 110),
        sample(RequestKind::Lookup, SampleOutcome::Done, 110, 400),
        sample(RequestKind::Write, SampleOutcome::Unknown, 120, 500),
        sample(RequestKind::Write, SampleOutcome::Done, 450, 510),
        sample(RequestKind::Write, SampleOutcome::RolledBack, 510, 600),
    ];
    let expected = Outcomes {
        done: 3,
        not_run: 0,
        unknown: 1,
        rolled_back: 1,
        errors: 0,
        writes_done: 2,
        longest_write_gap: Duration::from_millis(400),
        gap_began: Duration::from_millis(110),
    };
    let stopped = Duration::from_millis(550);
    assert_eq!(Outcomes::of_samples(&samples, stopped), expected);
}

#[test]
fn each_case_has_a_name_of_its_own_and_a_script() {
    let cases: Vec<_> = cases().collect();
    for (index, case) in cases.iter().enumerate() {
        assert!(!case.name.is_empty() && !case.shows.is_empty());
        assert!(!case.script.is_empty(), "{}", case.name);
        let earlier = &cases[..index];
        assert!(
            earlier.iter().all(|other| other.name != case.name),
            "{}",
            case.name
        );
    }
}
