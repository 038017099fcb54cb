//! Replication among the members of a group: elections, terms and the copy of the log.
//!
//! A simplified Raft. It differs in what a proxy must survive: the primary answers after its own
//! append (replication is asynchronous), and a primary that hears from no peer goes on leading.

mod election;
mod log_copy;
mod member;
mod message;

pub use member::{Member, MemberSettings, NotPrimary};
pub use message::{Append, AppendReply, Envelope, Message, Vote, VoteKind, VoteRequest};
