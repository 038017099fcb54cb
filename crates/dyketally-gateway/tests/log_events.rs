//! Pins the lines of the log: the names of events, and the names and the order of their fields.
//!
//! Operators' programs read these lines by name. `pins/log_events.jsonl` contains the expected lines; a change
//! of that file changes the log's format and requires a change of `docs/logs.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;

use dyketally::eligibility::Denial;
use dyketally::identifiers::NodeName;
use dyketally::statement::FailureKind;
use dyketally_gateway::counters::{Counter, Counters, StoreCalls};
use dyketally_gateway::decision::Reason;
use dyketally_gateway::event::{Event, Form, Line};
use serde_json::Value;

/// Builds one sample of each event; doesn't compile while a variant has no sample.
macro_rules! samples {
    ($counters:ident, $($variant:ident { $($field:tt: $value:expr),* $(,)? })*) => {
        fn samples($counters: &Counters) -> Vec<Event<'_>> {
            vec![$(Event::$variant { $($field: $value),* }),*]
        }

        #[allow(dead_code)]
        fn has_sample(event: &Event<'_>) {
            match event {
                $(Event::$variant { .. })|* => {}
            }
        }
    };
}

samples! { counters,
    Started { node: "node-1" }
    SettingsChanged { effect: "none until the process is started again" }
    Stopping { sessions: 3 }
    Stopped { sessions: 1 }
    ConfigurationInForce { revision: 7, routes: 3, stored: 41 }
    ConfigurationNotNewer { revision: 6, in_force: 7, stored: 40 }
    ConfigurationReceived {
        key: "settings/routes".to_owned(),
        stored: 41,
        source: "store".to_owned(),
        form: Form::Difference,
        bytes: 1_200,
    }
    ConfigurationPassedOn { stored: 41, form: Form::Change, bytes: 300, followers: 4 }
    ConfigurationUnconfirmed {
        confirmed_ms_ago: 4_400,
        source: "127.0.0.1:7000".to_owned(),
        watch_lost_for_ms: Some(900),
    }
    ConfigurationConfirmed {}
    DocumentRefused { key: "settings/routes", reason: "a route has no group" }
    SessionsFull { full: true, open: 100 }
    EvacuationBegan { zone: "east", is_known: true, leaves_a_zone: true }
    EvacuationEnded { zone: "east" }
    RegionUnknown { region: "one" }
    ServedNowhere {
        group: "stock",
        route: "book",
        regions: "one".to_owned(),
        reason: "no database may serve it".to_owned(),
    }
    DatabaseCold { database: "stock-0", group: "stock", cold_for_ms: 8_000 }
    DirectoryChanged { change: "Appeared".to_owned() }
    NodeGone { node: "node-2", removed: true }
    RelayFollowed { relay: "127.0.0.1:7000".to_owned() }
    RelayLost { relay: "127.0.0.1:7000".to_owned(), reason: "it is silent" }
    StoreLost { prefix: "settings/", reason: "no answer".to_owned() }
    StoreRegained { prefix: "settings/" }
    DutyTaken { token: 12 }
    DutyLost { reason: "its lease ended" }
    Isolated {}
    InTouch {}
    KeysUncertain { confirmed_ms_ago: Some(5_100) }
    KeysConfirmed {}
    PrimarySuspected { group: "stock", database: "stock-0", evidence: "Silent".to_owned() }
    PrimaryPolled {
        group: "stock",
        database: "stock-0",
        evidence: "3 silent".to_owned(),
        verdict: "Replace".to_owned(),
    }
    FencePutUp { database: "stock-0", source: "store" }
    FenceLifted { database: "stock-0" }
    FailoverStep { group: "stock", step: "start", detail: "Lost".to_owned() }
    CallerLimited { limit: "session_state", caller: Some("127.0.0.1:7001".to_owned()), unlogged: 3 }
    Counters { 0: counters }
    Traffic { sent_bytes: BTreeMap::from([(node("node-2"), 1_000)]) }
    StatementDecided {
        id: "statement-1",
        group: "stock",
        tenant: "none",
        outcome: "Busy".to_owned(),
        reason: "a database answered",
        attempts: 2,
        elapsed_ms: 990,
    }
}

fn node(name: &str) -> NodeName {
    NodeName::from(name)
}

/// Counters that all have different values, so that the test detects swapped counters.
fn counters() -> Counters {
    let counters = Counters::new(Arc::new(StoreCalls::default()));
    let count = |counter: &Counter, times: usize| (0..times).for_each(|_| counter.add());
    count(&counters.sessions, 1);
    count(&counters.sessions_refused, 2);
    count(&counters.served, 3);
    count(&counters.failed, 4);
    count(&counters.unknown_keys, 5);
    count(&counters.keys_uncertain, 6);
    count(&counters.over_quota, 7);
    count(&counters.permits_alone, 8);
    count(&counters.reads_at_replicas, 9);
    count(&counters.reads_at_primaries, 10);
    count(&counters.reads_bound_to_primaries, 11);
    count(&counters.reads_behind, 12);
    count(&counters.further_attempts, 13);
    count(&counters.confirmations, 14);
    counters.denied.add("leaving", 15);
    counters.sent_bytes.add("ping", 16);
    counters.sent_bytes_by_zone.add("east", 17);
    counters.sent_bytes_far.add("ping", 18);
    counters.limited.add("calls", 19);
    counters
}

fn file(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(path).expect("a file")
}

fn line(event: &Event<'_>) -> String {
    let line = Line {
        at_ms: 1_500,
        dropped: 0,
        event,
    };
    serde_json::to_string(&line).expect("a line")
}

#[test]
fn lines_of_the_log_are_as_pinned() {
    let counters = counters();
    let lines: Vec<String> = samples(&counters).iter().map(line).collect();
    let pinned = file("tests/pins/log_events.jsonl");
    let pinned: Vec<&str> = pinned.lines().collect();
    for (line, pinned) in lines.iter().zip(&pinned) {
        assert_eq!(line, pinned);
    }
    let more = lines.get(pinned.len()..).unwrap_or_default();
    assert!(more.is_empty(), "not pinned:\n{}", more.join("\n"));
    assert_eq!(lines.len(), pinned.len(), "pinned, but no event any more");
}

/// A field that has no value is written as `null`, not left out.
#[test]
fn unknown_ages_are_written_as_null() {
    let uncertain = Event::KeysUncertain {
        confirmed_ms_ago: None,
    };
    assert!(line(&uncertain).ends_with(r#""event":"keys_uncertain","confirmed_ms_ago":null}"#));
    let unconfirmed = Event::ConfigurationUnconfirmed {
        confirmed_ms_ago: 1,
        source: "store".to_owned(),
        watch_lost_for_ms: None,
    };
    assert!(line(&unconfirmed).ends_with(r#""watch_lost_for_ms":null}"#));
}

#[test]
fn forms_of_updates_keep_their_names() {
    let forms = [Form::Copy, Form::Change, Form::Difference];
    let names = serde_json::to_string(&forms).expect("names");
    assert_eq!(names, r#"["copy","change","difference"]"#);
}

/// The name of a failure kind is the `outcome` of `statement_decided` and the label `outcome` of metrics.
#[test]
fn outcomes_keep_their_names() {
    let kinds = [
        FailureKind::UnknownDatabase,
        FailureKind::Unauthenticated,
        FailureKind::KeyUncertain,
        FailureKind::QuotaExceeded,
        FailureKind::NotServedHere,
        FailureKind::Busy,
        FailureKind::NoConnection,
        FailureKind::QueueTooLong,
        FailureKind::DatabaseCold,
        FailureKind::Aborted,
        FailureKind::ReplicaBehind,
        FailureKind::ReadOnly,
        FailureKind::WrongDatabase,
        FailureKind::Overloaded,
        FailureKind::InDoubt,
        FailureKind::TimedOut,
        FailureKind::Failed,
        FailureKind::UnknownPrepared,
        FailureKind::Malformed,
        FailureKind::Other,
    ];
    let names = kinds.map(|kind| format!("{kind:?}"));
    let pinned = "UnknownDatabase Unauthenticated KeyUncertain QuotaExceeded NotServedHere Busy \
                  NoConnection QueueTooLong DatabaseCold Aborted ReplicaBehind ReadOnly \
                  WrongDatabase Overloaded InDoubt TimedOut Failed UnknownPrepared Malformed Other";
    assert_eq!(names.join(" "), pinned);
}

/// Builds the list of all reasons; doesn't compile while a reason is missing.
macro_rules! reasons {
    ($($reason:ident $(($kind:expr))?),* $(,)?) => {
        const REASONS: &[Reason] = &[$(Reason::$reason $(($kind))?),*];

        #[allow(dead_code)]
        fn is_listed(reason: Reason) {
            match reason {
                $(Reason::$reason { .. })|* => {}
            }
        }
    };
}

reasons! {
    Answered,
    NothingMayServe,
    DatabaseMayNotServe,
    QueueTooLong,
    DatabaseCold,
    NoFreeConnection,
    PrimaryUnavailable,
    NoPrimaryInTime,
    TimeUsedUp,
    DeadlinePassed,
    AnswerLost,
    ConnectionBroke,
    DatabaseSilent,
    RefusedInTransaction(FailureKind::ReadOnly),
    TransactionEnded,
    TransactionFailed,
    LostBeforeCommit,
    DatabaseReplaced,
    OverQuota,
    KeyUncertain,
}

/// Pins the values of the field `reason` of `statement_decided`.
#[test]
fn reasons_are_as_pinned() {
    let reasons: Vec<String> = REASONS.iter().map(Reason::to_string).collect();
    let pinned = file("tests/pins/reasons.txt");
    assert_eq!(reasons, pinned.lines().collect::<Vec<_>>());
}

#[test]
fn the_page_names_each_reason() {
    let page = file("../../docs/logs.md");
    for reason in REASONS {
        let text = reason.to_string().replace("ReadOnly", "...");
        assert!(page.contains(&format!("`{text}`")), "{text}");
    }
}

/// Pins the kinds of the counter `denied`.
#[test]
fn denials_keep_their_names() {
    let denials = [
        Denial::Leaderless,
        Denial::BeingReplaced,
        Denial::Leaving,
        Denial::Evacuated,
        Denial::EvacuatedEverywhere,
        Denial::Cold,
        Denial::OutsideRegions,
    ];
    let pinned =
        "leaderless being_replaced leaving evacuated evacuated_everywhere cold outside_regions";
    assert_eq!(denials.map(Denial::kind).join(" "), pinned);
}

/// The rows of the first table on the page, which lists the events.
fn event_rows(page: &str) -> impl Iterator<Item = &str> {
    let lines = page.lines().skip_while(|line| !line.starts_with("| `"));
    lines.take_while(|line| line.starts_with("| `"))
}

/// The names in backticks in the first two columns of a row of the page: events, and their fields.
fn documented(row: &str) -> (Vec<&str>, BTreeSet<&str>) {
    let mut columns = row.split('|').skip(1);
    let mut names = || -> Vec<&str> {
        let column = columns.next().unwrap_or_default();
        column.split('`').skip(1).step_by(2).collect()
    };
    let events = names();
    (events, names().into_iter().collect())
}

/// Each field is named on the page in the row of its event.
#[test]
fn the_page_names_the_fields_of_each_event() {
    let page = file("../../docs/logs.md");
    let rows: Vec<_> = event_rows(&page).map(documented).collect();
    let counters = counters();
    for event in samples(&counters) {
        let line: Value = serde_json::from_str(&line(&event)).expect("an object");
        let line = line.as_object().expect("an object");
        let name = line["event"].as_str().expect("a name");
        let row = rows.iter().find(|(events, _)| events.contains(&name));
        let (_, fields) = row.unwrap_or_else(|| panic!("{name} isn't on the page"));
        for field in line.keys() {
            let is_common = ["at_ms", "dropped", "event"].contains(&field.as_str());
            assert!(
                is_common || fields.contains(field.as_str()),
                "{name} has {field}, which the page doesn't name"
            );
        }
    }
}

/// Each field that the page names exists in its event. Values of fields are ignored: they follow their field
/// in parentheses. Counters are skipped: their fields are listed elsewhere on the page.
#[test]
fn the_page_names_no_other_fields() {
    let page = file("../../docs/logs.md");
    let counters = counters();
    let mut fields: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for event in samples(&counters) {
        let line: Value = serde_json::from_str(&line(&event)).expect("an object");
        let line = line.as_object().expect("an object");
        let name = line["event"].as_str().expect("a name").to_owned();
        fields.insert(name, line.keys().cloned().collect());
    }
    for row in event_rows(&page) {
        let without_brackets = remove_brackets(row);
        let (events, named) = documented(&without_brackets);
        let known: BTreeSet<&String> = events
            .iter()
            .filter_map(|event| fields.get(*event))
            .flatten()
            .collect();
        if known.is_empty() {
            continue;
        }
        for name in named {
            let is_known = known.iter().any(|field| field.as_str() == name);
            assert!(is_known, "{events:?} have no field {name}");
        }
    }
}

fn remove_brackets(text: &str) -> String {
    let mut depth = 0;
    let kept = text.chars().filter(|letter| {
        match letter {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        depth == 0 && *letter != ')'
    });
    kept.collect()
}
