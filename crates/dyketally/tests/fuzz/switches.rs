//! Mechanisms that the model can do without, to show that the checker notices.

/// A mechanism that is turned off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Switch {
    /// A write is acknowledged on the primary's word.
    NoConfirmation,
    /// A majority's term is enough for a write.
    TermOnly,
    /// A read is confirmed by answers from before it arrived.
    EarlyRound,
    /// The status behind a write counts though it shows another term than the write's.
    AnyTermBehind,
    /// A log that is long enough counts, of whatever term its last entry is.
    OffsetOnly,
    /// An edge asks for any freshness.
    TokenIgnored,
    /// A caller without a token is served by any replica.
    NoTokenAnyReplica,
    /// A replica serves without a check of its position.
    ServeUnchecked,
    /// A connection goes back to the pool while a reply is due on it.
    BusyConnectionReturned,
    /// Statements of a transaction use any connection.
    TransactionNotPinned,
    /// Any write is sent again after its outcome became unknown.
    ResendAfterSend,
    /// An unknown outcome is told as not-run.
    UnknownToldNotRun,
    /// An edge forgets that an earlier attempt may have run.
    EarlierAttemptForgotten,
    /// A recorded write that the primary doesn't know is taken as not run, without barring it.
    AbsentWithoutBar,
    /// A bar counts without the group's confirmation.
    BarUnconfirmed,
    /// Replies are matched with requests by their order.
    RepliesMatchedByOrder,
    /// A planned stop exits at once.
    StopWithoutDrain,
    /// A node puts any configuration in force that it is offered.
    OldRevisionApplied,
    /// The service takes a change though the revision is not the one it was made on.
    CompareIgnored,
    /// An operator takes a lost reply for a refusal.
    LostReplyTakenAsRefusal,
    /// A home goes on using a database that is leaving.
    LeavingIgnored,
}
