//! Waiting for conditions by asking again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Something did not become ready.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what} was not ready after {waited:?}; see the logs of the processes")]
pub struct NotReady {
    /// What was waited for.
    pub what: String,
    /// How long.
    pub waited: Duration,
}

/// Checks again and again until the check gives a value.
///
/// # Errors
/// When it has not within `limit`.
pub async fn poll_until<T, F>(
    what: &str,
    limit: Duration,
    mut check: impl FnMut() -> F,
) -> Result<T, NotReady>
where
    F: Future<Output = Option<T>>,
{
    let started = Instant::now();
    loop {
        if let Some(value) = check().await {
            return Ok(value);
        }
        let waited = started.elapsed();
        if waited > limit {
            let what = what.to_owned();
            return Err(NotReady { what, waited });
        }
        sleep(CHECK_PAUSE).await;
    }
}

/// Waits until someone accepts connections at `address`.
///
/// # Errors
/// When nobody does within `limit`.
pub async fn accepts_connections(
    what: &str,
    address: SocketAddr,
    limit: Duration,
) -> Result<(), NotReady> {
    let connect = || async move { TcpStream::connect(address).await.ok().map(|_| ()) };
    poll_until(what, limit, connect).await
}
