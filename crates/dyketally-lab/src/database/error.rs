//! Errors of the stand-in, with the SQLSTATE that a client sees.

/// Why a statement or a connection was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SqlError {
    /// The text isn't SQL.
    #[error("syntax error: {0}; correct the statement")]
    Syntax(String),
    /// The statement is SQL, but not one of those the stand-in knows.
    #[error("the stand-in does not support this statement: {0}; use one that its module lists")]
    Unsupported(String),
    /// A parameter can't be read as the type that the statement needs.
    #[error("invalid input: {0}; pass a value of the column's type")]
    InvalidInput(String),
    /// A parameter is missing.
    #[error("parameter ${0} is missing; bind a value for each parameter")]
    MissingParameter(usize),
    /// The key column must not be null.
    #[error("null value in column \"key\"; pass a key")]
    NullKey,
    /// The row exists already.
    #[error("duplicate key value {key:?} in table {table:?}; update the row or choose another key")]
    DuplicateKey {
        /// The table.
        table: String,
        /// The key.
        key: String,
    },
    /// This database isn't the primary.
    #[error("cannot write on a replica; send the statement to the primary")]
    ReadOnly,
    /// Another transaction changed a row that this one wrote.
    #[error("could not serialize access due to a concurrent update; run the transaction again")]
    WriteConflict,
    /// The database ceased to be the primary before the transaction was committed.
    #[error(
        "the transaction was rolled back because the database is no longer the primary; run it again at the new one"
    )]
    NoLongerPrimary,
    /// An earlier statement of the transaction failed.
    #[error("the transaction is aborted; end it with ROLLBACK")]
    TransactionAborted,
    /// All connections are taken.
    #[error("too many connections; close one and come back")]
    TooManyConnections,
    /// The database is leaving and takes no new connections.
    #[error("the database is shutting down; connect to another member of the group")]
    ShuttingDown,
    /// The database is catching up and takes no connections yet.
    #[error("the database is starting up; come back when it has caught up with the primary")]
    StartingUp,
    /// The database closes an idle connection because it is leaving.
    #[error(
        "the connection was closed by an administrator; connect to another member of the group"
    )]
    ClosedByAdministrator,
}

impl SqlError {
    /// The SQLSTATE.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Syntax(_) => "42601",
            Self::Unsupported(_) => "0A000",
            Self::InvalidInput(_) => "22P02",
            Self::MissingParameter(_) => "08P01",
            Self::NullKey => "23502",
            Self::DuplicateKey { .. } => "23505",
            Self::ReadOnly => "25006",
            Self::WriteConflict | Self::NoLongerPrimary => "40001",
            Self::TransactionAborted => "25P02",
            Self::TooManyConnections => "53300",
            Self::ShuttingDown | Self::StartingUp => "57P03",
            Self::ClosedByAdministrator => "57P01",
        }
    }

    /// True when the error ends the connection.
    pub fn is_fatal(&self) -> bool {
        matches!(
            self,
            Self::TooManyConnections
                | Self::ShuttingDown
                | Self::StartingUp
                | Self::ClosedByAdministrator
        )
    }
}
