//! Surveys the databases of a group before one of them is appointed: asks each for its status, and makes
//! candidates of the replies. Owns nothing.

use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::eligibility::ServingRegions;
use dyketally::failover::{Candidate, Evidence, newest_leader, newest_term};
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::statement::DatabaseStatus;

use crate::database::target::Target;
use crate::ports::OwnStatement;
use crate::succession::failover::Failover;

/// Time limit for a database's reply with its status.
pub(super) const STATUS_LIMIT: Duration = Duration::from_millis(400);
/// Added to the preference value of a database in an evacuated zone. All distances are smaller than this, so of
/// equal logs a database in another zone is preferred.
const EVACUATED_DISTANCE: u32 = 100;

/// The databases' replies to a survey.
#[derive(Debug, Default)]
pub(super) struct Survey {
    /// The databases in the survey's scope that may be running, with the log positions that they replied.
    pub(super) candidates: Vec<Candidate>,
    /// The newest term in any reply.
    pub(super) newest_term: u64,
    /// The database that leads already, in [`Survey::newest_term`], if there is one.
    pub(super) leading: Option<Target>,
    /// True when a database replied that it may be suspended.
    pub(super) found_suspended: bool,
}

impl Survey {
    /// The databases that didn't reply.
    pub(super) fn silent(&self) -> Vec<DatabaseName> {
        let silent = self.candidates.iter();
        let silent = silent.filter(|candidate| candidate.received.is_none());
        silent.map(|candidate| candidate.name.clone()).collect()
    }

    /// Takes into account that a database outside the survey knows `term`. One that leads in an older term is a former
    /// primary.
    pub(super) fn learn_term(&mut self, term: u64) {
        if term > self.newest_term {
            self.newest_term = term;
            self.leading = None;
        }
    }
}

/// A database's reply to a survey.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// It replied with its status.
    Status(DatabaseStatus),
    /// It may run, but didn't reply in time.
    Silent,
    /// It no longer announces itself, and its process has ended.
    Ended,
}

impl Reply {
    fn status(self) -> Option<DatabaseStatus> {
        match self {
            Self::Status(status) => Some(status),
            Self::Silent | Self::Ended => None,
        }
    }
}

/// Which databases of a group are surveyed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SurveyScope {
    /// Those that announce themselves: one of them takes over from a primary whose log is known.
    Listed,
    /// Those whose logs count where the primary's log isn't known. Where commits need acknowledgements, a database that
    /// no longer announces itself counts as well for as long as it may run, since it may have acknowledged commits.
    Counting,
}

/// A database to survey.
struct SurveyedMember {
    target: Target,
    /// Whether it may be appointed in the first place.
    ready: bool,
    /// True when it no longer announces itself.
    unlisted: bool,
    /// Tie-break between equal logs, smaller first.
    preference: u32,
}

impl Failover {
    /// Runs `statement`, which is answered with a status, at the databases of the group but `old` that are in `scope`,
    /// and logs the candidates.
    pub(super) async fn survey(
        &self,
        group: &GroupName,
        old: Option<&Target>,
        scope: SurveyScope,
        statement: OwnStatement,
    ) -> Survey {
        let survey = self.statuses(group, old, scope, statement).await;
        self.log_step(group, "survey", format!("{:?}", survey.candidates));
        survey
    }

    /// Runs `statement`, which is answered with a status, at the databases of the group but `old` that are in `scope`.
    pub(super) async fn statuses(
        &self,
        group: &GroupName,
        old: Option<&Target>,
        scope: SurveyScope,
        statement: OwnStatement,
    ) -> Survey {
        let members = self.surveyed_members(group, old, scope);
        let asked = members
            .iter()
            .map(|member| self.status_of(member, statement.clone()));
        let replies = futures::future::join_all(asked).await;
        let replies = members.into_iter().zip(replies);
        let (members, replies): (Vec<_>, Vec<_>) =
            replies.filter(|(_, reply)| *reply != Reply::Ended).unzip();
        let statuses: Vec<_> = replies.into_iter().map(Reply::status).collect();
        // A former primary that doesn't know of its successor yet also answers that it leads. The group's other
        // databases then know a later term.
        let leading = newest_leader(&statuses).map(|index| &members[index]);
        let leading = leading.filter(|member| member.ready);
        let mut survey = Survey {
            newest_term: newest_term(&statuses),
            leading: leading.map(|member| member.target.clone()),
            found_suspended: statuses.iter().flatten().any(|it| it.may_be_suspended()),
            candidates: Vec::new(),
        };
        for (member, status) in members.into_iter().zip(statuses) {
            survey.candidates.push(Candidate {
                received: status.map(|status| status.received),
                ready: member.ready,
                cold: self.databases.pacer(&member.target.name).is_cold(),
                name: member.target.name,
                preference: member.preference,
            });
        }
        survey
    }

    /// The reply of one database to a survey.
    async fn status_of(&self, member: &SurveyedMember, statement: OwnStatement) -> Reply {
        let target = &member.target;
        let statements = &self.leadership.statements;
        let status = statements.ask_status(target, statement, STATUS_LIMIT).await;
        if let Some(status) = status {
            return Reply::Status(status);
        }
        let has_ended = member.unlisted
            && self.leadership.suspicions.evidence_of(target).await == Evidence::Refused;
        match has_ended {
            true => Reply::Ended,
            false => Reply::Silent,
        }
    }

    /// The databases of the group but `old` that are in `scope`.
    fn surveyed_members(
        &self,
        group: &GroupName,
        old: Option<&Target>,
        scope: SurveyScope,
    ) -> Vec<SurveyedMember> {
        let counts_unlisted =
            scope == SurveyScope::Counting && self.acknowledging_replicas(group) > 0;
        let directory = self.databases.directory.borrow();
        let members = directory.members(group).filter(|member| {
            let is_old = old.is_some_and(|old| &old.name == member.name());
            !is_old && (counts_unlisted || member.state != MemberState::Gone)
        });
        let surveyed = members.map(|member| {
            let evacuated = self.databases.is_evacuated(&member.announcement.zone);
            // While no database leads, a former primary in an evacuated zone may have the longest log, as it has
            // stepped down.
            let usable = !evacuated || old.is_none();
            let mut preference = self.databases.distance(member) as u32;
            if evacuated {
                preference += EVACUATED_DISTANCE;
            }
            SurveyedMember {
                target: self.databases.target(member, false),
                ready: member.state == MemberState::Ready && usable,
                unlisted: member.state == MemberState::Gone,
                preference,
            }
        });
        surveyed.collect()
    }

    /// Marks the candidates outside `regions` as not ready.
    pub(super) fn restrict_to_regions(
        &self,
        candidates: &mut [Candidate],
        regions: &ServingRegions,
    ) {
        let directory = self.databases.directory.borrow();
        for candidate in candidates {
            let member = directory.member(&candidate.name);
            let zone = member.map(|member| &member.announcement.zone);
            let region = zone.map(|zone| self.databases.region_of_zone(zone));
            candidate.ready &= region.is_some_and(|region| regions.allows(&region));
        }
    }
}
