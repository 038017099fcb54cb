//! Pins the bytes that nodes send each other. Nodes of different builds run side by side, and both
//! ends of a connection are built from the same types, so that only a stored copy of the bytes shows
//! that a change of these types changes the protocol.

mod datagrams;
mod links;
mod openings;
mod pin;
