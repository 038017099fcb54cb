//! How a node's memory is divided among what callers make it hold.

use dyketally::budget::{Account, FREE_BYTES, SHORT_MESSAGE_BYTES};
use rstest::rstest;

/// Memory of the smallest machine in bytes.
const SMALL: u64 = 160 << 20;

#[test]
fn messages_get_a_quarter_of_the_memory() {
    let messages = [Account::ShortMessages, Account::LongMessages];
    let shares = messages.map(|account| account.share_of(SMALL));
    assert_eq!(shares.iter().sum::<u64>(), 40 << 20);
}

/// 3,660 sessions of 7.4 KB each and the process itself need 40 MB.
#[test]
fn sessions_without_reservations_keep_room() {
    let shares = Account::ALL.map(|account| account.share_of(SMALL));
    assert!(
        shares.iter().sum::<u64>() <= SMALL - (60 << 20),
        "{shares:?}"
    );
}

#[rstest]
#[case::free(FREE_BYTES, None)]
#[case::short(FREE_BYTES + 1, Some(Account::ShortMessages))]
#[case::longest_short(SHORT_MESSAGE_BYTES, Some(Account::ShortMessages))]
#[case::long(SHORT_MESSAGE_BYTES + 1, Some(Account::LongMessages))]
fn the_length_of_a_message_tells_its_account(
    #[case] bytes: usize,
    #[case] expected: Option<Account>,
) {
    assert_eq!(Account::of_message(bytes), expected);
}
