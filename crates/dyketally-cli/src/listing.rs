//! Lists tenants and groups.

use dyketally::configuration::Snapshot;
use dyketally::document::FaultReport;
use dyketally::policy::{Confirmation, DatabasePolicy, GroupPolicy, PolicySet, TenantPolicy};
use dyketally::template::{TenantDocument, resolve};
use dyketally_proxy::stores::ConfigurationStore;
use serde::Serialize;
use tabled::Tabled;

use crate::command_line::OutputForm;
use crate::failure::Failure;
use crate::output::Output;
use crate::stored::read;

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
    // The documents were resolved into `tenant` before, so they can be parsed.
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
