//! Why the stored configuration can't be read or changed.

use std::time::Duration;

use crate::stores::store_error::StoreError;

/// Why the stored configuration can't be read or changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The service fails.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A key holds what this version can't read.
    #[error(
        "the key {key} of the configuration can't be read ({reason}); upgrade this node if a newer \
         version published it, else restore the key from the history"
    )]
    Unreadable {
        /// The key.
        key: String,
        /// What is wrong.
        reason: String,
    },
    /// A change can't be written.
    #[error("the change can't be written ({reason}); report this as a fault of dyketally")]
    Unwritable {
        /// What is wrong.
        reason: String,
    },
}

impl ConfigurationError {
    /// The wait that the service asked for.
    pub fn retry_after(&self) -> Duration {
        match self {
            ConfigurationError::Store(StoreError::RateLimited { retry_after }) => *retry_after,
            _ => Duration::ZERO,
        }
    }

    /// True when a change may have taken effect although it failed.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            ConfigurationError::Store(error) => error.may_have_taken_effect(),
            // The service answered, and what it answered can't be read.
            ConfigurationError::Unreadable { .. } => true,
            ConfigurationError::Unwritable { .. } => false,
        }
    }
}
