//! Calls to the homes of databases: a home runs batches on connections that it keeps, and binds one
//! to the caller's link for as long as a transaction is open on it.

mod call;
mod home_call;
mod links;

pub use self::call::{Call, CallError, CallReply};
pub use self::home_call::HomeCall;
pub use self::links::{Frames, Links, frames};
