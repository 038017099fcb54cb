//! Accounting of the connections to one database.
