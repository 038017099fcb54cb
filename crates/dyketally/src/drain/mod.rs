//! Planned stop of a node and of a database: leaving is announced, then work in flight ends.
