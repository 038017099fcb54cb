//! Histories as files: one event in JSON a line.

use std::path::Path;

use dyketally::history::{CheckSettings, Event, Violation, check, read_lines, write_line};
use eyre::WrapErr;

use crate::testbed::Sample;

/// Writes a history.
///
/// # Errors
/// When the file can't be written.
pub fn write_history(path: &Path, events: &[Event]) -> eyre::Result<()> {
    let mut text = String::new();
    for event in events {
        text.push_str(&write_line(event));
        text.push('\n');
    }
    std::fs::write(path, text).wrap_err_with(|| format!("{} can't be written", path.display()))
}

/// Writes measured requests, one a line: kind, outcome, begin and end in milliseconds.
///
/// # Errors
/// When the file can't be written.
pub fn write_samples(path: &Path, samples: &[Sample]) -> eyre::Result<()> {
    let mut text = String::from("kind,outcome,began_ms,ended_ms\n");
    for sample in samples {
        let Sample { kind, outcome, .. } = sample;
        let (began, ended) = (sample.began.as_millis(), sample.ended.as_millis());
        text.push_str(&format!("{kind:?},{outcome:?},{began},{ended}\n"));
    }
    std::fs::write(path, text).wrap_err_with(|| format!("{} can't be written", path.display()))
}

/// Reads a history.
///
/// # Errors
/// When the file can't be read or holds something else.
pub fn read_history(path: &Path) -> eyre::Result<Vec<Event>> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("{} can't be read; name a recorded history", path.display()))?;
    Ok(read_lines(&text)?)
}

/// Judges a recorded history.
///
/// # Errors
/// When the file can't be read or holds something else.
pub fn judge_file(path: &Path) -> eyre::Result<Vec<Violation>> {
    let events = read_history(path)?;
    Ok(check(&events, CheckSettings::default()))
}
