//! The operators' documents of a site: its groups, the template and the tenants.

use std::fmt::Write;

use dyketally::policy::Confirmation;
use toml::{Table, Value};

use super::plan::{DatabasePlan, Plan};
use super::site::{DATABASE, Site, Tenant};

/// The template that all tenants of the lab fill in.
pub const TEMPLATE_NAME: &str = "lab";

/// The document of a group.
pub fn group_document(site: &Site, plan: &Plan, name: &str) -> String {
    let mut document = format!("name = \"{name}\"\n");
    for member in plan.group(name) {
        let DatabasePlan {
            name, zone, listen, ..
        } = member;
        // Writing to a string can't fail.
        let _ = write!(
            document,
            "\n[[members]]\nname = \"{name}\"\naddress = \"{listen}\"\nregion = \"{}\"\n\
             zone = \"{zone}\"\nconnection_limit = {}\nslots = {}\n",
            site.region, site.database.connection_limit, site.database.slots,
        );
    }
    document
}

/// The template, with the statements of the lab's workloads.
pub fn template_document() -> String {
    let header = format!(
        r#"name = "{TEMPLATE_NAME}"
description = "Tenants of the lab"
weight = "${{weight}}"
queue_limit = "${{queue_limit}}"
confirmation = "${{confirmation}}"

[parameters.group]
type = "group"

[parameters.weight]
type = "integer"
default = 1

[parameters.queue_limit]
type = "integer"
default = 200

[parameters.confirmation]
type = "confirmation"
default = "majority-position"

[databases]
{DATABASE} = "${{group}}"
"#
    );
    let rules = [
        Rule::write("INSERT INTO orders", "urgent", "never"),
        Rule::write("INSERT INTO payments", "urgent", "never"),
        Rule::write("INSERT INTO seats", "urgent", "never"),
        Rule::write("UPDATE results", "urgent", "never"),
        Rule::write("INSERT", "normal", "never"),
        Rule::write("UPDATE", "normal", "never"),
        Rule::write("DELETE", "normal", "never"),
        Rule::read("SELECT"),
    ];
    let rules: Vec<String> = rules.iter().map(Rule::to_document).collect();
    format!("{header}\n{}", rules.join("\n"))
}

/// The document of a tenant.
pub fn tenant_document(tenant: &Tenant) -> String {
    let Tenant {
        name,
        group,
        weight,
        queue_limit,
        confirmation,
    } = tenant;
    let confirmation = match confirmation {
        Confirmation::MajorityPosition => "majority-position",
        Confirmation::MajorityTerm => "majority-term",
    };
    format!(
        "name = \"{name}\"\ntemplate = \"{TEMPLATE_NAME}\"\n\n[parameters]\n\
         group = \"{group}\"\nweight = {weight}\nqueue_limit = {queue_limit}\n\
         confirmation = \"{confirmation}\"\n"
    )
}

/// All documents of a site in one file, for proxies that don't ask the platform.
///
/// # Errors
/// When a document is not valid TOML.
pub fn configuration_file(site: &Site, plan: &Plan) -> eyre::Result<String> {
    let groups = site.groups.iter();
    let groups: Vec<String> = groups
        .map(|group| group_document(site, plan, group))
        .collect();
    let tenants: Vec<String> = site.tenants.iter().map(tenant_document).collect();
    let mut file = Table::new();
    file.insert("groups".to_owned(), tables(&groups)?);
    file.insert("templates".to_owned(), tables(&[template_document()])?);
    file.insert("tenants".to_owned(), tables(&tenants)?);
    Ok(toml::to_string(&file)?)
}

fn tables(documents: &[String]) -> eyre::Result<Value> {
    let tables = documents.iter().map(|document| document.parse::<Table>());
    let tables: Result<Vec<Table>, _> = tables.collect();
    Ok(Value::Array(
        tables?.into_iter().map(Value::Table).collect(),
    ))
}

struct Rule {
    prefix: &'static str,
    access: &'static str,
    urgency: &'static str,
    repeat: &'static str,
}

impl Rule {
    fn write(prefix: &'static str, urgency: &'static str, repeat: &'static str) -> Self {
        Self {
            prefix,
            access: "write",
            urgency,
            repeat,
        }
    }

    fn read(prefix: &'static str) -> Self {
        Self {
            prefix,
            access: "read",
            urgency: "normal",
            repeat: "repeatable",
        }
    }

    fn to_document(&self) -> String {
        let Self {
            prefix,
            access,
            urgency,
            repeat,
        } = self;
        format!(
            "[[statements]]\nmatch = {{ prefix = \"{prefix}\" }}\naccess = \"{access}\"\n\
             urgency = \"{urgency}\"\nrepeat = \"{repeat}\"\ndeadline = \"{DEADLINE}\"\n"
        )
    }
}

/// Deadline of the lab's statements: longer than an election, shorter than a caller's patience.
const DEADLINE: &str = "3s";
