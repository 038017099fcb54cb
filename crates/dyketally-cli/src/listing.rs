//! Shows published documents and the history of changes.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use dyketally::configuration::{Change, DocumentEdit, Snapshot, UnixMillis};
use dyketally::document::FaultReport;
use dyketally::policy::{
    Confirmation, DatabasePolicy, GroupPolicy, PolicySet, Revision, TenantPolicy,
};
use dyketally::template::{DocumentKind, TenantDocument, resolve};
use serde::Serialize;
use similar::TextDiff;
use tabled::Tabled;

use dyketally_proxy::platform::ConfigurationStore;
use dyketally_proxy::platform::configuration_store::ConfigurationError;
use dyketally_proxy::platform::operations;

use crate::command_line::{HistoryArguments, OutputForm};
use crate::document_file::read_document;
use crate::failure::Failure;
use crate::output::Output;

/// A read failed: nothing was changed.
pub(crate) fn unavailable(error: ConfigurationError) -> Failure {
    Failure::Unavailable(error)
}

async fn read(store: &ConfigurationStore) -> Result<Snapshot, Failure> {
    let read = operations::current_documents(store).await;
    read.map_err(unavailable)
}

/// The text of a document that must exist.
pub(crate) fn require<'a>(
    snapshot: &'a Snapshot,
    kind: DocumentKind,
    name: &str,
) -> Result<&'a str, Failure> {
    let documents = snapshot.documents.of_kind(kind);
    if let Some(text) = documents.get(name) {
        return Ok(text);
    }
    let names: Vec<&str> = documents.keys().map(String::as_str).collect();
    let known = match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(", "),
    };
    Err(Failure::NotFound {
        kind,
        name: name.to_owned(),
        revision: snapshot.revision,
        known,
    })
}

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
    file: &std::path::Path,
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

#[derive(Serialize, Tabled)]
#[tabled(rename_all = "lowercase")]
struct TenantRow {
    tenant: String,
    template: String,
    weight: u32,
    #[tabled(rename = "queue limit")]
    queue_limit: u32,
    confirmation: &'static str,
    databases: String,
    rules: usize,
}

/// Lists the tenants with their templates filled in.
pub(crate) async fn list_tenants(
    store: &ConfigurationStore,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let (snapshot, policy) = read_resolved(store).await?;
    let row = |tenant: &TenantPolicy| tenant_row(&snapshot, tenant);
    let rows: Vec<TenantRow> = policy.tenants.values().map(row).collect();
    print_rows("tenants", &rows, output)
}

fn tenant_row(snapshot: &Snapshot, tenant: &TenantPolicy) -> TenantRow {
    let name = tenant.name.as_str();
    let document = snapshot.documents.tenants.get(name);
    let document = document.and_then(|text| TenantDocument::parse(name, text).ok());
    let pair = |(database, group): (&String, _)| format!("{database} -> {group}");
    let databases: Vec<String> = tenant.databases.iter().map(pair).collect();
    TenantRow {
        tenant: name.to_owned(),
        template: document.map_or(String::new(), |document| document.template.to_string()),
        weight: tenant.weight,
        queue_limit: tenant.queue_limit,
        confirmation: confirmation_word(tenant.confirmation),
        databases: databases.join(", "),
        rules: tenant.rules.len(),
    }
}

/// The word by which templates name it.
fn confirmation_word(confirmation: Confirmation) -> &'static str {
    match confirmation {
        Confirmation::MajorityPosition => "majority-position",
        Confirmation::MajorityTerm => "majority-term",
    }
}

#[derive(Serialize, Tabled)]
#[tabled(rename_all = "lowercase")]
struct DatabaseRow {
    group: String,
    database: String,
    address: String,
    region: String,
    zone: String,
    #[tabled(rename = "connection limit")]
    connection_limit: u32,
    slots: u32,
}

/// Lists the groups and their databases.
pub(crate) async fn list_groups(
    store: &ConfigurationStore,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let (_, policy) = read_resolved(store).await?;
    let rows: Vec<DatabaseRow> = policy.groups.values().flat_map(database_rows).collect();
    print_rows("databases", &rows, output)
}

fn database_rows(group: &GroupPolicy) -> Vec<DatabaseRow> {
    let row = |member: &DatabasePolicy| DatabaseRow {
        group: group.name.to_string(),
        database: member.name.to_string(),
        address: member.address.to_string(),
        region: member.locality.region.to_string(),
        zone: member.locality.zone.to_string(),
        connection_limit: member.connection_limit,
        slots: member.slots,
    };
    group.members.iter().map(row).collect()
}

async fn read_resolved(store: &ConfigurationStore) -> Result<(Snapshot, PolicySet), Failure> {
    let snapshot = read(store).await?;
    let policy = resolve(&snapshot.documents).map_err(FaultReport)?;
    Ok((snapshot, policy))
}

fn print_rows<Row: Serialize + Tabled>(
    title: &str,
    rows: &[Row],
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    match output.form {
        OutputForm::Json => output.json(&rows),
        OutputForm::Table => output.table(title, rows),
    }
}
