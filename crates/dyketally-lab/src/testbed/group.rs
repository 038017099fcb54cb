//! The state of a database group as the lab sees it, past the proxies.

use std::time::Duration;

use eyre::WrapErr;

use crate::database::{ControlClient, DatabaseState, TableRow};

use super::plan::{DatabasePlan, Plan};
use super::readiness::poll_until;

/// Time that a group has to elect a primary, or replicas to catch up.
const GROUP_LIMIT: Duration = Duration::from_secs(20);

/// One database with its control client.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Sets faults and reads state.
    pub control: ControlClient,
}

/// The members of one group.
#[derive(Clone, Debug)]
pub struct Group {
    /// The group's name.
    pub name: String,
    /// Its members, in the order of the plan.
    pub members: Vec<Member>,
}

impl Group {
    /// The group `name` of a plan.
    pub fn of_plan(plan: &Plan, name: &str) -> Self {
        let member = |database: &DatabasePlan| Member {
            name: database.name.clone(),
            control: ControlClient::new(database.control),
        };
        Self {
            name: name.to_owned(),
            members: plan.group(name).map(member).collect(),
        }
    }

    /// The states of the members that answer, with their names.
    pub async fn states(&self) -> Vec<DatabaseState> {
        let mut states = Vec::new();
        for member in &self.members {
            if let Ok(Ok(state)) = tokio::time::timeout(ANSWER_LIMIT, member.control.state()).await
            {
                states.push(state);
            }
        }
        states
    }

    /// Waits until a member leads with a term that no other one passes.
    ///
    /// # Errors
    /// When there is none in time.
    pub async fn primary(&self) -> eyre::Result<Member> {
        let what = format!("primary of {}", self.name);
        let name = poll_until(&what, GROUP_LIMIT, || async {
            let states = self.states().await;
            let highest = states.iter().map(|state| state.term).max()?;
            let is_leader = |state: &&DatabaseState| state.is_primary() && state.term == highest;
            let leader = states.iter().find(is_leader)?;
            Some(leader.name.as_str().to_owned())
        })
        .await?;
        self.member(&name)
    }

    /// Waits until all members have the same log.
    ///
    /// # Errors
    /// When they have not in time.
    pub async fn caught_up(&self) -> eyre::Result<()> {
        let what = format!("replicas of {} to catch up", self.name);
        poll_until(&what, GROUP_LIMIT, || async {
            let states = self.states().await;
            let first = states.first()?;
            let has_same_log = |state: &DatabaseState| {
                state.log_term == first.log_term
                    && state.log_offset == first.log_offset
                    && !state.joining
            };
            let all = states.len() == self.members.len() && states.iter().all(has_same_log);
            all.then_some(())
        })
        .await?;
        Ok(())
    }

    /// Sets the replication lag of all members.
    ///
    /// # Errors
    /// When a member can't be reached.
    pub async fn set_lag(&self, milliseconds: u64) -> eyre::Result<()> {
        for member in &self.members {
            member.control.set_replication_lag(milliseconds).await?;
        }
        Ok(())
    }

    /// The rows of a table at the primary.
    ///
    /// # Errors
    /// When there is no primary or it can't be reached.
    pub async fn table(&self, name: &str) -> eyre::Result<Vec<TableRow>> {
        let primary = self.primary().await?;
        let rows = primary.control.table(name).await;
        rows.wrap_err_with(|| format!("the table {name} can't be read; see the database's log"))
    }

    /// The member `name`.
    ///
    /// # Errors
    /// When there is none.
    pub fn member(&self, name: &str) -> eyre::Result<Member> {
        let found = self.members.iter().find(|member| member.name == name);
        found
            .cloned()
            .ok_or_else(|| eyre::eyre!("{name} is not a member of {}; see the plan", self.name))
    }
}

/// Time that a database has to tell its state; a frozen one doesn't.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
