//! The messages against the gateway's published examples, so that a mistake made alike by the
//! client and the stand-in is noticed.

use bytes::Bytes;
use dyketally_proxy::stores::wire::{
    Base64, Compare, CompareTarget, Int64, LeaseKeepAliveResponse, PutRequest, RangeRequest,
    RangeResponse, RequestOperation, StreamItem, TransactionRequest, TransactionResponse,
    WatchCreateRequest, WatchRequest, WatchResponse,
};
use rstest::rstest;
use serde_json::{Value, json};

fn base64(text: &'static str) -> Base64 {
    Base64(Bytes::from_static(text.as_bytes()))
}

fn parsed<Message: serde::de::DeserializeOwned>(message: Value) -> Message {
    serde_json::from_value(message).expect("a published message")
}

#[test]
fn a_put_is_written_in_base64() {
    let request = PutRequest {
        key: base64("foo"),
        value: base64("bar"),
        lease: Int64(0),
    };
    let written = serde_json::to_value(request).expect("JSON");
    assert_eq!(written, json!({"key": "Zm9v", "value": "YmFy"}));
}

#[test]
fn a_watch_names_its_range() {
    let request = WatchRequest {
        create_request: WatchCreateRequest {
            key: base64("foo"),
            range_end: base64("fop"),
            start_revision: Int64(7),
        },
    };
    let written = serde_json::to_value(request).expect("JSON");
    let expected = json!({
        "create_request": {"key": "Zm9v", "range_end": "Zm9w", "start_revision": "7"}
    });
    assert_eq!(written, expected);
}

#[test]
fn a_range_response_is_read() {
    let response: RangeResponse = parsed(json!({
        "header": {
            "cluster_id": "12585971608760269493",
            "member_id": "13847567121247652255",
            "revision": "2",
            "raft_term": "3"
        },
        "kvs": [{
            "key": "Zm9v",
            "create_revision": "2",
            "mod_revision": "2",
            "version": "1",
            "value": "YmFy"
        }],
        "count": "1"
    }));
    assert_eq!(response.header.revision, Int64(2));
    assert_eq!(response.kvs[0].value, base64("bar"));
    assert!(!response.more);
}

#[rstest]
#[case::published(json!({
    "compare": [{"createRevision": "2", "target": "CREATE", "key": "Zm9v"}],
    "success": [{"requestPut": {"key": "Zm9v", "value": "YmFy"}}]
}))]
#[case::snake_case(json!({
    "compare": [{"create_revision": "2", "target": "CREATE", "key": "Zm9v", "result": "EQUAL"}],
    "success": [{"request_put": {"key": "Zm9v", "value": "YmFy"}}]
}))]
fn a_transaction_is_read_in_both_cases(#[case] message: Value) {
    let request: TransactionRequest = parsed(message);
    let compare = Compare {
        target: CompareTarget::Create,
        key: base64("foo"),
        create_revision: Some(Int64(2)),
        ..Compare::default()
    };
    assert_eq!(request.compare, [compare]);
    assert!(matches!(&request.success[0], RequestOperation::Put(put) if put.key == base64("foo")));
}

#[test]
fn a_transaction_response_is_read() {
    let response: TransactionResponse = parsed(json!({
        "header": {"cluster_id": "1", "member_id": "1", "revision": "3", "raft_term": "2"},
        "succeeded": true,
        "responses": [{"response_put": {"header": {"revision": "3"}}}]
    }));
    assert!(response.succeeded);
    assert_eq!(response.responses.len(), 1);
}

#[rstest]
#[case::established(
    json!({"result": {"header": {"revision": "1"}, "created": true}}),
    true,
    0
)]
#[case::put(
    json!({"result": {"header": {"revision": "2"}, "events": [{"kv": {
        "key": "Zm9v", "create_revision": "2", "mod_revision": "2", "version": "1",
        "value": "YmFy"
    }}]}}),
    false,
    1
)]
#[case::deletion(
    json!({"result": {"header": {"revision": "3"}, "events": [{"type": "DELETE", "kv": {
        "key": "Zm9v", "mod_revision": "3"
    }}]}}),
    false,
    1
)]
fn messages_of_a_watch_are_read(#[case] item: Value, #[case] created: bool, #[case] events: usize) {
    let item: StreamItem<WatchResponse> = parsed(item);
    let response = item.result.expect("a message");
    assert_eq!(response.created, created);
    assert_eq!(response.events.len(), events);
}

#[test]
fn a_lapsed_lease_has_no_time_to_live() {
    let item: StreamItem<LeaseKeepAliveResponse> = parsed(json!({
        "result": {"header": {"revision": "2"}, "ID": "7587848390988880654"}
    }));
    let response = item.result.expect("a message");
    assert_eq!(response.time_to_live, Int64(0));
    assert_eq!(response.id, Int64(7_587_848_390_988_880_654));
}

#[test]
fn an_unlimited_range_leaves_its_defaults_out() {
    let request = RangeRequest {
        key: base64("foo"),
        ..RangeRequest::default()
    };
    let written = serde_json::to_value(request).expect("JSON");
    let expected = json!({"key": "Zm9v", "sort_order": "NONE", "sort_target": "KEY"});
    assert_eq!(written, expected);
}
