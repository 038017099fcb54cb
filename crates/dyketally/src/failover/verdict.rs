//! Decides whether a primary is lost, from the results of several nodes that tried to reach it.

/// The result of one node's attempt to reach a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Evidence {
    /// The primary answered.
    Answered,
    /// The primary's address refuses connections: the process has ended.
    Refused,
    /// The primary did not answer before the timeout.
    Silent,
}

/// The evidence that one poll of the nodes has collected so far.
#[derive(Clone, Debug, Default)]
pub struct PollResult {
    /// Number of running nodes, the polling node included.
    pub nodes: usize,
    /// Evidence of the nodes that replied, the polling node's own included.
    pub evidence: Vec<Evidence>,
    /// Number of nodes with evidence that have lost contact with the store.
    pub store_lost: usize,
    /// True when the polling node's lease on the coordinator's duty is certain to be valid.
    pub lease_is_valid: bool,
    /// True when the poll waits for no further replies.
    pub complete: bool,
    /// True when the primary has been suspected for so long that nodes which don't reply are treated as dead.
    pub prolonged: bool,
}

/// The decision about a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// At least one node reaches the primary: no failover.
    Alive,
    /// Enough nodes fail to reach the primary and none reaches it.
    Lost,
    /// Not enough nodes have replied, or the polling node may not act now: poll again.
    Undecided,
}

/// Upper bound on the number of nodes that must agree once a suspicion is prolonged.
const PROLONGED_QUORUM: usize = 2;

/// Decides from the evidence whether the primary is lost.
///
/// If any node reaches the primary, it is alive. Otherwise at least half of the nodes must fail to reach
/// it, so that a node which is cut off with few others never starts a failover; once the suspicion is
/// prolonged, two nodes are enough. Without a valid lease, the polling node may act only while a majority
/// of the nodes has lost the store: no other node can then have taken the coordinator's duty.
pub fn evaluate_poll(poll: &PollResult) -> Verdict {
    if poll.evidence.contains(&Evidence::Answered) {
        return Verdict::Alive;
    }
    let majority = poll.nodes.div_ceil(2).max(1);
    let quorum = match poll.prolonged {
        true => majority.min(PROLONGED_QUORUM),
        false => majority,
    };
    let may_act = poll.lease_is_valid || poll.store_lost * 2 > poll.nodes;
    if !may_act {
        return Verdict::Undecided;
    }
    let all = poll.evidence.len() >= poll.nodes;
    if poll.evidence.len() >= quorum && (all || poll.complete) {
        return Verdict::Lost;
    }
    Verdict::Undecided
}

/// What is known of a primary without asking anybody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryCondition {
    /// It announces that it accepts new statements.
    pub is_ready: bool,
    /// Some node suspects it.
    pub is_suspected: bool,
    /// A fence holds for it.
    pub is_fenced: bool,
    /// Its zone is evacuated.
    pub is_evacuated: bool,
    /// It has just started and may serve only little.
    pub is_cold: bool,
    /// Statements are bound to serving regions, so another region may be preferred for it.
    pub regions_bind: bool,
}

/// False when there is certainly no cause to replace a primary.
///
/// Load pattern: the coordinator checks all groups twice a second and after each change, and nearly all primaries of a
/// large fleet are well.
pub fn needs_check(primary: &PrimaryCondition) -> bool {
    let is_well = primary.is_ready && !primary.is_suspected && !primary.is_fenced;
    let may_stay = !primary.is_evacuated && !primary.is_cold && !primary.regions_bind;
    !(is_well && may_stay)
}
