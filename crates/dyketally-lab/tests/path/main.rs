//! The whole path in one process: drivers, a node, and a group of stand-in databases.

mod bad_input;
mod links;
mod sessions;
mod statements;
mod support;
