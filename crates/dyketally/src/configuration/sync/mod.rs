//! The way of a configuration from the key-value service to every node.
//!
//! A few nodes of each zone, the relays, watch the service; all others learn of a newer revision
//! from the revision that their peers tell with each membership message, and pull what they lack
//! from a peer that is ahead. A fresh node pulls likewise, so it starts while the service is down.

mod assembly;
mod backoff;
mod message;
mod puller;
mod relay;
mod serve;
mod synchronizer;
mod token_bucket;

pub use message::{DocumentKey, PartOfSnapshot, PullReply, PullRequest};
pub use relay::{RelaySettings, WatchId};
pub use synchronizer::{
    PullSettings, SyncAction, SyncCounters, SyncSettings, Synchronizer, WatchFailure, WatchReport,
};
pub use token_bucket::TokenBucket;
