//! Accepts clients and serves each connection until it ends or the database leaves.

use std::io;
use std::sync::Arc;

use futures::{SinkExt, StreamExt};
use pgwire::api::cancel::DefaultCancelHandler;
use pgwire::api::{ClientInfo, NoopHandler, PgWireConnectionState};
use pgwire::error::ErrorInfo;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use pgwire::tokio::server::{
    MaybeTls, PgWireMessageServerCodec, negotiate_tls, process_error, process_message,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use super::error::SqlError;
use super::server::{AdmittedConnection, Database};
use super::statement::Statement;
use super::wire::{Startup, Statements};

type Socket = Framed<MaybeTls, PgWireMessageServerCodec<Statement>>;

/// Accepts clients until `stopped`.
pub async fn accept_clients(
    database: Arc<Database>,
    listener: TcpListener,
    stopped: CancellationToken,
) {
    while let Some(accepted) = stopped.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let connection = serve(database.clone(), stream);
        let stopped = stopped.clone();
        tokio::spawn(async move {
            // A client that breaks the connection needs no notice.
            let _ = stopped.run_until_cancelled(connection).await;
        });
    }
}

async fn serve(database: Arc<Database>, stream: TcpStream) -> io::Result<()> {
    let Some(socket) = negotiate_tls::<Statement>(stream, None).await? else {
        return Ok(());
    };
    let connection = Connection {
        startup: Arc::new(Startup::new(database.clone())),
        statements: Arc::new(Statements::new(database.clone())),
        cancellation: Arc::new(DefaultCancelHandler::new(database.cancellations.clone())),
        admitted: None,
        ready: false,
        leaving: database.watch_leaving(),
        database,
        socket,
    };
    connection.run().await
}

struct Connection {
    database: Arc<Database>,
    socket: Socket,
    startup: Arc<Startup>,
    statements: Arc<Statements>,
    cancellation: Arc<DefaultCancelHandler>,
    leaving: watch::Receiver<bool>,
    admitted: Option<AdmittedConnection>,
    /// The last message that was handled ended with `ReadyForQuery`.
    ready: bool,
}

impl Connection {
    async fn run(mut self) -> io::Result<()> {
        loop {
            let message = match self.next_message().await {
                Some(Ok(PgWireFrontendMessage::Terminate(_))) | Some(Err(_)) | None => {
                    return Ok(());
                }
                Some(Ok(message)) => message,
            };
            if matches!(message, PgWireFrontendMessage::Startup(_))
                && let Err(refusal) = self.admit().await
            {
                return self.end(refusal).await;
            }
            if self.handle(message).await? == Next::End {
                return Ok(());
            }
        }
    }

    /// The next message of the client; waits no longer once an idle connection must be closed.
    async fn next_message(
        &mut self,
    ) -> Option<Result<PgWireFrontendMessage, pgwire::error::PgWireError>> {
        loop {
            if self.must_close() {
                // A client that has gone needs no notice.
                let _ = self.end(SqlError::ClosedByAdministrator).await;
                return None;
            }
            let idle = self.is_idle();
            tokio::select! {
                biased;
                message = self.socket.next() => return message,
                _ = self.leaving.wait_for(|leaving| *leaving), if idle => {}
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.ready
            && self.socket.transaction_status() == TransactionStatus::Idle
            && self.socket.read_buffer().is_empty()
    }

    fn must_close(&self) -> bool {
        self.is_idle() && self.database.is_leaving()
    }

    async fn admit(&mut self) -> Result<(), SqlError> {
        self.admitted = Some(self.database.admit()?);
        tokio::time::sleep(self.database.settings.connect_cost()).await;
        Ok(())
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> io::Result<Next> {
        let extended = message.is_extended_query();
        let is_sync = matches!(message, PgWireFrontendMessage::Sync(_));
        let is_cancel = matches!(message, PgWireFrontendMessage::CancelRequest(_));
        let outcome = process_message(
            message,
            &mut self.socket,
            self.startup.clone(),
            self.statements.clone(),
            self.statements.clone(),
            Arc::new(NoopHandler),
            self.cancellation.clone(),
        )
        .await;
        self.ready = is_sync || !extended;
        if let Err(error) = outcome {
            let fatal = error.is_fatal();
            process_error(&mut self.socket, error, extended).await?;
            if fatal {
                return Ok(Next::End);
            }
        }
        let ended = is_cancel || !self.is_started();
        Ok(if ended { Next::End } else { Next::Continue })
    }

    fn is_started(&self) -> bool {
        !matches!(
            self.socket.state(),
            PgWireConnectionState::AwaitingStartup | PgWireConnectionState::AwaitingSslRequest
        )
    }

    async fn end(&mut self, reason: SqlError) -> io::Result<()> {
        self.socket.send(error_message(reason)).await?;
        self.socket.close().await
    }
}

#[derive(PartialEq, Eq)]
enum Next {
    Continue,
    End,
}

fn error_message(error: SqlError) -> PgWireBackendMessage {
    PgWireBackendMessage::ErrorResponse(ErrorInfo::from(error).into())
}
