//! Accounts for the memory that callers make this node hold.
//!
//! Whatever holds callers' bytes beyond the free ones of a session owns a [`Reservation`], which returns the bytes when
//! it is dropped. [`dyketally::budget`] divides the memory into accounts.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use dyketally::budget::Account;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::answers::UnreadAnswers;

/// Bytes of an account on a node whose memory isn't limited.
const UNLIMITED: u64 = 1 << 40;

/// The memory for callers' bytes.
pub struct MemoryBudget {
    balances: [Rc<Balance>; Account::ALL.len()],
    /// Answers that their callers haven't read yet, which take [`Account::Answers`].
    pub answers: Rc<UnreadAnswers>,
}

/// The free bytes of an account. Those who wait for bytes get them in the order in which they came.
struct Balance {
    size: u64,
    free: Arc<Semaphore>,
    waiting: Cell<usize>,
}

/// Bytes of an account that are in use until this is dropped.
#[must_use = "the bytes are free again when the reservation is dropped"]
pub struct Reservation {
    account: Account,
    balance: Rc<Balance>,
    permit: OwnedSemaphorePermit,
}

/// Counts as waiting until it is dropped.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn begin(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl MemoryBudget {
    /// A budget of which nothing is in use, on a node with `memory_mb` mebibytes; `None` if its memory isn't limited.
    pub fn new(memory_mb: Option<u32>) -> Self {
        let size = |account: Account| match memory_mb {
            Some(memory_mb) => account.share_of(u64::from(memory_mb) << 20),
            None => UNLIMITED,
        };
        let balances = Account::ALL.map(|account| {
            let size = size(account);
            Rc::new(Balance {
                size,
                free: Arc::new(Semaphore::new(size as usize)),
                waiting: Cell::new(0),
            })
        });
        Self {
            balances,
            answers: UnreadAnswers::new(size(Account::Answers)),
        }
    }

    fn balance(&self, account: Account) -> &Rc<Balance> {
        &self.balances[account as usize]
    }

    /// Waits until `bytes` of an account are free, and takes them. More than the whole account counts as the whole
    /// account, so that one user at a time can have it.
    pub async fn reserve(&self, account: Account, bytes: u64) -> Reservation {
        let balance = self.balance(account);
        let _waiting = Waiting::begin(&balance.waiting);
        let wanted = balance.wanted(bytes);
        let permit = balance.free.clone().acquire_many_owned(wanted).await;
        Reservation {
            account,
            balance: balance.clone(),
            permit: permit.expect("accounts are never closed"),
        }
    }

    /// Takes `bytes` of an account if they are free and nobody waits for them.
    pub fn try_reserve(&self, account: Account, bytes: u64) -> Option<Reservation> {
        let balance = self.balance(account);
        let permit = balance
            .free
            .clone()
            .try_acquire_many_owned(balance.wanted(bytes))
            .ok()?;
        Some(Reservation {
            account,
            balance: balance.clone(),
            permit,
        })
    }

    /// Bytes of an account that are in use.
    pub fn held(&self, account: Account) -> u64 {
        if account == Account::Answers {
            return self.answers.held();
        }
        let balance = self.balance(account);
        balance.size - balance.free.available_permits() as u64
    }
}

impl Balance {
    fn wanted(&self, bytes: u64) -> u32 {
        bytes.min(self.size).try_into().unwrap_or(u32::MAX)
    }
}

impl Reservation {
    /// The account of the bytes.
    pub fn account(&self) -> Account {
        self.account
    }

    /// Number of bytes.
    pub fn bytes(&self) -> u64 {
        self.permit.num_permits() as u64
    }

    /// True while others wait for bytes of the same account.
    pub fn is_contended(&self) -> bool {
        self.balance.waiting.get() > 0
    }

    /// Adds the bytes of another reservation of the same account.
    pub fn merge(&mut self, other: Self) {
        self.permit.merge(other.permit);
    }

    /// Returns the bytes beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        let surplus = self.bytes().saturating_sub(bytes);
        drop(self.permit.split(surplus as usize));
    }
}
