//! Replaces the placeholders `${name}` of a template by arguments.

use std::collections::{BTreeMap, BTreeSet};

use toml::{Table, Value};

use crate::document::{FaultKind, FaultList};

const OPENING: &str = "${";
const CLOSING: char = '}';

/// One substitution of arguments for the placeholders in a template's values.
pub(super) struct Substitution<'a> {
    /// The document's label in messages.
    pub document: &'a str,
    /// Arguments by the name of their parameter.
    pub arguments: &'a BTreeMap<String, Value>,
    /// The list to which faults are added.
    pub faults: &'a FaultList,
    /// Names of the parameters used so far.
    pub used: BTreeSet<String>,
}

impl Substitution<'_> {
    /// A copy of `table` with all placeholders replaced; `path` is the table's place in the document.
    pub fn table(&mut self, path: &str, table: &Table) -> Table {
        let mut filled = Table::new();
        for (key, value) in table {
            let path = match path.is_empty() {
                true => key.clone(),
                false => format!("{path}.{key}"),
            };
            filled.insert(key.clone(), self.value(&path, value));
        }
        filled
    }

    fn value(&mut self, path: &str, value: &Value) -> Value {
        match value {
            Value::Table(table) => Value::Table(self.table(path, table)),
            Value::Array(entries) => Value::Array(self.array(path, entries)),
            Value::String(text) => self.text(path, text),
            other => other.clone(),
        }
    }

    fn array(&mut self, path: &str, entries: &[Value]) -> Vec<Value> {
        let mut filled = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            filled.push(self.value(&format!("{path}[{index}]"), entry));
        }
        filled
    }

    fn text(&mut self, path: &str, text: &str) -> Value {
        if let Some(parameter) = whole_placeholder(text) {
            let argument = self.argument(path, parameter);
            return argument.unwrap_or_else(|| Value::from(text));
        }
        let mut filled = String::new();
        let mut rest = text;
        while let Some((before, after)) = rest.split_once(OPENING) {
            filled.push_str(before);
            let Some((parameter, after)) = after.split_once(CLOSING) else {
                self.faults
                    .add(self.document, path, FaultKind::MalformedPlaceholder);
                return Value::from(text);
            };
            filled.push_str(&self.part(path, parameter));
            rest = after;
        }
        filled.push_str(rest);
        Value::from(filled)
    }

    /// The argument of `parameter` as part of a longer text; empty if it is neither a text nor a number.
    fn part(&mut self, path: &str, parameter: &str) -> String {
        match self.argument(path, parameter) {
            Some(Value::String(text)) => text,
            Some(Value::Integer(number)) => number.to_string(),
            Some(_) => {
                let parameter = parameter.to_owned();
                self.faults
                    .add(self.document, path, FaultKind::NotText { parameter });
                String::new()
            }
            None => String::new(),
        }
    }

    /// The argument of `parameter`, which counts as used; records a fault if it isn't declared.
    fn argument(&mut self, path: &str, parameter: &str) -> Option<Value> {
        let argument = self.arguments.get(parameter).cloned();
        let parameter = parameter.to_owned();
        match argument.is_some() {
            true => {
                self.used.insert(parameter);
            }
            false => {
                let kind = FaultKind::UndeclaredParameter { parameter };
                self.faults.add(self.document, path, kind);
            }
        }
        argument
    }
}

/// The parameter's name if `text` consists of a single placeholder.
fn whole_placeholder(text: &str) -> Option<&str> {
    let name = text.strip_prefix(OPENING)?.strip_suffix(CLOSING)?;
    (!name.contains(CLOSING)).then_some(name)
}
