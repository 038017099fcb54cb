//! The directory of each group's databases, built from their announcements.

use std::time::Duration;

use dyketally::directory::{
    Announcement, Directory, DirectoryChange, Incarnation, InvalidAnnouncement, MemberState,
};
use dyketally::group::Role;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::time::Timestamp;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn announcement(name: &str, role: Role, ready: bool) -> Announcement {
    Announcement {
        database: name.into(),
        group: "orders".into(),
        address: "127.0.0.1:5432".parse().expect("an address"),
        zone: "east".into(),
        slots: 3,
        ready,
        role,
        cold_for: Duration::ZERO,
        incarnation: None,
    }
}

fn primary_of(directory: &Directory) -> Option<DatabaseName> {
    let group = GroupName::from("orders");
    directory
        .primary(&group)
        .map(|member| member.name().clone())
}

fn with(members: &[(&str, Role)]) -> Directory {
    let mut directory = Directory::default();
    for (name, role) in members {
        directory.announced(at(0), announcement(name, *role, true));
    }
    directory
}

#[test]
fn the_only_database_that_announces_the_role_leads() {
    let mut directory = with(&[("a", Role::Primary), ("b", Role::Replica)]);
    assert_eq!(primary_of(&directory), Some("a".into()));
    directory.announced(at(1), announcement("a", Role::Replica, true));
    let change = directory.announced(at(1), announcement("b", Role::Primary, true));
    let expected = DirectoryChange::RoleChanged("b".into(), Role::Primary);
    assert_eq!(change, Some(expected));
    assert_eq!(primary_of(&directory), Some("b".into()));
}

/// Guards against taking the order in which databases are heard of for the order in which they led.
#[test]
fn of_two_databases_that_announce_the_role_neither_leads_until_one_is_confirmed() {
    let group = GroupName::from("orders");
    let mut directory = with(&[("a", Role::Primary), ("b", Role::Primary)]);
    assert_eq!(primary_of(&directory), None);
    assert!(directory.is_contested(&group));
    directory.acted_as_primary(&"a".into());
    assert_eq!(primary_of(&directory), Some("a".into()));
    assert!(!directory.is_contested(&group));
}

/// Guards against a former primary that displaces its successor by announcing itself again.
#[test]
fn a_former_primary_that_appears_does_not_displace_a_confirmed_one() {
    let group = GroupName::from("orders");
    let mut directory = with(&[("b", Role::Replica)]);
    directory.promoted(at(1), &"b".into());
    directory.announced(at(2), announcement("b", Role::Primary, true));
    directory.announced(at(3), announcement("a", Role::Primary, true));
    assert_eq!(primary_of(&directory), Some("b".into()));
    assert!(directory.is_contested(&group));
    directory.refused_as_primary(&"b".into());
    assert_eq!(primary_of(&directory), None, "`a` isn't confirmed");
    directory.announced(at(3), announcement("b", Role::Replica, true));
    assert_eq!(primary_of(&directory), None, "`a` isn't confirmed");
    directory.announced(at(4), announcement("a", Role::Replica, true));
    directory.promoted(at(5), &"b".into());
    assert_eq!(primary_of(&directory), Some("b".into()));
    assert!(!directory.is_contested(&group));
}

#[test]
fn repeating_an_announcement_changes_nothing() {
    let mut directory = with(&[("a", Role::Primary), ("b", Role::Primary)]);
    directory.acted_as_primary(&"b".into());
    let change = directory.announced(at(1), announcement("a", Role::Primary, true));
    assert_eq!(change, None);
    assert_eq!(primary_of(&directory), Some("b".into()));
}

#[test]
fn a_refused_primary_does_not_lead_until_it_acts_as_primary_again() {
    let mut directory = with(&[("a", Role::Primary), ("b", Role::Replica)]);
    directory.refused_as_primary(&"a".into());
    assert_eq!(primary_of(&directory), None);
    directory.acted_as_primary(&"b".into());
    assert_eq!(primary_of(&directory), Some("b".into()));
    directory.refused_as_primary(&"b".into());
    directory.acted_as_primary(&"a".into());
    assert_eq!(primary_of(&directory), Some("a".into()));
}

#[test]
fn a_draining_database_is_reported_once() {
    let mut directory = with(&[("a", Role::Primary)]);
    let draining = announcement("a", Role::Primary, false);
    let change = directory.announced(at(5), draining.clone());
    assert_eq!(change, Some(DirectoryChange::Leaving("a".into())));
    assert_eq!(directory.announced(at(9), draining), None);
    let member = directory.member(&"a".into()).expect("a member");
    assert_eq!(member.state, MemberState::Draining);
    assert_eq!(member.leaving_since, Some(at(5)));
}

#[test]
fn an_unlisted_database_is_gone_only_after_the_grace_period() {
    let mut directory = with(&[("a", Role::Primary)]);
    directory.vanished(at(10), &"a".into());
    assert_eq!(directory.settle_unlisted(at(9)), Vec::new());
    assert_eq!(primary_of(&directory), Some("a".into()));
    let changes = directory.settle_unlisted(at(10));
    assert_eq!(changes, vec![DirectoryChange::Leaving("a".into())]);
    let member = directory.member(&"a".into()).expect("a member");
    assert_eq!(member.state, MemberState::Gone);
    assert_eq!(member.leaving_since, Some(at(10)));
}

#[test]
fn a_database_that_announces_itself_in_time_stays_listed() {
    let mut directory = with(&[("a", Role::Primary), ("b", Role::Replica)]);
    let changes = directory.replaced(at(10), vec![announcement("b", Role::Replica, true)]);
    assert_eq!(changes, Vec::new());
    assert_eq!(directory.oldest_unlisted(), Some(at(10)));
    directory.announced(at(11), announcement("a", Role::Primary, true));
    assert_eq!(directory.oldest_unlisted(), None);
    assert_eq!(directory.settle_unlisted(at(1_000)), Vec::new());
}

#[test]
fn gone_databases_are_forgotten_eventually() {
    let mut directory = with(&[("a", Role::Replica)]);
    directory.vanished(at(10), &"a".into());
    directory.settle_unlisted(at(10));
    assert_eq!(directory.forget_gone_before(at(10)), Vec::new());
    let later = at(10) + Duration::from_millis(1);
    let changes = directory.forget_gone_before(later);
    assert_eq!(changes, vec![DirectoryChange::Forgotten("a".into())]);
    assert_eq!(directory.groups(), Vec::new());
}

fn born(at_ms: u64, name: &str, role: Role) -> Announcement {
    Announcement {
        incarnation: Some(Incarnation(at_ms)),
        ..announcement(name, role, true)
    }
}

#[test]
fn a_database_that_starts_again_under_its_name_begins_anew() {
    let mut directory = Directory::default();
    directory.announced(at(0), born(1, "a", Role::Replica));
    directory.announced(at(1), born(1, "a", Role::Primary));
    directory.refused_as_primary(&"a".into());
    let change = directory.announced(at(2), born(2, "a", Role::Replica));
    assert_eq!(change, Some(DirectoryChange::Restarted("a".into())));
    let member = directory.member(&"a".into()).expect("a member");
    assert_eq!(member.listed_since, at(2));
    assert_eq!(member.promoted_at, None);
    assert!(!member.refuted);
    assert_eq!(primary_of(&directory), None);
}

#[test]
fn an_announcement_of_a_former_life_changes_nothing() {
    let mut directory = Directory::default();
    directory.announced(at(0), born(2, "a", Role::Replica));
    let change = directory.announced(at(1), born(1, "a", Role::Primary));
    assert_eq!(change, None);
    assert_eq!(primary_of(&directory), None);
}

#[test]
fn a_life_that_is_announced_again_goes_on() {
    let mut directory = Directory::default();
    directory.announced(at(0), born(1, "a", Role::Primary));
    assert_eq!(
        directory.announced(at(1), born(1, "a", Role::Primary)),
        None
    );
    assert_eq!(primary_of(&directory), Some("a".into()));
}

#[test]
fn a_database_that_starts_again_in_another_group_belongs_to_it_alone() {
    let mut directory = Directory::default();
    directory.announced(at(0), born(1, "a", Role::Primary));
    let mut moved = born(2, "a", Role::Primary);
    moved.group = "stock".into();
    directory.announced(at(1), moved);
    assert_eq!(primary_of(&directory), None);
    assert_eq!(directory.groups(), vec![GroupName::from("stock")]);
}

/// Guards against an entry of another writer that is taken for a database although none can be connected to by it.
#[test]
fn an_announcement_that_can_not_be_connected_to_is_invalid() {
    let valid = announcement("a", Role::Replica, true);
    assert_eq!(valid.validate(), Ok(()));
    let mut without_port = valid.clone();
    without_port.address.set_port(0);
    assert_eq!(without_port.validate(), Err(InvalidAnnouncement::NoPort));
    for name in ["", "a b", "a\r\nQUERY"] {
        let mut group = valid.clone();
        group.group = name.into();
        let refused = Err(InvalidAnnouncement::NotAWord("group"));
        assert_eq!(group.validate(), refused, "{name:?}");
        let mut database = valid.clone();
        database.database = name.into();
        let refused = Err(InvalidAnnouncement::NotAWord("database"));
        assert_eq!(database.validate(), refused, "{name:?}");
    }
}
