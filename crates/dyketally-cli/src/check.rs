//! `dyketally template check`.

use std::path::PathBuf;

use dyketally::document::{Fault, FaultReport};
use dyketally::template::DocumentKind;

use crate::document_file::read_document;
use crate::failure::Failure;
use crate::output::Output;

/// Checks all files and tells the faults of all of them together.
pub(crate) fn check(files: &[PathBuf], output: &mut Output<'_>) -> Result<(), Failure> {
    let mut faults: Vec<Fault> = Vec::new();
    for file in files {
        match read_document(DocumentKind::Template, file) {
            Ok(document) => {
                let text = format!("{}: template {:?} is sound", file.display(), document.name);
                output.line(&text)?;
            }
            Err(Failure::Faults(FaultReport(found))) => faults.extend(found),
            Err(other) => return Err(other),
        }
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(FaultReport(faults).into()),
    }
}
