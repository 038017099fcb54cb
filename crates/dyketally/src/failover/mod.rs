//! The decisions of a failover, without I/O: whether a primary is lost, when it is fenced off so that a
//! successor may be appointed, and which database succeeds it.
//!
//! The failover coordinator polls the nodes for [`Evidence`] and evaluates it with [`judge`]. If the
//! primary is lost, a [`FenceRound`] tracks the nodes that stop using it; the fences themselves are kept
//! in [`Fences`]. [`choose_successor`] selects the new primary, and [`Appointments`] decides which fencing
//! token may appoint it. [`Contact`] says whether a node would know of a replacement by now.

mod appointments;
mod contact;
mod fence;
mod fences;
mod successor;
mod verdict;

pub use appointments::{Appointments, TokenUse};
pub use contact::{Contact, GRANT_INTERVAL, SHORT_HOLDS, STORE_HOLDS, is_majority};
pub use fence::{FenceRound, FenceVerdict, GRANTS_SETTLE};
pub use fences::{FENCE_HOLDS, FenceId, Fences, StandingFence};
pub use successor::{Candidate, Succession, choose_successor, keep_warm};
pub use verdict::{Evidence, PollResult, Verdict, judge};
