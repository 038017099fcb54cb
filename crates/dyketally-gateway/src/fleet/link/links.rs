//! Links to homes: connections between nodes, divided into messages, and kept for a while when they aren't
//! used.

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
use crate::database::connection::{Broken, is_quiet};
use crate::fleet::Fleet;
use crate::fleet::opening::{self, Opening};

/// Longest message between nodes, in bytes: four times the longest value of a store.
const LONGEST_MESSAGE: usize = 4 << 20;
/// Longest time that connecting to a home may take: regions lie 20 ms apart, and a SYN that got lost
/// isn't waited for. Not measured.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// How long a link that isn't used is kept. A link that rested may lead to a machine that is gone. Not
/// measured.
const REST_LIMIT: Duration = Duration::from_secs(3);
/// Links to one home that are kept while they aren't used. Not measured.
const RESTING_AT_MOST: usize = 4;

/// Messages between two nodes.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Divides a connection between nodes into messages.
pub fn frames(stream: TcpStream) -> Frames {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(LONGEST_MESSAGE);
    Framed::new(stream, codec)
}

/// Links that rest, by home.
#[derive(Default)]
pub struct Links {
    resting: RefCell<HashMap<SocketAddr, Vec<Link>>>,
}

pub(super) struct Link {
    home: SocketAddr,
    frames: Frames,
    rests_since: Instant,
}

impl Link {
    async fn open(home: SocketAddr) -> io::Result<Self> {
        let connecting = opening::open(home, &Opening::Calls);
        let stream = tokio::time::timeout(CONNECT_LIMIT, connecting).await??;
        Ok(Self {
            home,
            frames: frames(stream),
            rests_since: Instant::now(),
        })
    }

    /// True when the home closed the link while it rested.
    fn is_stale(&self) -> bool {
        !is_quiet(self.frames.get_ref())
    }

    pub(super) async fn call(
        &mut self,
        fleet: &Fleet,
        call: &Call<'_>,
    ) -> Result<CallReply, Broken> {
        let message = postcard::to_stdvec(call).map_err(Broken::new)?;
        fleet.count_sent("call", self.home, message.len());
        self.frames
            .send(Bytes::from(message))
            .await
            .map_err(Broken::new)?;
        match self.frames.next().await {
            Some(Ok(reply)) => postcard::from_bytes(&reply).map_err(Broken::new),
            Some(Err(error)) => Err(Broken::new(error)),
            None => Err(Broken::new("closed by the home")),
        }
    }
}

impl Links {
    /// A link to `home`, one that rests or a new one.
    pub(super) async fn take(&self, home: SocketAddr) -> io::Result<Link> {
        while let Some(link) = self.take_resting(home) {
            if link.rests_since.elapsed() < REST_LIMIT && !link.is_stale() {
                return Ok(link);
            }
        }
        Link::open(home).await
    }

    fn take_resting(&self, home: SocketAddr) -> Option<Link> {
        self.resting.borrow_mut().get_mut(&home)?.pop()
    }

    pub(super) fn give_back(&self, home: SocketAddr, mut link: Link) {
        link.rests_since = Instant::now();
        let mut resting = self.resting.borrow_mut();
        let links = resting.entry(home).or_default();
        if links.len() < RESTING_AT_MOST {
            links.push(link);
        }
    }

    /// Closes the links that have rested for long.
    pub fn tidy(&self) {
        let mut resting = self.resting.borrow_mut();
        resting.retain(|_, links| {
            links.retain(|link| link.rests_since.elapsed() < REST_LIMIT);
            !links.is_empty()
        });
    }

    /// Closes the resting links to `home`.
    pub fn close(&self, home: SocketAddr) {
        self.resting.borrow_mut().remove(&home);
    }
}
