//! The operators' documents of a site: its groups, the template and the tenants.

use std::fmt::Write;
use std::net::SocketAddr;

use super::site::{DATABASE, Site, Tenant};

/// The template that all tenants of the lab fill in.
pub const TEMPLATE_NAME: &str = "lab";

/// One member of a group, as the operators name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDocument {
    /// The database's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it accepts callers.
    pub address: SocketAddr,
}

/// The document of a group.
pub fn group_document(site: &Site, name: &str, members: &[MemberDocument]) -> String {
    let mut document = format!("name = \"{name}\"\n");
    for member in members {
        // Writing to a string can't fail.
        let _ = write!(
            document,
            "\n[[members]]\nname = \"{}\"\naddress = \"{}\"\nregion = \"{}\"\nzone = \"{}\"\n\
             connection_limit = {}\nslots = {}\n",
            member.name,
            member.address,
            site.region,
            member.zone,
            site.database.connection_limit,
            site.database.slots,
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
    } = tenant;
    format!(
        "name = \"{name}\"\ntemplate = \"{TEMPLATE_NAME}\"\n\n[parameters]\n\
         group = \"{group}\"\nweight = {weight}\nqueue_limit = {queue_limit}\n"
    )
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
