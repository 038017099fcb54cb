//! Distributes the configuration from the key-value service to all nodes.
//!
//! A few nodes of each zone, the relays, watch the service. Each membership message carries its
//! sender's revision; a node that receives a higher revision than its own pulls the missing changes
//! from that peer. A new node pulls in the same manner, so it can start while the service is down.

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
