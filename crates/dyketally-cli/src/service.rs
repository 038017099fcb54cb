//! The configuration as the command reads and changes it.

use async_trait::async_trait;
use dyketally::configuration::{Change, PublishOutcome, Snapshot};
use dyketally_proxy::platform::StoreError;

/// Reads and changes the configuration that the platform holds.
#[async_trait]
pub(crate) trait ConfigurationService: Send + Sync {
    /// All documents at the newest revision.
    async fn read(&self) -> Result<Snapshot, StoreError>;

    /// The newest changes, newest first.
    async fn history(&self, limit: u32) -> Result<Vec<Change>, StoreError>;

    /// Publishes a change on the revision before its own.
    async fn publish(&self, change: Change) -> Result<PublishOutcome, StoreError>;
}
