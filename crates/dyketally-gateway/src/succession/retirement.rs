//! Retires databases that have ended from those that may hold acknowledged commits, while a primary leads without them.
//!
//! Where commits wait for replicas, a takeover needs the logs of all databases that may have acknowledged some. One that
//! was lost for good would hold up every later takeover. The failover coordinator therefore retires it, but only by what
//! it sees while a primary leads: nothing that happens after the primary is lost tells who acknowledged its last commits.
//!
//! Owns nothing; the rule is [`LogHolders::retire`](dyketally::directory::LogHolders::retire).

use std::time::Duration;

use dyketally::directory::DatabaseLife;
use dyketally::failover::{Evidence, is_received};
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName};

use super::failover::Failover;
use super::survey::{STATUS_LIMIT, SurveyScope};
use crate::database::target::Target;
use crate::ports::OwnStatement;

/// How often the replicas are asked whether they have received the primary's log.
const RECEIPT_CHECKS: u32 = 10;
/// Pause between two of these questions: replicas are tens of milliseconds behind.
const RECEIPT_PAUSE: Duration = Duration::from_millis(50);

/// The end of a primary's log, and the term in which it led then.
#[derive(Clone, Copy, Debug)]
struct LogEnd {
    position: LogPosition,
    term: u64,
}

impl Failover {
    /// True when commits of `group` wait for replicas, and a database that may hold some isn't announced any more.
    pub(super) fn has_departed_holders(&self, group: &GroupName) -> bool {
        let directory = self.databases.directory.borrow();
        self.acknowledging_replicas(group) > 0 && !directory.departed_holders(group).is_empty()
    }

    /// Retires the databases of `group` that have ended, if its primary leads and enough replicas have received the log
    /// that it had after that.
    pub(super) async fn retire_departed_holders(&self, group: &GroupName) {
        let Some((primary, _)) = self.known_primary(group) else {
            return;
        };
        let ended = self.ended_holders(group).await;
        if ended.is_empty() {
            return;
        }
        let Some(end) = self.log_end(&primary).await else {
            return;
        };
        if self
            .is_received_by_others(group, &primary, &ended, end)
            .await
        {
            let mut directory = self.databases.directory.borrow_mut();
            directory.retire_holders(group, &ended);
            drop(directory);
            self.log_step(group, "retire", format!("{ended:?}, received: {end:?}"));
        }
    }

    /// The databases of `group` that may hold acknowledged commits and have certainly ended, or were forgotten.
    async fn ended_holders(&self, group: &GroupName) -> Vec<DatabaseLife> {
        let departed = self.databases.directory.borrow().departed_holders(group);
        let mut ended = Vec::new();
        for life in departed {
            if self.has_ended(&life).await {
                ended.push(life);
            }
        }
        ended
    }

    async fn has_ended(&self, life: &DatabaseLife) -> bool {
        let target = {
            let directory = self.databases.directory.borrow();
            let member = directory.member(&life.database);
            let same_life =
                member.filter(|member| member.announcement.incarnation == life.incarnation);
            same_life.map(|member| self.databases.target(member, false))
        };
        match target {
            // It may still run if its announcement has only lapsed.
            Some(target) => {
                self.leadership.suspicions.evidence_of(&target).await == Evidence::Refused
            }
            None => true,
        }
    }

    /// The end of the log of `primary`; `None` if it doesn't certainly lead.
    async fn log_end(&self, primary: &Target) -> Option<LogEnd> {
        let status = OwnStatement::Status;
        let statements = &self.leadership.statements;
        let status = statements.ask_status(primary, status, STATUS_LIMIT).await?;
        let leads = status.leads && self.leadership.checks.is_certain_leader(primary);
        leads.then_some(LogEnd {
            position: status.received,
            term: status.term,
        })
    }

    /// True once as many replicas of `group` as acknowledge a commit, without those of `ended`, have received the log of
    /// `primary` up to `end`.
    async fn is_received_by_others(
        &self,
        group: &GroupName,
        primary: &Target,
        ended: &[DatabaseLife],
        end: LogEnd,
    ) -> bool {
        for _ in 0..RECEIPT_CHECKS {
            // These surveys are too frequent to be logged.
            let survey = self
                .statuses(
                    group,
                    Some(primary),
                    SurveyScope::Listed,
                    OwnStatement::Status,
                )
                .await;
            if survey.newest_term > end.term {
                return false;
            }
            let remaining = survey.candidates.iter();
            let remaining = remaining.filter(|it| !self.is_in_life(&it.name, ended));
            let received = remaining.map(|candidate| candidate.received);
            if is_received(received, end.position, self.acknowledging_replicas(group)) {
                return true;
            }
            tokio::time::sleep(RECEIPT_PAUSE).await;
        }
        false
    }

    /// True when the life in which `database` is known now is one of `lives`.
    fn is_in_life(&self, database: &DatabaseName, lives: &[DatabaseLife]) -> bool {
        let directory = self.databases.directory.borrow();
        let member = directory.member(database);
        let incarnation = member.and_then(|member| member.announcement.incarnation);
        lives
            .iter()
            .any(|life| &life.database == database && life.incarnation == incarnation)
    }
}
