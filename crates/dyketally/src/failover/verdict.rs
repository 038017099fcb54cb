//! Whether a primary is lost, judged from what several nodes see of it.

/// What one node sees of a primary when it tries to reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Evidence {
    /// It answered.
    Answered,
    /// Its address refuses connections: the process is gone.
    Refused,
    /// Nothing came back in time.
    Silent,
}

/// The nodes' evidence so far.
#[derive(Clone, Debug, Default)]
pub struct PollResult {
    /// Nodes that run, this one included.
    pub nodes: usize,
    /// What those that replied have seen, this node's own evidence included.
    pub evidence: Vec<Evidence>,
    /// How many of them have lost the store.
    pub store_lost: usize,
    /// True when the judging node's lease on the duty surely runs.
    pub lease_runs: bool,
    /// True when no further reply is waited for.
    pub complete: bool,
    /// True when the suspicion has lasted so long that nodes which don't reply are taken for dead.
    pub prolonged: bool,
}

/// What follows from the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Some node reaches it: no failover.
    Alive,
    /// Enough nodes fail to reach it and none does.
    Lost,
    /// Not enough nodes have replied.
    Undecided,
}

/// Nodes that must agree once a suspicion is prolonged.
const PROLONGED_QUORUM: usize = 2;

/// Judges the evidence. Without a lease that runs, the judging node may act only while a majority
/// of the nodes has lost the store: nobody else can then have taken the duty. A node that reaches the primary always settles it; without one, half of
/// the nodes must fail to, so that a node cut off with few others never acts.
pub fn judge(poll: &PollResult) -> Verdict {
    if poll.evidence.contains(&Evidence::Answered) {
        return Verdict::Alive;
    }
    let majority = poll.nodes.div_ceil(2).max(1);
    let quorum = match poll.prolonged {
        true => majority.min(PROLONGED_QUORUM),
        false => majority,
    };
    let unchallenged = poll.lease_runs || poll.store_lost * 2 > poll.nodes;
    if !unchallenged {
        return Verdict::Undecided;
    }
    let all = poll.evidence.len() >= poll.nodes;
    if poll.evidence.len() >= quorum && (all || poll.complete) {
        return Verdict::Lost;
    }
    Verdict::Undecided
}
