//! Encodes a batch for one connection and plans its replies.

use std::collections::HashSet;
use std::io;

use bytes::BytesMut;
use dyketally_protocol::{PreparedStatement, StatementBatch, StatementName, Step};
use postgres_protocol::message::frontend;

use super::plan::{ExpectedReply, ReplyPlan};
use super::statements::StatementCache;

const STATEMENT_VARIANT: u8 = b'S';
const PORTAL_VARIANT: u8 = b'P';
const BIND_TAG: u8 = b'B';
const LENGTH_BYTES: usize = 4;

/// A batch that can't be sent.
#[derive(Debug, thiserror::Error)]
pub enum EncodeError {
    /// A text holds a zero byte or is too long for the protocol.
    #[error("a statement can't be encoded ({0}); remove zero bytes from its text")]
    Text(#[from] io::Error),
    /// The batch doesn't end with its only `Query` or `Sync`.
    #[error("the batch does not end where its only Query or Sync is; check the edge's version")]
    NotEnded,
    /// A step that is sent as it is isn't one whole `Bind` message.
    #[error("a step is not one whole Bind message; check the edge's version")]
    MalformedBind,
    /// A step refers to a statement that the batch doesn't list.
    #[error("the batch refers to the statement {0:?}, which it doesn't list; prepare it again")]
    UnlistedStatement(StatementName),
}

/// Appends the messages of `batch` to `output`, with what the connection lacks prepared ahead and
/// what it has left out, and returns the replies to expect.
pub fn encode_batch(
    batch: &StatementBatch,
    cache: &mut StatementCache,
    output: &mut BytesMut,
) -> Result<ReplyPlan, EncodeError> {
    let mut encoder = BatchEncoder::new(batch, cache, output)?;
    encoder.evict_statements()?;
    for step in &batch.steps {
        encoder.step(step)?;
    }
    Ok(encoder.plan)
}

struct BatchEncoder<'a> {
    batch: &'a StatementBatch,
    cache: &'a mut StatementCache,
    output: &'a mut BytesMut,
    missing: HashSet<StatementName>,
    batch_start: u64,
    plan: ReplyPlan,
}

impl<'a> BatchEncoder<'a> {
    fn new(
        batch: &'a StatementBatch,
        cache: &'a mut StatementCache,
        output: &'a mut BytesMut,
    ) -> Result<Self, EncodeError> {
        let batch_start = cache.uses();
        let missing = batch
            .prepared
            .iter()
            .filter(|statement| !cache.touch(&statement.name))
            .map(|statement| statement.name.clone())
            .collect();
        let encoder = Self {
            batch,
            cache,
            output,
            missing,
            batch_start,
            plan: ReplyPlan::default(),
        };
        check_end(&batch.steps)?;
        for step in &batch.steps {
            encoder.check(step)?;
        }
        Ok(encoder)
    }

    fn check(&self, step: &Step) -> Result<(), EncodeError> {
        let statement = match step {
            Step::Bind { statement, encoded } if is_one_bind(encoded) => statement,
            Step::Bind { .. } => return Err(EncodeError::MalformedBind),
            Step::Parse(statement) | Step::DescribeStatement(statement) => statement,
            _ => return Ok(()),
        };
        self.listed(statement).map(|_| ())
    }

    fn listed(&self, name: &StatementName) -> Result<&'a PreparedStatement, EncodeError> {
        self.batch
            .prepared
            .iter()
            .find(|statement| &statement.name == name)
            .ok_or_else(|| EncodeError::UnlistedStatement(name.clone()))
    }

    fn evict_statements(&mut self) -> Result<(), EncodeError> {
        for evicted in self.cache.make_room(self.missing.len(), self.batch_start) {
            frontend::close(STATEMENT_VARIANT, &evicted.0, self.output)?;
            self.plan.expect(ExpectedReply::Eviction);
        }
        Ok(())
    }

    fn step(&mut self, step: &Step) -> Result<(), EncodeError> {
        match step {
            Step::Query(text) => {
                frontend::query(text, self.output)?;
                self.plan.expect(ExpectedReply::SimpleQuery);
            }
            Step::Parse(statement) => self.parse(statement, true)?,
            Step::Bind { statement, encoded } => {
                self.prepare_missing(statement)?;
                self.output.extend_from_slice(encoded);
                self.plan.expect(ExpectedReply::Bind);
            }
            Step::DescribeStatement(statement) => {
                self.prepare_missing(statement)?;
                frontend::describe(STATEMENT_VARIANT, &statement.0, self.output)?;
                self.plan.expect(ExpectedReply::StatementDescription);
            }
            Step::DescribePortal(portal) => {
                frontend::describe(PORTAL_VARIANT, portal, self.output)?;
                self.plan.expect(ExpectedReply::PortalDescription);
            }
            Step::Execute { portal, max_rows } => {
                frontend::execute(portal, *max_rows, self.output)?;
                self.plan.expect(ExpectedReply::Execution);
            }
            Step::ClosePortal(portal) => {
                frontend::close(PORTAL_VARIANT, portal, self.output)?;
                self.plan.expect(ExpectedReply::PortalClose);
            }
            Step::CloseStatement(_) => self.plan.expect(ExpectedReply::KeptStatementClose),
            Step::Sync => {
                frontend::sync(self.output);
                self.plan.expect(ExpectedReply::Sync);
            }
        }
        Ok(())
    }

    fn prepare_missing(&mut self, statement: &StatementName) -> Result<(), EncodeError> {
        if self.missing.contains(statement) {
            self.parse(statement, false)?;
        }
        Ok(())
    }

    fn parse(&mut self, name: &StatementName, passed_on: bool) -> Result<(), EncodeError> {
        if !self.missing.remove(name) {
            self.plan.expect(ExpectedReply::KnownParse);
            return Ok(());
        }
        let statement = self.listed(name)?;
        let types = statement.parameter_types.iter().copied();
        frontend::parse(&name.0, &statement.query, types, self.output)?;
        self.plan.expect(ExpectedReply::Parse {
            statement: name.clone(),
            passed_on,
        });
        Ok(())
    }
}

fn check_end(steps: &[Step]) -> Result<(), EncodeError> {
    let ends = |step: &Step| matches!(step, Step::Query(_) | Step::Sync);
    match steps.split_last() {
        Some((Step::Query(_), [])) => Ok(()),
        Some((Step::Sync, others)) if !others.iter().any(ends) => Ok(()),
        _ => Err(EncodeError::NotEnded),
    }
}

fn is_one_bind(encoded: &[u8]) -> bool {
    let Some((tag, rest)) = encoded.split_first() else {
        return false;
    };
    let Some(length) = rest.first_chunk::<LENGTH_BYTES>() else {
        return false;
    };
    *tag == BIND_TAG && u32::from_be_bytes(*length) as usize == rest.len()
}
