//! The test bed: the processes of a site, their callers, and what these record, shared by the lab's
//! commands.
//!
//! It owns the child processes and the files that they are started with; a process ends when its
//! handle is dropped. It relies on the programs of the workspace being built beside the lab.

mod admin;
mod caller;
mod client;
mod database;
mod documents;
mod group;
mod operator;
mod plan;
mod ports;
mod process;
mod proxy;
mod readiness;
mod recorder;
mod reply;
mod site;
mod steps;
mod topology;
mod workload;

pub use admin::{AdminClient, MetricsText};
pub use caller::{Caller, CallerSettings, Parameters};
pub use client::{ConnectError, SessionClient};
pub use documents::{
    TEMPLATE_NAME, configuration_file, group_document, template_document, tenant_document,
};
pub use group::{Group, Member};
pub use operator::{CONFLICT, CommandResult, Operator};
pub use plan::{CALLERS, DatabasePlan, PLATFORM, Plan, ProxyPlan, Routes};
pub use ports::free_addresses;
pub use process::{ChildProcess, LaunchError, Launcher, Program, Signal};
pub use readiness::{NotReady, accepts_connections, poll_until};
pub use recorder::{OpenRequest, Recorder, RequestKind, Sample, SampleOutcome};
pub use reply::Reply;
pub use site::{Configuration, DATABASE, DatabaseProperties, Site, Tenant};
pub use steps::Steps;
pub use topology::{Row, START_LIMIT, Topology};
pub use workload::{
    InitialRows, Mix, STOCK_ROWS, STOCK_VALUE, Workload, WorkloadCaller, history_key,
};
