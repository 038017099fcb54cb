//! Fair admission: weighted max-min sharing of a database's slots between tenants.
//!
//! A slot is the right to have one statement running at the database. [`FairQueue`] holds the
//! statements that wait for a slot and decides which tenant gets the next free one: the tenant
//! with the least *busy slot time* divided by its weight. Statements are charged while they run,
//! so a tenant with few long statements gets no more than a tenant with many short ones. A tenant
//! that was idle starts level with the others: slots that it used while no statement waited are not
//! charged against it, and its credit for idle time is limited to [`MAX_SLOT_TIME_CREDIT`].
//!
//! [`Gate`] is for a node that shares a database with other nodes: it limits the statements that the node has
//! in flight at the database, and estimates how long a new one would wait.

mod average;
mod drain_rate;
mod gate;
mod in_flight;
mod queue;
mod schedule;
mod status;
mod submission;
mod tenant;

pub use gate::{Gate, QueueTimeouts, Rank};
pub use in_flight::InFlightLimit;
pub use queue::FairQueue;
pub use schedule::MAX_SLOT_TIME_CREDIT;
pub use status::{QueueStatus, TenantCounters, TenantStatus};
pub use submission::{
    Admitted, Expired, Rejected, RejectionReason, Stage, Submission, Ticket, Withdrawn,
};
