//! Routing: which database a statement is sent to.
