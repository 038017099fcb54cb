//! Tenant documents as operators write them: the name of a template and arguments for its parameters.

use toml::Table;

use crate::document::{Fault, FaultList, TableReader, parse_table};
use crate::identifiers::{TemplateName, TenantName};

const PARAMETERS: &str = "parameters";

/// The document of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantDocument {
    /// The tenant's name.
    pub name: TenantName,
    /// The name of the tenant's template.
    pub template: TemplateName,
    /// The whole document. Its table `parameters` is checked later against the template's declarations.
    table: Table,
}

impl TenantDocument {
    /// Reads the document without its arguments, which [`resolve`](super::resolve()) checks.
    pub fn parse(document: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let faults = FaultList::new();
        let tenant = Self::read(document, text, &faults);
        faults.into_result(tenant)
    }

    /// Reads the document and records its faults, except those of its arguments.
    pub(super) fn read(document: &str, text: &str, faults: &FaultList) -> Option<Self> {
        let table = parse_table(document, text, faults)?;
        let reader = TableReader::new(document, &table, faults);
        let name = reader.required("name");
        let template = reader.required("template");
        reader.table(PARAMETERS);
        reader.finish();
        Some(Self {
            name: name?,
            template: template?,
            table,
        })
    }

    /// A reader of the tenant's arguments.
    pub(super) fn arguments<'a>(
        &'a self,
        document: &'a str,
        faults: &'a FaultList,
    ) -> TableReader<'a> {
        TableReader::new(document, &self.table, faults).table(PARAMETERS)
    }
}
