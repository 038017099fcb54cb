//! A client of a database's control address.

use std::net::SocketAddr;

use dyketally::identifiers::DatabaseName;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::control::{
    ControlSettings, CutRequest, DatabaseState, LogRecord, StayLeadingRequest, TableRow,
};

/// Sets faults at a database and reads its state.
#[derive(Clone, Debug)]
pub struct ControlClient {
    address: SocketAddr,
    http: reqwest::Client,
}

impl ControlClient {
    /// A client of the control address `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            http: reqwest::Client::new(),
        }
    }

    /// What the database is doing.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn state(&self) -> reqwest::Result<DatabaseState> {
        self.get("state").await
    }

    /// All rows of a table, ordered by key.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn table(&self, name: &str) -> reqwest::Result<Vec<TableRow>> {
        self.get(&format!("table/{name}")).await
    }

    /// All entries of the log.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn log(&self) -> reqwest::Result<Vec<LogRecord>> {
        self.get("log").await
    }

    /// Sets the replication lag of this member, in milliseconds.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn set_replication_lag(&self, milliseconds: u64) -> reqwest::Result<()> {
        let settings = ControlSettings {
            replication_lag_ms: Some(milliseconds),
            ..ControlSettings::default()
        };
        self.post("settings", &settings).await
    }

    /// Sets the time that a statement holds its slot, in microseconds.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn set_service_time(&self, microseconds: u64) -> reqwest::Result<()> {
        let settings = ControlSettings {
            service_time_us: Some(microseconds),
            ..ControlSettings::default()
        };
        self.post("settings", &settings).await
    }

    /// Sets the time between a write's effect and its reply, in microseconds.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn set_reply_delay(&self, microseconds: u64) -> reqwest::Result<()> {
        let settings = ControlSettings {
            reply_delay_us: Some(microseconds),
            ..ControlSettings::default()
        };
        self.post("settings", &settings).await
    }

    /// Drops messages from and to peers. One call suffices for a cut both ways.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn cut(&self, peers: Vec<DatabaseName>) -> reqwest::Result<()> {
        self.cut_directions(&CutRequest {
            peers,
            inbound: true,
            outbound: true,
        })
        .await
    }

    /// Drops messages from or to peers; replaces an earlier cut from the same peers.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn cut_directions(&self, request: &CutRequest) -> reqwest::Result<()> {
        self.post("cut", request).await
    }

    /// Ends all cuts that were set at this database.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn heal(&self) -> reqwest::Result<()> {
        self.post("heal", &()).await
    }

    /// Lets the database leave: no new connections, idle ones closed, then hand over.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn leave(&self) -> reqwest::Result<()> {
        self.post("leave", &()).await
    }

    /// Lets a primary step down at once; another member is asked to stand for election.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn step_down(&self) -> reqwest::Result<()> {
        self.post("step-down", &()).await
    }

    /// Lets a replica stand for election at once.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn elect(&self) -> reqwest::Result<()> {
        self.post("elect", &()).await
    }

    /// Sets whether the database, while it leads, ignores higher terms.
    ///
    /// # Errors
    /// When the database can't be reached.
    pub async fn set_stay_leading(&self, stay_leading: bool) -> reqwest::Result<()> {
        let request = StayLeadingRequest { stay_leading };
        self.post("stay-leading", &request).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> reqwest::Result<T> {
        let response = self.http.get(self.url(path)).send().await?;
        response.error_for_status()?.json().await
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> reqwest::Result<()> {
        let request = self.http.post(self.url(path)).json(body);
        request.send().await?.error_for_status()?;
        Ok(())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }
}
