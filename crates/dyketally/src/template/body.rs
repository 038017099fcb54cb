//! The body of a template with all parameters filled in.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use super::statement::read_rules;
use crate::document::{FaultKind, FaultList, TableReader};
use crate::identifiers::{GroupName, TenantName};
use crate::policy::{Confirmation, StatementRule, TenantPolicy};

/// Range of a tenant's weight.
const WEIGHTS: RangeInclusive<u32> = 1..=1_000;
/// Range of a tenant's queue limit, in statements.
const QUEUE_LIMITS: RangeInclusive<u32> = 1..=100_000;

const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_QUEUE_LIMIT: u32 = 100;

/// The settings that a filled-in template contains for one tenant.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TemplateBody {
    pub databases: BTreeMap<String, GroupName>,
    pub weight: u32,
    pub queue_limit: u32,
    pub confirmation: Confirmation,
    pub rules: Vec<StatementRule>,
}

impl TemplateBody {
    /// Reads the filled-in body and records its faults.
    pub fn read(document: &str, table: &toml::Table, faults: &FaultList) -> Self {
        let reader = TableReader::new(document, table, faults);
        let body = Self {
            databases: read_databases(&reader),
            weight: reader
                .number_in("weight", WEIGHTS)
                .unwrap_or(DEFAULT_WEIGHT),
            queue_limit: reader
                .number_in("queue_limit", QUEUE_LIMITS)
                .unwrap_or(DEFAULT_QUEUE_LIMIT),
            confirmation: reader.or_default("confirmation", Confirmation::default()),
            rules: read_rules(&reader),
        };
        reader.finish();
        body
    }

    /// The settings as the policy of the tenant called `name`.
    pub fn into_policy(self, name: TenantName) -> TenantPolicy {
        TenantPolicy {
            name,
            databases: self.databases,
            weight: self.weight,
            queue_limit: self.queue_limit,
            rules: self.rules,
            confirmation: self.confirmation,
        }
    }
}

fn read_databases(body: &TableReader<'_>) -> BTreeMap<String, GroupName> {
    let reader = body.table("databases");
    let mut databases = BTreeMap::new();
    for key in reader.keys() {
        if let Some(group) = reader.optional(key) {
            databases.insert(key.to_owned(), group);
        }
    }
    if reader.keys().is_empty() {
        reader.table_fault(FaultKind::Empty { entry: "database" });
    }
    databases
}
