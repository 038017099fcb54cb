//! Logs when it hasn't been confirmed for a while that this node's configuration is the newest one.
//!
//! Owns nothing; relies on the age of the configuration and on the feed for where it comes from.

use std::rc::Rc;
use std::time::Duration;

use crate::context::Context;
use crate::event::Event;
use crate::store::feed::{Feed, Source};

/// Share of the bound on contact after which a configuration counts as unconfirmed. A quiet watch is asked
/// again within 0.6 of the bound, and counts from when it was asked: up to 1.2 of it are usual.
/// Not measured.
const UNCONFIRMED_SHARE: f64 = 1.5;
/// Pause between two looks. Not measured.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Logs when the configuration was confirmed longer ago than is usual, and when it is confirmed again,
/// until the process ends.
pub async fn log_unconfirmed(cx: Rc<Context>, feed: Rc<Feed>) {
    let contact = cx.settings.bounds.contact();
    let limit = contact.mul_f64(UNCONFIRMED_SHARE);
    let mut was_old = false;
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(age) = cx.configuration_age() else {
            continue;
        };
        let is_old = age > limit;
        if is_old == std::mem::replace(&mut was_old, is_old) {
            continue;
        }
        cx.events.write(&match is_old {
            true => unconfirmed(&feed, age),
            false => Event::ConfigurationConfirmed,
        });
    }
}

fn unconfirmed(feed: &Feed, age: Duration) -> Event<'static> {
    let relay = feed.relay();
    let source = relay.map_or(Source::Store, Source::Relay);
    let lost_for = feed.watches_lost_for();
    Event::ConfigurationUnconfirmed {
        confirmed_ms_ago: age.as_millis() as u64,
        source: source.to_string(),
        watch_lost_for_ms: lost_for.map(|it| it.as_millis() as u64),
    }
}
