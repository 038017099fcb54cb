//! A typed client of the injection of faults.

use dyketally_proxy::stores::key_value::StoreRevision;
use dyketally_proxy::stores::machine_list::Machines;
use dyketally_proxy::stores::memory::FaultPlan;
use reqwest::{Method, Response};
use serde::Serialize;

use super::control::{CompactRequest, MachineListFaults, PlatformStatus, path};

/// Why a fault could not be injected.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in of the platform did not take the command ({0}); check its control address")]
pub struct ControlError(#[from] reqwest::Error);

/// Injects faults into a stand-in.
#[derive(Clone, Debug)]
pub struct ControlClient {
    client: reqwest::Client,
    url: String,
}

impl ControlClient {
    /// Talks to the control address at `url`, which has no path.
    ///
    /// # Errors
    /// When the HTTP client can't be set up.
    pub fn new(url: impl Into<String>) -> Result<Self, ControlError> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        let url = url.into();
        Ok(Self { client, url })
    }

    /// Replaces the faults of the key-value service.
    ///
    /// # Errors
    /// When the stand-in doesn't take the command.
    pub async fn set_faults(&self, faults: &FaultPlan) -> Result<(), ControlError> {
        self.send(Method::PUT, path::FAULTS, faults).await
    }

    /// The faults of the key-value service.
    ///
    /// # Errors
    /// When the stand-in doesn't answer.
    pub async fn faults(&self) -> Result<FaultPlan, ControlError> {
        Ok(self.get(path::FAULTS).await?.json().await?)
    }

    /// Ends all leases, as if their holders had been paused for long.
    ///
    /// # Errors
    /// When the stand-in doesn't take the command.
    pub async fn lapse_leases(&self) -> Result<(), ControlError> {
        self.send(Method::POST, path::LAPSE_LEASES, &()).await
    }

    /// Forgets the history of the key-value service before `revision`.
    ///
    /// # Errors
    /// When the stand-in doesn't take the command.
    pub async fn compact(&self, revision: StoreRevision) -> Result<(), ControlError> {
        let request = CompactRequest {
            store_revision: revision.0,
        };
        self.send(Method::POST, path::COMPACT, &request).await
    }

    /// Replaces the machine list; it is told after its lag.
    ///
    /// # Errors
    /// When the stand-in doesn't take the command.
    pub async fn set_machines(&self, machines: &Machines) -> Result<(), ControlError> {
        self.send(Method::PUT, path::MACHINES, machines).await
    }

    /// Replaces the faults of the machine list.
    ///
    /// # Errors
    /// When the stand-in doesn't take the command.
    pub async fn set_machine_list_faults(
        &self,
        faults: MachineListFaults,
    ) -> Result<(), ControlError> {
        self.send(Method::PUT, path::MACHINE_LIST_FAULTS, &faults)
            .await
    }

    /// What the stand-in has seen.
    ///
    /// # Errors
    /// When the stand-in doesn't answer.
    pub async fn status(&self) -> Result<PlatformStatus, ControlError> {
        Ok(self.get(path::STATUS).await?.json().await?)
    }

    async fn get(&self, path: &str) -> Result<Response, ControlError> {
        let response = self
            .client
            .get(format!("{}{path}", self.url))
            .send()
            .await?;
        Ok(response.error_for_status()?)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), ControlError> {
        let request = self.client.request(method, format!("{}{path}", self.url));
        request.json(body).send().await?.error_for_status()?;
        Ok(())
    }
}
