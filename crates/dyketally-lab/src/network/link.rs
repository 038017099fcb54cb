//! One direction between two processes: its delay and whether data passes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Whether data passes a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Passage {
    /// Data passes after the delay.
    #[default]
    Open,
    /// Data is held until the link is healed, and datagrams are lost: connections hang.
    Held,
    /// Connections are reset and new ones are refused.
    Reset,
}

/// The state of one direction between two processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// One-way delay.
    pub delay: Duration,
    /// Whether data passes.
    pub passage: Passage,
}

/// Selects the processes at one side of a fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// All processes.
    Anywhere,
    /// The processes of one zone.
    Zone(String),
    /// One process, by its endpoint's name.
    Process(String),
}

impl Place {
    /// True when the endpoint `name` in `zone` is selected.
    pub fn selects(&self, name: &str, zone: &str) -> bool {
        match self {
            Place::Anywhere => true,
            Place::Zone(selected) => selected == zone,
            Place::Process(selected) => selected == name,
        }
    }
}

/// A directed pair of processes with its state, which relays watch.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) from: LinkEnd,
    pub(crate) to: LinkEnd,
    pub(crate) state: watch::Sender<LinkState>,
}

/// One end of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LinkEnd {
    pub(crate) name: String,
    pub(crate) zone: String,
}

impl Link {
    pub(crate) fn is_selected(&self, from: &Place, to: &Place) -> bool {
        from.selects(&self.from.name, &self.from.zone) && to.selects(&self.to.name, &self.to.zone)
    }

    pub(crate) fn set_passage(&self, passage: Passage) {
        self.state.send_modify(|state| state.passage = passage);
    }

    pub(crate) fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }
}

/// The state of a link as one relay sees it.
pub(crate) type LinkWatch = watch::Receiver<LinkState>;

/// Waits until the link is open. A link that is reset, or whose network is gone, gives an error.
pub(crate) async fn wait_open(link: &mut LinkWatch) -> Result<(), LinkReset> {
    let state = link
        .wait_for(|state| state.passage != Passage::Held)
        .await
        .map_err(|_| LinkReset)?;
    match state.passage {
        Passage::Reset => Err(LinkReset),
        Passage::Open | Passage::Held => Ok(()),
    }
}

/// Waits until the link is reset or its network is gone.
pub(crate) async fn wait_reset(link: &mut LinkWatch) {
    // An error means that the network is gone, which resets its connections too.
    let _ = link.wait_for(|state| state.passage == Passage::Reset).await;
}

/// The link resets its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the link is reset; heal it through the network's control address")]
pub(crate) struct LinkReset;
