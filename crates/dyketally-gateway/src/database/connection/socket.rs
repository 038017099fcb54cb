//! Options and state checks of TCP sockets, for connections to databases, nodes, callers and the store.

use std::io;
use std::time::Duration;

use tokio::net::TcpStream;

/// Time after which the operating system closes a connection whose peer acknowledges no data. It is longer than
/// the pauses of a working network and shorter than callers wait.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Makes `stream` send data without delay, and makes the operating system close it when its peer acknowledges no
/// data for 2.5 s.
pub fn prepare_socket(stream: &TcpStream) {
    // The options only reduce delays, so a socket that refuses them is used without them.
    let _ = stream.set_nodelay(true);
    let limit = UNACKNOWLEDGED_TIMEOUT.as_millis() as u32;
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, limit);
}

/// True when `stream` is open and has no unread bytes. Consumes a byte if there is one.
pub fn is_open_without_input(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    let read = stream.try_read(&mut byte);
    read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// True when the peer closed `stream` or the connection failed. Consumes a byte if there is one.
pub(super) fn was_closed(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    match stream.try_read(&mut byte) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
