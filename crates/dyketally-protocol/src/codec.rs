//! Framing: a length of four bytes, big endian, then one postcard-encoded message.

use std::marker::PhantomData;

use bytes::{Buf, BufMut, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use tokio_util::codec::{Decoder, Encoder};

/// Longest payload of a frame, in bytes. Larger replies are sent in several frames.
pub const LONGEST_FRAME: usize = 4 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// Why a link can't go on.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The peer announced a frame longer than [`LONGEST_FRAME`].
    #[error(
        "a frame of {length} bytes exceeds the bound of {LONGEST_FRAME}; check that the peer is a \
         dyketallyd of a compatible version, or split the statement"
    )]
    TooLong {
        /// The announced length in bytes.
        length: usize,
    },
    /// The payload isn't a message of this protocol version.
    #[error("a frame could not be decoded ({0}); check that the peer runs a compatible version")]
    Malformed(#[from] postcard::Error),
    /// The connection failed.
    #[error("the link failed ({0}); the peer may be restarting")]
    Io(#[from] std::io::Error),
}

/// Encodes messages of type `Outgoing` and decodes messages of type `Incoming`.
#[derive(Debug)]
pub struct LinkCodec<Outgoing, Incoming> {
    messages: PhantomData<fn(Outgoing) -> Incoming>,
}

impl<Outgoing, Incoming> Default for LinkCodec<Outgoing, Incoming> {
    fn default() -> Self {
        Self {
            messages: PhantomData,
        }
    }
}

impl<Outgoing: Serialize, Incoming> Encoder<Outgoing> for LinkCodec<Outgoing, Incoming> {
    type Error = FrameError;

    fn encode(&mut self, message: Outgoing, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let payload = postcard::to_stdvec(&message)?;
        if payload.len() > LONGEST_FRAME {
            return Err(FrameError::TooLong {
                length: payload.len(),
            });
        }
        buffer.reserve(LENGTH_BYTES + payload.len());
        buffer.put_u32(payload.len() as u32);
        buffer.put_slice(&payload);
        Ok(())
    }
}

impl<Outgoing, Incoming: DeserializeOwned> Decoder for LinkCodec<Outgoing, Incoming> {
    type Item = Incoming;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Incoming>, FrameError> {
        let Some(header) = buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*header) as usize;
        if length > LONGEST_FRAME {
            return Err(FrameError::TooLong { length });
        }
        if buffer.len() < LENGTH_BYTES + length {
            buffer.reserve(LENGTH_BYTES + length - buffer.len());
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let payload = buffer.split_to(length);
        Ok(Some(postcard::from_bytes(&payload)?))
    }
}
