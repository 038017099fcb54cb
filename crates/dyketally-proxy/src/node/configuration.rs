//! Where a node's configuration comes from: a file, or the platform and the other nodes.

use std::sync::Arc;

use dyketally::configuration::sync::SyncSettings;
use dyketally::policy::PolicySet;
use tokio::sync::{mpsc, watch};

use crate::peers::{Carrier, PeersHandle};
use crate::settings::{Settings, load_configuration};
use crate::stores::dissemination::{Dissemination, OutgoingPull};
use crate::stores::{ConfigurationKeys, ConfigurationStore, EtcdGateway, EtcdSettings};

/// Pulls that may wait to be sent; more are dropped and repeated after their timeout.
const PULLS_WAITING: usize = 16;

/// The configuration of a node that has just started.
#[derive(Debug)]
pub(super) struct NodeConfiguration {
    /// What the request path reads.
    pub policies: watch::Receiver<Arc<PolicySet>>,
    /// Keeps the policies of a file from ending, and takes those of the platform.
    pub sender: watch::Sender<Arc<PolicySet>>,
    /// The synchronizer; `None` when the configuration comes from a file.
    pub dissemination: Option<Dissemination>,
    pulls: Option<mpsc::Receiver<OutgoingPull>>,
}

impl NodeConfiguration {
    /// A fixed configuration.
    pub fn fixed(policies: PolicySet) -> Self {
        let (sender, policies) = watch::channel(Arc::new(policies));
        Self {
            policies,
            sender,
            dissemination: None,
            pulls: None,
        }
    }

    /// The configuration that `settings` name.
    pub fn of(settings: &Settings) -> eyre::Result<Self> {
        if let Some(file) = &settings.configuration_file {
            return Ok(Self::fixed(load_configuration(file)?));
        }
        let Some(url) = &settings.platform.key_value else {
            eyre::bail!(
                "no source of configuration; set `platform.key_value` to the URL of the key-value service, or `configuration_file`"
            );
        };
        let endpoint = url.to_string().trim_end_matches('/').to_owned();
        let gateway = EtcdGateway::new(EtcdSettings::new(endpoint))?;
        let store = ConfigurationStore::new(Arc::new(gateway), ConfigurationKeys::default());
        let (pull_sender, pulls) = mpsc::channel(PULLS_WAITING);
        let node = settings.node.name.clone();
        let (dissemination, _task) =
            Dissemination::start(node, SyncSettings::default(), store, pull_sender);
        let mut configuration = Self::fixed(PolicySet::default());
        configuration.dissemination = Some(dissemination);
        configuration.pulls = Some(pulls);
        Ok(configuration)
    }

    /// Joins the synchronizer with membership and with the request path.
    pub fn join(&mut self, settings: &Settings, peers: &PeersHandle) {
        let (Some(dissemination), Some(pulls)) = (self.dissemination.clone(), self.pulls.take())
        else {
            return;
        };
        let routes = settings.network.routes.iter();
        let carrier = Carrier {
            node: settings.node.name.clone(),
            locality: settings.node.locality.clone(),
            peers: peers.clone(),
            dissemination: dissemination.clone(),
            pulls,
            routes: routes.map(|route| (route.to, route.via)).collect(),
        };
        tokio::spawn(carrier.run());
        tokio::spawn(pass_on(dissemination, self.sender.clone()));
    }
}

/// Puts each newer configuration before the request path.
async fn pass_on(dissemination: Dissemination, sender: watch::Sender<Arc<PolicySet>>) {
    let mut configurations = dissemination.configuration();
    loop {
        let policy = configurations.borrow_and_update().policy.clone();
        sender.send_if_modified(|current| {
            let newer = policy.revision > current.revision;
            if newer {
                *current = policy;
            }
            newer
        });
        if configurations.changed().await.is_err() {
            return;
        }
    }
}
