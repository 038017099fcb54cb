//! Lists the newest changes.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use dyketally::configuration::{Change, DocumentEdit, UnixMillis};
use dyketally::template::DocumentKind;
use dyketally_proxy::stores::{ConfigurationStore, operations};
use tabled::Tabled;

use crate::command_line::{HistoryArguments, OutputForm};
use crate::failure::Failure;
use crate::output::Output;
use crate::stored::unavailable;

#[derive(Tabled)]
#[tabled(rename_all = "lowercase")]
struct ChangeRow {
    revision: u64,
    published: String,
    author: String,
    edits: String,
    change: String,
}

/// Lists the newest changes.
pub(crate) async fn history(
    store: &ConfigurationStore,
    arguments: &HistoryArguments,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let changes = operations::history(store, None, arguments.limit).await;
    let changes = changes.map_err(unavailable)?;
    let wanted = |change: &&Arc<Change>| match &arguments.name {
        Some(name) => edits_template(change, name),
        None => true,
    };
    let changes: Vec<&Arc<Change>> = changes.iter().filter(wanted).collect();
    if output.form == OutputForm::Json {
        return output.json(&changes);
    }
    let row = |change: &&Arc<Change>| ChangeRow {
        revision: change.revision.0,
        published: time_in_words(change.published_at),
        author: change.author.clone(),
        edits: describe_edits(&change.edits),
        change: change.change_id.to_string(),
    };
    let rows: Vec<ChangeRow> = changes.iter().map(row).collect();
    output.table("changes", &rows)
}

fn edits_template(change: &Change, wanted: &str) -> bool {
    change.edits.iter().any(|edit| {
        let (kind, name) = subject(edit);
        kind == DocumentKind::Template && name == wanted
    })
}

fn subject(edit: &DocumentEdit) -> (DocumentKind, &str) {
    match edit {
        DocumentEdit::Put(document) => (document.kind, &document.name),
        DocumentEdit::Remove { kind, name } => (*kind, name),
    }
}

/// What a change edits, in words.
pub(crate) fn describe_edits(edits: &[DocumentEdit]) -> String {
    let describe = |edit: &DocumentEdit| {
        let (kind, name) = subject(edit);
        match edit {
            DocumentEdit::Put(_) => format!("set {kind} {name}"),
            DocumentEdit::Remove { .. } => format!("removed {kind} {name}"),
        }
    };
    let described: Vec<String> = edits.iter().map(describe).collect();
    described.join(", ")
}

fn time_in_words(time: UnixMillis) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(time.0);
    humantime::format_rfc3339_seconds(time).to_string()
}
