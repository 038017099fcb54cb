//! The PostgreSQL wire protocol towards clients, through `pgwire`.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_trait::async_trait;
use futures::future::{Either, select};
use futures::{Sink, SinkExt, stream};
use pgwire::api::auth::{
    DefaultServerParameterProvider, StartupHandler, finish_authentication, protocol_negotiation,
    save_startup_parameters_to_metadata,
};
use pgwire::api::portal::{Format, Portal};
use pgwire::api::query::{
    ExtendedQueryHandler, SimpleQueryHandler, send_execution_response, send_query_response,
    send_ready_for_query,
};
use pgwire::api::results::{DataRowEncoder, FieldInfo, QueryResponse, Response, Tag};
use pgwire::api::stmt::QueryParser;
use pgwire::api::store::PortalStore;
use pgwire::api::{
    ClientInfo, ClientPortalStore, ConnectionGuard, ConnectionHandle, PidSecretKeyGenerator,
    RandomPidSecretKeyGenerator, Type,
};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use pgwire::messages::extendedquery::Execute;
use pgwire::messages::response::{EmptyQueryResponse, TransactionStatus};
use pgwire::messages::simplequery::Query;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use super::error::SqlError;
use super::execution::{Cell, ChangeCommand, ColumnType, ResultColumn, StatementResult};
use super::server::Database;
use super::session::Session;
use super::sql::parse;
use super::statement::Statement;

impl From<SqlError> for ErrorInfo {
    fn from(error: SqlError) -> Self {
        let severity = if error.is_fatal() { "FATAL" } else { "ERROR" };
        ErrorInfo::new(
            severity.to_owned(),
            error.code().to_owned(),
            error.to_string(),
        )
    }
}

impl From<SqlError> for PgWireError {
    fn from(error: SqlError) -> Self {
        PgWireError::UserError(Box::new(error.into()))
    }
}

/// Completes the startup of a connection that was admitted.
pub struct Startup {
    database: Arc<Database>,
    keys: RandomPidSecretKeyGenerator,
}

impl Startup {
    /// For connections of `database`.
    pub fn new(database: Arc<Database>) -> Self {
        Self {
            database,
            keys: RandomPidSecretKeyGenerator::default(),
        }
    }
}

#[async_trait]
impl StartupHandler for Startup {
    async fn on_startup<C>(
        &self,
        client: &mut C,
        message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let PgWireFrontendMessage::Startup(startup) = &message else {
            return Ok(());
        };
        protocol_negotiation(client, startup).await?;
        save_startup_parameters_to_metadata(client, startup);
        let (process_id, secret_key) = self.keys.generate(client);
        client.set_pid_and_secret_key(process_id, secret_key.clone());
        let (handle, guard) = self.database.cancellations.register(process_id, secret_key);
        let extensions = client.session_extensions();
        extensions.insert::<Arc<ConnectionHandle>>(handle);
        extensions.insert::<ConnectionGuard>(guard);
        finish_authentication(client, &DefaultServerParameterProvider::default()).await
    }
}

/// Runs the statements of one connection.
pub struct Statements {
    database: Arc<Database>,
    session: Session,
    /// A write took effect whose reply is still held back.
    reply_held: AtomicBool,
    parser: Arc<StatementParser>,
}

impl Statements {
    /// For one connection to `database`.
    pub fn new(database: Arc<Database>) -> Self {
        Self {
            session: Session::new(database.clone()),
            database,
            reply_held: AtomicBool::new(false),
            parser: Arc::new(StatementParser),
        }
    }

    /// Runs a statement and keeps the client's transaction status in step.
    async fn execute<C: ClientInfo>(
        &self,
        client: &mut C,
        statement: &Statement,
        parameters: &[Option<String>],
    ) -> Result<StatementResult, SqlError> {
        let aborted = client.transaction_status() == TransactionStatus::Error;
        let result = self.session.execute(statement, parameters, aborted).await;
        let ends = matches!(statement, Statement::Commit | Statement::Rollback);
        if ends {
            client.set_transaction_status(TransactionStatus::Idle);
        } else if result == Ok(StatementResult::Began) {
            client.set_transaction_status(TransactionStatus::Transaction);
        }
        if result.is_ok() && (statement.writes() || *statement == Statement::Commit) {
            self.reply_held.store(true, Ordering::Relaxed);
        }
        result
    }

    /// Holds the reply of a write back. Can't be cancelled, as the write has taken effect.
    async fn delay_reply(&self) {
        let held = self.reply_held.swap(false, Ordering::Relaxed);
        let delay = self.database.reply_delay();
        if held && !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    async fn execute_cancellable<C: ClientInfo>(
        &self,
        client: &mut C,
        statement: &Statement,
    ) -> PgWireResult<StatementResult> {
        let handle = client.session_extensions().get::<Arc<ConnectionHandle>>();
        let Some(handle) = handle else {
            return Ok(self.execute(client, statement, &[]).await?);
        };
        let cancelled = handle.start_query().await;
        let execution = std::pin::pin!(self.execute(client, statement, &[]));
        match select(execution, cancelled).await {
            Either::Left((result, _)) => Ok(result?),
            Either::Right(_) => Err(PgWireError::QueryCanceled),
        }
    }
}

#[async_trait]
impl SimpleQueryHandler for Statements {
    /// Each statement of the text commits by itself unless the text starts a transaction.
    async fn on_query<C>(&self, client: &mut C, query: Query) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let statements = parse(&query.query)?;
        if statements.is_empty() {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            client.feed(empty).await?;
        }
        for statement in &statements {
            let result = self.execute_cancellable(client, statement).await?;
            self.delay_reply().await;
            match response(statement, result, &Format::UnifiedText)? {
                Response::Query(rows) => send_query_response(client, rows, true).await?,
                Response::Execution(tag)
                | Response::TransactionStart(tag)
                | Response::TransactionEnd(tag) => send_execution_response(client, tag).await?,
                _ => {}
            }
        }
        let status = client.transaction_status();
        send_ready_for_query(client, status).await
    }

    async fn do_query<C>(&self, _client: &mut C, _query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        // `on_query` answers the client itself.
        Ok(Vec::new())
    }
}

#[async_trait]
impl ExtendedQueryHandler for Statements {
    type Statement = Statement;
    type QueryParser = StatementParser;

    fn query_parser(&self) -> Arc<StatementParser> {
        self.parser.clone()
    }

    async fn on_execute<C>(&self, client: &mut C, message: Execute) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let executed = self._on_execute(client, message).await;
        self.delay_reply().await;
        executed
    }

    async fn do_query<C>(
        &self,
        client: &mut C,
        portal: &Portal<Statement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let statement = &portal.statement.statement;
        let parameters = parameters(portal)?;
        let result = self.execute(client, statement, &parameters).await?;
        response(statement, result, &portal.result_column_format)
    }
}

fn parameters(portal: &Portal<Statement>) -> PgWireResult<Vec<Option<String>>> {
    let numbers = 0..portal.parameter_len();
    numbers.map(|number| parameter(portal, number)).collect()
}

fn parameter(portal: &Portal<Statement>, number: usize) -> PgWireResult<Option<String>> {
    let declared = portal.statement.parameter_types.get(number);
    match declared.and_then(Option::as_ref) {
        Some(&Type::INT8) => {
            let value = portal.parameter::<i64>(number, &Type::INT8)?;
            Ok(value.map(|value| value.to_string()))
        }
        Some(&Type::INT4) => {
            let value = portal.parameter::<i32>(number, &Type::INT4)?;
            Ok(value.map(|value| value.to_string()))
        }
        _ => portal.parameter::<String>(number, &Type::TEXT),
    }
}

/// Reads prepared statements.
#[derive(Debug)]
pub struct StatementParser;

#[async_trait]
impl QueryParser for StatementParser {
    type Statement = Statement;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        sql: &str,
        _types: &[Option<Type>],
    ) -> PgWireResult<Option<Statement>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let mut statements = parse(sql)?;
        if statements.len() > 1 {
            let message = "several commands in one prepared statement";
            return Err(SqlError::Syntax(message.to_owned()).into());
        }
        Ok(statements.pop())
    }

    fn get_parameter_types(&self, statement: &Statement) -> PgWireResult<Vec<Type>> {
        Ok(vec![Type::TEXT; statement.parameter_count()])
    }

    fn get_result_schema(
        &self,
        statement: &Statement,
        format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        let format = format.unwrap_or(&Format::UnifiedText);
        Ok(fields(&statement.columns(), format))
    }
}

fn fields(columns: &[ResultColumn], format: &Format) -> Vec<FieldInfo> {
    let fields = columns.iter().enumerate().map(|(index, column)| {
        let data_type = match column.column_type {
            ColumnType::Text => Type::TEXT,
            ColumnType::Integer => Type::INT8,
            ColumnType::Void => Type::VOID,
        };
        let name = column.name.to_owned();
        FieldInfo::new(name, None, None, data_type, format.format_for(index))
    });
    fields.collect()
}

fn response(
    statement: &Statement,
    result: StatementResult,
    format: &Format,
) -> PgWireResult<Response> {
    match result {
        StatementResult::Rows(rows) => {
            let fields = Arc::new(fields(&statement.columns(), format));
            Ok(Response::Query(query_response(fields, &rows)?))
        }
        StatementResult::Changed { command, rows } => {
            Ok(Response::Execution(change_tag(command).with_rows(rows)))
        }
        StatementResult::Began => Ok(Response::TransactionStart(Tag::new("BEGIN"))),
        StatementResult::Committed => Ok(Response::TransactionEnd(Tag::new("COMMIT"))),
        StatementResult::RolledBack => Ok(Response::TransactionEnd(Tag::new("ROLLBACK"))),
    }
}

fn change_tag(command: ChangeCommand) -> Tag {
    match command {
        ChangeCommand::Insert => Tag::new("INSERT").with_oid(0),
        ChangeCommand::Update => Tag::new("UPDATE"),
        ChangeCommand::Delete => Tag::new("DELETE"),
    }
}

fn query_response(fields: Arc<Vec<FieldInfo>>, rows: &[Vec<Cell>]) -> PgWireResult<QueryResponse> {
    let mut encoder = DataRowEncoder::new(fields.clone());
    let mut encoded = Vec::with_capacity(rows.len());
    for row in rows {
        for cell in row {
            match cell {
                Cell::Text(text) => encoder.encode_field(text)?,
                Cell::Integer(integer) => encoder.encode_field(integer)?,
            }
        }
        encoded.push(Ok(encoder.take_row()));
    }
    Ok(QueryResponse::new(fields, stream::iter(encoded)))
}
