//! The reply plan, which matches each message from the database to the step that it answers.

use bytes::{Bytes, BytesMut};
use dyketally_protocol::{
    PreparedStatement, StatementBatch, StatementName, Step, TransactionStatus,
};
use dyketally_proxy::home::encode::{EncodeError, encode_batch};
use dyketally_proxy::home::plan::{Disposition, ReplyPlan};
use dyketally_proxy::home::statements::StatementCache;
use rstest::rstest;

fn name(name: &str) -> StatementName {
    StatementName(name.to_owned())
}

fn statement(text: &str) -> PreparedStatement {
    PreparedStatement {
        name: name(text),
        query: format!("SELECT {text}"),
        parameter_types: vec![],
    }
}

/// An encoded `Bind` without parameters: empty portal name, statement name, and three empty lists.
fn bind(text: &str) -> Step {
    let mut body = vec![0];
    body.extend_from_slice(text.as_bytes());
    body.extend_from_slice(&[0; 7]);
    let length = (body.len() + 4) as u32;
    let encoded = [b"B".as_slice(), &length.to_be_bytes(), &body].concat();
    Step::Bind {
        statement: name(text),
        encoded: encoded.into(),
    }
}

fn execute() -> Step {
    Step::Execute {
        portal: String::new(),
        max_rows: 0,
    }
}

fn parse(text: &str) -> Step {
    Step::Parse(name(text))
}

fn describe(text: &str) -> Step {
    Step::DescribeStatement(name(text))
}

fn query(text: &str) -> Vec<Step> {
    vec![Step::Query(text.to_owned())]
}

fn batch(statements: &[&str], steps: Vec<Step>) -> StatementBatch {
    StatementBatch {
        prepared: statements.iter().map(|text| statement(text)).collect(),
        steps,
    }
}

fn cache(known: &[&str]) -> StatementCache {
    let mut cache = StatementCache::new(3);
    for statement in known {
        cache.insert(name(statement));
    }
    cache
}

/// Tags of the encoded messages to the database, in order.
fn sent_tags(mut encoded: Bytes) -> String {
    let mut tags = String::new();
    while !encoded.is_empty() {
        tags.push(char::from(encoded[0]));
        let length = u32::from_be_bytes(encoded[1..5].try_into().unwrap()) as usize;
        let _ = encoded.split_to(1 + length);
    }
    tags
}

/// Passes messages from the database, given by their tags, to the plan. Returns the tags that the caller receives, with
/// `-` for a rejected copy and `.` for the end of the batch, or the tag that the plan rejects. `Z` reports an idle
/// transaction.
fn forwarded_tags(plan: &mut ReplyPlan, received: &str) -> Result<String, char> {
    let mut seen = String::new();
    for tag in received.bytes() {
        while let Some(synthesized) = plan.made_up() {
            seen.push(char::from(synthesized[0]));
        }
        let disposition = plan.accept(tag, Some(b'I')).map_err(|error| error.tag)?;
        match disposition {
            Disposition::PassOn | Disposition::PassOnError => seen.push(char::from(tag)),
            Disposition::Prepared { passed_on, .. } if passed_on => seen.push(char::from(tag)),
            Disposition::Drop | Disposition::Prepared { .. } => {}
            Disposition::RefuseCopy => seen.push('-'),
            Disposition::Ended(_) => seen.push('.'),
        }
    }
    Ok(seen)
}

#[rstest]
#[case::simple_query(&[], &[], query("SELECT 1"), "Q", "TDDCZ", "TDDC.")]
#[case::several_statements(&[], &[], query("a; b"), "Q", "TDCTDCCZ", "TDCTDCC.")]
#[case::failed_query(&[], &[], query("x"), "Q", "TDEZ", "TDE.")]
#[case::empty_query(&[], &[], query(""), "Q", "IZ", "I.")]
#[case::copy_in_refused(&[], &[], query("COPY"), "Q", "GEZ", "-E.")]
#[case::copy_out(&[], &[], query("COPY"), "Q", "HddcCZ", "HddcC.")]
#[case::notice_and_parameter(&[], &[], query("SET a"), "Q", "NCSZ", "NC.")]
#[case::prepares_on_request(
    &["a"], &[], vec![parse("a"), describe("a"), Step::Sync], "PDS", "1tTZ", "1tT."
)]
#[case::makes_up_a_known_parse(
    &["a"], &["a"], vec![parse("a"), describe("a"), Step::Sync], "DS", "tnZ", "1tn."
)]
#[case::only_a_known_parse(&["a"], &["a"], vec![parse("a"), Step::Sync], "S", "Z", "1.")]
#[case::prepares_what_is_missing(
    &["a"], &[], vec![bind("a"), execute(), Step::Sync], "PBES", "12DDCZ", "2DDC."
)]
#[case::known_statement(
    &["a"], &["a"], vec![bind("a"), execute(), Step::Sync], "BES", "2DDCZ", "2DDC."
)]
#[case::prepares_once(
    &["a"], &[], vec![bind("a"), execute(), bind("a"), execute(), Step::Sync],
    "PBEBES", "12C2CZ", "2C2C."
)]
#[case::keeps_a_closed_statement(
    &["a"], &["a"], vec![bind("a"), execute(), Step::CloseStatement(name("a")), Step::Sync],
    "BES", "2CZ", "2C3."
)]
#[case::closes_a_portal(
    &["a"], &["a"],
    vec![
        bind("a"),
        Step::DescribePortal(String::new()),
        execute(),
        Step::ClosePortal(String::new()),
        Step::Sync,
    ],
    "BDECS", "2Ts3Z", "2Ts3."
)]
#[case::error_skips_the_rest(
    &["a", "b"], &["b"],
    vec![bind("a"), execute(), parse("b"), bind("b"), execute(), Step::Sync],
    "PBEBES", "12EZ", "2E."
)]
#[case::error_in_an_added_parse(
    &["a"], &[], vec![bind("a"), execute(), Step::Sync], "PBES", "EZ", "E."
)]
#[case::made_up_before_an_error(
    &["a"], &["a"], vec![parse("a"), bind("a"), execute(), Step::Sync], "BES", "EZ", "1E."
)]
#[case::evicts_the_least_recently_used(
    &["d"], &["a", "b", "c"], vec![bind("d"), execute(), Step::Sync], "CPBES", "312CZ", "2C."
)]
#[case::never_evicts_what_the_batch_uses(
    &["a", "b", "c", "d"], &["a", "b", "c"],
    vec![bind("a"), execute(), bind("d"), execute(), Step::Sync],
    "BEPBES", "2C12CZ", "2C2C."
)]
fn matches_replies_to_steps(
    #[case] prepared: &[&str],
    #[case] known: &[&str],
    #[case] steps: Vec<Step>,
    #[case] sent: &str,
    #[case] received: &str,
    #[case] seen: &str,
) {
    let mut output = BytesMut::new();
    let mut cache = cache(known);
    let mut plan = encode_batch(&batch(prepared, steps), &mut cache, &mut output).unwrap();
    assert_eq!(sent_tags(output.freeze()), sent);
    assert_eq!(forwarded_tags(&mut plan, received), Ok(seen.to_owned()));
}

#[rstest]
#[case::answer_to_another_step("2", '2')]
#[case::rows_before_bind("1D", 'D')]
#[case::second_parse_complete("11", '1')]
#[case::login_message("R", 'R')]
#[case::second_end("12CZZ", 'Z')]
#[case::error_after_the_end("12CZE", 'E')]
fn refuses_messages_that_answer_nothing(#[case] received: &str, #[case] refused: char) {
    let mut output = BytesMut::new();
    let steps = vec![bind("a"), execute(), Step::Sync];
    let mut plan = encode_batch(&batch(&["a"], steps), &mut cache(&[]), &mut output).unwrap();
    assert_eq!(forwarded_tags(&mut plan, received), Err(refused));
}

#[rstest]
#[case(b'I', TransactionStatus::Idle)]
#[case(b'T', TransactionStatus::Open)]
#[case(b'E', TransactionStatus::Failed)]
fn reports_the_transaction(#[case] state: u8, #[case] status: TransactionStatus) {
    let mut output = BytesMut::new();
    let steps = query("BEGIN");
    let mut plan = encode_batch(&batch(&[], steps), &mut cache(&[]), &mut output).unwrap();
    plan.accept(b'C', None).unwrap();
    let ended = plan.accept(b'Z', Some(state));
    assert_eq!(ended, Ok(Disposition::Ended(status)));
}

/// A `Bind` step whose encoded bytes also hold a simple query.
fn bind_with_hidden_query() -> Step {
    let Step::Bind { statement, encoded } = bind("a") else {
        unreachable!("bind makes a Bind");
    };
    let encoded = [&encoded[..], b"Q\0\0\0\x05\0"].concat().into();
    Step::Bind { statement, encoded }
}

#[rstest]
#[case::unlisted(vec![bind("a"), execute(), bind("b"), execute(), Step::Sync])]
#[case::empty(vec![])]
#[case::without_an_end(vec![bind("a"), execute()])]
#[case::two_ends(vec![bind("a"), execute(), Step::Sync, Step::Sync])]
#[case::query_behind_others(vec![bind("a"), Step::Query("x".into())])]
#[case::query_before_others(vec![Step::Query("x".into()), Step::Sync])]
#[case::message_behind_a_bind(vec![bind_with_hidden_query(), execute(), Step::Sync])]
#[case::zero_byte(vec![Step::Query("a\0b".into())])]
fn refuses_a_batch_whole(#[case] steps: Vec<Step>) {
    let mut cache = cache(&["a"]);
    let mut output = BytesMut::new();
    let refused = encode_batch(&batch(&["a"], steps), &mut cache, &mut output);
    assert!(refused.is_err());
}

#[rstest]
fn names_the_unlisted_statement() {
    let mut output = BytesMut::new();
    let steps = vec![bind("a"), execute(), bind("b"), execute(), Step::Sync];
    let refused = encode_batch(&batch(&["a"], steps), &mut cache(&["a"]), &mut output);
    assert!(
        matches!(refused, Err(EncodeError::UnlistedStatement(missing)) if missing == name("b"))
    );
    assert!(output.is_empty());
}
