//! The history checker reports the violation in each bad history, and none in good ones.

use dyketally::history::{CheckSettings, Violation, check, read_lines, write_line};
use rstest::rstest;

/// The violations in a history of events, each a line of JSON with single quotes in place of double ones.
fn violations(history: &[&str]) -> Vec<Violation> {
    let text = history.join("\n").replace('\'', "\"");
    let events = read_lines(&text).expect("each line of the history is an event");
    check(&events, CheckSettings::default())
}

const WRITE: &str = "{'event':'write-began','request':1,'session':'s','entries':[{'key':'k','value':'v'}],'repeat':'never'}";
const AGAIN: &str = "{'event':'write-began','request':2,'session':'s','entries':[{'key':'k','value':'v'}],'repeat':'recorded'}";
const PAIR: &str = "{'event':'write-began','request':1,'session':'s','entries':[{'key':'k','value':'v'},{'key':'l','value':'w'}],'repeat':'never'}";
const REPEATABLE: &str = "{'event':'write-began','request':1,'session':'s','entries':[{'key':'k','value':'v'}],'repeat':'repeatable'}";
const DONE: &str = "{'event':'write-ended','request':1,'outcome':'acknowledged'}";
const NOT_RUN: &str = "{'event':'write-ended','request':1,'outcome':'not-run'}";
const UNKNOWN: &str = "{'event':'write-ended','request':1,'outcome':'unknown'}";
const AGAIN_DONE: &str = "{'event':'write-ended','request':2,'outcome':'acknowledged'}";
const AGAIN_NOT_RUN: &str = "{'event':'write-ended','request':2,'outcome':'not-run'}";
const KEPT: &str = "{'event':'final-entry','key':'k','value':'v','times':1}";
const KEPT_TWICE: &str = "{'event':'final-entry','key':'k','value':'v','times':2}";
const KEPT_OTHER: &str = "{'event':'final-entry','key':'k','value':'x','times':1}";
const LOOKUP: &str = "{'event':'lookup-began','request':5,'session':'s','key':'k'}";
const OTHERS_LOOKUP: &str = "{'event':'lookup-began','request':5,'session':'t','key':'k'}";
const FOUND: &str = "{'event':'lookup-ended','request':5,'answer':{'found':'v'}}";
const FOUND_OTHER: &str = "{'event':'lookup-ended','request':5,'answer':{'found':'x'}}";
const ABSENT: &str = "{'event':'lookup-ended','request':5,'answer':'absent'}";
const FAILED: &str = "{'event':'lookup-ended','request':5,'answer':'failed'}";
const RUN: &str = "{'event':'statement','database':'a','connection':1,'transaction':'t1','write':1,'end':'committed','at':0}";
const RUN_ELSEWHERE: &str = "{'event':'statement','database':'b','connection':1,'transaction':'t2','write':1,'end':'committed','at':0}";
const RUN_ROLLED_BACK: &str = "{'event':'statement','database':'b','connection':1,'transaction':'t2','write':1,'end':'rolled-back','at':0}";
const AGAIN_RUN: &str = "{'event':'statement','database':'a','connection':1,'transaction':'t3','write':2,'end':'committed','at':0}";
const BEGIN: &str = "{'event':'statement','database':'a','connection':1,'transaction':'t1','write':null,'end':null,'at':0}";
const COMMIT: &str = "{'event':'statement','database':'a','connection':1,'transaction':'t1','write':null,'end':'committed','at':0}";
const COMMIT_ELSEWHERE: &str = "{'event':'statement','database':'a','connection':2,'transaction':'t1','write':null,'end':'committed','at':0}";
const OTHER: &str = "{'event':'statement','database':'a','connection':1,'transaction':'t2','write':null,'end':'committed','at':0}";
const CLOSED: &str = "{'event':'connection-closed','database':'a','connection':1}";
const LEAVING: &str = "{'event':'leaving','database':'a','at':1000000}";
const IN_TIME: &str = "{'event':'statement','database':'a','connection':1,'transaction':'t1','write':null,'end':null,'at':6000000}";
const LATE: &str = "{'event':'statement','database':'a','connection':1,'transaction':'t1','write':null,'end':'committed','at':6000001}";
const ACCEPTED: &str = "{'event':'accepted','revision':4,'digest':44}";
const ACCEPTED_OTHER: &str = "{'event':'accepted','revision':4,'digest':45}";
const IN_FORCE: &str = "{'event':'in-force','node':'n','revision':4,'digest':44}";
const IN_FORCE_OLDER: &str = "{'event':'in-force','node':'n','revision':3,'digest':33}";
const IN_FORCE_OTHER: &str = "{'event':'in-force','node':'m','revision':4,'digest':45}";
const IN_FORCE_NEXT: &str = "{'event':'in-force','node':'n','revision':5,'digest':55}";
const ENDS_NEXT: &str = "{'event':'final-configuration','node':'n','revision':5}";
const ENDS_NEWEST: &str = "{'event':'final-configuration','node':'n','revision':4}";
const ENDS_OLDER: &str = "{'event':'final-configuration','node':'n','revision':3}";
const REFUSED: &str = "{'event':'refused','digest':44}";
const CUT_OFF: &str = "{'event':'stopped','node':'n','cut_off':2}";
const CUT_NONE: &str = "{'event':'stopped','node':'n','cut_off':0}";

#[rstest]
#[case::write_and_lookup(&[WRITE, RUN, DONE, LOOKUP, FOUND, KEPT])]
#[case::unknown_and_kept(&[WRITE, RUN, UNKNOWN, LOOKUP, ABSENT, KEPT])]
#[case::unknown_and_lost(&[WRITE, RUN, UNKNOWN])]
#[case::not_run(&[WRITE, NOT_RUN, LOOKUP, ABSENT])]
#[case::not_run_after_rollback(&[WRITE, RUN_ROLLED_BACK, NOT_RUN])]
#[case::failed_lookup_of_own_write(&[WRITE, DONE, LOOKUP, FAILED, KEPT])]
#[case::lookup_before_the_reply(&[WRITE, LOOKUP, DONE, ABSENT, KEPT])]
#[case::anothers_write(&[WRITE, DONE, OTHERS_LOOKUP, ABSENT, KEPT])]
#[case::sent_again_after_not_run(&[WRITE, NOT_RUN, AGAIN, AGAIN_DONE, KEPT])]
#[case::recorded_proved_absent(&[AGAIN, AGAIN_RUN, AGAIN_NOT_RUN])]
#[case::repeatable_twice(&[REPEATABLE, RUN, RUN_ELSEWHERE, DONE, KEPT_TWICE])]
#[case::transaction(&[BEGIN, COMMIT, OTHER])]
#[case::closed_in_transaction(&[BEGIN, CLOSED, OTHER])]
#[case::leaving_in_time(&[LEAVING, IN_TIME, LATE])]
#[case::configuration(&[ACCEPTED, IN_FORCE_OLDER, IN_FORCE, ENDS_NEWEST])]
#[case::refused(&[REFUSED, IN_FORCE_OLDER])]
#[case::ends_past_the_newest_known(&[ACCEPTED, IN_FORCE_NEXT, ENDS_NEXT])]
#[case::clean_stop(&[CUT_NONE])]
fn good_histories_pass(#[case] history: &[&str]) {
    assert_eq!(violations(history), vec![]);
}

macro_rules! finds {
    ($pattern:pat) => {
        |violation: &Violation| matches!(violation, $pattern)
    };
}

#[rstest]
#[case::own_write_not_read(&[WRITE, DONE, LOOKUP, ABSENT, KEPT], finds!(Violation::OwnWriteNotRead { .. }))]
#[case::foreign_answer(&[WRITE, DONE, LOOKUP, FOUND_OTHER, KEPT], finds!(Violation::ForeignAnswer { .. }))]
#[case::answer_never_written(&[LOOKUP, FOUND], finds!(Violation::ForeignAnswer { .. }))]
#[case::two_replies(&[WRITE, DONE, DONE, KEPT], finds!(Violation::UnexpectedReply { .. }))]
#[case::two_answers(&[LOOKUP, ABSENT, ABSENT], finds!(Violation::UnexpectedReply { .. }))]
#[case::reply_without_request(&[DONE], finds!(Violation::UnexpectedReply { .. }))]
#[case::no_reply(&[WRITE, RUN, KEPT], finds!(Violation::Unanswered { .. }))]
#[case::no_answer(&[LOOKUP], finds!(Violation::Unanswered { .. }))]
#[case::lost(&[WRITE, RUN, DONE], finds!(Violation::AcknowledgedWriteLost { .. }))]
#[case::applied_twice(&[WRITE, DONE, KEPT_TWICE], finds!(Violation::AppliedTwice { .. }))]
#[case::applied_for_two_requests(&[WRITE, UNKNOWN, AGAIN, AGAIN_DONE, KEPT, KEPT], finds!(Violation::AppliedTwice { .. }))]
#[case::run_twice(&[WRITE, RUN, RUN_ELSEWHERE, DONE, KEPT], finds!(Violation::RunTwice { .. }))]
#[case::not_run_is_in_log(&[WRITE, NOT_RUN, KEPT], finds!(Violation::NotRunWasApplied { .. }))]
#[case::recorded_not_run_is_in_log(&[AGAIN, AGAIN_RUN, AGAIN_NOT_RUN, KEPT], finds!(Violation::NotRunWasApplied { .. }))]
#[case::not_run_was_committed(&[WRITE, RUN, NOT_RUN], finds!(Violation::NotRunWasCommitted { .. }))]
#[case::foreign_entry(&[KEPT], finds!(Violation::ForeignEntry { .. }))]
#[case::foreign_value(&[WRITE, DONE, KEPT_OTHER], finds!(Violation::ForeignEntry { .. }))]
#[case::in_part(&[PAIR, UNKNOWN, KEPT], finds!(Violation::AppliedInPart { .. }))]
#[case::mixed(&[BEGIN, OTHER], finds!(Violation::TransactionsMixed { .. }))]
#[case::moved(&[BEGIN, COMMIT_ELSEWHERE], finds!(Violation::TransactionMoved { .. }))]
#[case::after_its_end(&[BEGIN, COMMIT, COMMIT], finds!(Violation::TransactionMoved { .. }))]
#[case::transaction_after_leaving(&[LEAVING, LATE], finds!(Violation::WorkAfterLeaving { .. }))]
#[case::cut_off(&[CUT_OFF], finds!(Violation::StopCutOff { .. }))]
#[case::reverted(&[IN_FORCE, IN_FORCE_OLDER], finds!(Violation::ConfigurationReverted { .. }))]
#[case::two_accepted(&[ACCEPTED, ACCEPTED_OTHER], finds!(Violation::ConfigurationForked { .. }))]
#[case::forked(&[ACCEPTED, IN_FORCE, IN_FORCE_OTHER], finds!(Violation::ConfigurationForked { .. }))]
#[case::refused_in_force(&[REFUSED, IN_FORCE], finds!(Violation::RefusedInForce { .. }))]
#[case::missed(&[ACCEPTED, ENDS_OLDER], finds!(Violation::ConfigurationMissed { .. }))]
fn bad_histories_are_found(#[case] history: &[&str], #[case] expected: fn(&Violation) -> bool) {
    let violations = violations(history);
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(expected(&violations[0]), "{violations:?}");
}

#[test]
fn events_survive_their_lines() {
    let text = [PAIR, DONE, LOOKUP, FOUND, RUN, LEAVING, ACCEPTED, KEPT].join("\n");
    let events = read_lines(&text.replace('\'', "\"")).unwrap();
    let lines: Vec<_> = events.iter().map(write_line).collect();
    assert_eq!(read_lines(&lines.join("\n")).unwrap(), events);
}

#[test]
fn a_line_that_is_no_event_is_named() {
    let refused = read_lines("\n{}").unwrap_err();
    assert!(refused.to_string().starts_with("line 2 "));
}
