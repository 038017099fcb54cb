//! Typed client of the network's control address.

use std::net::SocketAddr;

use serde::Serialize;

use super::control::{Changed, CutRequest, DelayRequest, HealRequest, RouteEntry};
use super::link::{Passage, Place};

/// A control request that failed.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The control address can't be reached or its answer can't be read.
    #[error("the network's control address gave no answer; check that the network runs: {0}")]
    Transport(#[from] reqwest::Error),
    /// The network refused the request.
    #[error("the network refused the request: {0}")]
    Refused(String),
}

/// Sends control requests to a network.
#[derive(Clone, Debug)]
pub struct ControlClient {
    base: String,
    http: reqwest::Client,
}

impl ControlClient {
    /// A client of the network with this control address.
    pub fn new(control: SocketAddr) -> Self {
        // Building can only fail with TLS, which these plain requests do without.
        let http = reqwest::Client::builder().no_proxy().build();
        Self {
            base: format!("http://{control}"),
            http: http.unwrap_or_default(),
        }
    }

    /// How each process reaches each other one.
    ///
    /// # Errors
    /// When the control address gives no answer.
    pub async fn routes(&self) -> Result<Vec<RouteEntry>, ControlError> {
        let url = format!("{}/routes", self.base);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Cuts links.
    ///
    /// # Errors
    /// When no link matches or the control address gives no answer.
    pub async fn cut(&self, request: &CutRequest) -> Result<usize, ControlError> {
        self.post("cut", request).await
    }

    /// Cuts one process off from all others, so that its connections hang.
    ///
    /// # Errors
    /// When the process is not known or the control address gives no answer.
    pub async fn isolate(&self, process: &str) -> Result<usize, ControlError> {
        let request = CutRequest {
            from: Place::Process(process.to_owned()),
            to: Place::Anywhere,
            both_ways: true,
            passage: Passage::Held,
        };
        self.cut(&request).await
    }

    /// Opens links again.
    ///
    /// # Errors
    /// When no link matches or the control address gives no answer.
    pub async fn heal(&self, request: &HealRequest) -> Result<usize, ControlError> {
        self.post("heal", request).await
    }

    /// Opens all links again.
    ///
    /// # Errors
    /// When the control address gives no answer.
    pub async fn heal_all(&self) -> Result<usize, ControlError> {
        let request = HealRequest {
            from: Place::Anywhere,
            to: Place::Anywhere,
        };
        self.heal(&request).await
    }

    /// Sets delays.
    ///
    /// # Errors
    /// When no link matches, the delay is unusable or the control address gives no answer.
    pub async fn delay(&self, request: &DelayRequest) -> Result<usize, ControlError> {
        self.post("delay", request).await
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<usize, ControlError> {
        let url = format!("{}/{path}", self.base);
        let response = self.http.post(url).json(body).send().await?;
        if !response.status().is_success() {
            return Err(ControlError::Refused(response.text().await?));
        }
        let changed: Changed = response.json().await?;
        Ok(changed.links)
    }
}
