//! The operators' configuration: its changes, their publication and their distribution to all nodes.
//!
//! A change is accepted when a compare-and-swap on one counter, the revision, takes effect at the
//! platform's key-value service. Nodes apply changes in the order of their revisions and never
//! return to an older revision, so changes that arrive late, twice or out of order do no harm.

mod change;
mod log;
mod publisher;
mod snapshot;
pub mod sync;

pub use change::{
    Change, ChangeError, ChangeId, Document, DocumentEdit, LARGEST_CHANGE_BYTES, MOST_EDITS,
    UnixMillis,
};
pub use log::{Applied, ConfigurationLog, Installed, Missing};
pub use publisher::{
    Observation, PublishOutcome, Publisher, PublisherAnswer, PublisherSettings, PublisherStep,
    Winner,
};
pub use snapshot::Snapshot;
