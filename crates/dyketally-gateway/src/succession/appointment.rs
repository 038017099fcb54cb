//! Appoints a database as primary, with a fencing token that appointed no other one of its group.
//!
//! Relies on the coordinator's lease for tokens, on the adapter for the appointment, and on confirmations to
//! see that the database leads.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::{Evidence, TokenUse, Verdict};
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use crate::database::target::Target;
use crate::fleet::coordinator::Term;
use crate::fleet::message::PeerMessage;
use crate::ports::Appointment;
use crate::succession::confirm::{Confirmation, Unclear};
use crate::succession::failover::Failover;

/// How long an appointed database may take to lead: promotions took up to 1.33 s (longest of 17; decision
/// 0041).
const TAKE_LEAD_LIMIT: Duration = Duration::from_millis(3_500);
/// Pause between two looks whether it leads. Not measured.
const TAKE_LEAD_PAUSE: Duration = Duration::from_millis(60);
/// The same for a database that is cold: what it is asked comes on top of its rate. Not measured.
const COLD_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two looks whether an appointed database that can't be reached is lost: each may open a
/// connection to it. Not measured.
const LOSS_LOOK_PAUSE: Duration = Duration::from_millis(400);
/// Appointments of one successor in a row that get no answer. That they are repeated was measured with late
/// answers (decision 0041), the number wasn't.
const APPOINTMENTS_AT_MOST: u32 = 6;

/// What became of an appointment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Appointed {
    /// The database leads.
    Leads,
    /// It may yet take the lead.
    Perhaps,
    /// It won't.
    Never,
}

impl Failover {
    /// Appoints `successor` and waits until it leads. An appointment without an answer is repeated.
    pub(super) async fn appoint(
        self: &Rc<Self>,
        group: &GroupName,
        successor: &DatabaseName,
    ) -> Appointed {
        let mut otherwise = Appointed::Never;
        for _ in 0..APPOINTMENTS_AT_MOST {
            let Some(term) = self.token_for(group, successor).await else {
                self.step(
                    group,
                    "no token",
                    "the coordinator's lease could not be renewed".to_owned(),
                );
                return otherwise;
            };
            let holder = self.cx.settings.node.name.as_str();
            let appointed = self.control.appoint(group, successor, holder, term.token);
            let appointment = appointed.await;
            let detail = format!("{successor} with token {}: {appointment:?}", term.token);
            self.step(group, "appoint", detail);
            match appointment {
                Appointment::Accepted => {
                    return match self.wait_for_lead(group, successor).await {
                        true => Appointed::Leads,
                        false => Appointed::Perhaps,
                    };
                }
                Appointment::Unknown => otherwise = Appointed::Perhaps,
                Appointment::Refused => {
                    self.appointments.borrow_mut().refused(term.token);
                    return otherwise;
                }
                Appointment::Later => return otherwise,
            }
        }
        otherwise
    }

    /// A token with which no other database of the group was appointed.
    pub(super) async fn token_for(
        &self,
        group: &GroupName,
        successor: &DatabaseName,
    ) -> Option<Term> {
        let coordinator = &self.fleet.coordinator;
        let held = coordinator.last_term()?;
        let token_use = self
            .appointments
            .borrow()
            .token_use(group, successor, held.token);
        let unchallenged = coordinator.term().is_some() || self.cx.store_health.is_lost();
        let term = match (token_use, unchallenged) {
            (TokenUse::Use, true) => held,
            _ => self.coordinator.renew_token(held.token).await?,
        };
        let mut appointments = self.appointments.borrow_mut();
        appointments.appointing(group, successor, term.token);
        Some(term)
    }

    async fn wait_for_lead(self: &Rc<Self>, group: &GroupName, successor: &DatabaseName) -> bool {
        let Some(target) = self.member_target(successor) else {
            return false;
        };
        let began = Instant::now();
        let until = began + TAKE_LEAD_LIMIT;
        let mut replies: BTreeMap<Confirmation, u32> = BTreeMap::new();
        let mut looked = None;
        while Instant::now() < until {
            let confirmations = &self.leadership.confirmations;
            let reply = confirmations.confirm_appointed(&target).await;
            *replies.entry(reply).or_default() += 1;
            if reply == Confirmation::Leads {
                self.fences.lift_all(successor);
                confirmations.acted_as_primary(&target);
                self.peers.broadcast(&PeerMessage::Leads {
                    group: group.clone(),
                    database: successor.clone(),
                });
                self.step(group, "done", format!("{successor} leads"));
                return true;
            }
            if self.may_be_lost(&target, reply, looked) {
                looked = Some(Instant::now());
                if self.was_lost(&target, began).await {
                    let detail = format!("{successor} was lost before it led: {replies:?}");
                    self.step(group, "lost again", detail);
                    return false;
                }
            }
            tokio::time::sleep(match target.state.pool.is_cold() {
                true => COLD_PAUSE,
                false => TAKE_LEAD_PAUSE,
            })
            .await;
        }
        self.step(
            group,
            "not led",
            format!("{successor} didn't take the lead: {replies:?}"),
        );
        false
    }

    /// True when it is time to look whether a database is lost that gave `reply`, at which this node looked
    /// last at `looked`: no connection to it could be opened lately.
    fn may_be_lost(&self, target: &Target, reply: Confirmation, looked: Option<Instant>) -> bool {
        let silent = [Unclear::NoConnection, Unclear::NoAnswer].map(Confirmation::Unclear);
        silent.contains(&reply)
            && target.state.is_suspended()
            && looked.is_none_or(|at| at.elapsed() >= LOSS_LOOK_PAUSE)
    }

    /// True when a database that was appointed at `appointed` has been lost, by the verdict of the nodes. One
    /// that ended right after its appointment was waited for in vain for all of [`TAKE_LEAD_LIMIT`], in which
    /// nobody was appointed in its place.
    async fn was_lost(&self, target: &Target, appointed: Instant) -> bool {
        let evidence = self.leadership.suspicions.evidence_of(target).await;
        evidence == Evidence::Refused && self.verdict(target, appointed).await == Verdict::Lost
    }

    fn member_target(&self, name: &DatabaseName) -> Option<Target> {
        let directory = self.databases.directory.borrow();
        let member = directory.member(name)?;
        Some(self.databases.target(member, false))
    }
}
