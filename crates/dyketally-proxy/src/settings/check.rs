//! `dyketallyd check`: tells whether a node would start with these settings.

use std::fmt;
use std::path::Path;

use dyketally::document::{Fault, FaultReport};

use super::{Flags, Settings, load, load_configuration};

/// What a check found.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckReport {
    /// The settings as a node would use them, when they can be read.
    pub settings: Option<Settings>,
    /// Every fault of the settings and of the configuration file that they name.
    pub faults: Vec<Fault>,
}

impl CheckReport {
    /// True when no fault was found: a node would start.
    pub fn is_clean(&self) -> bool {
        self.faults.is_empty()
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.settings, self.faults.is_empty()) {
            (Some(settings), true) => {
                let name = &settings.node.name;
                write!(formatter, "the settings of node {name} are accepted")
            }
            _ => FaultReport(self.faults.clone()).fmt(formatter),
        }
    }
}

/// Checks the settings file at `path`, and the configuration file that it names.
pub fn check(path: &Path) -> CheckReport {
    check_flags(&Flags {
        settings: Some(path.to_owned()),
        ..Flags::default()
    })
}

/// Checks a settings file with flags over it.
pub fn check_flags(flags: &Flags) -> CheckReport {
    let settings = match load(flags) {
        Ok(settings) => settings,
        Err(FaultReport(faults)) => {
            return CheckReport {
                settings: None,
                faults,
            };
        }
    };
    let configuration = settings
        .configuration_file
        .as_deref()
        .map(load_configuration);
    let faults = match configuration {
        Some(Err(FaultReport(faults))) => faults,
        Some(Ok(_)) | None => Vec::new(),
    };
    CheckReport {
        settings: Some(settings),
        faults,
    }
}
