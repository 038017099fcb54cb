//! Pins the bytes that nodes send each other. Nodes of different builds run side by side. A test that encodes
//! and decodes with the same types can't detect an incompatible change of these types; a stored copy of the
//! bytes does.

mod datagrams;
mod links;
mod openings;
mod pin;
