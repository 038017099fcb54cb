//! Counters of membership on its socket.

use dyketally::membership::Counters;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeersCounters {
    /// Counters of membership itself.
    pub membership: Counters,
    /// Bytes of the datagrams sent, without IP and UDP headers.
    pub bytes_sent: u64,
    /// Bytes of the datagrams received, without IP and UDP headers.
    pub bytes_received: u64,
    /// Datagrams that could not be sent; they count as lost.
    pub send_failures: u64,
    /// Errors of the socket while receiving.
    pub receive_failures: u64,
}
