//! How long statements wait for a primary that can't be used.

use crate::database::availability::SHORT_WAIT;
use crate::statement::write::RETRY_PAUSE;

const _: () = assert!(RETRY_PAUSE.as_millis() * 2 <= SHORT_WAIT.as_millis());
