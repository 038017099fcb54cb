//! Messages between dyketally nodes over TCP, their framing and version.

pub mod codec;
pub mod message;

pub use codec::{FrameError, LONGEST_FRAME, LinkCodec};
pub use message::*;
