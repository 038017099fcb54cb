//! Collects a caller's messages into batches, and classifies each batch by the tenant's rules.

use std::collections::HashMap;
use std::time::Duration;

use bytes::BytesMut;
use dyketally::policy::{Access, Repeat, StatementPolicy, TenantPolicy, Urgency};
use dyketally::template::{StatementText, classify};
use dyketally_protocol::{PreparedStatement, StatementBatch, StatementName, Step};
use pgwire::messages::Message;
use pgwire::messages::extendedquery::{
    Bind, Close, Describe, Execute, Parse, TARGET_TYPE_BYTE_STATEMENT,
};
use xxhash_rust::xxh3::Xxh3;

use super::answer::{CallerFault, sqlstate};
use super::control::{Control, recognise};

/// Deadline of statements that no rule sets one for: transaction control and describing.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);
/// Statements that one session may keep prepared.
const PREPARED_AT_MOST: usize = 1_000;

/// A batch with all that the request path needs to know about it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassifiedBatch {
    /// The statements.
    pub batch: StatementBatch,
    /// Treatment: the strictest of the batch's statements.
    pub policy: StatementPolicy,
    /// True when the batch only describes or prepares: it reads no rows and any database may serve it.
    pub describes_only: bool,
}

/// The prepared statements of a session and the batch that is being collected.
#[derive(Debug, Default)]
pub struct BatchBuilder {
    prepared: HashMap<String, PreparedStatement>,
    collected: Collected,
}

#[derive(Debug, Default)]
struct Collected {
    batch: StatementBatch,
    policy: Option<StatementPolicy>,
    portals: HashMap<String, StatementPolicy>,
    fault: Option<CallerFault>,
}

/// What a finished batch asks for.
#[derive(Debug)]
pub enum Finished {
    /// Nothing that a database must see: these close replies (and the end of the batch) are due.
    Local {
        /// Statements closed.
        closed: usize,
    },
    /// Run this.
    Run(Box<ClassifiedBatch>),
    /// The batch is refused.
    Refused(CallerFault),
}

impl BatchBuilder {
    /// A batch of one simple query.
    pub fn simple(
        tenant: &TenantPolicy,
        query: String,
        in_transaction: bool,
    ) -> Result<ClassifiedBatch, CallerFault> {
        let text = StatementText {
            query: &query,
            prepared_name: None,
        };
        let mut policy = policy_of(tenant, text, in_transaction)?;
        if may_hold_several_statements(&query) {
            policy.access = Access::Write;
            policy.repeat = Repeat::Never;
        }
        Ok(ClassifiedBatch {
            batch: StatementBatch {
                prepared: Vec::new(),
                steps: vec![Step::Query(query)],
            },
            policy,
            describes_only: false,
        })
    }

    /// Adds a `Parse` message.
    pub fn parse(&mut self, message: Parse) {
        let name = message.name.unwrap_or_default();
        if self.prepared.len() >= PREPARED_AT_MOST && !self.prepared.contains_key(&name) {
            self.refuse(CallerFault::new(
                sqlstate::NOT_SUPPORTED,
                format!("a session may prepare {PREPARED_AT_MOST} statements; close some first"),
            ));
            return;
        }
        let statement = PreparedStatement {
            name: shared_name(&message.query, &message.type_oids),
            query: message.query,
            parameter_types: message.type_oids,
        };
        self.require(&statement);
        let step = Step::Parse(statement.name.clone());
        self.collected.batch.steps.push(step);
        self.prepared.insert(name, statement);
    }

    /// Adds a `Bind` message.
    pub fn bind(&mut self, tenant: &TenantPolicy, in_transaction: bool, message: Bind) {
        let name = message.statement_name.clone().unwrap_or_default();
        let Some(statement) = self.prepared.get(&name).cloned() else {
            self.refuse(undefined_statement(&name));
            return;
        };
        let text = StatementText {
            query: &statement.query,
            prepared_name: Some(&name),
        };
        match policy_of(tenant, text, in_transaction) {
            Ok(policy) => {
                let portal = message.portal_name.clone().unwrap_or_default();
                self.collected.portals.insert(portal, policy);
            }
            Err(fault) => self.refuse(fault),
        }
        self.require(&statement);
        let step = bind_step(message, statement.name);
        self.collected.batch.steps.push(step);
    }

    /// Adds a `Describe` message.
    pub fn describe(&mut self, message: Describe) {
        let name = message.name.unwrap_or_default();
        if message.target_type != TARGET_TYPE_BYTE_STATEMENT {
            self.collected.batch.steps.push(Step::DescribePortal(name));
            return;
        }
        let Some(statement) = self.prepared.get(&name).cloned() else {
            self.refuse(undefined_statement(&name));
            return;
        };
        self.require(&statement);
        let step = Step::DescribeStatement(statement.name);
        self.collected.batch.steps.push(step);
    }

    /// Adds an `Execute` message.
    pub fn execute(&mut self, message: Execute) {
        let portal = message.name.unwrap_or_default();
        // A portal of an earlier batch lives only in a transaction, which is pinned to the primary.
        let policy = self.collected.portals.get(&portal).cloned();
        let policy = policy.unwrap_or_else(transaction_policy);
        self.collected.policy = Some(strictest(self.collected.policy.take(), policy));
        let max_rows = message.max_rows;
        let step = Step::Execute { portal, max_rows };
        self.collected.batch.steps.push(step);
    }

    /// Adds a `Close` message.
    pub fn close(&mut self, message: Close) {
        let name = message.name.unwrap_or_default();
        let step = if message.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let closed = self.prepared.remove(&name);
            let shared = closed.map_or(StatementName(name), |statement| statement.name);
            Step::CloseStatement(shared)
        } else {
            Step::ClosePortal(name)
        };
        self.collected.batch.steps.push(step);
    }

    /// Refuses the batch: nothing of it runs, and its end is awaited.
    pub fn refuse(&mut self, fault: CallerFault) {
        self.collected.fault.get_or_insert(fault);
    }

    /// Ends the batch at `Sync`.
    pub fn sync(&mut self) -> Finished {
        let mut collected = std::mem::take(&mut self.collected);
        if let Some(fault) = collected.fault {
            return Finished::Refused(fault);
        }
        let steps = &mut collected.batch.steps;
        let closes_only = steps
            .iter()
            .all(|step| matches!(step, Step::CloseStatement(_)));
        if closes_only {
            return Finished::Local {
                closed: steps.len(),
            };
        }
        steps.push(Step::Sync);
        let describes_only = collected.policy.is_none();
        let policy = collected.policy.unwrap_or_else(describe_policy);
        Finished::Run(Box::new(ClassifiedBatch {
            batch: collected.batch,
            policy,
            describes_only,
        }))
    }

    /// True while messages wait for the batch's end.
    pub fn is_collecting(&self) -> bool {
        !self.collected.batch.steps.is_empty() || self.collected.fault.is_some()
    }

    fn require(&mut self, statement: &PreparedStatement) {
        let required = &mut self.collected.batch.prepared;
        if required
            .iter()
            .all(|present| present.name != statement.name)
        {
            required.push(statement.clone());
        }
    }
}

/// A query text with a semicolon in its middle may hold a write behind a read. Without parsing it,
/// only the strictest treatment is safe.
fn may_hold_several_statements(query: &str) -> bool {
    query.trim_end().trim_end_matches(';').contains(';')
}

fn bind_step(mut message: Bind, statement: StatementName) -> Step {
    message.statement_name = Some(statement.0.clone());
    let mut encoded = BytesMut::with_capacity(message.message_length() + 1);
    message
        .encode(&mut encoded)
        .expect("a message that was decoded within the bounds also encodes");
    Step::Bind {
        statement,
        encoded: encoded.freeze(),
    }
}

fn undefined_statement(name: &str) -> CallerFault {
    CallerFault::new(
        sqlstate::UNDEFINED_STATEMENT,
        format!("prepared statement {name:?} does not exist in this session; prepare it again"),
    )
}

/// Name that depends on text and types alone.
fn shared_name(query: &str, parameter_types: &[u32]) -> StatementName {
    let mut hasher = Xxh3::new();
    hasher.update(query.as_bytes());
    for object_id in parameter_types {
        hasher.update(&object_id.to_be_bytes());
    }
    StatementName(format!("dk{:032x}", hasher.digest128()))
}

fn policy_of(
    tenant: &TenantPolicy,
    text: StatementText<'_>,
    in_transaction: bool,
) -> Result<StatementPolicy, CallerFault> {
    if let Some(policy) = classify(&tenant.rules, text) {
        return Ok(policy.clone());
    }
    match recognise(text.query) {
        Control::Transaction => Ok(transaction_policy()),
        // What runs in a transaction goes to the transaction's own connection.
        Control::None if in_transaction => Ok(transaction_policy()),
        Control::None => Err(CallerFault::new(
            sqlstate::NOT_SUPPORTED,
            format!(
                "no rule of tenant {} classifies this statement; add a rule to its template",
                tenant.name
            ),
        )),
        Control::Setting => Err(CallerFault::new(
            sqlstate::NOT_SUPPORTED,
            "settings can't be changed on shared connections; pass them in the connection string or leave them out",
        )),
    }
}

/// Treatment of transaction control and of what a transaction runs unclassified.
fn transaction_policy() -> StatementPolicy {
    StatementPolicy {
        access: Access::Write,
        urgency: Urgency::Normal,
        repeat: Repeat::Never,
        deadline: DEFAULT_DEADLINE,
    }
}

/// Treatment of batches that only prepare or describe.
fn describe_policy() -> StatementPolicy {
    StatementPolicy {
        access: Access::Read,
        urgency: Urgency::Normal,
        repeat: Repeat::Repeatable,
        deadline: DEFAULT_DEADLINE,
    }
}

fn strictest(current: Option<StatementPolicy>, next: StatementPolicy) -> StatementPolicy {
    let Some(current) = current else {
        return next;
    };
    let writes = current.access == Access::Write || next.access == Access::Write;
    let repeatable = current.repeat == next.repeat;
    StatementPolicy {
        access: if writes { Access::Write } else { Access::Read },
        urgency: current.urgency.max(next.urgency),
        repeat: if repeatable {
            current.repeat
        } else {
            Repeat::Never
        },
        deadline: current.deadline.min(next.deadline),
    }
}
