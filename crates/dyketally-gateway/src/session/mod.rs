//! Sessions of callers: their connections, values, prepared statements and transactions, and how many of
//! them this node can hold.
//!
//! `caller` receives a message by way of `intake`. `serving` answers it or passes a statement to `operation`, which gets its
//! route and tenant from `admission`, obtains a permit and runs it with `statement`. `load` counts the
//! sessions; `variables` holds a session's values and prepared statements.
//!
//! [`Sessions`] owns the load; each session owns its state between statements. Depends on `statement` to
//! run statements, and on `quota` for permits.

mod admission;
mod caller;
mod intake;
mod load;
mod operation;
mod serving;
mod variables;

use std::rc::Rc;
use std::time::Duration;

use dyketally::capacity::SessionVerdict;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use self::caller::{Caller, ConnectRequest};
use self::load::{OpenSession, SessionLoad};
use self::serving::Session;
use crate::context::{Context, Limit, accept};
use crate::database::connection::prepare_socket;
use crate::ports::SharedCallerProtocol;
use crate::quota::Quotas;
use crate::statement::Statements;

/// Pause before the next caller is accepted after a failure: shorter than for other listeners, since
/// callers are waiting.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Statements that run at the same time although they were sent before the answer to the preceding one. Callers that
/// send many of them share these seats, so that the queues of databases stay short for all others (bounded seats, as in
/// the API priority and fairness of Kubernetes).
const SEATS_OF_SENT_AHEAD: usize = 4;

/// The sessions of this node.
pub struct Sessions {
    cx: Rc<Context>,
    protocol: SharedCallerProtocol,
    statements: Rc<Statements>,
    quotas: Rc<Quotas>,
    load: Rc<SessionLoad>,
    /// Seats for statements that were sent before the answer to the preceding one.
    sent_ahead: Semaphore,
}

impl Sessions {
    /// A node without sessions.
    pub fn new(
        cx: Rc<Context>,
        protocol: SharedCallerProtocol,
        statements: Rc<Statements>,
        quotas: Rc<Quotas>,
    ) -> Rc<Self> {
        let load = SessionLoad::new(cx.clone());
        Rc::new(Self {
            cx,
            protocol,
            statements,
            quotas,
            load,
            sent_ahead: Semaphore::new(SEATS_OF_SENT_AHEAD),
        })
    }

    /// Number of open sessions, including those that are being refused.
    pub fn open_count(&self) -> usize {
        self.load.open()
    }

    /// True while this node should get no new sessions.
    pub fn is_full(&self) -> bool {
        self.load.is_full()
    }

    /// Serves callers until the task is aborted.
    pub async fn serve_callers(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener, ACCEPT_PAUSE).await;
            handle_connection(&self, stream);
        }
    }
}

/// Serves a new connection of a caller; refuses or closes it when this node is full.
fn handle_connection(sessions: &Rc<Sessions>, stream: TcpStream) {
    let verdict = sessions.load.evaluate_next();
    if verdict != SessionVerdict::Serve {
        sessions.cx.counters.sessions_refused.add();
    }
    if verdict == SessionVerdict::Close {
        return;
    }
    let open = OpenSession::begin(&sessions.load);
    let closed = open.closed();
    let sessions = sessions.clone();
    tokio::task::spawn_local(async move {
        let served = async {
            match verdict {
                SessionVerdict::Serve => serve(sessions, stream, open).await,
                SessionVerdict::Refuse | SessionVerdict::Close => {
                    refuse(sessions, stream, open).await;
                }
            }
        };
        tokio::select! {
            // First, since a session that was told to close must not begin anything.
            biased;
            () = closed.notified() => {}
            () = served => {}
        }
    });
}

/// Serves one caller until it disconnects or the process stops.
async fn serve(sessions: Rc<Sessions>, stream: TcpStream, mut open: OpenSession) {
    prepare_socket(&stream);
    sessions.cx.counters.sessions.add();
    let mut caller = Caller::new(sessions.clone(), stream);
    let Some(ConnectRequest { database, key }) = caller.handshake(&mut open).await else {
        return;
    };
    match Session::new(&sessions, caller.address(), database, key) {
        Ok(mut session) => session.run(&mut caller, &mut open).await,
        Err(limit) => {
            let limit = limit.to_string();
            caller.refuse_for(Limit::SessionState, &limit).await;
        }
    }
}

/// Refuses a session because this node is full.
async fn refuse(sessions: Rc<Sessions>, stream: TcpStream, _open: OpenSession) {
    prepare_socket(&stream);
    let mut caller = Caller::new(sessions, stream);
    caller.refuse_handshake().await;
}
