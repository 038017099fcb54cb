//! The probes (status requests) sent to one member, and when it may be probed next.

use super::item::Waiting;
use super::{ProbePacing, RoundNumber};
use crate::identifiers::DatabaseName;
use crate::time::Timestamp;

/// A probe that the member has not answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) round: RoundNumber,
    pub(super) sent_at: Timestamp,
}

/// A member of the group and its outstanding probes.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) name: DatabaseName,
    /// Unanswered probes, the oldest first.
    pub(super) outstanding: Vec<Probe>,
    /// Round and time of the last probe.
    pub(super) last_probe: Option<(RoundNumber, Timestamp)>,
}

impl Member {
    pub(super) fn new(name: DatabaseName) -> Self {
        Self {
            name,
            outstanding: Vec::new(),
            last_probe: None,
        }
    }

    /// When this member may next be probed for `item`; `None` while no probe is needed or possible: too many probes
    /// are outstanding, one of them counts for the item, or an answer has been counted.
    pub(super) fn probe_at<Item>(
        &self,
        item: &Waiting<Item>,
        pacing: ProbePacing,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let is_full = self.outstanding.len() >= pacing.in_flight;
        let newest = self.outstanding.last().map(|probe| probe.round);
        let is_probed = newest >= Some(item.first_round);
        if is_full || is_probed || item.has_counted(&self.name) {
            return None;
        }
        match self.last_probe {
            Some((round, at)) if round >= item.first_round => Some(at + pacing.repeat_interval),
            _ => Some(now),
        }
    }
}
