//! Appoints a database as primary, with a fencing token that has appointed no other database of its group.
//!
//! Relies on the coordinator's lease for tokens, on the adapter for the appointment, and on confirmations to
//! find out whether the database leads.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::{Evidence, TokenUse, Verdict, group_fence};
use dyketally::group::Role;
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use crate::database::target::Target;
use crate::fleet::coordinator::Term;
use crate::fleet::message::PeerMessage;
use crate::ports::Appointment;
use crate::succession::confirm::{Confirmation, Unclear};
use crate::succession::failover::Failover;

/// How long an appointed database may take to lead. Promotions take up to 1.33 s (longest of 17; decision
/// 0041).
const TAKE_LEAD_LIMIT: Duration = Duration::from_millis(3_500);
/// Pause between two checks whether an appointed database leads.
const LEAD_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Pause between two checks whether an appointed cold database leads: its slow-start rate doesn't limit them,
/// so they are less frequent.
const COLD_LEAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two checks whether an unreachable appointed database is lost. Each check may have every polled
/// node open a connection to it.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Most appointments of one successor in a row. An appointment without an answer is repeated, as answers may be
/// late (decision 0041).
const MAX_APPOINTMENTS: u32 = 6;

/// Outcome of appointing a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppointmentOutcome {
    /// The database leads.
    Leads,
    /// The database may still take the lead.
    MayStillLead,
    /// The database won't take the lead by this appointment.
    WontLead,
}

impl Failover {
    /// Appoints `successor` and waits until it leads. Repeats an appointment that got no answer.
    pub(super) async fn appoint(
        self: &Rc<Self>,
        group: &GroupName,
        successor: &DatabaseName,
    ) -> AppointmentOutcome {
        let outcome = self.appoint_repeatedly(group, successor).await;
        if outcome == AppointmentOutcome::MayStillLead {
            self.appointments.borrow_mut().record_unsettled(group);
        }
        outcome
    }

    async fn appoint_repeatedly(
        self: &Rc<Self>,
        group: &GroupName,
        successor: &DatabaseName,
    ) -> AppointmentOutcome {
        let mut outcome = AppointmentOutcome::WontLead;
        for _ in 0..MAX_APPOINTMENTS {
            let Some(term) = self.token_for(group, successor).await else {
                self.log_step(
                    group,
                    "no token",
                    "no fencing token: the coordinator's lease ended or the store did not renew its key".to_owned(),
                );
                return outcome;
            };
            let holder = self.cx.settings.node.name.as_str();
            let appointed = self.control.appoint(group, successor, holder, term.token);
            let appointment = appointed.await;
            let detail = format!("{successor} with token {}: {appointment:?}", term.token);
            self.log_step(group, "appoint", detail);
            match appointment {
                Appointment::Accepted => {
                    return match self.wait_for_lead(group, successor).await {
                        true => AppointmentOutcome::Leads,
                        false => AppointmentOutcome::MayStillLead,
                    };
                }
                Appointment::Unknown => outcome = AppointmentOutcome::MayStillLead,
                Appointment::Refused => {
                    self.appointments.borrow_mut().record_refusal(term.token);
                    return outcome;
                }
                Appointment::Later => return outcome,
            }
        }
        outcome
    }

    /// A fencing token with which no other database of the group was appointed; `None` if a new one is needed and
    /// can't be obtained.
    pub(super) async fn token_for(
        &self,
        group: &GroupName,
        successor: &DatabaseName,
    ) -> Option<Term> {
        let coordinator = &self.fleet.coordinator;
        let current = coordinator.last_term()?;
        let token_use = self
            .appointments
            .borrow()
            .token_use(group, successor, current.token);
        let is_only_coordinator = coordinator.term().is_some() || self.cx.store_health.is_lost();
        let term = match (token_use, is_only_coordinator) {
            (TokenUse::Use, true) => current,
            _ => self.coordinator.renew_token(current.token).await?,
        };
        let mut appointments = self.appointments.borrow_mut();
        appointments.record_appointment(group, successor, term.token);
        Some(term)
    }

    /// Waits until `successor` leads; false when it was lost or didn't lead within [`TAKE_LEAD_LIMIT`].
    async fn wait_for_lead(self: &Rc<Self>, group: &GroupName, successor: &DatabaseName) -> bool {
        let Some(target) = self.member_target(successor) else {
            return false;
        };
        let began = Instant::now();
        let until = began + TAKE_LEAD_LIMIT;
        let mut replies: BTreeMap<Confirmation, u32> = BTreeMap::new();
        let mut last_poll = None;
        while Instant::now() < until {
            let confirmations = &self.leadership.confirmations;
            let reply = confirmations.confirm_appointed(&target).await;
            *replies.entry(reply).or_default() += 1;
            if reply == Confirmation::Leads {
                self.fences.clear_all(successor);
                self.announce_leader(group, successor);
                self.log_step(group, "done", format!("{successor} leads"));
                return true;
            }
            if self.is_loss_check_due(&target, reply, last_poll) {
                last_poll = Some(Instant::now());
                if self.is_lost(&target, began).await {
                    let detail = format!(
                        "{successor} was lost before it took the lead; replies so far: {replies:?}"
                    );
                    self.log_step(group, "lost again", detail);
                    return false;
                }
            }
            let pause = match target.state.pool.is_cold() {
                true => COLD_LEAD_CHECK_INTERVAL,
                false => LEAD_CHECK_INTERVAL,
            };
            self.sleep_unless_announced(successor, pause).await;
        }
        self.log_step(
            group,
            "not led",
            format!("{successor} did not take the lead in time; replies: {replies:?}"),
        );
        false
    }

    /// Sleeps for `pause`, or until `successor` announces that it has become a primary: the other nodes rely on this
    /// coordinator's word, and callers wait for it.
    async fn sleep_unless_announced(&self, successor: &DatabaseName, pause: Duration) {
        let announces = || {
            let directory = self.databases.directory.borrow();
            let member = directory.member(successor);
            member.is_some_and(|member| member.announcement.role == Role::Primary)
        };
        let was_announced = announces();
        let until = Instant::now() + pause;
        while Instant::now() < until {
            self.cx.changes.next(until).await;
            if announces() && !was_announced {
                return;
            }
        }
    }

    /// Records that `leader` leads `group`, tells all nodes, and clears the fence around the group.
    pub(super) fn announce_leader(&self, group: &GroupName, leader: &DatabaseName) {
        self.databases.record_promoted(leader);
        self.peers.broadcast(&PeerMessage::NewLeader {
            group: group.clone(),
            database: leader.clone(),
        });
        self.appointments.borrow_mut().record_settled(group);
        self.fences.clear(&group_fence(group));
    }

    /// True when the nodes should be polled whether an appointed database is lost: its last reply is `reply`, no
    /// connection to it could be opened lately, and the last poll, at `last_poll`, is long enough ago.
    fn is_loss_check_due(
        &self,
        target: &Target,
        reply: Confirmation,
        last_poll: Option<Instant>,
    ) -> bool {
        let silent = [Unclear::NoConnection, Unclear::NoAnswer].map(Confirmation::Unclear);
        silent.contains(&reply)
            && target.state.is_suspended()
            && last_poll.is_none_or(|at| at.elapsed() >= LOSS_CHECK_INTERVAL)
    }

    /// True when the nodes agree that a database appointed at `appointed` is lost. Without this check, a database
    /// that ends right after its appointment delays the next appointment by all of [`TAKE_LEAD_LIMIT`].
    async fn is_lost(&self, target: &Target, appointed: Instant) -> bool {
        let evidence = self.leadership.suspicions.evidence_of(target).await;
        evidence == Evidence::Refused && self.poll_nodes(target, appointed).await == Verdict::Lost
    }

    fn member_target(&self, name: &DatabaseName) -> Option<Target> {
        let directory = self.databases.directory.borrow();
        let member = directory.member(name)?;
        Some(self.databases.target(member, false))
    }
}
