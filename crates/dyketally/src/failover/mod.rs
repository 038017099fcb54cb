//! The decisions of a failover, without I/O: whether a primary is lost, when it is fenced off so that a
//! successor may be appointed, and which database succeeds it.
//!
//! The failover coordinator polls the nodes for [`Evidence`] and evaluates it with [`evaluate_poll`]. If the
//! primary is lost, a [`FenceRound`] tracks the nodes that stop using it; the fences themselves are kept
//! in [`Fences`]. [`newest_leader`] finds a database that leads already,
//! [`evaluate_step_down`] says whether a primary has stepped down for a planned handover,
//! [`choose_successor`] selects the new primary, and [`Appointments`] decides which fencing
//! token may appoint it. [`Contact`] says whether a node would know of a replacement by now.

mod appointments;
mod campaign;
mod contact;
mod fence;
mod fences;
mod group_fence;
mod leader;
mod step_down;
mod successor;
mod verdict;

pub use appointments::{Appointments, TokenUse};
pub use campaign::{CampaignRank, campaign_delay};
pub use contact::{
    Contact, GRANT_INTERVAL, SHORT_CONTACT_DURATION, STORE_CONTACT_DURATION, is_majority,
};
pub use fence::{FenceRound, FenceVerdict, NEW_COORDINATOR_GRANT_DELAY};
pub use fences::{ActiveFence, FENCE_LIFETIME, FenceId, Fences};
pub use group_fence::group_fence;
pub use leader::{newest_leader, newest_term};
pub use step_down::{StepDownAnswer, evaluate_step_down};
pub use successor::{Candidate, Succession, choose_successor, is_received, retain_warm};
pub use verdict::{Evidence, PollResult, PrimaryCondition, Verdict, evaluate_poll, needs_check};
