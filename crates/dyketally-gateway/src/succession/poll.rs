//! Polls the nodes on a suspected primary, and decides by their votes whether it is lost. Owns nothing; the
//! rule is [`evaluate_poll`].

use std::time::Duration;

use dyketally::failover::{PollResult, Verdict, evaluate_poll};
use tokio::time::Instant;

use super::failover::Failover;
use super::suspicion::PROBE_LIMIT;
use crate::database::target::Target;
use crate::event::Event;
use crate::fleet::peer::Vote;

/// How long votes are awaited: longer than a probe takes.
const VOTES_LIMIT: Duration = Duration::from_millis(400);
/// Age of a suspicion from which on fewer votes suffice to call the primary lost.
const PROLONGED_AFTER: Duration = Duration::from_millis(2_500);

impl Failover {
    /// Polls the nodes on `primary`, which was suspected at `since`, and returns as soon as their votes decide.
    pub(super) async fn poll_nodes(&self, primary: &Target, since: Instant) -> Verdict {
        let mut poll = self.peers.poll(&primary.group, &primary.name);
        let mut result = PollResult {
            nodes: poll.polled + 1,
            prolonged: since.elapsed() > PROLONGED_AFTER,
            ..PollResult::default()
        };
        let until = Instant::now() + VOTES_LIMIT;
        let own = self.own_vote(primary);
        tokio::pin!(own);
        let mut own_counted = false;
        loop {
            let vote = tokio::select! {
                vote = &mut own, if !own_counted => {
                    own_counted = true;
                    Some(vote)
                }
                vote = poll.votes.receiver.recv() => vote,
                () = tokio::time::sleep_until(until) => None,
            };
            count(&mut result, vote);
            result.lease_is_valid = self.fleet.coordinator.term().is_some();
            let verdict = evaluate_poll(&result);
            if verdict != Verdict::Undecided || result.complete {
                self.log_poll(primary, &result, verdict);
                return verdict;
            }
        }
    }

    async fn own_vote(&self, primary: &Target) -> Vote {
        let evidence = self.leadership.suspicions.evidence_of(primary).await;
        Vote {
            evidence,
            store_lost: self.cx.store_health.is_lost(),
            from: self.cx.settings.listen.peers,
        }
    }

    fn log_poll(&self, primary: &Target, result: &PollResult, verdict: Verdict) {
        self.cx.events.write(&Event::PrimaryPolled {
            group: primary.group.as_str(),
            database: primary.name.as_str(),
            evidence: format!("{:?} of {}", result.evidence, result.nodes),
            verdict: format!("{verdict:?}"),
        });
    }
}

/// Counts a vote; `None` completes the poll, as no further vote is awaited.
fn count(result: &mut PollResult, vote: Option<Vote>) {
    match vote {
        Some(vote) => {
            result.evidence.push(vote.evidence);
            result.store_lost += usize::from(vote.store_lost);
        }
        None => result.complete = true,
    }
}

const _: () = assert!(PROBE_LIMIT.as_millis() < VOTES_LIMIT.as_millis());
