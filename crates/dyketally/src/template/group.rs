//! Group documents as operators write them.

use std::ops::RangeInclusive;

use crate::document::{Fault, FaultKind, FaultList, Field, TableReader, parse_table};
use crate::identifiers::{GroupName, Locality};
use crate::policy::{DatabasePolicy, GroupPolicy};

/// The status statement of groups that don't set `status_statement`.
pub const DEFAULT_STATUS_STATEMENT: &str =
    "SELECT role, term, log_term, log_offset FROM dyketally_status";
/// The ledger table of groups that don't set `ledger_table`.
pub const DEFAULT_LEDGER_TABLE: &str = "dyketally_ledger";

/// Range of a database's connection limit and of its slots.
const CONNECTIONS: RangeInclusive<u32> = 1..=100_000;

/// Reads and checks the document of one group by itself; `document` is its label in messages.
pub fn check_group(document: &str, text: &str) -> Result<GroupPolicy, Vec<Fault>> {
    let faults = FaultList::new();
    let group = read_group(document, text, &faults);
    faults.into_result(group)
}

/// Reads a group and records its faults; incomplete members are left out.
pub(super) fn read_group(document: &str, text: &str, faults: &FaultList) -> Option<GroupPolicy> {
    let table = parse_table(document, text, faults)?;
    let reader = TableReader::new(document, &table, faults);
    let name: Option<GroupName> = reader.required("name");
    let status_statement = reader.optional("status_statement");
    let ledger_table: Option<TableName> = reader.optional("ledger_table");
    let members = reader.tables("members");
    if members.is_empty() {
        reader.fault(
            "members",
            FaultKind::Empty {
                entry: "[[members]]",
            },
        );
    }
    let members = members.into_iter().filter_map(read_member).collect();
    reader.finish();
    let status_statement = status_statement.unwrap_or_else(|| DEFAULT_STATUS_STATEMENT.to_owned());
    Some(GroupPolicy {
        name: name?,
        members,
        status_statement,
        ledger_table: ledger_table.map_or(DEFAULT_LEDGER_TABLE.to_owned(), |table| table.0),
    })
}

fn read_member(reader: TableReader<'_>) -> Option<DatabasePolicy> {
    let name = reader.required("name");
    let address = reader.required("address");
    let region = reader.required("region");
    let zone = reader.required("zone");
    let connection_limit = read_connections(&reader, "connection_limit");
    let slots = read_connections(&reader, "slots");
    if let (Some(connections), Some(slots)) = (connection_limit, slots)
        && connections <= slots
    {
        let kind = FaultKind::TooFewConnections { connections, slots };
        reader.fault("connection_limit", kind);
    }
    reader.finish();
    Some(DatabasePolicy {
        name: name?,
        address: address?,
        locality: Locality {
            region: region?,
            zone: zone?,
        },
        connection_limit: connection_limit?,
        slots: slots?,
    })
}

fn read_connections(reader: &TableReader<'_>, key: &str) -> Option<u32> {
    reader.require::<i64>(key);
    reader.number_in(key, CONNECTIONS)
}

/// Name of a table that needs no quoting in a statement.
struct TableName(String);

impl Field for TableName {
    fn expected() -> String {
        "a table name of lowercase letters, digits and `_`, with a schema and `.` before it if needed"
            .to_owned()
    }

    fn from_value(value: &toml::Value) -> Option<Self> {
        let text = value.as_str()?;
        let is_name = |part: &str| {
            let allowed =
                |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_';
            part.bytes().all(allowed) && part.starts_with(|first: char| !first.is_ascii_digit())
        };
        let parts = text.split('.').count();
        (parts <= 2 && text.split('.').all(is_name)).then(|| TableName(text.to_owned()))
    }
}
