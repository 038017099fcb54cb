//! The questions that are put to one member.

use super::item::Waiting;
use super::{ProbePacing, RoundNumber};
use crate::identifiers::DatabaseName;
use crate::time::Timestamp;

#[derive(Clone, Copy, Debug)]
pub(super) struct Question {
    pub(super) round: RoundNumber,
    pub(super) asked_at: Timestamp,
}

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) name: DatabaseName,
    pub(super) outstanding: Vec<Question>,
    pub(super) last_asked: Option<(RoundNumber, Timestamp)>,
}

impl Member {
    pub(super) fn new(name: DatabaseName) -> Self {
        Self {
            name,
            outstanding: Vec::new(),
            last_asked: None,
        }
    }

    /// When this member may next be asked about `item`; `None` while there is nothing to ask.
    pub(super) fn ask_at<Item>(
        &self,
        item: &Waiting<Item>,
        pacing: ProbePacing,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let full = self.outstanding.len() >= pacing.in_flight;
        let newest = self.outstanding.last().map(|question| question.round);
        let asked = newest >= Some(item.first_round);
        if full || asked || item.has_judged(&self.name) {
            return None;
        }
        match self.last_asked {
            Some((round, at)) if round >= item.first_round => Some(at + pacing.repeat_interval),
            _ => Some(now),
        }
    }
}
