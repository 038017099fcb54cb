//! The stand-in database: statements, limits and the faults of a group.

mod statements;
mod support;
