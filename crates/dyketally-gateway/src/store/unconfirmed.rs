//! Tells when nobody has confirmed for a while that this node's configuration is the newest one.

use std::rc::Rc;
use std::time::Duration;

use crate::event::Event;
use crate::gateway::Gateway;
use crate::store::feed::Source;

/// Share of the bound on news after which a configuration counts as unconfirmed. A quiet watch is asked
/// again within 0.6 of the bound, and counts from when it was asked: up to 1.2 of it are usual.
const UNCONFIRMED_SHARE: f64 = 1.5;
/// Pause between two looks.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Tells the log when the configuration was confirmed longer ago than is usual, and when it is confirmed
/// again, until the process ends.
pub async fn tell_unconfirmed(gateway: Rc<Gateway>) {
    let contact = gateway.cx.settings.bounds.contact();
    let limit = contact.mul_f64(UNCONFIRMED_SHARE);
    let mut told = false;
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(age) = gateway.cx.configuration_age() else {
            continue;
        };
        let is_old = age > limit;
        if is_old == std::mem::replace(&mut told, is_old) {
            continue;
        }
        gateway.cx.events.write(&match is_old {
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
