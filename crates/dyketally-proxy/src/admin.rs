//! Administration over HTTP: health, metrics and status.
