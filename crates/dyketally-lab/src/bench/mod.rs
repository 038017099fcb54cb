//! Orchestration of processes, workloads and histories, shared by the lab commands.

mod caller;
mod client;
mod documents;
mod plan;
mod ports;
mod process;
mod readiness;
mod reply;
mod site;
mod steps;

pub use caller::{Caller, CallerSettings, Parameters};
pub use client::{ConnectError, SessionClient};
pub use documents::{
    MemberDocument, TEMPLATE_NAME, group_document, template_document, tenant_document,
};
pub use plan::{CALLERS, DatabasePlan, PLATFORM, Plan, ProxyPlan, Routes};
pub use ports::free_addresses;
pub use process::{ChildProcess, LaunchError, Launcher, Program, Signal};
pub use readiness::{NotReady, accepts_connections, poll_until};
pub use reply::Reply;
pub use site::{DATABASE, DatabaseProperties, Site, Tenant};
pub use steps::Steps;
