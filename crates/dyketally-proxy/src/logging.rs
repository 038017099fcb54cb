//! Structured logs: JSON and human layouts, to standard output or to a file.
//!
//! Lines tell changes of state; everything that happens often is a counter of `/metrics`.
//! The messages are whole sentences. Attributes (`log::info!(node:% = name; "...")`) repeat parts of
//! them for programs and stand in the JSON layout only.

use log::LevelFilter;
use log4rs::Config;
use log4rs::append::Append;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

use crate::settings::{LogLayout, LoggingSettings};

/// Time in UTC, level, module, message.
const HUMAN_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {M} {m}{n}";

const APPENDER: &str = "log";

/// The crates whose lines follow the settings; others are held to warnings.
const OWN_CRATES: [&str; 4] = [
    "dyketally",
    "dyketally_protocol",
    "dyketally_proxy",
    "dyketallyd",
];

/// Logs can't be started.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The file can't be appended to.
    #[error(
        "the log file {file} can't be opened: {cause}; set logging.file to a file that may be written"
    )]
    File {
        /// The file.
        file: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// Logs are set up twice in one process.
    #[error("logs are already set up in this process; start them once")]
    AlreadyStarted,
}

/// Starts logs for this process.
pub fn start(settings: &LoggingSettings) -> Result<(), LoggingError> {
    let config = configure(settings)?;
    match log4rs::init_config(config) {
        Ok(_) => Ok(()),
        Err(_) => Err(LoggingError::AlreadyStarted),
    }
}

/// The configuration of `log4rs` that the settings ask for.
pub fn configure(settings: &LoggingSettings) -> Result<Config, LoggingError> {
    let level = settings.level.0;
    let appender = Appender::builder().build(APPENDER, appender(settings)?);
    let loggers = OWN_CRATES.map(|name| Logger::builder().build(name, level));
    let root = Root::builder().appender(APPENDER);
    let config = Config::builder()
        .appender(appender)
        .loggers(loggers)
        .build(root.build(level.min(LevelFilter::Warn)))
        .expect("the names of the appender and the loggers are fixed and distinct");
    Ok(config)
}

fn appender(settings: &LoggingSettings) -> Result<Box<dyn Append>, LoggingError> {
    let encoder = encoder(settings.layout);
    let Some(file) = &settings.file else {
        let console = ConsoleAppender::builder().encoder(encoder).build();
        return Ok(Box::new(console));
    };
    match FileAppender::builder().encoder(encoder).build(file) {
        Ok(appender) => Ok(Box::new(appender)),
        Err(cause) => Err(LoggingError::File {
            file: file.display().to_string(),
            cause,
        }),
    }
}

fn encoder(layout: LogLayout) -> Box<dyn Encode> {
    match layout {
        LogLayout::Human => Box::new(PatternEncoder::new(HUMAN_PATTERN)),
        LogLayout::Json => Box::new(JsonEncoder::new()),
    }
}
