//! Layouts, level filters and errors of the log configuration.

use std::fs;
use std::path::{Path, PathBuf};

use dyketally_proxy::logging::{LoggingError, configure};
use dyketally_proxy::settings::{LogLayout, LogLevel, LoggingSettings};
use log::{Level, LevelFilter, Log, Record};
use rstest::rstest;

/// A target of this program, to which the configured level applies.
const OWN_TARGET: &str = "dyketally_proxy::home";
/// A target of a dependency, of which only warnings and errors are logged.
const OTHER_TARGET: &str = "hyper::client";

fn settings(layout: LogLayout, level: LevelFilter, file: PathBuf) -> LoggingSettings {
    LoggingSettings {
        layout,
        level: LogLevel(level),
        file: Some(file),
    }
}

fn fresh_file(name: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_file(&file);
    file
}

/// Logs one record as `settings` configure it and returns the content of the log file.
fn logged(settings: &LoggingSettings, target: &str, level: Level) -> String {
    let config = configure(settings).expect("configuration");
    let logger = log4rs::Logger::new(config);
    let attributes = [("database", "ledger-a")];
    let record = Record::builder()
        .args(format_args!("the primary of ledger changed"))
        .level(level)
        .target(target)
        .module_path(Some(target))
        .key_values(&attributes)
        .build();
    logger.log(&record);
    logger.flush();
    let file = settings.file.as_ref().expect("file");
    fs::read_to_string(file).expect("log file")
}

#[test]
fn json_lines_hold_the_attributes() {
    let settings = settings(LogLayout::Json, LevelFilter::Info, fresh_file("json.log"));
    let text = logged(&settings, OWN_TARGET, Level::Info);
    let line: serde_json::Value = serde_json::from_str(&text).expect("one JSON object");
    assert_eq!(line["message"], "the primary of ledger changed");
    assert_eq!(line["level"], "INFO");
    assert_eq!(line["attributes"]["database"], "ledger-a");
}

#[test]
fn human_lines_are_one_sentence_after_time_level_and_module() {
    let settings = settings(LogLayout::Human, LevelFilter::Info, fresh_file("human.log"));
    let text = logged(&settings, OWN_TARGET, Level::Warn);
    let words: Vec<&str> = text.split_whitespace().collect();
    assert!(words[0].ends_with('Z'), "{text}");
    assert_eq!(words[1..3], ["WARN", OWN_TARGET]);
    assert_eq!(words[3..].join(" "), "the primary of ledger changed");
}

#[rstest]
#[case::own_at_the_level(LevelFilter::Info, OWN_TARGET, Level::Info, true)]
#[case::own_below_the_level(LevelFilter::Info, OWN_TARGET, Level::Debug, false)]
#[case::own_at_a_raised_level(LevelFilter::Debug, OWN_TARGET, Level::Debug, true)]
#[case::others_below_warnings(LevelFilter::Debug, OTHER_TARGET, Level::Info, false)]
#[case::others_at_warnings(LevelFilter::Debug, OTHER_TARGET, Level::Warn, true)]
#[case::others_below_a_lowered_level(LevelFilter::Error, OTHER_TARGET, Level::Warn, false)]
#[case::off(LevelFilter::Off, OWN_TARGET, Level::Error, false)]
fn levels(
    #[case] filter: LevelFilter,
    #[case] target: &str,
    #[case] level: Level,
    #[case] written: bool,
) {
    let file = fresh_file(&format!("level-{filter}-{target}-{level}.log"));
    let settings = settings(LogLayout::Human, filter, file);
    let text = logged(&settings, target, level);
    assert_eq!(!text.is_empty(), written, "{text:?}");
}

#[test]
fn a_file_that_cannot_be_opened_is_told_with_its_remedy() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let settings = settings(LogLayout::Human, LevelFilter::Info, directory);
    let error = configure(&settings).expect_err("a directory cannot be opened as a log file");
    assert!(matches!(error, LoggingError::File { .. }));
    assert!(error.to_string().contains("set logging.file"), "{error}");
}
