//! What a fault case consists of.

use std::time::Duration;

use clap::ValueEnum;
use dyketally::policy::Confirmation;
use dyketally_proxy::stores::memory::Outage;

use crate::testbed::{Configuration, Site, Workload};

/// One fault case: a site under load, and what befalls it.
#[derive(Clone, Copy, Debug)]
pub struct FaultCase {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it shows.
    pub shows: &'static str,
    /// Whose site and workload it runs on.
    pub user: User,
    /// True when it belongs to the short selection.
    pub is_short: bool,
    /// Where the proxies get the operators' documents from.
    pub configuration: Configuration,
    /// How the tenants have their writes confirmed.
    pub confirmation: Confirmation,
    /// True when no request may end with an unknown outcome or a transaction rolled back.
    pub must_not_cut: bool,
    /// What happens while the callers send requests, in this order.
    pub script: &'static [Action],
}

impl FaultCase {
    /// The site that the case runs on.
    pub fn site(&self) -> Site {
        let mut site = self.user.site();
        site.configuration = self.configuration;
        for tenant in &mut site.tenants {
            tenant.confirmation = self.confirmation;
        }
        site
    }
}

/// One of the two users, with its sizes and its workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum User {
    /// Orders and stock lookups.
    Huber,
    /// Seat claims and result posts.
    Lakeshore,
}

impl User {
    /// The user's site.
    pub fn site(self) -> Site {
        match self {
            User::Huber => Site::huber(),
            User::Lakeshore => Site::lakeshore(),
        }
    }

    /// The user's workload.
    pub fn workload(self) -> Workload {
        match self {
            User::Huber => Workload::Orders,
            User::Lakeshore => Workload::Seats,
        }
    }
}

/// Which process a fault strikes, chosen when the fault comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The primary of the group under load.
    Primary,
    /// A replica of that group.
    Replica,
    /// The proxy that is home to the primary.
    Home,
    /// A proxy that is not home to the primary.
    Edge,
}

/// In which directions a process is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Both.
    Both,
    /// Messages to the process are lost.
    Inbound,
    /// Messages of the process are lost.
    Outbound,
}

/// One step of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Lets time pass.
    Wait(Duration),
    /// Waits until all members of the group have the same log.
    CaughtUp,
    /// Kills a process with `SIGKILL`.
    Kill(Target),
    /// Starts all killed and stopped processes again; databases have lost their logs.
    Restart,
    /// Freezes a process with `SIGSTOP`.
    Freeze(Target),
    /// Thaws all frozen processes with `SIGCONT`.
    Thaw,
    /// Cuts a database off from its peers; proxies still reach it.
    CutPeers(Target, Direction),
    /// Lets a database ignore higher terms while it leads, until the case's end.
    StayLeading(Target),
    /// Holds the traffic from one process to another; the opposite direction stays open.
    CutLink {
        /// Where the held traffic comes from.
        from: Target,
        /// Where it goes to.
        to: Target,
    },
    /// Resets the connections from one process to another and refuses new ones.
    ResetLink {
        /// Where the connections come from.
        from: Target,
        /// Where they lead to.
        to: Target,
    },
    /// Ends all cuts.
    Heal,
    /// Sets the replication lag of all members of the group.
    Lag(Duration),
    /// Sets the time that a statement holds its slot at all members of the group.
    ServiceTime(Duration),
    /// Sets the time between a write's effect and its reply at all members of the group.
    ReplyDelay(Duration),
    /// Sets whether the key-value service answers.
    KeyValueService(Outage),
    /// Lets the key-value service lose the replies of the next changes.
    LoseReplies(u32),
    /// Ends all leases of the key-value service.
    LapseLeases,
    /// An operator changes the weight of a tenant.
    Publish,
    /// An operator starts to publish a change.
    BeginPublish,
    /// The operator's command ends.
    EndPublish,
    /// Two operators change the same tenant from the same revision at the same moment.
    PublishTogether,
    /// Stops a proxy as planned, with `SIGTERM`, and waits for its end.
    Stop(Target),
    /// The machine list announces that a database is leaving.
    AnnounceLeaving(Target),
    /// A database leaves by itself: it refuses connections and hands over.
    Leave(Target),
}
