//! The command as operators run it: a process against a stand-in of the platform or of a node.

mod check;
mod explain;
mod lossy;
mod publish;
mod reading;
mod status;
mod support;
