//! Settings of the network: who is where, and how far zones are from each other.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of the network.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkSettings {
    /// Where the control requests are answered; port 0 takes a free one.
    pub control: SocketAddr,
    /// The processes that talk to each other.
    pub endpoints: Vec<Endpoint>,
    /// Delays between zones; pairs that are not listed have none.
    #[serde(default)]
    pub delays: Vec<Delay>,
}

/// A process that is reached, or only reaches others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name of the process.
    pub name: String,
    /// The zone it runs in.
    pub zone: String,
    /// The addresses where it listens; none for a process that only reaches others.
    #[serde(default)]
    pub addresses: Vec<SocketAddr>,
}

/// The delay between two zones, the same in both directions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    /// The zones; twice the same zone for processes of one zone.
    pub between: [String; 2],
    /// One-way delay in milliseconds.
    pub one_way_ms: f64,
}

/// Settings that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Two endpoints share a name.
    #[error("the endpoint name {0:?} is used twice; give each process a name of its own")]
    DuplicateName(String),
    /// A delay is negative or not a number.
    #[error("the delay between {0:?} and {1:?} must be zero or more milliseconds")]
    BadDelay(String, String),
}

impl NetworkSettings {
    /// Checks what the types don't.
    ///
    /// # Errors
    /// The first fault found.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let mut names: Vec<&str> = self.endpoints.iter().map(|it| it.name.as_str()).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(SettingsError::DuplicateName(pair[0].to_owned()));
        }
        for delay in &self.delays {
            let is_usable = Duration::try_from_secs_f64(delay.one_way_ms / 1_000.0).is_ok();
            if !is_usable {
                let [from, to] = delay.between.clone();
                return Err(SettingsError::BadDelay(from, to));
            }
        }
        Ok(())
    }

    /// The one-way delay between two zones.
    pub fn delay(&self, from: &str, to: &str) -> Duration {
        let listed = self.delays.iter().find(|delay| {
            let [one, other] = &delay.between;
            (one == from && other == to) || (one == to && other == from)
        });
        listed.map_or(Duration::ZERO, |delay| {
            Duration::from_secs_f64(delay.one_way_ms / 1_000.0)
        })
    }
}
