//! Settings of membership and their validation.

use std::time::Duration;

use super::message::LONGEST_DATAGRAM;

/// Settings of membership. All nodes should run with the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time between two probes that a node sends.
    pub probe_interval: Duration,
    /// Time without an acknowledgement after which helpers are requested to probe.
    pub direct_timeout: Duration,
    /// Time without any acknowledgement after which the probed node is suspected.
    pub probe_timeout: Duration,
    /// Number of helpers: nodes that are requested to probe a node that does not answer.
    pub helpers: usize,
    /// Time from suspicion to death when several nodes suspect independently.
    pub shortest_suspicion: Duration,
    /// Time from suspicion to death when a single node suspects.
    pub longest_suspicion: Duration,
    /// Number of independent suspicions, after the first, with which the time from suspicion to death is
    /// the shortest.
    pub confirmations: usize,
    /// Most bytes of updates on one probe or acknowledgement.
    pub update_bytes: usize,
    /// Most pages of the member table that are sent to other nodes per second.
    pub sync_pages_per_second: u32,
    /// Time without an answer from any node of a region after which the region is unreachable.
    pub region_timeout: Duration,
    /// Time between two probes of members that were declared dead.
    pub heal_interval: Duration,
    /// Time after which a member that died or left, or whose region does not answer, is removed from the
    /// table.
    pub forget_after: Duration,
    /// After a gap between two calls longer than this, pending probes are discarded: their
    /// acknowledgements may have arrived without being read.
    pub stall_threshold: Duration,
    /// A gap between two calls longer than this means that this process was paused.
    pub pause_threshold: Duration,
    /// Most members that are kept, so that garbage datagrams cannot exhaust memory.
    pub most_members: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(250),
            direct_timeout: Duration::from_millis(150),
            probe_timeout: Duration::from_millis(500),
            helpers: 3,
            shortest_suspicion: Duration::from_millis(1_500),
            longest_suspicion: Duration::from_secs(4),
            confirmations: 3,
            update_bytes: 256,
            sync_pages_per_second: 6,
            region_timeout: Duration::from_secs(8),
            heal_interval: Duration::from_secs(5),
            forget_after: Duration::from_secs(3_600),
            stall_threshold: Duration::from_millis(400),
            pause_threshold: Duration::from_secs(1),
            most_members: 4_096,
        }
    }
}

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidConfig {
    /// A duration or count that must be positive is zero.
    #[error("{setting} is zero; set it to a positive value")]
    Zero {
        /// Name of the setting.
        setting: &'static str,
    },
    /// One setting must be less than another.
    #[error("{lesser} is not below {greater}; lower the first or raise the second")]
    NotBelow {
        /// Name of the setting that must be less.
        lesser: &'static str,
        /// Name of the setting that must be greater.
        greater: &'static str,
    },
    /// Updates would not fit in a datagram.
    #[error("update_bytes exceeds {most}; lower it so that a probe fits in one datagram")]
    UpdateBytes {
        /// The greatest value allowed.
        most: usize,
    },
}

/// Bytes of a datagram reserved for everything except the updates.
const HEADER_ROOM: usize = 400;

impl Config {
    /// Checks that the settings can work together.
    ///
    /// # Errors
    /// Names the first invalid setting and what to change.
    pub fn validate(&self) -> Result<(), InvalidConfig> {
        self.check_positive()?;
        self.check_order()?;
        let most = LONGEST_DATAGRAM - HEADER_ROOM;
        if self.update_bytes > most {
            return Err(InvalidConfig::UpdateBytes { most });
        }
        Ok(())
    }

    fn check_positive(&self) -> Result<(), InvalidConfig> {
        let settings = [
            ("probe_interval", self.probe_interval.is_zero()),
            ("direct_timeout", self.direct_timeout.is_zero()),
            ("shortest_suspicion", self.shortest_suspicion.is_zero()),
            ("update_bytes", self.update_bytes == 0),
            ("sync_pages_per_second", self.sync_pages_per_second == 0),
            ("heal_interval", self.heal_interval.is_zero()),
            ("most_members", self.most_members == 0),
        ];
        match settings.into_iter().find(|(_, zero)| *zero) {
            Some((setting, _)) => Err(InvalidConfig::Zero { setting }),
            None => Ok(()),
        }
    }

    fn check_order(&self) -> Result<(), InvalidConfig> {
        let direct = ("direct_timeout", self.direct_timeout);
        let probe = ("probe_timeout", self.probe_timeout);
        let shortest = ("shortest_suspicion", self.shortest_suspicion);
        let longest = ("longest_suspicion", self.longest_suspicion);
        let interval = ("probe_interval", self.probe_interval);
        let region = ("region_timeout", self.region_timeout);
        let stall = ("stall_threshold", self.stall_threshold);
        let pause = ("pause_threshold", self.pause_threshold);
        let forget = ("forget_after", self.forget_after);
        let pairs = [
            (direct, probe),
            (shortest, longest),
            (interval, region),
            (interval, stall),
            (stall, probe),
            (stall, pause),
            (longest, forget),
            (region, forget),
        ];
        for ((lesser, low), (greater, high)) in pairs {
            if low >= high {
                return Err(InvalidConfig::NotBelow { lesser, greater });
            }
        }
        Ok(())
    }
}
