//! Ends homes of databases that were placed on another node.
//!
//! A home that is no longer asked still holds warm connections, and a database grants few. With
//! nodes replaced every day, homes that stayed would use them up.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dyketally::identifiers::DatabaseName;
use tokio_util::sync::CancellationToken;

use crate::homes::{HomeLocation, Homes};

/// Time between two looks; a home is ended when nothing was asked of it between them.
const LOOK_INTERVAL: Duration = Duration::from_secs(10);

/// Ends idle homes of other nodes' databases until `stop` is cancelled.
pub(super) async fn retire_idle_homes(homes: Arc<Homes>, stop: CancellationToken) {
    let mut taken = HashMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        taken = look(&homes, &taken);
    }
}

/// Ends what was idle since the last look; returns the requests that the others have taken.
fn look(homes: &Homes, before: &HashMap<DatabaseName, u64>) -> HashMap<DatabaseName, u64> {
    let mut taken = HashMap::new();
    for home in homes.handles() {
        let database = home.status().database;
        let requests = home.counters().requests.get();
        let elsewhere = homes.locate(&database) != Some(HomeLocation::Here);
        let unused = before.get(&database) == Some(&requests);
        if elsewhere && unused && homes.retire(&database, requests) {
            log::info!("{database} is placed on another node: its idle home here has ended");
        } else {
            taken.insert(database, requests);
        }
    }
    taken
}
