//! How answers of HTTP services are read, for all clients of such services.

mod body;

use std::error::Error;

pub use body::{BodyError, LONGEST_BODY, SILENCE_LIMIT, SLOWEST_RATE, read_body};

/// An error of the HTTP library with its causes, which it leaves out of its own message, on one line.
pub fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
