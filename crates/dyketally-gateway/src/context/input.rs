//! Bytes that a peer has sent and that aren't decoded yet.

use bytes::{BufMut, BytesMut};
use memchr::memmem;
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::ports::{Framing, ProtocolError};

/// Received bytes that don't make up a whole message yet.
#[derive(Debug, Default)]
pub struct InputBuffer {
    bytes: BytesMut,
    /// Number of bytes at the front that are known to hold no whole message, so that a message in many pieces isn't
    /// searched from its start for each of them.
    searched: usize,
}

impl InputBuffer {
    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// True when no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Removes and decodes the message at the front; `None` while it is incomplete.
    ///
    /// # Errors
    /// The bytes aren't a valid message.
    pub fn decode<M>(
        &mut self,
        framing: &(impl Framing + ?Sized),
        decode: impl FnOnce(&mut BytesMut) -> Result<Option<M>, ProtocolError>,
    ) -> Result<Option<M>, ProtocolError> {
        if !self.may_hold_message(framing) {
            self.searched = self.bytes.len();
            return Ok(None);
        }
        let message = decode(&mut self.bytes)?;
        self.searched = match message {
            Some(_) => 0,
            None => self.bytes.len(),
        };
        if self.bytes.is_empty() {
            // Releases the memory, of which the message may hold a part.
            self.bytes = BytesMut::new();
        }
        Ok(message)
    }

    /// False when no message ends in the bytes that weren't searched yet, and no message is too long.
    fn may_hold_message(&self, framing: &(impl Framing + ?Sized)) -> bool {
        let end = framing.message_end();
        // The first bytes of the end may have arrived before.
        let from = self.searched.saturating_sub(end.len() - 1);
        let is_too_long = self.bytes.len() >= framing.longest_message();
        is_too_long || memmem::find(&self.bytes[from..], end).is_some()
    }

    /// Makes room for at least `more` further bytes, and appends at most `at_most` bytes of what `source` has. Returns the
    /// number of bytes read, 0 at the end of the source.
    ///
    /// # Errors
    /// The source can't be read.
    pub async fn read_from(
        &mut self,
        source: &mut (impl AsyncRead + Unpin),
        more: usize,
        at_most: usize,
    ) -> std::io::Result<usize> {
        self.bytes.reserve(more);
        let mut room = (&mut self.bytes).limit(at_most);
        source.read_buf(&mut room).await
    }
}
