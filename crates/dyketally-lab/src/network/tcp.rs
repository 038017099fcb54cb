//! TCP through a relay: bytes in order, each delayed by the link's one-way delay.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::link::{LinkWatch, wait_open, wait_reset};
use super::relay::Directions;
use super::timer::sleep_until;

/// Bytes read at one time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks on the way in one direction; large enough that the delay doesn't throttle.
const CHUNKS_IN_FLIGHT: usize = 1024;

/// What is on the way in one direction.
enum Travelling {
    Data(Bytes),
    EndOfStream,
    Broken,
}

struct Stamped {
    due: Instant,
    content: Travelling,
}

/// Why a relayed connection is torn down at once.
enum Teardown {
    Broken,
    Reset,
}

/// Accepts connections until the task is stopped; its connections end with it.
pub(crate) async fn serve(listener: TcpListener, target: SocketAddr, directions: Directions) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(relay(stream, target, directions.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay(mut near: TcpStream, target: SocketAddr, directions: Directions) {
    let Ok(mut far) = connect(target, &directions).await else {
        reset(&near);
        return;
    };
    // Delays are added here, so the sockets must not add their own. A socket without the option
    // still relays.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    if exchange(&mut near, &mut far, directions).await.is_err() {
        reset(&near);
        reset(&far);
    }
}

/// Takes the round trip that opening a connection takes, then opens the far side.
async fn connect(target: SocketAddr, directions: &Directions) -> io::Result<TcpStream> {
    let Directions {
        mut forward,
        mut backward,
    } = directions.clone();
    let refused = |_| io::Error::from(io::ErrorKind::ConnectionRefused);
    wait_open(&mut forward).await.map_err(refused)?;
    let arrival = Instant::now() + forward.borrow().delay;
    sleep_until(arrival).await;
    wait_open(&mut forward).await.map_err(refused)?;
    let connected = TcpStream::connect(target).await;
    let return_time = Instant::now() + backward.borrow().delay;
    sleep_until(return_time).await;
    wait_open(&mut backward).await.map_err(refused)?;
    connected
}

async fn exchange(
    near: &mut TcpStream,
    far: &mut TcpStream,
    directions: Directions,
) -> Result<(), Teardown> {
    let (near_reader, near_writer) = near.split();
    let (far_reader, far_writer) = far.split();
    let Directions { forward, backward } = directions;
    let mut forward_reset = forward.clone();
    let mut backward_reset = backward.clone();
    let both = async {
        tokio::try_join!(
            pump(near_reader, far_writer, forward),
            pump(far_reader, near_writer, backward),
        )
    };
    tokio::select! {
        ended = both => ended.map(|_| ()),
        () = wait_reset(&mut forward_reset) => Err(Teardown::Reset),
        () = wait_reset(&mut backward_reset) => Err(Teardown::Reset),
    }
}

async fn pump(
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    link: LinkWatch,
) -> Result<(), Teardown> {
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let reading = read_side(reader, sender, link.clone());
    let writing = write_side(receiver, writer, link);
    tokio::try_join!(reading, writing).map(|_| ())
}

async fn read_side(
    mut reader: ReadHalf<'_>,
    sender: mpsc::Sender<Stamped>,
    link: LinkWatch,
) -> Result<(), Teardown> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
        let content = match reader.read_buf(&mut buffer).await {
            Ok(0) => Travelling::EndOfStream,
            Ok(_) => Travelling::Data(buffer.split().freeze()),
            Err(_) => Travelling::Broken,
        };
        let is_last = !matches!(content, Travelling::Data(_));
        let due = Instant::now() + link.borrow().delay;
        let stamped = Stamped { due, content };
        if sender.send(stamped).await.is_err() || is_last {
            return Ok(());
        }
    }
}

async fn write_side(
    mut receiver: mpsc::Receiver<Stamped>,
    mut writer: WriteHalf<'_>,
    mut link: LinkWatch,
) -> Result<(), Teardown> {
    while let Some(Stamped { due, content }) = receiver.recv().await {
        sleep_until(due).await;
        wait_open(&mut link).await.map_err(|_| Teardown::Reset)?;
        let written = match content {
            Travelling::Data(bytes) => writer.write_all(&bytes).await,
            Travelling::EndOfStream => writer.shutdown().await,
            Travelling::Broken => return Err(Teardown::Broken),
        };
        written.map_err(|_| Teardown::Broken)?;
    }
    Ok(())
}

/// Makes the drop of the stream send a reset instead of an orderly end.
fn reset(stream: &TcpStream) {
    // A socket that is closed already needs no reset.
    let _ = stream.set_zero_linger();
}
