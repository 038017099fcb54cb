//! dyketally-cli.
