//! Shows one published template, or how a file differs from it.

use std::path::Path;

use dyketally::policy::Revision;
use dyketally::template::DocumentKind;
use dyketally_proxy::stores::ConfigurationStore;
use serde::Serialize;
use similar::TextDiff;

use crate::document_file::read_document;
use crate::failure::Failure;
use crate::output::Output;
use crate::stored::{read, require};

#[derive(Serialize)]
struct ShownDocument<'a> {
    kind: DocumentKind,
    name: &'a str,
    revision: Revision,
    text: &'a str,
}

/// Prints a published template as it was written.
pub(crate) async fn show(
    store: &ConfigurationStore,
    name: &str,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let snapshot = read(store).await?;
    let kind = DocumentKind::Template;
    let text = require(&snapshot, kind, name)?;
    let shown = ShownDocument {
        kind,
        name,
        revision: snapshot.revision,
        text,
    };
    output.result(&shown, text.trim_end())
}

#[derive(Serialize)]
struct ShownDifference<'a> {
    name: &'a str,
    revision: Revision,
    same: bool,
    difference: &'a str,
}

/// Compares a template file with the published template.
pub(crate) async fn diff(
    store: &ConfigurationStore,
    file: &Path,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let document = read_document(DocumentKind::Template, file)?;
    let snapshot = read(store).await?;
    let published = require(&snapshot, document.kind, &document.name)?;
    let difference = TextDiff::from_lines(published, &document.text);
    let from = format!("{} at revision {}", document.name, snapshot.revision.0);
    let to = file.display().to_string();
    let text = difference.unified_diff().header(&from, &to).to_string();
    let same = published == document.text;
    let shown = ShownDifference {
        name: &document.name,
        revision: snapshot.revision,
        same,
        difference: &text,
    };
    match same {
        true => output.result(&shown, &format!("{to} is the same as {from}")),
        false => output.result(&shown, text.trim_end()),
    }
}
