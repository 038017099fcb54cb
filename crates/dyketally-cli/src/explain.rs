//! Finds in the logs of gateways what settled a request.
//!
//! A line of a log is a JSON object; what stands before it on the line names the process that wrote
//! it, as log collectors put it there. Without it, the file's name does.

use std::path::{Path, PathBuf};

use serde::Serialize;
use serde_json::Value;
use tabled::Tabled;

use crate::failure::Failure;
use crate::output::Output;

/// How long before the decision changes of state are shown, in milliseconds.
const WINDOW_MS: u64 = 15_000;
/// Events that tell nothing about a single request.
const NOT_OF_STATE: [&str; 2] = ["counters", "statement_decided"];
/// Fields that each line has.
const COMMON_FIELDS: [&str; 3] = ["at_ms", "dropped", "event"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Tabled)]
pub struct LogLine {
    /// Who wrote it.
    pub process: String,
    /// Milliseconds since the process started.
    pub at_ms: u64,
    /// What happened.
    pub event: String,
    /// The event's fields.
    pub fields: String,
    #[serde(skip)]
    #[tabled(skip)]
    id: Option<String>,
    #[serde(skip)]
    #[tabled(skip)]
    group: Option<String>,
}

/// Prints how the request was decided, after the changes of state that came before.
pub(crate) fn explain(id: &str, logs: &[PathBuf], output: &mut Output<'_>) -> Result<(), Failure> {
    let mut timeline = Vec::new();
    for log in logs {
        let text = std::fs::read_to_string(log).map_err(|cause| Failure::File {
            file: log.clone(),
            cause,
        })?;
        timeline.extend(timeline_of(id, &lines_of(log, &text)));
    }
    if timeline.is_empty() {
        return Err(Failure::NotInLogs { id: id.to_owned() });
    }
    match output.form {
        crate::command_line::OutputForm::Json => output.json(&timeline),
        crate::command_line::OutputForm::Table => output.table(&format!("request {id}"), &timeline),
    }
}

fn lines_of(log: &Path, text: &str) -> Vec<LogLine> {
    let lines = text.lines().filter_map(|line| parse(log, line));
    lines.collect()
}

/// `None` for a line that holds no entry of a log, such as a panic's text.
fn parse(log: &Path, line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let object: Value = serde_json::from_str(&line[start..]).ok()?;
    let before = line[..start].split_whitespace().next_back();
    let process = before.map_or_else(|| log.display().to_string(), str::to_owned);
    let text = |field: &str| object[field].as_str().map(str::to_owned);
    let own_fields = object.as_object()?.iter().filter(|(name, _)| {
        let name = name.as_str();
        !COMMON_FIELDS.contains(&name)
    });
    let fields: Vec<String> = own_fields
        .map(|(name, value)| match value.as_str() {
            Some(value) => format!("{name}={value}"),
            None => format!("{name}={value}"),
        })
        .collect();
    Some(LogLine {
        process,
        at_ms: object["at_ms"].as_u64()?,
        event: text("event")?,
        fields: fields.join(" "),
        id: text("id"),
        group: text("group"),
    })
}

/// The decisions on `id`, each after what its process saw before in the same life.
fn timeline_of(id: &str, lines: &[LogLine]) -> Vec<LogLine> {
    let mut timeline = Vec::new();
    let decided = lines.iter().enumerate();
    for (index, decision) in decided.filter(|(_, line)| line.id.as_deref() == Some(id)) {
        timeline.extend(state_before(decision, &lines[..index]));
        timeline.push(decision.clone());
    }
    timeline
}

fn state_before(decision: &LogLine, earlier: &[LogLine]) -> Vec<LogLine> {
    let own = earlier
        .iter()
        .rev()
        .filter(|line| line.process == decision.process);
    let same_life = own.take_while(|line| line.at_ms <= decision.at_ms);
    let recent = same_life.take_while(|line| line.at_ms + WINDOW_MS >= decision.at_ms);
    let relevant = recent.filter(|line| {
        let of_state = !NOT_OF_STATE.contains(&line.event.as_str());
        of_state && (line.group.is_none() || line.group == decision.group)
    });
    let mut found: Vec<LogLine> = relevant.cloned().collect();
    found.reverse();
    found
}
