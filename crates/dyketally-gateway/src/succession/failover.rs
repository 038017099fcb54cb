//! Replaces primaries that are lost or leave, on the one node that has the duty.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::failover::{
    Appointments, Candidate, PollResult, Succession, TokenUse, Verdict, choose_successor, judge,
};
use dyketally::group::LogPosition;
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use crate::event::Event;
use crate::gateway::Gateway;
use crate::membership::Duty;
use crate::peer::{PeerMessage, Peers, Vote};
use crate::ports::{Appointment, OwnStatement, PrimaryControl};
use crate::succession::confirm::Confirmation;
use crate::succession::duty::DutyKeeper;
use crate::succession::fence::FenceKeeper;
use crate::succession::probe::PROBE_LIMIT;
use crate::target::Target;

/// How often the holder of the duty looks at all groups without being told to.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// How long votes are waited for.
const VOTES_LIMIT: Duration = Duration::from_millis(400);
/// A suspicion that lasts this long needs fewer votes.
const PROLONGED: Duration = Duration::from_millis(2_500);
/// How long a database may take to tell its status.
const STATUS_LIMIT: Duration = Duration::from_millis(400);
/// How long a primary that should hand over is asked to.
const STEP_DOWN_LIMIT: Duration = Duration::from_millis(1_200);
/// How long a planned handover waits for the successor's log.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause between two looks at the successor's log.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(15);
/// How long an appointed database may take to lead.
const TAKE_LEAD_LIMIT: Duration = Duration::from_millis(3_500);
/// Pause between two looks whether it leads.
const TAKE_LEAD_PAUSE: Duration = Duration::from_millis(60);
/// Appointments of one successor in a row that get no answer.
const APPOINTMENTS_AT_MOST: u32 = 6;
/// Pause after an attempt that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a group may be without a known primary before it is given one.
const LEADERLESS: Duration = Duration::from_millis(400);

/// Replaces primaries while this node has the duty.
pub struct Failover {
    gateway: Rc<Gateway>,
    duty: Rc<DutyKeeper>,
    peers: Rc<Peers>,
    control: Rc<dyn PrimaryControl>,
    fences: FenceKeeper,
    busy: RefCell<HashSet<GroupName>>,
    appointments: RefCell<Appointments>,
}

/// Why a primary is replaced.
#[derive(Clone, Debug)]
enum Cause {
    /// It said that it leaves, and can still hand over.
    Leaves(Target),
    /// It no longer announces itself, which may be the store's fault or its path to the store's: it
    /// may lead as before, and should hand over.
    Unlisted(Target),
    /// No node reaches it. It was suspected this long ago.
    Lost(Target, Duration),
    /// Nobody leads.
    Leaderless,
}

impl Cause {
    /// The primary that is replaced.
    fn old(&self) -> Option<&Target> {
        match self {
            Self::Leaves(old) | Self::Unlisted(old) | Self::Lost(old, _) => Some(old),
            Self::Leaderless => None,
        }
    }

    /// True when the primary is asked to hand over.
    fn is_planned(&self) -> bool {
        matches!(self, Self::Leaves(_) | Self::Unlisted(_))
    }
}

impl std::fmt::Debug for Target {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.name)
    }
}

impl Failover {
    /// A replacer that isn't running yet.
    pub fn new(
        gateway: Rc<Gateway>,
        duty: Rc<DutyKeeper>,
        peers: Rc<Peers>,
        control: Rc<dyn PrimaryControl>,
        fences: FenceKeeper,
    ) -> Rc<Self> {
        Rc::new(Self {
            fences,
            gateway,
            duty,
            peers,
            control,
            busy: RefCell::default(),
            appointments: RefCell::default(),
        })
    }

    /// Looks after all groups whenever there is reason to, forever.
    pub async fn run(self: Rc<Self>) {
        loop {
            let attention = self.gateway.membership.attention.notified();
            match self.gateway.membership.last_duty() {
                Some(_) => {
                    // Either way it is time to look.
                    let _ = tokio::time::timeout(LOOK_INTERVAL, attention).await;
                }
                None => attention.await,
            }
            if self.gateway.membership.last_duty().is_some() {
                self.look_at_all();
            }
        }
    }

    fn look_at_all(self: &Rc<Self>) {
        let groups = self.gateway.directory.borrow().groups();
        for group in groups {
            if !self.busy.borrow_mut().insert(group.clone()) {
                continue;
            }
            let failover = self.clone();
            tokio::task::spawn_local(async move {
                failover.look_at(&group).await;
                failover.busy.borrow_mut().remove(&group);
            });
        }
    }

    async fn look_at(self: &Rc<Self>, group: &GroupName) {
        let Some(cause) = self.cause(group).await else {
            return;
        };
        self.step(group, "start", format!("{cause:?}"));
        if !self.replace(group, &cause).await {
            tokio::time::sleep(RETRY_PAUSE).await;
            self.gateway.membership.attention.notify_one();
        }
    }

    fn step(&self, group: &GroupName, step: &str, detail: String) {
        self.gateway.events.write(&Event::FailoverStep {
            group: group.as_str(),
            step,
            detail,
        });
    }

    async fn cause(self: &Rc<Self>, group: &GroupName) -> Option<Cause> {
        let holds = self.gateway.membership.duty().is_some();
        let Some((primary, state)) = self.known_primary(group) else {
            return match holds {
                true => self.leaderless(group).await,
                false => None,
            };
        };
        match state {
            MemberState::Draining if holds => return Some(Cause::Leaves(primary)),
            MemberState::Gone if holds => return Some(Cause::Unlisted(primary)),
            _ => {}
        }
        let key = (group.clone(), primary.name.clone());
        let since = self.suspicions().borrow().get(&key).copied()?;
        match self.verdict(&primary, since).await {
            Verdict::Alive => {
                self.suspicions().borrow_mut().remove(&key);
                None
            }
            Verdict::Undecided => None,
            Verdict::Lost => {
                self.suspicions().borrow_mut().remove(&key);
                Some(Cause::Lost(primary, since.elapsed()))
            }
        }
    }

    fn suspicions(&self) -> &RefCell<HashMap<(GroupName, DatabaseName), Instant>> {
        &self.gateway.membership.suspicions
    }

    fn known_primary(&self, group: &GroupName) -> Option<(Target, MemberState)> {
        let directory = self.gateway.directory.borrow();
        let primary = directory.primary(group)?;
        Some((self.gateway.target(primary, true), primary.state))
    }

    async fn leaderless(self: &Rc<Self>, group: &GroupName) -> Option<Cause> {
        let until = Instant::now() + LEADERLESS;
        while Instant::now() < until {
            self.gateway.search_primary(group);
            self.gateway.next_change(until).await;
            if self.known_primary(group).is_some() {
                return None;
            }
        }
        if !self.gateway.directory_is_settled() {
            return None;
        }
        Some(Cause::Leaderless)
    }

    async fn verdict(self: &Rc<Self>, primary: &Target, since: Instant) -> Verdict {
        let mut poll = self.peers.poll(&primary.group, &primary.name);
        let nodes = poll.asked + 1;
        let mut result = PollResult {
            nodes,
            prolonged: since.elapsed() > PROLONGED,
            ..PollResult::default()
        };
        let until = Instant::now() + VOTES_LIMIT;
        let own = self.gateway.evidence_of(primary);
        tokio::pin!(own);
        let mut own_known = false;
        let membership = &self.gateway.membership;
        loop {
            let vote: Option<Vote> = tokio::select! {
                evidence = &mut own, if !own_known => {
                    own_known = true;
                    let store_lost = membership.store_lost();
                    let from = self.gateway.settings.listen.peers;
                    Some(Vote { evidence, store_lost, from })
                }
                vote = poll.votes.receiver.recv() => vote,
                () = tokio::time::sleep_until(until) => None,
            };
            match vote {
                Some(vote) => {
                    result.evidence.push(vote.evidence);
                    result.store_lost += usize::from(vote.store_lost);
                }
                None => result.complete = true,
            }
            result.lease_runs = membership.duty().is_some();
            let verdict = judge(&result);
            if verdict != Verdict::Undecided || result.complete {
                self.gateway.events.write(&Event::PrimaryPolled {
                    group: primary.group.as_str(),
                    database: primary.name.as_str(),
                    evidence: format!("{:?} of {nodes}", result.evidence),
                    verdict: format!("{verdict:?}"),
                });
                return verdict;
            }
        }
    }

    /// Gives the group another primary; true when it leads.
    async fn replace(self: &Rc<Self>, group: &GroupName, cause: &Cause) -> bool {
        let old = cause.old();
        let succeeded = self.hand_over(group, cause, old).await;
        let suspends = self.acknowledging(group) > 0 && !cause.is_planned();
        if suspends && !succeeded {
            self.survey(group, old, OwnStatement::Resume).await;
        }
        succeeded
    }

    async fn hand_over(
        self: &Rc<Self>,
        group: &GroupName,
        cause: &Cause,
        old: Option<&Target>,
    ) -> bool {
        let acknowledging = self.acknowledging(group);
        let mut surveyed = self.survey(group, old, OwnStatement::Status).await;
        if let Some(leading) = surveyed.leading.take() {
            self.step(group, "found", format!("{leading:?} leads already"));
            self.gateway.leads(&leading);
            return true;
        }
        if acknowledging > 0 && !cause.is_planned() {
            let term = surveyed.newest_term + 1;
            surveyed = self
                .survey(group, old, OwnStatement::Suspend { term })
                .await;
        }
        let replicas = self.replica_count(group, old);
        let choice = choose_successor(&surveyed.candidates, replicas, acknowledging);
        if !matches!(choice, Succession::Promote(_)) {
            self.step(group, "no successor", format!("{choice:?}"));
            return false;
        }
        let ended = self.end_lead(group, cause, &surveyed).await;
        let choice = match ended {
            Ended::At(position) => self.caught_up(group, old, position, choice).await,
            Ended::Fenced => choice,
            Ended::Not => return false,
        };
        let Succession::Promote(successor) = choice else {
            return false;
        };
        let appointed = self.appoint(group, &successor).await;
        if !appointed && let (Ended::Fenced, Some(old)) = (ended, old) {
            self.fences.lift(&old.name);
        }
        appointed
    }

    /// Makes sure that the old primary no longer leads for anyone, before another one does: it
    /// steps down, or all nodes stop using it.
    async fn end_lead(
        self: &Rc<Self>,
        group: &GroupName,
        cause: &Cause,
        surveyed: &Survey,
    ) -> Ended {
        let term = surveyed.newest_term + 1;
        let (old, suspected) = match cause {
            Cause::Leaves(old) | Cause::Unlisted(old) => {
                if let Some(position) = self.step_down(old, term).await {
                    return Ended::At(position);
                }
                (old, STEP_DOWN_LIMIT)
            }
            Cause::Lost(old, suspected) => (old, *suspected),
            Cause::Leaderless => {
                return self
                    .fence_silent(group, &surveyed.silent(), LEADERLESS)
                    .await;
            }
        };
        let old = std::slice::from_ref(&old.name);
        self.fence_silent(group, old, suspected).await
    }

    /// Fences databases that can't be asked whether they lead.
    async fn fence_silent(
        &self,
        group: &GroupName,
        silent: &[DatabaseName],
        suspected: Duration,
    ) -> Ended {
        for database in silent {
            if !self.fences.close(group, database, suspected).await {
                return Ended::Not;
            }
        }
        Ended::Fenced
    }

    fn acknowledging(&self, group: &GroupName) -> usize {
        let routes = self.gateway.routes();
        let limits = routes.groups.get(group);
        limits.map_or(0, |limits| limits.acknowledging_replicas as usize)
    }

    fn replica_count(&self, group: &GroupName, old: Option<&Target>) -> usize {
        let directory = self.gateway.directory.borrow();
        let members = directory.members(group);
        let replicas = members.filter(|member| {
            member.state != MemberState::Gone && old.is_none_or(|old| &old.name != member.name())
        });
        replicas.count()
    }

    /// Asks all databases of the group but `old` for their status with `statement`.
    async fn survey(
        &self,
        group: &GroupName,
        old: Option<&Target>,
        statement: OwnStatement,
    ) -> Survey {
        let members = self.members_but(group, old);
        let asked = members.iter().map(|(target, ..)| {
            let statement = statement.clone();
            self.gateway.ask_status(target, statement, STATUS_LIMIT)
        });
        let replies = futures::future::join_all(asked).await;
        let mut survey = Survey::default();
        for ((target, ready, preference), status) in members.into_iter().zip(replies) {
            if let Some(status) = status {
                survey.newest_term = survey.newest_term.max(status.term);
                survey.newest_term = survey.newest_term.max(status.received.term.0);
                if status.leads && ready {
                    survey.leading = Some(target.clone());
                }
            }
            survey.candidates.push(Candidate {
                name: target.name,
                received: status.map(|status| status.received),
                ready,
                preference,
            });
        }
        self.step(group, "survey", format!("{:?}", survey.candidates));
        survey
    }

    fn members_but(&self, group: &GroupName, old: Option<&Target>) -> Vec<(Target, bool, u32)> {
        let directory = self.gateway.directory.borrow();
        let members = directory.members(group).filter(|member| {
            member.state != MemberState::Gone && old.is_none_or(|old| &old.name != member.name())
        });
        let described = members.map(|member| {
            let ready = member.state == MemberState::Ready;
            let preference = self.gateway.distance(member) as u32;
            (self.gateway.target(member, false), ready, preference)
        });
        described.collect()
    }

    /// Takes the lead from `old`, so that its log ends; the end of that log. Goes by way of another
    /// node if this one doesn't reach it.
    async fn step_down(&self, old: &Target, term: u64) -> Option<LogPosition> {
        let until = Instant::now() + STEP_DOWN_LIMIT;
        while Instant::now() < until {
            let statement = OwnStatement::StepDown { term };
            let status = self.gateway.ask_status(old, statement, STATUS_LIMIT).await;
            self.step(&old.group, "step down", format!("{old:?}: {status:?}"));
            if let Some(status) = status {
                return Some(status.received);
            }
            self.gateway.find_relay(old);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// Waits until a ready database has received `position`; the first that has is chosen.
    async fn caught_up(
        &self,
        group: &GroupName,
        old: Option<&Target>,
        position: LogPosition,
        chosen: Succession,
    ) -> Succession {
        let until = Instant::now() + CATCH_UP_LIMIT;
        let mut chosen = chosen;
        while Instant::now() < until {
            let survey = self.survey(group, old, OwnStatement::Status).await;
            let candidates: Vec<Candidate> = survey
                .candidates
                .into_iter()
                .filter(|candidate| candidate.ready)
                .collect();
            let choice = choose_successor(&candidates, candidates.len(), 0);
            let holds = candidates.iter().any(|candidate| {
                choice == Succession::Promote(candidate.name.clone())
                    && candidate.received >= Some(position)
            });
            if matches!(choice, Succession::Promote(_)) {
                chosen = choice;
            }
            if holds {
                return chosen;
            }
            tokio::time::sleep(CATCH_UP_PAUSE).await;
        }
        chosen
    }

    /// Appoints `successor`; true once it leads. An appointment without an answer is repeated.
    async fn appoint(self: &Rc<Self>, group: &GroupName, successor: &DatabaseName) -> bool {
        for _ in 0..APPOINTMENTS_AT_MOST {
            let Some(duty) = self.token_for(group, successor).await else {
                self.step(
                    group,
                    "no token",
                    "the duty could not be renewed".to_owned(),
                );
                return false;
            };
            let holder = self.gateway.settings.node.name.as_str();
            let appointed = self.control.appoint(group, successor, holder, duty.token);
            let appointment = appointed.await;
            let detail = format!("{successor} with token {}: {appointment:?}", duty.token);
            self.step(group, "appoint", detail);
            match appointment {
                Appointment::Accepted => return self.wait_for_lead(group, successor).await,
                Appointment::Unknown => {}
                Appointment::Refused | Appointment::Later => return false,
            }
        }
        false
    }

    /// A token with which no other database of the group was appointed.
    async fn token_for(&self, group: &GroupName, successor: &DatabaseName) -> Option<Duty> {
        let membership = &self.gateway.membership;
        let held = membership.last_duty()?;
        let token_use = self
            .appointments
            .borrow()
            .token_use(group, successor, held.token);
        let unchallenged = membership.duty().is_some() || membership.store_lost();
        let duty = match (token_use, unchallenged) {
            (TokenUse::Use, true) => held,
            _ => self.duty.renew_token().await?,
        };
        let mut appointments = self.appointments.borrow_mut();
        appointments.appointing(group, successor, duty.token);
        Some(duty)
    }

    async fn wait_for_lead(self: &Rc<Self>, group: &GroupName, successor: &DatabaseName) -> bool {
        let Some(target) = self.member_target(successor) else {
            return false;
        };
        let until = Instant::now() + TAKE_LEAD_LIMIT;
        while Instant::now() < until {
            if self.gateway.confirm_leader(&target).await == Confirmation::Leads {
                self.gateway.leads(&target);
                self.peers.broadcast(&PeerMessage::Leads {
                    group: group.clone(),
                    database: successor.clone(),
                });
                self.step(group, "done", format!("{successor} leads"));
                return true;
            }
            tokio::time::sleep(TAKE_LEAD_PAUSE).await;
        }
        self.step(
            group,
            "not led",
            format!("{successor} didn't take the lead"),
        );
        false
    }

    fn member_target(&self, name: &DatabaseName) -> Option<Target> {
        let directory = self.gateway.directory.borrow();
        let member = directory.member(name)?;
        Some(self.gateway.target(member, false))
    }
}

/// How the old primary's lead has ended.
#[derive(Clone, Copy, Debug)]
enum Ended {
    /// It stepped down, and its log ends here.
    At(LogPosition),
    /// No node uses it any more.
    Fenced,
    /// It may still lead for some node.
    Not,
}

#[derive(Debug, Default)]
struct Survey {
    candidates: Vec<Candidate>,
    newest_term: u64,
    leading: Option<Target>,
}

impl Survey {
    /// The databases that didn't tell their status.
    fn silent(&self) -> Vec<DatabaseName> {
        let silent = self.candidates.iter();
        let silent = silent.filter(|candidate| candidate.received.is_none());
        silent.map(|candidate| candidate.name.clone()).collect()
    }
}

const _: () = assert!(PROBE_LIMIT.as_millis() < VOTES_LIMIT.as_millis());
