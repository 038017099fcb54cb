//! A configuration that is read from a file instead of the platform: for a single node.

use std::path::Path;

use dyketally::document::{Fault, FaultKind, FaultList, FaultReport, TableReader, parse_table};
use dyketally::policy::{PolicySet, Revision};
use dyketally::template::{DocumentKind, Documents, resolve};
use toml::{Table, Value};

/// The revision of a configuration that comes from a file.
const FILE_REVISION: Revision = Revision(1);

const SECTIONS: [(DocumentKind, &str); 3] = [
    (DocumentKind::Group, "groups"),
    (DocumentKind::Template, "templates"),
    (DocumentKind::Tenant, "tenants"),
];

/// Reads the file and resolves its documents.
pub fn load_configuration(path: &Path) -> Result<PolicySet, FaultReport> {
    let document = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        let message = error.to_string();
        let kind = FaultKind::Unreadable { message };
        let field = String::new();
        let document = document.clone();
        FaultReport(vec![Fault {
            document,
            field,
            kind,
        }])
    })?;
    let documents = read_documents(&document, &text)?;
    let policy = resolve(&documents).map_err(|faults| in_file(&document, faults))?;
    Ok(PolicySet {
        revision: FILE_REVISION,
        ..policy
    })
}

/// Names the file in faults of the documents within it.
fn in_file(file: &str, mut faults: Vec<Fault>) -> FaultReport {
    for fault in &mut faults {
        fault.document = format!("{file}: {}", fault.document);
    }
    FaultReport(faults)
}

/// Splits a text with `[[groups]]`, `[[templates]]` and `[[tenants]]` into documents.
pub fn read_documents(document: &str, text: &str) -> Result<Documents, FaultReport> {
    let faults = FaultList::new();
    let documents = parse_table(document, text, &faults)
        .map(|table| split_documents(document, &table, &faults));
    faults.into_result(documents).map_err(FaultReport)
}

fn split_documents(document: &str, table: &Table, faults: &FaultList) -> Documents {
    let mut documents = Documents::default();
    let root = TableReader::new(document, table, faults);
    for (kind, section) in SECTIONS {
        let entries = root.value(section).and_then(Value::as_array);
        let entries = entries
            .into_iter()
            .flatten()
            .filter(|entry| entry.is_table());
        for (reader, entry) in root.tables(section).iter().zip(entries) {
            let Some(name) = reader.required::<String>("name") else {
                continue;
            };
            let text = match toml::to_string(entry) {
                Ok(text) => text,
                Err(error) => {
                    let message = error.to_string();
                    reader.table_fault(FaultKind::Syntax { message });
                    continue;
                }
            };
            if documents
                .of_kind_mut(kind)
                .insert(name.clone(), text)
                .is_some()
            {
                let first = format!("an earlier {kind}");
                reader.fault("name", FaultKind::Duplicate { value: name, first });
            }
        }
    }
    root.finish();
    documents
}
