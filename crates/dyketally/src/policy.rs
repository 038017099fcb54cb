//! The configuration in force, with templates already filled in: what the request path reads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identifiers::{DatabaseName, GroupName, Locality, TenantName};

/// Number of the newest change that a configuration contains. Never goes back on a node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Everything the request path needs, as of one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySet {
    /// The revision this was resolved from.
    pub revision: Revision,
    /// Database groups by name.
    pub groups: BTreeMap<GroupName, GroupPolicy>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, TenantPolicy>,
}

impl PolicySet {
    /// The group that `database` is a member of, with the member's own entry.
    pub fn database(&self, database: &DatabaseName) -> Option<(&GroupPolicy, &DatabasePolicy)> {
        self.groups.values().find_map(|group| {
            let member = group
                .members
                .iter()
                .find(|member| &member.name == database)?;
            Some((group, member))
        })
    }
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupPolicy {
    /// The group's name.
    pub name: GroupName,
    /// Its databases, in the order of the configuration.
    pub members: Vec<DatabasePolicy>,
    /// The statement that yields role, term, log term and offset in one row of four text columns.
    pub status_statement: String,
    /// The table that holds request keys of recorded statements.
    pub ledger_table: String,
}

/// One database of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DatabasePolicy {
    /// The database's name.
    pub name: DatabaseName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Where it runs.
    pub locality: Locality,
    /// Connections that it grants to dyketally as a whole.
    pub connection_limit: u32,
    /// Statements that it runs at one time.
    pub slots: u32,
}

/// One tenant, with its template filled in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantPolicy {
    /// The tenant's name: the user name with which its callers connect.
    pub name: TenantName,
    /// The groups it may use, by the database name with which its callers connect.
    pub databases: BTreeMap<String, GroupName>,
    /// Share of slot time relative to other tenants; at least 1.
    pub weight: u32,
    /// Statements that may wait at one home.
    pub queue_limit: u32,
    /// Rules that classify statements; the first that matches decides.
    pub rules: Vec<StatementRule>,
    /// How a write is confirmed before it is acknowledged.
    pub confirmation: Confirmation,
}

/// How a write is confirmed between the primary's reply and the caller's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Confirmation {
    /// A majority reports no higher term and holds the write's position.
    #[default]
    MajorityPosition,
    /// A majority reports no higher term. An acknowledged write can be lost with its primary.
    MajorityTerm,
}

/// Classifies the statements that match.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementRule {
    /// What the statement is matched by.
    pub matcher: StatementMatcher,
    /// How a matching statement is treated.
    pub policy: StatementPolicy,
}

/// How a rule recognises a statement. No SQL is parsed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StatementMatcher {
    /// The statement starts with this text; letter case and leading white space don't count.
    Prefix(String),
    /// The statement starts with the comment `/* dyketally:<label> */`.
    Comment(String),
    /// The caller prepared the statement under this name.
    PreparedName(String),
}

/// How a statement is treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementPolicy {
    /// Whether it reads or writes.
    pub access: Access,
    /// Whether it passes other statements of its own tenant.
    pub urgency: Urgency,
    /// Whether it may be sent again.
    pub repeat: Repeat,
    /// Time from its arrival at the edge until its final answer.
    pub deadline: Duration,
}

/// Whether a statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Changes nothing; any database that is fresh enough may serve it.
    Read,
    /// Runs at the primary and is confirmed.
    Write,
}

/// Order among the statements of one tenant.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// In order of arrival.
    #[default]
    Normal,
    /// Before the tenant's normal statements; never on another tenant's share.
    Urgent,
}

/// Whether a statement may be sent a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Runs at most once: never sent again after it may have reached a database.
    #[default]
    Never,
    /// Running it twice does no harm.
    Repeatable,
    /// Made safe to repeat by a request key that is recorded in the same transaction.
    Recorded,
}
