//! Options and states of the sockets that connections of all kinds use.

use std::io;
use std::time::Duration;

use tokio::net::TcpStream;

/// Time after which the system closes a connection whose peer acknowledges nothing. Longer than the
/// pauses of a network that works, shorter than callers wait; not measured.
const SILENT_PEER: Duration = Duration::from_millis(2_500);

/// Makes `stream` send at once, and the system close it when its peer acknowledges nothing for
/// 2.5 s.
pub fn prepare_socket(stream: &TcpStream) {
    // Both options only make a loss show sooner, so a socket that refuses them is used as it is.
    let _ = stream.set_nodelay(true);
    let limit = SILENT_PEER.as_millis() as u32;
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, limit);
}

/// True while `stream` is open and has no bytes that weren't read.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    let read = stream.try_read(&mut byte);
    read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// True when the peer of `stream` closed it.
pub(super) fn was_closed(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    match stream.try_read(&mut byte) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
