//! Retry budget for repeatable statements.
