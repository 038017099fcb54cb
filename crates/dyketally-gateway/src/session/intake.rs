//! Reads a caller's messages, and reserves the memory that they need before it reads them.

use dyketally::budget::{Account, FREE_BYTES, MESSAGE_COPIES, SHORT_MESSAGE_BYTES};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::context::input::InputBuffer;
use crate::context::memory::{MemoryBudget, Reservation};
use crate::decision::intake::{self, Arrival, MEMORY_WAIT, SmallReads};
use crate::ports::{CallerMessage, SharedCallerProtocol};

/// Bytes reserved in the buffer for each read of a short message.
const READ_CHUNK: usize = 1_024;
/// Bytes reserved in the buffer for each read of a long message.
const LONG_READ_CHUNK: usize = 32 << 10;

/// Whether a caller may wait for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Patience {
    /// The caller has no session yet, and is refused at once.
    None,
    /// The caller has a session, and may wait for a while.
    Session,
}

/// The messages of one caller.
pub(super) struct Intake {
    protocol: SharedCallerProtocol,
    input: InputBuffer,
    /// Memory for the message that is being read, and when it was reserved.
    memory: Option<(Reservation, Instant)>,
    /// When the first bytes of the message arrived that is being read.
    began: Option<Instant>,
    small_reads: SmallReads,
}

/// What became of a message.
pub(super) enum Received {
    /// The message, and the memory that it takes beyond the free bytes.
    Message(CallerMessage, Option<Reservation>),
    /// The caller has closed the connection, or it broke.
    Closed,
    /// The bytes aren't a valid message.
    Malformed(String),
    /// There is no memory for the message.
    OutOfMemory,
    /// The message didn't arrive in time.
    TooSlow,
}

impl Intake {
    /// Nothing was read yet.
    pub(super) fn new(protocol: SharedCallerProtocol) -> Self {
        Self {
            protocol,
            input: InputBuffer::default(),
            memory: None,
            began: None,
            small_reads: SmallReads::default(),
        }
    }

    /// True when bytes of a further message were received.
    pub(super) fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Waits for the next message. Dropping the future loses nothing.
    pub(super) async fn next(
        &mut self,
        stream: &mut TcpStream,
        budget: &MemoryBudget,
        patience: Patience,
    ) -> Received {
        loop {
            match self.decode() {
                Ok(Some(received)) => return received,
                Ok(None) => {}
                Err(reason) => return Received::Malformed(reason),
            }
            if !self.reserve(budget, patience).await {
                return Received::OutOfMemory;
            }
            match self.read(stream).await {
                Some(Ok(0) | Err(_)) => return Received::Closed,
                Some(Ok(_)) => {}
                None if self.is_late() => return Received::TooSlow,
                None => {}
            }
        }
    }

    fn decode(&mut self) -> Result<Option<Received>, String> {
        let protocol = &self.protocol;
        let before = self.input.len();
        let decoded = self
            .input
            .decode(&**protocol, |bytes| protocol.decode(bytes));
        let Some(message) = decoded.map_err(|error| error.to_string())? else {
            return Ok(None);
        };
        let length = before - self.input.len();
        let mut memory = self.memory.take().map(|(memory, _)| memory);
        if let Some(memory) = &mut memory {
            memory.shrink_to(MESSAGE_COPIES * length as u64);
        }
        self.began = (!self.input.is_empty()).then(Instant::now);
        self.small_reads = SmallReads::default();
        Ok(Some(Received::Message(message, memory)))
    }

    /// The account that the message needs to be read further, and the bytes that it may then have.
    fn account(&self) -> (Option<Account>, usize) {
        let account = Account::of_message(self.input.len() + 1);
        let bytes = match account {
            None => FREE_BYTES,
            Some(Account::ShortMessages) => SHORT_MESSAGE_BYTES,
            Some(_) => self.protocol.longest_message(),
        };
        (account, bytes)
    }

    /// Reserves memory for reading on, unless it is reserved already; false if there is none in time.
    async fn reserve(&mut self, budget: &MemoryBudget, patience: Patience) -> bool {
        let (Some(account), bytes) = self.account() else {
            return true;
        };
        let held = self.memory.as_ref().map(|(memory, _)| memory.account());
        if held == Some(account) {
            return true;
        }
        let copies = MESSAGE_COPIES * bytes as u64;
        let memory = match patience {
            Patience::None => budget.try_reserve(account, copies),
            Patience::Session => {
                let reserving = budget.reserve(account, copies);
                tokio::time::timeout(MEMORY_WAIT, reserving).await.ok()
            }
        };
        let Some(memory) = memory else {
            return false;
        };
        self.memory = Some((memory, Instant::now()));
        true
    }

    /// Reads further bytes; `None` when it is time to check whether the message is late.
    async fn read(&mut self, stream: &mut TcpStream) -> Option<std::io::Result<usize>> {
        if let Some(pause) = self.small_reads.pause() {
            tokio::time::sleep(pause).await;
        }
        let check = intake::next_check(&self.arrival(), Instant::now());
        let (account, bytes) = self.account();
        let chunk = match account {
            Some(Account::LongMessages) => LONG_READ_CHUNK,
            _ => READ_CHUNK,
        };
        let room = bytes - self.input.len();
        let reading = self.input.read_from(stream, chunk.min(room), room);
        let read = match check {
            Some(check) => tokio::time::timeout_at(check, reading).await.ok()?,
            None => reading.await,
        };
        if let Ok(bytes) = read {
            self.small_reads.record(bytes);
            self.began = self.began.or_else(|| Some(Instant::now()));
        }
        Some(read)
    }

    fn is_late(&self) -> bool {
        intake::is_late(&self.arrival(), Instant::now())
    }

    fn arrival(&self) -> Arrival {
        let memory = self.memory.as_ref();
        Arrival {
            began: self.began,
            reserved: memory.map(|(_, at)| *at),
            is_contended: memory.is_some_and(|(memory, _)| memory.is_contended()),
        }
    }
}
