//! Calls to the homes of databases: a home runs batches on connections that it keeps, and binds one
//! to the caller's link for as long as a transaction is open on it.

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dyketally::eligibility::Permission;
use dyketally::identifiers::DatabaseName;
use dyketally::statement::FailureKind;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::database::batch::Batch;
use crate::database::claim::{Claim, Refusal, Work};
use crate::database::connection::{Answer, Broken, is_quiet, leave_idle};
use crate::fleet::Fleet;
use crate::fleet::access::DatabaseAccess;
use crate::fleet::forwarding::{self, Opening};
use crate::measures::Stage;
use crate::ports::DatabaseUser;

/// Longest message between nodes.
const LONGEST_MESSAGE: usize = 4 << 20;
/// Longest time that connecting to a home may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Silence of a home that is called from which on it is looked for.
const SILENCE: Duration = Duration::from_millis(200);
/// How long a link that isn't used is kept. A link that rested may lead to a machine that is gone.
const REST_LIMIT: Duration = Duration::from_secs(3);
/// Links to one home that are kept while they aren't used.
const RESTING_AT_MOST: usize = 4;

/// A batch for a database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call<'a> {
    /// The database.
    pub database: DatabaseName,
    /// Rank under scarcity; 0 goes first.
    pub priority: u32,
    /// How long the call may take to reach the database, in milliseconds.
    pub patience_ms: u32,
    /// How long the call may wait behind others while their queue evens out a burst, in
    /// milliseconds.
    pub burst_ms: u32,
    /// The same while their queue stands.
    pub standing_ms: u32,
    /// What the connection is wanted for.
    pub work: Work,
    /// In whose name the connection must be open; `None` where any will do.
    pub user: Option<DatabaseUser>,
    /// What to run; only the receiver has one of its own.
    pub batch: Cow<'a, Batch>,
}

/// What became of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CallReply {
    /// The answers.
    Answers(Vec<Answer>),
    /// No step was run.
    Refused(Refusal),
    /// No step was run, since the home is about to stop: ask another.
    Leaving,
    /// The connection to the database broke; any step may have run.
    Broken(String),
}

/// Why a call has no answers.
#[derive(Clone, Debug)]
pub enum CallError {
    /// No step was run.
    NotRun(Refusal),
    /// The connection to the database broke; any step may have run.
    DatabaseBroke(Broken),
    /// The home didn't answer; any step may have run.
    HomeLost(Broken),
}

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

struct Link {
    home: SocketAddr,
    frames: Frames,
    rests_since: Instant,
}

impl Link {
    async fn open(home: SocketAddr) -> io::Result<Self> {
        let opening = forwarding::open(home, &Opening::Calls);
        let stream = tokio::time::timeout(CONNECT_LIMIT, opening).await??;
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

    async fn call(&mut self, fleet: &Fleet, call: &Call<'_>) -> Result<CallReply, Broken> {
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
    async fn take(&self, home: SocketAddr) -> io::Result<Link> {
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

    fn give_back(&self, home: SocketAddr, mut link: Link) {
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

/// A connection to a database at one of its homes. Dropping it closes the link, and the home drops
/// the transaction; [`HomeCall::give_back`] keeps the link.
pub struct HomeCall {
    access: Rc<DatabaseAccess>,
    database: DatabaseName,
    homes: Rc<[SocketAddr]>,
    claim: Claim,
    link: Option<(SocketAddr, Link)>,
    /// True while the home keeps a connection for this call.
    bound: bool,
    /// Nodes whose part of a cold database's rate is used up, and what they said.
    used_up: Vec<(SocketAddr, Refusal)>,
}

impl HomeCall {
    /// A call that hasn't begun.
    pub fn new(
        access: Rc<DatabaseAccess>,
        database: DatabaseName,
        homes: Rc<[SocketAddr]>,
        claim: Claim,
    ) -> Self {
        Self {
            access,
            database,
            homes,
            claim,
            link: None,
            bound: false,
            used_up: Vec::new(),
        }
    }

    /// The database that is called.
    pub fn database(&self) -> &DatabaseName {
        &self.database
    }

    /// Keeps the link for other calls. No transaction may be open.
    pub fn give_back(mut self) {
        self.link_is_free();
    }

    /// Runs a batch, for which `permission` was obtained; the home makes sure of its own. While a
    /// transaction is open, all batches run on the same connection.
    ///
    /// # Errors
    /// There are no answers; tells whether anything may have run.
    pub async fn run(
        &mut self,
        batch: &Batch,
        permission: Permission,
    ) -> Result<Vec<Answer>, CallError> {
        debug_assert!(permission.is_for(&self.database));
        loop {
            let (home, mut link) = match self.link.take() {
                Some(link) => link,
                None => self.reach_home().await?,
            };
            let left = self.claim.until.saturating_duration_since(Instant::now());
            let call = Call {
                database: self.database.clone(),
                priority: self.claim.priority,
                patience_ms: milliseconds(left),
                burst_ms: milliseconds(self.claim.patience.burst),
                standing_ms: milliseconds(self.claim.patience.standing),
                work: self.claim.work,
                user: self.claim.user.clone(),
                batch: Cow::Borrowed(batch),
            };
            let began = Instant::now();
            let reply = self
                .call_watched(home, link.call(&self.access.fleet, &call))
                .await;
            self.access
                .fleet
                .cx
                .measures
                .spent(Stage::Link, began.elapsed());
            let reply = reply.map_err(|broken| {
                self.pass_over(home);
                CallError::HomeLost(broken)
            })?;
            self.link = Some((home, link));
            match reply {
                CallReply::Answers(answers) => {
                    self.access.databases.pacer(&self.database).ran();
                    self.bound = !leave_idle(&answers);
                    return Ok(answers);
                }
                CallReply::Leaving if !self.bound => {
                    self.link = None;
                    self.pass_over(home);
                }
                CallReply::Leaving => {
                    return Err(CallError::HomeLost(Broken::new("the home stops")));
                }
                CallReply::Refused(refusal)
                    if refusal.kind == FailureKind::DatabaseCold && !self.bound =>
                {
                    self.link_is_free();
                    self.used_up.push((home, refusal));
                }
                CallReply::Refused(refusal) => return Err(CallError::NotRun(refusal)),
                CallReply::Broken(reason) => {
                    return Err(CallError::DatabaseBroke(Broken::new(reason)));
                }
            }
        }
    }

    /// Waits for the reply of `home`, and has it looked for when it stays silent.
    async fn call_watched<T>(&self, home: SocketAddr, call: impl Future<Output = T>) -> T {
        tokio::pin!(call);
        match tokio::time::timeout(SILENCE, &mut call).await {
            Ok(reply) => reply,
            Err(_) => {
                self.access.look_for_home(home, &self.database);
                call.await
            }
        }
    }

    fn link_is_free(&mut self) {
        if let Some((home, link)) = self.link.take() {
            self.access.fleet.links.give_back(home, link);
        }
    }

    fn pass_over(&self, home: SocketAddr) {
        self.access.fleet.homes.passed_over.add(home);
        self.access.fleet.links.close(home);
    }

    /// A link to the first home that can be reached.
    async fn reach_home(&mut self) -> Result<(SocketAddr, Link), CallError> {
        let homes = self.homes.clone();
        for home in homes.iter() {
            if self.access.fleet.homes.passed_over.contains(home)
                || Instant::now() >= self.claim.until
            {
                continue;
            }
            if self.used_up.iter().any(|(asked, _)| asked == home) {
                continue;
            }
            match self.access.fleet.links.take(*home).await {
                Ok(link) => return Ok((*home, link)),
                Err(_) => self.pass_over(*home),
            }
        }
        let refusal = self.used_up.last().map(|(_, refusal)| *refusal);
        Err(CallError::NotRun(refusal.unwrap_or(Refusal {
            kind: FailureKind::Busy,
            unreachable: false,
        })))
    }
}

fn milliseconds(duration: Duration) -> u32 {
    duration.as_millis().try_into().unwrap_or(u32::MAX)
}
