//! The resolved configuration, with templates filled in, as the request path reads it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identifiers::{DatabaseName, GroupName, Locality, TenantName};

/// Number of the newest change that a configuration contains. It never decreases on a node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// All resolved policies of one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySet {
    /// The revision of the documents that the policies were resolved from.
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
    /// The group's databases, in the order of the configuration.
    pub members: Vec<DatabasePolicy>,
    /// The statement that returns a database's role, term, log term and log offset in one row of four
    /// text columns.
    pub status_statement: String,
    /// The table that holds the request keys of recorded statements ([`Repeat::Recorded`]).
    pub ledger_table: String,
}

/// One database of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DatabasePolicy {
    /// The database's name.
    pub name: DatabaseName,
    /// The address at which the database accepts connections.
    pub address: SocketAddr,
    /// The region and zone in which the database runs.
    pub locality: Locality,
    /// Most connections that all dyketally nodes together may open to the database.
    pub connection_limit: u32,
    /// Most statements that the database may run at the same time.
    pub slots: u32,
}

/// One tenant, as its template filled in with its arguments defines it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantPolicy {
    /// The tenant's name: the user name with which its callers connect.
    pub name: TenantName,
    /// The groups that the tenant may use, by the database name with which its callers connect.
    pub databases: BTreeMap<String, GroupName>,
    /// Share of the slots' time relative to other tenants; at least 1.
    pub weight: u32,
    /// Most statements of the tenant that may wait at one home.
    pub queue_limit: u32,
    /// Rules that classify statements; the first that matches decides.
    pub rules: Vec<StatementRule>,
    /// How a write is confirmed before it is acknowledged.
    pub confirmation: Confirmation,
}

/// How a write is confirmed after the primary's reply, before the caller gets one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Confirmation {
    /// A majority of the group reports no higher term and has the write's position in its logs.
    #[default]
    MajorityPosition,
    /// A majority of the group reports no higher term. An acknowledged write is lost if its primary is
    /// lost before the write is replicated.
    MajorityTerm,
}

/// A rule that sets the policy of all statements that its matcher matches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementRule {
    /// Which statements the rule matches.
    pub matcher: StatementMatcher,
    /// How the matching statements are treated.
    pub policy: StatementPolicy,
}

/// Which statements a rule matches. SQL is not parsed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StatementMatcher {
    /// The statement starts with this text; letter case and leading white space are ignored.
    Prefix(String),
    /// The statement starts with the comment `/* dyketally:<label> */`.
    Comment(String),
    /// The caller prepared the statement under this name.
    PreparedName(String),
}

/// How a statement is treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementPolicy {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// Whether the statement overtakes other statements of its own tenant.
    pub urgency: Urgency,
    /// Whether the statement may be sent again.
    pub repeat: Repeat,
    /// Longest time from the statement's arrival at the edge until its final answer.
    pub deadline: Duration,
}

/// Whether a statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// The statement changes nothing; any database that is fresh enough may serve it.
    Read,
    /// The statement runs at the primary and is confirmed before it is acknowledged.
    Write,
}

/// Order in which the waiting statements of one tenant run.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Normal statements run in the order of their arrival.
    #[default]
    Normal,
    /// Urgent statements run before the tenant's normal ones, within the tenant's own share of slots.
    Urgent,
}

/// Whether a statement may be sent a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The statement runs at most once: it is not sent again if it may have reached a database.
    #[default]
    Never,
    /// Running the statement twice does no harm.
    Repeatable,
    /// A request key that is recorded in the statement's transaction makes it safe to send again.
    Recorded,
}
