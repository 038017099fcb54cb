//! Table tests of the rules in `decision`. Where reads, writes and transactions differ, the name of the
//! case says so.

mod choose;
mod give_up;
mod intake;
mod learn;
mod make_room;
mod refuse;
mod retry;
mod waits;
