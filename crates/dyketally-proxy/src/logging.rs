//! Structured logs: JSON and human layouts.
