//! The rules of `decision`, in tables. Where reads, writes and transactions differ, the case's name says
//! so.

mod choose;
mod give_up;
mod learn;
mod refuse;
mod retry;
mod waits;
