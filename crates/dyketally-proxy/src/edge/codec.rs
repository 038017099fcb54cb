//! Reads the messages of a caller through `pgwire`, with a bound on their length.

use std::panic::{AssertUnwindSafe, catch_unwind};

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::{DecodeContext, PgWireFrontendMessage, ProtocolVersion};
use tokio_util::codec::Decoder;

/// Length of the tag and the length field before a message's body, in bytes.
const HEADER_BYTES: usize = 5;
/// The length field counts itself but not the tag.
const TAG_BYTES: usize = 1;

/// How far the conversation with a caller has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// An encryption request or a startup message may come.
    Negotiation,
    /// A startup message or a cancel request must come.
    Startup,
    /// Statements come.
    Serving,
}

/// Why a caller's messages can't be read any further.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// A message exceeds the bound.
    #[error(
        "a message of {length} bytes exceeds the bound of {bound}; send less in one statement or raise `limits.longest_message_bytes`"
    )]
    TooLong {
        /// Length the caller announced, in bytes.
        length: usize,
        /// The bound in force, in bytes.
        bound: usize,
    },
    /// The bytes aren't a message of the PostgreSQL protocol.
    #[error(
        "the message is not of the PostgreSQL protocol, version 3; connect with a PostgreSQL driver"
    )]
    Malformed,
    /// The connection failed.
    #[error("the caller's connection failed: {0}")]
    Io(#[from] std::io::Error),
}

/// Decoder of one caller's messages.
#[derive(Debug)]
pub struct CallerCodec {
    context: DecodeContext,
    phase: Phase,
    longest_message: usize,
}

impl CallerCodec {
    /// A decoder that refuses messages longer than `longest_message` bytes.
    pub fn new(longest_message: usize) -> Self {
        Self {
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            phase: Phase::Negotiation,
            longest_message,
        }
    }

    /// Moves the conversation on.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.context.awaiting_frontend_ssl = phase == Phase::Negotiation;
        self.context.awaiting_frontend_startup = phase != Phase::Serving;
    }

    fn check_length(&self, length: usize) -> Result<(), CallerError> {
        if length > self.longest_message {
            return Err(CallerError::TooLong {
                length,
                bound: self.longest_message,
            });
        }
        Ok(())
    }

    /// Cuts one whole message out of `buffer`, so that a malformed one can't reach into the next.
    fn split_message(&self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, CallerError> {
        let Some(header) = buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let [_tag, length @ ..] = *header;
        let length = u32::from_be_bytes(length) as usize;
        self.check_length(length)?;
        if length < HEADER_BYTES - TAG_BYTES {
            return Err(CallerError::Malformed);
        }
        let whole = TAG_BYTES + length;
        if buffer.len() < whole {
            buffer.reserve(whole - buffer.len());
            return Ok(None);
        }
        Ok(Some(buffer.split_to(whole)))
    }

    fn decode_guarded(
        &self,
        buffer: &mut BytesMut,
    ) -> Result<Option<PgWireFrontendMessage>, CallerError> {
        // The library's decoders panic on bodies that end too early.
        let decoded = catch_unwind(AssertUnwindSafe(|| {
            PgWireFrontendMessage::decode(buffer, &self.context)
        }));
        match decoded {
            Ok(Ok(message)) => Ok(message),
            Ok(Err(PgWireError::IoError(error))) => Err(CallerError::Io(error)),
            // The caller is told that its message is malformed, and where is of no use to it.
            Ok(Err(_)) | Err(_) => Err(CallerError::Malformed),
        }
    }
}

impl Decoder for CallerCodec {
    type Item = PgWireFrontendMessage;
    type Error = CallerError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Self::Item>, CallerError> {
        if self.phase != Phase::Serving {
            if let Some(length) = buffer.first_chunk::<4>() {
                self.check_length(u32::from_be_bytes(*length) as usize)?;
            }
            return self.decode_guarded(buffer);
        }
        let Some(mut message) = self.split_message(buffer)? else {
            return Ok(None);
        };
        let decoded = self.decode_guarded(&mut message)?;
        decoded.map(Some).ok_or(CallerError::Malformed)
    }
}
