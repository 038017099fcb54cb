//! The home's end of a link: reads calls once there is memory for them, and writes replies.

use dyketally::budget::{Account, STATE_COPIES};
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::context::memory::{MemoryBudget, Reservation};
use crate::decision::intake::MEMORY_WAIT;
use crate::fleet::link::LONGEST_MESSAGE;

/// Longest call that needs no reservation, in bytes.
const FREE_CALL_BYTES: usize = 16 << 10;
/// Bytes of the length in front of each message.
const LENGTH_BYTES: usize = size_of::<u32>();

/// A link on which another node calls this one.
pub(super) struct IncomingLink(TcpStream);

/// A message of another node.
pub(super) enum Incoming {
    /// A call, and the memory that it takes.
    Call(Vec<u8>, Option<Reservation>),
    /// There was no memory for a call, which was dropped.
    OutOfMemory,
}

impl IncomingLink {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(stream)
    }

    /// Waits for the next call; `None` once the link can't be used any more.
    pub(super) async fn next(&mut self, budget: &MemoryBudget) -> Option<Incoming> {
        let length = self.0.read_u32().await.ok()? as usize;
        if length > LONGEST_MESSAGE {
            return None;
        }
        let memory = match length > FREE_CALL_BYTES {
            true => {
                // The call as received, as decoded, and as encoded for the database.
                let reserving = budget.reserve(Account::Calls, STATE_COPIES * length as u64);
                match tokio::time::timeout(MEMORY_WAIT, reserving).await {
                    Ok(memory) => Some(memory),
                    Err(_) => return self.discard(length).await,
                }
            }
            false => None,
        };
        let mut call = vec![0; length];
        self.0.read_exact(&mut call).await.ok()?;
        Some(Incoming::Call(call, memory))
    }

    async fn discard(&mut self, length: usize) -> Option<Incoming> {
        let mut call = (&mut self.0).take(length as u64);
        let discarded = tokio::io::copy(&mut call, &mut tokio::io::sink()).await;
        let is_whole = discarded.ok()? == length as u64;
        is_whole.then_some(Incoming::OutOfMemory)
    }

    /// Waits until the caller sends something or closes the link. It sends nothing before it has the reply, so the link
    /// can't be used afterwards.
    pub(super) async fn closed(&mut self) {
        let _ = self.0.read_u8().await;
    }

    /// Sends a reply and returns its length in bytes; `None` if that fails.
    pub(super) async fn reply(&mut self, reply: &impl Serialize) -> Option<usize> {
        let mut message = postcard::to_extend(reply, vec![0; LENGTH_BYTES]).ok()?;
        let length = message.len() - LENGTH_BYTES;
        if length > LONGEST_MESSAGE {
            return None;
        }
        message[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
        self.0.write_all(&message).await.ok()?;
        Some(length)
    }
}
