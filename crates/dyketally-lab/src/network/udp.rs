//! UDP through a relay: datagrams in order, delayed; lost while the link is cut.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::link::{LinkWatch, Passage};
use super::relay::Directions;
use super::timer::sleep_until;

/// The largest datagram that IP carries.
const LARGEST_DATAGRAM: usize = 65_535;

/// Datagrams on the way in one direction; more are lost, as in a full router.
const DATAGRAMS_IN_FLIGHT: usize = 4096;

struct Datagram {
    due: Instant,
    payload: Bytes,
}

/// Forwards datagrams until the task is stopped. Replies go to the address that sent the request.
pub(crate) async fn serve(socket: UdpSocket, target: SocketAddr, directions: Directions) {
    let near = Arc::new(socket);
    let mut senders: HashMap<SocketAddr, mpsc::Sender<Datagram>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; LARGEST_DATAGRAM];
    loop {
        let Ok((length, source)) = near.recv_from(&mut buffer).await else {
            continue;
        };
        let sender = match senders.entry(source) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let opened = open_session(&near, source, target, &directions, &mut tasks).await;
                let Ok(sender) = opened else { continue };
                entry.insert(sender)
            }
        };
        submit(sender, &directions.forward, &buffer[..length]);
    }
}

async fn open_session(
    near: &Arc<UdpSocket>,
    source: SocketAddr,
    target: SocketAddr,
    directions: &Directions,
    tasks: &mut JoinSet<()>,
) -> io::Result<mpsc::Sender<Datagram>> {
    let far = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    far.connect(target).await?;
    let (forward_sender, forward_receiver) = mpsc::channel(DATAGRAMS_IN_FLIGHT);
    let (backward_sender, backward_receiver) = mpsc::channel(DATAGRAMS_IN_FLIGHT);
    let forward = directions.forward.clone();
    let backward = directions.backward.clone();
    tasks.spawn(send_side(
        Arc::clone(&far),
        target,
        forward_receiver,
        forward,
    ));
    tasks.spawn(receive_side(far, backward_sender, backward.clone()));
    tasks.spawn(send_side(
        Arc::clone(near),
        source,
        backward_receiver,
        backward,
    ));
    Ok(forward_sender)
}

async fn receive_side(far: Arc<UdpSocket>, sender: mpsc::Sender<Datagram>, link: LinkWatch) {
    let mut buffer = vec![0; LARGEST_DATAGRAM];
    while !sender.is_closed() {
        // An error reports an earlier datagram that nobody took; the next one may arrive.
        if let Ok(length) = far.recv(&mut buffer).await {
            submit(&sender, &link, &buffer[..length]);
        }
    }
}

fn submit(sender: &mpsc::Sender<Datagram>, link: &LinkWatch, payload: &[u8]) {
    let due = Instant::now() + link.borrow().delay;
    let payload = Bytes::copy_from_slice(payload);
    // A full queue loses the datagram, as a router would.
    let _ = sender.try_send(Datagram { due, payload });
}

async fn send_side(
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    mut receiver: mpsc::Receiver<Datagram>,
    link: LinkWatch,
) {
    let is_connected = socket.peer_addr().is_ok();
    while let Some(Datagram { due, payload }) = receiver.recv().await {
        sleep_until(due).await;
        if link.borrow().passage != Passage::Open {
            continue;
        }
        // A datagram that can't be sent is lost, as on any network.
        let _ = if is_connected {
            socket.send(&payload).await
        } else {
            socket.send_to(&payload, address).await
        };
    }
}
