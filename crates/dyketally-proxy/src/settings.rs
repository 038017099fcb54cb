//! Settings of the daemon: a TOML file with flags over it.
