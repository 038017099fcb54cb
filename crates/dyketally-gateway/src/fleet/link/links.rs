//! Links to homes: TCP connections between nodes that carry length-prefixed messages, with a pool of idle
//! links.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{Call, CallReply};
use crate::database::connection::{Disconnected, is_open_without_input};
use crate::fleet::Fleet;
use crate::fleet::opening::{self, Opening};

/// Longest message between nodes, in bytes: four times the longest value of a store.
pub const LONGEST_MESSAGE: usize = 4 << 20;
/// Longest time that connecting to a home may take: regions are 20 ms apart, and the retransmission of a
/// lost SYN isn't waited for.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// How long an idle link is kept. The machine at the other end of an idle link may be gone.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// Largest buffer of an idle link, in bytes. A link over which a long message went is closed, which frees its buffers.
const LARGEST_KEPT_BUFFER: usize = 64 << 10;
/// Maximum number of idle links that are kept for each home.
const MAX_IDLE_LINKS: usize = 4;

/// A connection between two nodes that is divided into messages.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Divides a connection between nodes into messages, each with its length in front.
pub fn frames(stream: TcpStream) -> Frames {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(LONGEST_MESSAGE);
    Framed::new(stream, codec)
}

/// The idle links, by home.
#[derive(Default)]
pub struct Links {
    idle: RefCell<HashMap<SocketAddr, Vec<Link>>>,
}

pub(super) struct Link {
    home: SocketAddr,
    frames: Frames,
    idle_since: Instant,
}

impl Link {
    async fn open(home: SocketAddr) -> io::Result<Self> {
        let connecting = opening::open(home, &Opening::Calls);
        let stream = tokio::time::timeout(CONNECT_LIMIT, connecting).await??;
        Ok(Self {
            home,
            frames: frames(stream),
            idle_since: Instant::now(),
        })
    }

    /// True when the home closed the idle link or sent something unrequested on it.
    fn is_stale(&self) -> bool {
        !is_open_without_input(self.frames.get_ref())
    }

    fn largest_buffer(&self) -> usize {
        let received = self.frames.read_buffer().capacity();
        received.max(self.frames.write_buffer().capacity())
    }

    pub(super) async fn call(
        &mut self,
        fleet: &Fleet,
        call: &Call<'_>,
    ) -> Result<CallReply, Disconnected> {
        let message = postcard::to_stdvec(call).map_err(Disconnected::new)?;
        fleet.count_sent("call", self.home, message.len());
        self.frames
            .send(Bytes::from(message))
            .await
            .map_err(Disconnected::new)?;
        match self.frames.next().await {
            Some(Ok(reply)) => postcard::from_bytes(&reply).map_err(Disconnected::new),
            Some(Err(error)) => Err(Disconnected::new(error)),
            None => Err(Disconnected::new(
                "the home closed the link without a reply",
            )),
        }
    }
}

impl Links {
    /// A link to `home`: an idle one that is usable, else a new one.
    pub(super) async fn take(&self, home: SocketAddr) -> io::Result<Link> {
        while let Some(link) = self.take_idle(home) {
            if link.idle_since.elapsed() < IDLE_LIMIT && !link.is_stale() {
                return Ok(link);
            }
        }
        Link::open(home).await
    }

    fn take_idle(&self, home: SocketAddr) -> Option<Link> {
        self.idle.borrow_mut().get_mut(&home)?.pop()
    }

    pub(super) fn give_back(&self, home: SocketAddr, mut link: Link) {
        if link.largest_buffer() > LARGEST_KEPT_BUFFER {
            return;
        }
        link.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(home).or_default();
        if links.len() < MAX_IDLE_LINKS {
            links.push(link);
        }
    }

    /// Closes the links that have been idle for longer than `IDLE_LIMIT`.
    pub fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, links| {
            links.retain(|link| link.idle_since.elapsed() < IDLE_LIMIT);
            !links.is_empty()
        });
    }

    /// Closes the idle links to `home`.
    pub fn close(&self, home: SocketAddr) {
        self.idle.borrow_mut().remove(&home);
    }
}
