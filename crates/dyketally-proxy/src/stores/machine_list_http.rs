//! The machine list over HTTP: one GET of a JSON document.

use std::time::Duration;

use async_trait::async_trait;

use super::machine_list::{MachineList, MachineListError, Machines};

/// Reads the machine list from one address.
#[derive(Clone, Debug)]
pub struct HttpMachineList {
    client: reqwest::Client,
    address: String,
}

impl HttpMachineList {
    /// Reads the list from `address`, a URL; gives a read up after `request_timeout`.
    ///
    /// # Errors
    /// When the HTTP client can't be set up.
    pub fn new(
        address: impl Into<String>,
        request_timeout: Duration,
    ) -> Result<Self, MachineListError> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(request_timeout)
            .build()
            .map_err(unavailable)?;
        Ok(Self {
            client,
            address: address.into(),
        })
    }
}

#[async_trait]
impl MachineList for HttpMachineList {
    async fn machines(&self) -> Result<Machines, MachineListError> {
        let response = self.client.get(&self.address).send().await;
        let response = response.map_err(unavailable)?;
        let response = response.error_for_status().map_err(unavailable)?;
        let body = response.bytes().await.map_err(unavailable)?;
        serde_json::from_slice(&body).map_err(|error| MachineListError::Malformed {
            reason: error.to_string(),
        })
    }
}

fn unavailable(error: reqwest::Error) -> MachineListError {
    MachineListError::Unavailable {
        reason: super::etcd::describe(&error),
    }
}
