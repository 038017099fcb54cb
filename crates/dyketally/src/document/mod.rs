//! Reads operators' TOML documents and finds all faults of a document in one pass.
//!
//! `serde` stops at the first fault. A [`TableReader`] instead reads the fields of a table one by
//! one, records each fault in a [`FaultList`] and reports the keys that no field has.

mod fault;
mod field;
mod reader;

pub use fault::{Fault, FaultKind, FaultList, FaultReport, MULTIPLE_FAULTS_REMEDY};
pub use field::{Field, Ranged, word_list};
pub use reader::TableReader;

/// Parses `text` as a TOML table; records a fault and returns `None` if the syntax is wrong.
pub fn parse_table(document: &str, text: &str, faults: &FaultList) -> Option<toml::Table> {
    match text.parse::<toml::Table>() {
        Ok(table) => Some(table),
        Err(error) => {
            let message = error.to_string().trim_end().to_owned();
            faults.add(document, "", FaultKind::Syntax { message });
            None
        }
    }
}
