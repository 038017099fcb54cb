//! Accepts callers.

use std::sync::atomic::Ordering;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Edge;
use super::answer::{CallerFault, sqlstate};
use super::cancel::CancelEntry;
use super::codec::{CallerCodec, CallerError};
use super::counters::count;
use super::session::CallerSession;
use super::startup::{Opening, identify, read_opening};
use super::writer::CallerWriter;
use crate::accept::accept;

/// Time a caller has from connecting to its startup message.
const STARTUP_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
/// Capacity of a caller's read buffer at the start, in bytes. Most callers are idle.
const READ_BUFFER: usize = 1_024;

/// Accepts callers until `stop` is cancelled; their sessions run on in `sessions`.
pub async fn serve_callers(
    listener: TcpListener,
    edge: Edge,
    sessions: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        let (stream, _) = tokio::select! {
            accepted = accept(&listener) => accepted,
            () = stop.cancelled() => return,
        };
        sessions.spawn(serve_caller(stream, edge.clone()));
    }
}

async fn serve_caller(stream: TcpStream, edge: Edge) {
    let counters = edge.counters.clone();
    count(&counters.callers_accepted);
    counters.callers.fetch_add(1, Ordering::Relaxed);
    let result = converse(stream, edge).await;
    counters.callers.fetch_sub(1, Ordering::Relaxed);
    if let Err(CallerError::Malformed | CallerError::TooLong { .. }) = result {
        count(&counters.protocol_violations);
    }
}

async fn converse(stream: TcpStream, edge: Edge) -> Result<(), CallerError> {
    stream.set_nodelay(true)?;
    let (read_half, write_half) = stream.into_split();
    let codec = CallerCodec::new(edge.limits.longest_message);
    let mut reader = FramedRead::with_capacity(read_half, codec, READ_BUFFER);
    let mut writer = CallerWriter::new(write_half);
    let opening = read_opening(&mut reader, &mut writer);
    let opening = tokio::time::timeout(STARTUP_TIMEOUT, opening).await;
    let startup = match opening.unwrap_or(Ok(Opening::Closed)) {
        Ok(Opening::Start(startup)) => startup,
        Ok(Opening::Cancel(key)) => {
            count(&edge.counters.cancel_requests);
            edge.cancels.cancel(key);
            return Ok(());
        }
        Ok(Opening::Closed) => return Ok(()),
        Err(error) => return end(&mut writer, error).await,
    };
    let identity = admit(&edge).and_then(|()| {
        let policies = edge.policies.borrow().clone();
        identify(&startup, &policies)
    });
    let identity = match identity {
        Ok(identity) => identity,
        Err(fault) => {
            count(&edge.counters.callers_refused);
            writer.answer.fatal(fault);
            return Ok(writer.flush().await?);
        }
    };
    let entry: CancelEntry = edge.cancels.enter();
    let mut session = CallerSession::new(edge, identity, entry, reader, writer);
    let result = session.run().await;
    match result {
        Ok(()) => Ok(()),
        Err(error) => end(&mut session.into_writer(), error).await,
    }
}

fn admit(edge: &Edge) -> Result<(), CallerFault> {
    if edge.leaving.turning_away.is_cancelled() {
        return Err(leaving());
    }
    if edge.counters.callers.load(Ordering::Relaxed) as usize > edge.limits.callers_at_most {
        return Err(CallerFault::new(
            sqlstate::TOO_MANY_CONNECTIONS,
            "this proxy serves as many callers as it may; connect to another one",
        ));
    }
    Ok(())
}

/// What a caller is told when the proxy leaves.
pub fn leaving() -> CallerFault {
    CallerFault::not_run(dyketally::outcome::NotRunReason::Leaving, None)
}

async fn end<Writer>(
    writer: &mut CallerWriter<Writer>,
    error: CallerError,
) -> Result<(), CallerError>
where
    Writer: tokio::io::AsyncWrite + Unpin,
{
    if !matches!(error, CallerError::Io(_)) {
        let fault = CallerFault::new(sqlstate::PROTOCOL_VIOLATION, error.to_string());
        writer.answer.fatal(fault);
        writer.flush().await?;
    }
    Err(error)
}
