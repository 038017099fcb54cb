//! Logs when this node's configuration hasn't been confirmed to be the newest one for longer than usual.
//!
//! Owns nothing; relies on the age of the configuration and on the feed for the source that it comes from.

use std::rc::Rc;
use std::time::Duration;

use crate::context::Context;
use crate::event::Event;
use crate::store::feed::{Feed, Source};

/// Age from which on a configuration counts as unconfirmed, as a multiple of the setting `bounds.contact_ms`. A watch
/// without changes is queried again within 0.6 of that bound, and its reply counts from when the query was sent, so
/// ages of up to 1.2 of the bound are usual.
const UNCONFIRMED_BOUNDS: f64 = 1.5;
/// Pause between two checks of the configuration's age.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Logs when the configuration becomes unconfirmed and when it is confirmed again, until the process ends.
pub async fn log_unconfirmed(cx: Rc<Context>, feed: Rc<Feed>) {
    let contact = cx.settings.bounds.contact();
    let limit = contact.mul_f64(UNCONFIRMED_BOUNDS);
    let mut was_unconfirmed = false;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(age) = cx.configuration_age() else {
            continue;
        };
        let is_unconfirmed = age > limit;
        if is_unconfirmed == std::mem::replace(&mut was_unconfirmed, is_unconfirmed) {
            continue;
        }
        cx.events.write(&match is_unconfirmed {
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
