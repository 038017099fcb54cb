//! What the ways are measured under: the delay between zones and the lag of the replicas.

use std::fmt;
use std::time::Duration;

use crate::bench::Topology;
use crate::network::{DelayRequest, Place};

/// Time for changed conditions to show before measuring begins.
const SETTLE: Duration = Duration::from_millis(200);

/// The conditions of the experiment.
pub(super) const CONDITIONS: [Conditions; 5] = [
    Conditions::new(0.0, 0),
    Conditions::new(0.5, 0),
    Conditions::new(1.5, 0),
    Conditions::new(0.5, 5),
    Conditions::new(0.5, 50),
];

/// What a write is measured under.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Conditions {
    /// One-way delay between zones, in milliseconds.
    zone_delay_ms: f64,
    /// Lag of the replicas, in milliseconds.
    lag_ms: u64,
}

impl Conditions {
    const fn new(zone_delay_ms: f64, lag_ms: u64) -> Self {
        Self {
            zone_delay_ms,
            lag_ms,
        }
    }

    /// Makes the running site keep to these conditions.
    pub(super) async fn set(self, topology: &Topology) -> eyre::Result<()> {
        let network = topology.network_control()?;
        let zones = &topology.site.zones;
        for (index, zone) in zones.iter().enumerate() {
            for other in &zones[index + 1..] {
                let request = DelayRequest {
                    from: Place::Zone(zone.clone()),
                    to: Place::Zone(other.clone()),
                    one_way_ms: self.zone_delay_ms,
                };
                network.delay(&request).await?;
            }
        }
        let group = topology.group(&topology.site.groups[0]);
        group.set_lag(self.lag_ms).await?;
        tokio::time::sleep(SETTLE).await;
        Ok(())
    }
}

impl fmt::Display for Conditions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            zone_delay_ms,
            lag_ms,
        } = self;
        write!(formatter, "zones {zone_delay_ms} ms apart, lag {lag_ms} ms")
    }
}
