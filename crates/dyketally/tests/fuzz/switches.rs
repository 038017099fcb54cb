//! Safety mechanisms that a test can disable, to show that the history checker detects their absence.

/// The mechanism that is disabled in a case; each variant's comment says how the system behaves without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Switch {
    /// A write is acknowledged once the primary has applied it, without confirmation by a majority.
    NoConfirmation,
    /// A write counts as confirmed when a majority is still in its term, whatever their log positions.
    TermOnly,
    /// A read is confirmed by status replies that were received before the read arrived.
    EarlyRound,
    /// The status read after a write counts even if its term differs from the term in which the write was sent.
    AnyTermBehind,
    /// A member's log counts if it is long enough, whatever the term of its last entry.
    OffsetOnly,
    /// An edge requests reads with any freshness, ignoring the session's token.
    TokenIgnored,
    /// A caller without a token may read from any replica.
    NoTokenAnyReplica,
    /// A replica serves a read without a check of its log position.
    ServeUnchecked,
    /// A connection is returned to the pool while a reply is still outstanding on it.
    BusyConnectionReturned,
    /// Statements of a transaction may run on any connection instead of the pinned one.
    TransactionNotPinned,
    /// Every write of unknown outcome is sent again, including those that must not be repeated.
    ResendAfterSend,
    /// An unknown outcome is reported to the caller as not run.
    UnknownToldNotRun,
    /// An edge ignores that an earlier attempt of the request may have run.
    EarlierAttemptForgotten,
    /// A recorded write that the primary's ledger doesn't hold counts as not run, though it isn't barred and may still
    /// run.
    AbsentWithoutBar,
    /// A bar in the primary's ledger counts without confirmation by the group.
    BarUnconfirmed,
    /// An edge matches replies with requests by their order instead of their number.
    RepliesMatchedByOrder,
    /// A planned stop exits at once, without draining requests.
    StopWithoutDrain,
    /// A node applies every configuration change it receives, including ones older than its revision.
    OldRevisionApplied,
    /// The key-value service commits a change even if its base revision is not the current one.
    CompareIgnored,
    /// An operator's tool treats a lost reply as a rejection of the change.
    LostReplyTakenAsRefusal,
    /// A home keeps sending new statements to a database that is leaving.
    LeavingIgnored,
}
