//! The operators' configuration: its log, its publication and its distribution to every node.

mod log;
mod publisher;
mod relay;
mod sample;
mod stateful;
mod sync;
