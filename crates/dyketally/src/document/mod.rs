//! Reading operators' TOML documents: every fault of a document is found in one pass.
//!
//! `serde` stops at the first fault. Here a [`TableReader`] takes the fields of a table one by
//! one, notes each fault in a [`FaultList`] and reports the keys that nobody asked for.

mod fault;
mod field;
mod reader;

pub use fault::{Fault, FaultKind, FaultList, FaultReport, MULTIPLE_FAULTS_REMEDY};
pub use field::{Field, Ranged, word_list};
pub use reader::TableReader;

/// Parses `text` as a TOML table; notes the fault and returns `None` when it isn't one.
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
