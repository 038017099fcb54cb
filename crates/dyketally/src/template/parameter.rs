//! Parameters of templates: their declarations, and the arguments that tenants give.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use toml::Value;

use crate::document::{FaultKind, Field, TableReader, word_list};
use crate::identifiers::GroupName;
use crate::policy::Confirmation;

/// The type of a parameter's values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ParameterType {
    /// A whole number.
    Integer,
    /// A duration, written as "250ms" or "2s".
    Duration,
    /// The name of a group.
    Group,
    /// A table of group names, by the database names that callers use.
    Databases,
    /// How writes are confirmed, see [`Confirmation`].
    Confirmation,
    /// A text that isn't blank, for use within a longer one.
    Text,
}

impl Field for ParameterType {
    fn expected() -> String {
        let words = [
            "integer",
            "duration",
            "group",
            "databases",
            "confirmation",
            "text",
        ];
        format!("one of {}", word_list(&words))
    }

    fn from_value(value: &Value) -> Option<Self> {
        value.clone().try_into().ok()
    }
}

impl ParameterType {
    /// The values of this type, as the end of a message "set it to ...".
    pub fn expected(self) -> String {
        match self {
            ParameterType::Integer => i64::expected(),
            ParameterType::Duration => Duration::expected(),
            ParameterType::Group => "the name of a group".to_owned(),
            ParameterType::Databases => {
                "a table of groups by database name such as { shop = \"ledger-1\" }".to_owned()
            }
            ParameterType::Confirmation => Confirmation::expected(),
            ParameterType::Text => "a text that isn't blank".to_owned(),
        }
    }

    fn accepts(self, value: &Value) -> bool {
        match self {
            ParameterType::Integer => value.is_integer(),
            ParameterType::Duration => Duration::from_value(value).is_some(),
            ParameterType::Group => GroupName::from_value(value).is_some(),
            ParameterType::Databases => is_table_of_groups(value),
            ParameterType::Confirmation => Confirmation::from_value(value).is_some(),
            ParameterType::Text => value.as_str().is_some_and(|text| !text.trim().is_empty()),
        }
    }

    /// A valid value, used for parameters without a default when a template is checked by itself.
    fn sample(self) -> Value {
        match self {
            ParameterType::Integer => Value::from(1),
            ParameterType::Duration => Value::from("1s"),
            ParameterType::Databases => {
                Value::Table(toml::Table::from_iter([("sample".into(), "sample".into())]))
            }
            ParameterType::Confirmation => Value::from("majority-position"),
            ParameterType::Group | ParameterType::Text => Value::from("sample"),
        }
    }
}

fn is_table_of_groups(value: &Value) -> bool {
    let is_group = |group: &Value| GroupName::from_value(group).is_some();
    value
        .as_table()
        .is_some_and(|table| table.values().all(is_group))
}

/// A template's declaration of one parameter.
#[derive(Clone, Debug, PartialEq)]
pub struct ParameterDeclaration {
    /// The type of the parameter's values.
    pub parameter_type: ParameterType,
    /// The value for tenants that don't give an argument; without one, each tenant must.
    pub default: Option<Value>,
    /// The purpose of the parameter.
    pub description: Option<String>,
}

impl ParameterDeclaration {
    /// Reads the table `[parameters.<name>]`; `None` if its type is missing or malformed.
    pub(super) fn read(reader: TableReader<'_>) -> Option<Self> {
        let parameter_type: Option<ParameterType> = reader.required("type");
        let default = reader.value("default").cloned();
        let description = reader.optional("description");
        if let (Some(parameter_type), Some(default)) = (parameter_type, &default)
            && !parameter_type.accepts(default)
        {
            reader.malformed("default", default, parameter_type.expected());
        }
        reader.finish();
        Some(Self {
            parameter_type: parameter_type?,
            default,
            description,
        })
    }

    /// The default, or a valid value if there is none.
    pub(super) fn default_or_sample(&self) -> Value {
        let sample = || self.parameter_type.sample();
        self.default.clone().unwrap_or_else(sample)
    }
}

/// Reads a tenant's arguments and checks them against the declarations of its template. The template's
/// name `template` is for messages.
pub(super) fn read_arguments(
    template: &str,
    declarations: &BTreeMap<String, ParameterDeclaration>,
    reader: TableReader<'_>,
) -> BTreeMap<String, Value> {
    let mut arguments = BTreeMap::new();
    for (name, declaration) in declarations {
        let parameter_type = declaration.parameter_type;
        let given = reader.value(name);
        if let Some(value) = given
            && !parameter_type.accepts(value)
        {
            reader.malformed(name, value, parameter_type.expected());
        }
        match given.or(declaration.default.as_ref()) {
            Some(value) => {
                arguments.insert(name.clone(), value.clone());
            }
            None => reader.fault(name, missing_argument(template, parameter_type)),
        }
    }
    reader.finish();
    arguments
}

fn missing_argument(template: &str, parameter_type: ParameterType) -> FaultKind {
    FaultKind::MissingParameter {
        template: template.to_owned(),
        expected: parameter_type.expected(),
    }
}
