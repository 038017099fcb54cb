//! Documents as files.

use std::path::Path;

use dyketally::configuration::Document;
use dyketally::document::{Fault, FaultReport};
use dyketally::template::{DocumentKind, Template, TenantDocument, check_group};

use crate::failure::Failure;

/// Reads a document of `kind` and checks it by itself.
pub(crate) fn read_document(kind: DocumentKind, file: &Path) -> Result<Document, Failure> {
    let text = read_text(file)?;
    let label = file.display().to_string();
    let name = check_document(kind, &label, &text).map_err(FaultReport)?;
    Ok(Document { kind, name, text })
}

/// Reads a file.
pub(crate) fn read_text(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(|cause| Failure::File {
        file: file.to_owned(),
        cause,
    })
}

/// Checks a document by itself and returns its name.
fn check_document(kind: DocumentKind, label: &str, text: &str) -> Result<String, Vec<Fault>> {
    let name = match kind {
        DocumentKind::Group => check_group(label, text)?.name.to_string(),
        DocumentKind::Template => Template::parse_and_check(label, text)?.name.to_string(),
        DocumentKind::Tenant => TenantDocument::parse(label, text)?.name.to_string(),
    };
    Ok(name)
}
