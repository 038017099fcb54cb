//! Types of document fields and how their values are read from TOML.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::identifiers::{
    DatabaseName, GroupName, NodeName, RegionName, TemplateName, TenantName, ZoneName,
};
use crate::policy::{Access, Confirmation, Repeat, Urgency};

/// Longest name of a node, zone, region, tenant, template, group or database, in bytes.
const LONGEST_NAME: usize = 63;

/// A type of field whose values are read from one TOML value.
pub trait Field: Sized {
    /// The values that the field accepts, as the end of a message "set it to ...".
    fn expected() -> String;

    /// Reads `value`; `None` if its type or form is wrong.
    fn from_value(value: &toml::Value) -> Option<Self>;
}

/// A type of field whose values are ordered, so that they can be checked against a range.
pub trait Ranged: Field + PartialOrd {
    /// The value as text for messages.
    fn show(&self) -> String;
}

impl Ranged for i64 {
    fn show(&self) -> String {
        self.to_string()
    }
}

impl Ranged for Duration {
    fn show(&self) -> String {
        humantime::format_duration(*self).to_string()
    }
}

/// The words in quotes and separated by commas, for messages.
pub fn word_list(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("{word:?}")).collect();
    quoted.join(", ")
}

impl Field for String {
    fn expected() -> String {
        "a text".to_owned()
    }

    fn from_value(value: &toml::Value) -> Option<Self> {
        value.as_str().map(str::to_owned)
    }
}

impl Field for i64 {
    fn expected() -> String {
        "a whole number".to_owned()
    }

    fn from_value(value: &toml::Value) -> Option<Self> {
        value.as_integer()
    }
}

impl Field for SocketAddr {
    fn expected() -> String {
        "an IP address and port such as \"10.0.0.1:5432\" or \"[::1]:5432\"".to_owned()
    }

    fn from_value(value: &toml::Value) -> Option<Self> {
        value.as_str()?.parse().ok()
    }
}

impl Field for Duration {
    fn expected() -> String {
        "a duration such as \"250ms\" or \"2s\"".to_owned()
    }

    fn from_value(value: &toml::Value) -> Option<Self> {
        humantime::parse_duration(value.as_str()?).ok()
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let starts_well = text.starts_with(|first: char| first.is_ascii_alphanumeric());
    starts_well && text.len() <= LONGEST_NAME && text.bytes().all(allowed)
}

macro_rules! name_field {
    ($($name:ident),*) => {$(
        impl Field for $name {
            fn expected() -> String {
                format!(
                    "a name of at most {LONGEST_NAME} letters, digits, `-`, `_` and `.`, \
                     which begins with a letter or digit"
                )
            }

            fn from_value(value: &toml::Value) -> Option<Self> {
                let text = value.as_str()?;
                is_name(text).then(|| $name::new(text))
            }
        }
    )*};
}

name_field!(
    DatabaseName,
    GroupName,
    NodeName,
    RegionName,
    TenantName,
    ZoneName,
    TemplateName
);

/// Reads a variant of an enum by the word that `serde` uses for it.
fn choice<T: DeserializeOwned>(value: &toml::Value) -> Option<T> {
    value.clone().try_into().ok()
}

macro_rules! choice_field {
    ($($name:ident: $words:expr),* $(,)?) => {$(
        impl Field for $name {
            fn expected() -> String {
                format!("one of {}", word_list(&$words))
            }

            fn from_value(value: &toml::Value) -> Option<Self> {
                choice(value)
            }
        }
    )*};
}

choice_field!(
    Access: ["read", "write"],
    Confirmation: ["majority-position", "majority-term"],
    Repeat: ["never", "repeatable", "recorded"],
    Urgency: ["normal", "urgent"],
);
