//! Homes against a group of stand-in databases, in one process.

mod pressure;
mod random_faults;
mod reads;
mod recorded;
mod relay;
mod stderr_log;
mod support;
mod transactions;
mod writes;
