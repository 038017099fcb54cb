//! Load pattern: one statement asks for the members of one group several times, while the fleet has any number of
//! groups. A flat list of all databases was scanned for each question, so that each statement cost more the more groups
//! there were, and on nodes with a small share of a processor answers were late.

use std::cell::Cell;
use std::cmp::Ordering;

use dyketally::directory::GroupIndex;

const MEMBERS: usize = 3;

thread_local! {
    static COMPARISONS: Cell<usize> = const { Cell::new(0) };
}

/// A name that counts how often it is compared.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Counted(usize);

impl Ord for Counted {
    fn cmp(&self, other: &Self) -> Ordering {
        COMPARISONS.set(COMPARISONS.get() + 1);
        self.0.cmp(&other.0)
    }
}

impl PartialOrd for Counted {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The most comparisons that any question for the members of one of `groups` groups takes.
fn comparisons_for_a_question(groups: usize) -> usize {
    let mut index = GroupIndex::default();
    for group in 0..groups {
        for member in 0..MEMBERS {
            index.insert(&Counted(group), &Counted(group * MEMBERS + member));
        }
    }
    let questions = (0..groups).map(|group| {
        COMPARISONS.set(0);
        assert_eq!(index.members(&Counted(group)).count(), MEMBERS);
        COMPARISONS.get()
    });
    questions.max().unwrap_or_default()
}

#[test]
fn a_question_for_a_group_hardly_grows_with_the_number_of_groups() {
    let at_250 = comparisons_for_a_question(250);
    for groups in [1_000, 2_000] {
        let comparisons = comparisons_for_a_question(groups);
        // A search tree of 2,000 groups is one level of up to 11 comparisons higher than one of 250.
        assert!(
            comparisons <= at_250 + 11,
            "{comparisons} comparisons for {groups} groups, {at_250} for 250"
        );
    }
}

#[test]
fn a_group_is_listed_while_it_has_a_member() {
    let mut index = GroupIndex::default();
    index.insert(&"orders", &"a");
    index.insert(&"orders", &"b");
    index.insert(&"stock", &"c");
    index.remove(&"orders", &"a");
    assert_eq!(index.members(&"orders").collect::<Vec<_>>(), [&"b"]);
    index.remove(&"orders", &"b");
    assert_eq!(index.groups().collect::<Vec<_>>(), [&"stock"]);
}
