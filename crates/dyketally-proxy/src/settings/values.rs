//! Types of single settings.

use std::fmt;
use std::path::PathBuf;

use dyketally::document::{Field, word_list};
use log::LevelFilter;
use serde::{Deserialize, Serialize};

/// An `http://` URL.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpUrl(reqwest::Url);

impl HttpUrl {
    /// Reads a URL; `None` if it isn't an `http://` URL with a host.
    pub fn parse(text: &str) -> Option<Self> {
        let url = reqwest::Url::parse(text).ok()?;
        (url.scheme() == "http" && url.has_host()).then_some(Self(url))
    }
}

impl fmt::Display for HttpUrl {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl Field for HttpUrl {
    fn expected() -> String {
        "an http:// URL such as \"http://10.0.0.1:2379\"".to_owned()
    }

    fn from_value(value: &toml::Value) -> Option<Self> {
        Self::parse(value.as_str()?)
    }
}

/// How a log line is laid out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLayout {
    /// A line of text for people.
    #[default]
    Human,
    /// A JSON object a line for programs.
    Json,
}

impl Field for LogLayout {
    fn expected() -> String {
        format!("one of {}", word_list(&["human", "json"]))
    }

    fn from_value(value: &toml::Value) -> Option<Self> {
        value.clone().try_into().ok()
    }
}

/// The least severe level that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLevel(pub LevelFilter);

impl Default for LogLevel {
    fn default() -> Self {
        Self(LevelFilter::Info)
    }
}

impl Field for LogLevel {
    fn expected() -> String {
        let words = ["off", "error", "warn", "info", "debug", "trace"];
        format!("one of {}", word_list(&words))
    }

    fn from_value(value: &toml::Value) -> Option<Self> {
        value.as_str()?.parse().ok().map(Self)
    }
}

/// A file's path; relative paths are relative to the working directory.
pub(super) struct FilePath(pub PathBuf);

impl Field for FilePath {
    fn expected() -> String {
        "the path of a file".to_owned()
    }

    fn from_value(value: &toml::Value) -> Option<Self> {
        let text = value.as_str()?;
        (!text.is_empty()).then(|| Self(PathBuf::from(text)))
    }
}
