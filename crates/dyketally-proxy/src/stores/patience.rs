//! Repeats a read of the stored configuration while the service is down or limits the rate.

use dyketally::configuration::PublisherSettings;
use dyketally::time::Timestamp;
use rand::Rng;

use super::configuration_store::{ConfigurationError, ConfigurationStore, StoredConfiguration};
use super::store_error::StoreError;
use crate::clock;

/// How long to go on.
pub(super) struct Patience {
    settings: PublisherSettings,
    deadline: Timestamp,
}

impl Patience {
    pub(super) fn new(settings: PublisherSettings) -> Self {
        Self {
            settings,
            deadline: clock::now() + settings.patience,
        }
    }

    /// Reads all documents; fails only with an error that lasts.
    pub(super) async fn read(
        &self,
        store: &ConfigurationStore,
        random: &mut impl Rng,
    ) -> Result<StoredConfiguration, ConfigurationError> {
        loop {
            let error = match store.current().await {
                Ok(stored) => return Ok(stored),
                Err(error) => error,
            };
            let wait = self.settings.longest_backoff.mul_f64(random.random());
            let until = clock::now() + error.retry_after() + wait;
            if !may_pass(&error) || until >= self.deadline {
                return Err(error);
            }
            tokio::time::sleep(until.saturating_since(clock::now())).await;
        }
    }
}

fn may_pass(error: &ConfigurationError) -> bool {
    matches!(
        error,
        ConfigurationError::Store(
            StoreError::Unavailable { .. } | StoreError::RateLimited { .. } | StoreError::Compacted
        )
    )
}
