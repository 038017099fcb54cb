//! The whole path in one process: drivers, a node, and a group of stand-in databases.

mod bad_input;
mod links;
mod planned_stop;
mod sessions;
mod statements;
mod support;
