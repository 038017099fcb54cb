//! The operators' configuration: its log, its publication and its way to every node.

mod log;
mod publisher;
mod relay;
mod sample;
mod stateful;
mod sync;
