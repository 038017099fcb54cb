//! Calls to the homes of databases. A home runs the batches of other nodes on connections of its pool. While
//! a transaction is open on a connection, the home pins the connection to the caller's link.

mod call;
mod home_call;
mod links;

pub use self::call::{Call, CallError, CallReply};
pub use self::home_call::HomeCall;
pub use self::links::{Frames, LONGEST_MESSAGE, Links, frames};
