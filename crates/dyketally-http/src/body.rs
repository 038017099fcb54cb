//! Reading the body of an answer for as long as it makes progress.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use reqwest::Response;
use tokio::time::Instant;

use crate::describe;

/// Silence within a body after which it is given up. A packet that was lost is sent again after
/// 0.2 s to 1 s.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// A body that has been slower than this since it began is given up, in bytes per second: a twenty-fifth
/// of the thinnest link that nodes have (10 Mbit/s), since callers use the link as well.
pub const SLOWEST_RATE: u32 = 50_000;
/// How long a body may take before its rate counts: more than a silence, which is told apart.
const RATE_COUNTS_AFTER: Duration = Duration::from_secs(3);
/// Longest body that is read where the caller has no limit of its own, in bytes: some versions of the longest value (1 MiB, a third more in the
/// store's encoding), since a watch that is behind is sent each of them.
pub const LONGEST_BODY: usize = 16 << 20;

/// Why a body wasn't read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed.
    #[error("{reason}; {progress}")]
    Failed {
        /// What the HTTP library reported.
        reason: String,
        /// How much had arrived.
        progress: Progress,
    },
    /// Nothing arrived for [`SILENCE_LIMIT`].
    #[error("the answer fell silent; {0}")]
    Silent(Progress),
    /// It came slower than [`SLOWEST_RATE`].
    #[error("the answer is too slow; {0}")]
    Slow(Progress),
    /// It is longer than the caller wants it.
    #[error("the answer is longer than {longest} bytes; {progress}")]
    Long {
        /// The limit.
        longest: usize,
        /// How much had arrived.
        progress: Progress,
    },
}

/// How much of a body has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Bytes so far.
    pub arrived: usize,
    /// Bytes in all, if the answer tells.
    pub length: Option<u64>,
}

impl Progress {
    fn length_at_least(self) -> usize {
        let length = self
            .length
            .map_or(0, |it| usize::try_from(it).unwrap_or(usize::MAX));
        length.max(self.arrived)
    }
}

impl std::fmt::Display for Progress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.length {
            Some(length) => write!(f, "{} of {length} bytes had arrived", self.arrived),
            None => write!(f, "{} bytes had arrived", self.arrived),
        }
    }
}

/// Reads the body of an answer if it has at most `longest` bytes. There is no limit to its time as a
/// whole: a large answer over a thin link would then never be read, and each attempt would fill the link
/// and end with nothing.
///
/// # Errors
/// The connection failed, or the body is silent, too slow or too long.
pub async fn read_body(mut response: Response, longest: usize) -> Result<Bytes, BodyError> {
    let began = Instant::now();
    let length = response.content_length();
    let mut body = BytesMut::new();
    loop {
        let progress = Progress {
            arrived: body.len(),
            length,
        };
        if progress.length_at_least() > longest {
            return Err(BodyError::Long { longest, progress });
        }
        let silent = Instant::now() + SILENCE_LIMIT;
        let slow = began + RATE_COUNTS_AFTER + time_at_slowest_rate(body.len());
        match tokio::time::timeout_at(silent.min(slow), response.chunk()).await {
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Ok(None)) => return Ok(body.freeze()),
            Ok(Err(error)) => {
                let reason = describe(&error);
                return Err(BodyError::Failed { reason, progress });
            }
            Err(_) if slow < silent => return Err(BodyError::Slow(progress)),
            Err(_) => return Err(BodyError::Silent(progress)),
        }
    }
}

fn time_at_slowest_rate(bytes: usize) -> Duration {
    Duration::from_secs(bytes as u64) / SLOWEST_RATE
}
