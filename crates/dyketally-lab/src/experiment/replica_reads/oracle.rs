//! Knows where each member's log ended at each moment.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use dyketally::group::{LogPosition, Term};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::bench::{Group, Member};

/// Time between two questions to a member.
const QUESTION_PAUSE: Duration = Duration::from_millis(2);

/// One read as its session saw it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReadSample {
    /// When it was sent.
    pub(super) began: Instant,
    /// When its answer came.
    pub(super) ended: Instant,
    /// What the session had seen before; none for a session that has seen nothing.
    pub(super) seen: Option<LogPosition>,
    /// The session's own acknowledged write was not found.
    pub(super) missed_own_write: bool,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Instant,
    log: LogPosition,
}

/// Where the logs of all replicas ended, and when.
#[derive(Debug)]
pub(super) struct Positions {
    replicas: Vec<Arc<Mutex<Vec<Observation>>>>,
    _questions: JoinSet<()>,
}

impl Positions {
    /// Begins to ask all members but the primary.
    pub(super) async fn watch(group: &Group) -> eyre::Result<Self> {
        let primary = group.primary().await?;
        let mut replicas = Vec::new();
        let mut questions = JoinSet::new();
        for member in &group.members {
            if member.name == primary.name {
                continue;
            }
            let observations = Arc::default();
            replicas.push(Arc::clone(&observations));
            questions.spawn(observe(member.clone(), observations));
        }
        Ok(Self {
            replicas,
            _questions: questions,
        })
    }

    /// True when some replica held what the session had seen, half-way through the read.
    pub(super) fn had_fresh_replica(&self, read: &ReadSample) -> bool {
        let Some(seen) = read.seen else {
            return false;
        };
        let half_way = read.began + (read.ended - read.began) / 2;
        self.replicas.iter().any(|observations| {
            let observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
            let before = observations.partition_point(|it| it.at <= half_way);
            let last = before
                .checked_sub(1)
                .and_then(|last| observations.get(last));
            last.is_some_and(|observation| observation.log.contains(seen))
        })
    }
}

async fn observe(member: Member, observations: Arc<Mutex<Vec<Observation>>>) {
    loop {
        let at = Instant::now();
        if let Ok(state) = member.control.state().await {
            let log = LogPosition {
                term: Term(state.log_term),
                offset: state.log_offset,
            };
            let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
            observations.push(Observation { at, log });
        }
        sleep(QUESTION_PAUSE).await;
    }
}
