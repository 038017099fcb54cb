//! Asks the databases of a group for their status before one of them is appointed. Owns nothing.

use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::eligibility::ServingRegions;
use dyketally::failover::Candidate;
use dyketally::identifiers::{DatabaseName, GroupName};

use crate::database::target::Target;
use crate::ports::OwnStatement;
use crate::succession::failover::Failover;

/// How long a database may take to reply with its status. Not measured.
pub(super) const STATUS_LIMIT: Duration = Duration::from_millis(400);
/// Added to the distance of a database in an evacuated zone, which is less than this: of equal logs any
/// other is preferred.
const EVACUATED_DISTANCE: u32 = 100;

/// What the databases replied.
#[derive(Debug, Default)]
pub(super) struct Survey {
    /// All that may run, with the position that they replied.
    pub(super) candidates: Vec<Candidate>,
    /// The newest term of any reply.
    pub(super) newest_term: u64,
    /// The one that leads already, if any does.
    pub(super) leading: Option<Target>,
}

impl Survey {
    /// The databases that didn't reply.
    pub(super) fn silent(&self) -> Vec<DatabaseName> {
        let silent = self.candidates.iter();
        let silent = silent.filter(|candidate| candidate.received.is_none());
        silent.map(|candidate| candidate.name.clone()).collect()
    }
}

impl Failover {
    /// How many databases of the group other than `old` may run.
    pub(super) fn replica_count(&self, group: &GroupName, old: Option<&Target>) -> usize {
        let directory = self.databases.directory.borrow();
        let members = directory.members(group);
        let replicas = members.filter(|member| {
            member.state != MemberState::Gone && old.is_none_or(|old| &old.name != member.name())
        });
        replicas.count()
    }

    /// Asks all databases of the group but `old` for their status with `statement`, and logs it.
    pub(super) async fn survey(
        &self,
        group: &GroupName,
        old: Option<&Target>,
        statement: OwnStatement,
    ) -> Survey {
        let survey = self.statuses(group, old, statement).await;
        self.step(group, "survey", format!("{:?}", survey.candidates));
        survey
    }

    /// Asks all databases of the group but `old` for their status with `statement`.
    pub(super) async fn statuses(
        &self,
        group: &GroupName,
        old: Option<&Target>,
        statement: OwnStatement,
    ) -> Survey {
        let members = self.members_but(group, old);
        let asked = members.iter().map(|(target, ..)| {
            let statement = statement.clone();
            self.leadership
                .statements
                .ask_status(target, statement, STATUS_LIMIT)
        });
        let replies = futures::future::join_all(asked).await;
        let mut survey = Survey::default();
        let mut newest_lead = None;
        for ((target, ready, preference), status) in members.into_iter().zip(replies) {
            if let Some(status) = status {
                survey.newest_term = survey.newest_term.max(status.term);
                survey.newest_term = survey.newest_term.max(status.received.term.0);
                if status.leads && ready && newest_lead.is_none_or(|term| status.term > term) {
                    newest_lead = Some(status.term);
                    survey.leading = Some(target.clone());
                }
            }
            survey.candidates.push(Candidate {
                received: status.map(|status| status.received),
                ready,
                cold: self.databases.pacer(&target.name).is_cold(),
                name: target.name,
                preference,
            });
        }
        // One that was succeeded and hasn't heard of it says that it leads, too. Its group's other databases
        // know of a later term.
        if newest_lead.is_some_and(|term| term < survey.newest_term) {
            survey.leading = None;
        }
        survey
    }

    fn members_but(&self, group: &GroupName, old: Option<&Target>) -> Vec<(Target, bool, u32)> {
        let directory = self.databases.directory.borrow();
        let members = directory.members(group).filter(|member| {
            member.state != MemberState::Gone && old.is_none_or(|old| &old.name != member.name())
        });
        let described = members.map(|member| {
            let evacuated = self.databases.is_evacuated(&member.announcement.zone);
            // Where nobody leads, one in an evacuated zone may have stepped down with the longest log.
            let usable = !evacuated || old.is_none();
            let ready = member.state == MemberState::Ready && usable;
            let mut preference = self.databases.distance(member) as u32;
            if evacuated {
                preference += EVACUATED_DISTANCE;
            }
            (self.databases.target(member, false), ready, preference)
        });
        described.collect()
    }

    /// Leaves only those candidates ready that are in `regions`.
    pub(super) fn restrict(&self, candidates: &mut [Candidate], regions: &ServingRegions) {
        let directory = self.databases.directory.borrow();
        for candidate in candidates {
            let member = directory.member(&candidate.name);
            let zone = member.map(|member| &member.announcement.zone);
            let region = zone.map(|zone| self.databases.region_of_zone(zone));
            candidate.ready &= region.is_some_and(|region| regions.allows(&region));
        }
    }
}
