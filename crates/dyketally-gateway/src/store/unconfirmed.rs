//! Tells when nobody has confirmed for a while that this node's configuration is the newest one.

use std::rc::Rc;
use std::time::Duration;

use crate::event::Event;
use crate::gateway::Gateway;
use crate::store::feed::Source;

/// Pause between two looks.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Tells the log when the configuration was confirmed longer ago than the time within which news have
/// to be acted on, and when it is confirmed again, until the process ends.
pub async fn tell_unconfirmed(gateway: Rc<Gateway>) {
    let limit = gateway.settings.bounds.contact();
    let mut told = false;
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(age) = gateway.configuration_age() else {
            continue;
        };
        let is_old = age > limit;
        if is_old == std::mem::replace(&mut told, is_old) {
            continue;
        }
        gateway.events.write(&match is_old {
            true => gateway.unconfirmed(age),
            false => Event::ConfigurationConfirmed,
        });
    }
}

impl Gateway {
    fn unconfirmed(&self, age: Duration) -> Event<'static> {
        let relay = self.feed.relay();
        let source = relay.map_or(Source::Store, Source::Relay);
        let lost_for = self.feed.watches_lost_for();
        Event::ConfigurationUnconfirmed {
            confirmed_ms_ago: age.as_millis() as u64,
            source: source.to_string(),
            watch_lost_for_ms: lost_for.map(|it| it.as_millis() as u64),
        }
    }
}
