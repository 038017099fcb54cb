//! Prints tables, text and JSON.

use std::io::Write;

use serde::Serialize;
use tabled::settings::Style;
use tabled::{Table, Tabled};

use crate::command_line::OutputForm;
use crate::failure::Failure;

/// Where a command prints to, and in which form.
pub(crate) struct Output<'a> {
    /// The stream.
    pub writer: &'a mut (dyn Write + Send),
    /// The form.
    pub form: OutputForm,
}

impl Output<'_> {
    /// Prints one line of text.
    pub fn line(&mut self, text: &str) -> Result<(), Failure> {
        writeln!(self.writer, "{text}")?;
        Ok(())
    }

    /// Prints `result` as JSON, or `text` for people.
    pub fn result(&mut self, result: &impl Serialize, text: &str) -> Result<(), Failure> {
        match self.form {
            OutputForm::Json => self.json(result),
            OutputForm::Table => self.line(text),
        }
    }

    /// Prints a table with a title, unless it has no rows.
    pub fn table<Row: Tabled>(&mut self, title: &str, rows: &[Row]) -> Result<(), Failure> {
        if rows.is_empty() {
            return self.line(&format!("{title}: none"));
        }
        let mut table = Table::new(rows);
        table.with(Style::sharp());
        self.line(title)?;
        self.line(&table.to_string())
    }

    /// Prints `value` as JSON.
    pub fn json(&mut self, value: &impl Serialize) -> Result<(), Failure> {
        let text = serde_json::to_string_pretty(value).map_err(std::io::Error::other)?;
        self.line(&text)
    }
}
