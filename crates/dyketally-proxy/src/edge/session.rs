//! One caller's session: reads its messages, runs its batches in order and writes the answers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dyketally::identifiers::{SessionId, TenantName};
use dyketally::outcome::NotRunReason;
use dyketally::policy::{Access, GroupPolicy, PolicySet, Revision, TenantPolicy};
use dyketally_protocol::Completion;
use futures::StreamExt;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;
use tower::{Service, ServiceExt};

use super::answer::{CallerFault, sqlstate};
use super::batch::{BatchBuilder, ClassifiedBatch, Finished};
use super::cancel::CancelEntry;
use super::codec::{CallerCodec, CallerError};
use super::control::{SessionStatement, session_statement};
use super::counters::count;
use super::listener::leaving;
use super::request::{ReplyStart, StatementReply, StatementRequest};
use super::send::completion_of;
use super::session_state::SessionState;
use super::startup::{Identity, welcome};
use super::writer::CallerWriter;
use super::{Edge, Leaving};
use crate::reply::ReplyReceiver;

/// Messages that are read ahead while a batch runs. Beyond it the caller's own socket fills up.
const READ_AHEAD: usize = 256;
/// Time that a caller has to close after it was turned away.
const LATE_MESSAGES: Duration = Duration::from_secs(2);

/// A caller's session.
pub struct CallerSession {
    edge: Edge,
    tenant: TenantName,
    state: SessionState,
    /// The session's group, with the revision that it is of.
    group: Option<(Revision, Arc<GroupPolicy>)>,
    builder: BatchBuilder,
    cancel: CancelEntry,
    reader: FramedRead<OwnedReadHalf, CallerCodec>,
    writer: CallerWriter<OwnedWriteHalf>,
    read_ahead: VecDeque<PgWireFrontendMessage>,
}

impl CallerSession {
    /// A session for a caller that was just admitted.
    pub fn new(
        edge: Edge,
        identity: Identity,
        cancel: CancelEntry,
        reader: FramedRead<OwnedReadHalf, CallerCodec>,
        writer: CallerWriter<OwnedWriteHalf>,
    ) -> Self {
        let id = SessionId {
            edge: edge.node.clone(),
            incarnation: edge.incarnation,
            number: edge.next_session(),
        };
        let homes = edge.homes.clone();
        let state = SessionState::new(id, identity.session, homes, edge.counters.clone());
        Self {
            edge,
            tenant: identity.tenant,
            state,
            group: None,
            builder: BatchBuilder::default(),
            cancel,
            reader,
            writer,
            read_ahead: VecDeque::new(),
        }
    }

    /// Serves the caller until it leaves, breaks the protocol or the node leaves.
    pub async fn run(&mut self) -> Result<(), CallerError> {
        welcome(
            &mut self.writer.answer,
            self.state.session(),
            self.cancel.key(),
        );
        self.finish_batch().await?;
        let Leaving {
            turning_away,
            closing_idle,
        } = self.edge.leaving.clone();
        loop {
            let idle = !self.state.in_transaction() && !self.builder.is_collecting();
            let message = match self.read_ahead.pop_front() {
                Some(message) => message,
                None => tokio::select! {
                    message = self.reader.next() => match message.transpose()? {
                        Some(message) => message,
                        None => return Ok(()),
                    },
                    () = closing_idle.cancelled(), if idle => return self.turn_away().await,
                },
            };
            if let PgWireFrontendMessage::Terminate(_) = message {
                return Ok(());
            }
            let turned_away = turning_away.is_cancelled() && !self.state.in_transaction();
            if turned_away && ends_batch(&message) {
                return self.turn_away().await;
            }
            self.take(message).await?;
        }
    }

    /// The writing side, for a last word.
    pub fn into_writer(self) -> CallerWriter<OwnedWriteHalf> {
        self.writer
    }

    /// The node leaves: the caller is told in answer to its batch, of which nothing was run, or
    /// between two batches, and should connect elsewhere.
    async fn turn_away(&mut self) -> Result<(), CallerError> {
        self.writer.answer.fatal(leaving());
        self.writer.finish().await?;
        self.drop_late_messages().await;
        Ok(())
    }

    /// Reads on until the caller closes. A message may be on its way from a caller that was just
    /// turned away; closing before it arrives resets the connection, and the reset can overtake
    /// the last word, so that the caller could not tell that its message was not run.
    async fn drop_late_messages(&mut self) {
        let closed = async { while let Some(Ok(_)) = self.reader.next().await {} };
        // A caller that does not close in time is closed by this side.
        let _ = tokio::time::timeout(LATE_MESSAGES, closed).await;
    }

    async fn take(&mut self, message: PgWireFrontendMessage) -> Result<(), CallerError> {
        let policies = self.edge.policies.borrow().clone();
        let Some(tenant) = policies.tenants.get(&self.tenant) else {
            self.writer
                .answer
                .fatal(CallerFault::not_run(NotRunReason::NotConfigured, None));
            self.writer.flush().await?;
            return Err(CallerError::Io(
                std::io::ErrorKind::ConnectionAborted.into(),
            ));
        };
        let in_transaction = self.state.in_transaction();
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.simple_query(&policies, tenant, query.query).await
            }
            PgWireFrontendMessage::Sync(_) => self.sync(&policies).await,
            PgWireFrontendMessage::Parse(parse) => {
                self.builder.parse(parse);
                Ok(())
            }
            PgWireFrontendMessage::Bind(bind) => {
                self.builder.bind(tenant, in_transaction, bind);
                Ok(())
            }
            PgWireFrontendMessage::Describe(describe) => {
                self.builder.describe(describe);
                Ok(())
            }
            PgWireFrontendMessage::Execute(execute) => {
                self.builder.execute(execute);
                Ok(())
            }
            PgWireFrontendMessage::Close(close) => {
                self.builder.close(close);
                Ok(())
            }
            PgWireFrontendMessage::Flush(_) => {
                self.builder.refuse(CallerFault::new(
                    sqlstate::NOT_SUPPORTED,
                    "Flush is not supported; end each batch with Sync",
                ));
                Ok(())
            }
            _ => Err(CallerError::Malformed),
        }
    }

    async fn simple_query(
        &mut self,
        policies: &PolicySet,
        tenant: &TenantPolicy,
        query: String,
    ) -> Result<(), CallerError> {
        if let Some(statement) = session_statement(&query) {
            self.session_statement(statement);
            return self.finish_batch().await;
        }
        match BatchBuilder::simple(tenant, query, self.state.in_transaction()) {
            Ok(batch) => self.run_batch(policies, batch).await,
            Err(fault) => self.refuse(fault).await,
        }
    }

    async fn sync(&mut self, policies: &PolicySet) -> Result<(), CallerError> {
        match self.builder.sync() {
            Finished::Run(batch) => self.run_batch(policies, *batch).await,
            Finished::Refused(fault) => self.refuse(fault).await,
            Finished::Local { closed } => {
                for _ in 0..closed {
                    let message = PgWireBackendMessage::CloseComplete(CloseComplete::new());
                    self.writer.answer.message(message);
                }
                self.finish_batch().await
            }
        }
    }

    fn session_statement(
        &mut self,
        statement: Result<SessionStatement, dyketally::session::MalformedToken>,
    ) {
        match statement {
            Ok(SessionStatement::Set(token)) => {
                self.state.offer(token.as_ref());
                self.writer.answer.command_complete("SET");
            }
            Ok(SessionStatement::Show) => {
                let token = self.state.session().token().map(|token| token.to_string());
                self.writer.answer.session_row(&token.unwrap_or_default());
                self.writer.answer.command_complete("SHOW");
            }
            Err(error) => {
                let fault = CallerFault::new(sqlstate::INVALID_VALUE, error.to_string());
                self.writer.answer.error(fault);
            }
        }
    }

    async fn refuse(&mut self, fault: CallerFault) -> Result<(), CallerError> {
        count(&self.edge.counters.batches_refused);
        self.writer.answer.error(fault);
        self.finish_batch().await
    }

    async fn run_batch(
        &mut self,
        policies: &PolicySet,
        batch: ClassifiedBatch,
    ) -> Result<(), CallerError> {
        count(&self.edge.counters.batches);
        let Some(group) = self.group(policies) else {
            return self
                .refuse(CallerFault::not_run(NotRunReason::NotConfigured, None))
                .await;
        };
        if batch.policy.access == Access::Read {
            count(&self.edge.counters.reads);
        }
        let cancelled = CancellationToken::new();
        self.cancel.set_running(cancelled.clone());
        let over = cancelled.clone().drop_guard();
        let request = StatementRequest {
            group,
            tenant: self.tenant.clone(),
            session: self.state.id().clone(),
            transaction: self.state.pinned(),
            freshness: self.state.freshness(batch.describes_only),
            deadline: Instant::now() + batch.policy.deadline,
            policy: batch.policy,
            batch: batch.batch,
            cancelled: cancelled.clone(),
        };
        let reply = self.start(request, &cancelled).await?;
        let completion = match reply.start {
            ReplyStart::Ended(completion) => completion,
            ReplyStart::Data { first, rest } => self.pass_on(first, rest).await?,
        };
        let fault = self.state.settle(completion, &reply.database, reply.home);
        if let Some(fault) = fault {
            self.writer.answer.error(fault);
        }
        drop(over);
        self.finish_batch().await
    }

    /// The session's group as configured now; copied only when the configuration has changed.
    fn group(&mut self, policies: &PolicySet) -> Option<Arc<GroupPolicy>> {
        let cached = self.group.as_ref();
        if let Some((revision, group)) = cached
            && *revision == policies.revision
        {
            return Some(group.clone());
        }
        let group = policies.groups.get(self.state.session().group())?;
        let group = Arc::new(group.clone());
        self.group = Some((policies.revision, group.clone()));
        Some(group)
    }

    /// Runs the request path. Meanwhile the caller's messages are read ahead, so that a caller
    /// that goes away is noticed.
    async fn start(
        &mut self,
        request: StatementRequest,
        cancelled: &CancellationToken,
    ) -> Result<StatementReply, CallerError> {
        let mut path = self.edge.path.clone();
        let Ok(service) = path.ready().await;
        let mut reply = service.call(request);
        loop {
            let room = self.read_ahead.len() < READ_AHEAD;
            tokio::select! {
                biased;
                reply = &mut reply => {
                    let Ok(reply) = reply;
                    return Ok(reply);
                }
                message = self.reader.next(), if room => match message.transpose() {
                    Ok(Some(message)) => self.read_ahead.push_back(message),
                    gone => {
                        cancelled.cancel();
                        // The home ends what it safely can; its verdict has no reader any more.
                        drop(reply);
                        return Err(gone.err().unwrap_or_else(connection_closed));
                    }
                },
            }
        }
    }

    async fn pass_on(
        &mut self,
        first: Bytes,
        mut rest: ReplyReceiver,
    ) -> Result<Completion, CallerError> {
        self.writer.answer.encoded(&first);
        while let Some(messages) = rest.next().await {
            self.writer.answer.encoded(&messages);
            self.writer.flush_if_large().await?;
        }
        Ok(completion_of(rest).await)
    }

    /// Writes the token if it moved, and the end of the batch.
    async fn finish_batch(&mut self) -> Result<(), CallerError> {
        if let Some(token) = self.state.untold_token() {
            self.writer.answer.session_token(&token);
        }
        self.writer.answer.ready(self.state.transaction());
        Ok(self.writer.flush().await?)
    }
}

/// True for the message after which a caller waits for an answer.
fn ends_batch(message: &PgWireFrontendMessage) -> bool {
    matches!(
        message,
        PgWireFrontendMessage::Query(_) | PgWireFrontendMessage::Sync(_)
    )
}

fn connection_closed() -> CallerError {
    CallerError::Io(std::io::ErrorKind::ConnectionAborted.into())
}
