//! The machine list over HTTP: one GET of a JSON document.

use std::time::Duration;

use async_trait::async_trait;
use dyketally_http::{LONGEST_BODY, describe, read_body};

use super::machine_list::{MachineList, MachineListError, Machines};

/// Reads the machine list from one address.
#[derive(Clone, Debug)]
pub struct HttpMachineList {
    client: reqwest::Client,
    address: String,
    request_timeout: Duration,
}

impl HttpMachineList {
    /// Reads the list from `address`, a URL; gives a read up if no answer begins within
    /// `request_timeout`.
    ///
    /// # Errors
    /// When the HTTP client can't be set up.
    pub fn new(
        address: impl Into<String>,
        request_timeout: Duration,
    ) -> Result<Self, MachineListError> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .map_err(|error| unavailable(describe(&error)))?;
        Ok(Self {
            client,
            address: address.into(),
            request_timeout,
        })
    }
}

#[async_trait]
impl MachineList for HttpMachineList {
    async fn machines(&self) -> Result<Machines, MachineListError> {
        let sent = self.client.get(&self.address).send();
        let sent = tokio::time::timeout(self.request_timeout, sent).await;
        let response =
            sent.map_err(|_| unavailable(format!("no answer within {:?}", self.request_timeout)))?;
        let response = response.and_then(reqwest::Response::error_for_status);
        let response = response.map_err(|error| unavailable(describe(&error)))?;
        let body = read_body(response, LONGEST_BODY).await;
        let body = body.map_err(|error| unavailable(error.to_string()))?;
        serde_json::from_slice(&body).map_err(|error| MachineListError::Malformed {
            reason: error.to_string(),
        })
    }
}

fn unavailable(reason: String) -> MachineListError {
    MachineListError::Unavailable { reason }
}
