//! Placement: which live node is the home of a database.
