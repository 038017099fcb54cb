//! Fuzzing of the operators' documents: any text resolves to a policy or to a list of faults, without a panic.

use dyketally::policy::{
    Access, Repeat, StatementMatcher, StatementPolicy, StatementRule, Urgency,
};
use dyketally::template::{Documents, StatementText, classify, resolve};
use proptest::prelude::*;

const GROUP: &str = include_str!("../../../examples/groups/lobby-1.toml");
const TEMPLATE: &str = include_str!("../../../examples/templates/lobby.toml");
const TENANT: &str = include_str!("../../../examples/tenants/racers-erie.toml");

/// `text` with fewer than 40 characters cut out and a random text inserted in their place.
fn mutated(text: &'static str) -> impl Strategy<Value = String> {
    let boundaries: Vec<usize> = text.char_indices().map(|(index, _)| index).collect();
    let cut = prop::sample::select(boundaries.clone());
    let length = 0..40_usize;
    (
        cut,
        length,
        "[ -~\\n]{0,12}|\\$\\{[a-z_]{0,8}\\}?|\\[\\[?[a-z]{1,9}\\]\\]?",
    )
        .prop_map(move |(start, length, inserted)| {
            let rest: String = text[start..].chars().skip(length).collect();
            format!("{}{inserted}{rest}", &text[..start])
        })
}

proptest! {
    #[test]
    fn resolving_mutated_documents_never_panics(
        group in mutated(GROUP),
        template in mutated(TEMPLATE),
        tenant in mutated(TENANT),
        which in 0..8_u8,
    ) {
        let mutated_or_valid = |bit: u8, mutated: String, valid: &str| match which & bit {
            0 => mutated,
            _ => valid.to_owned(),
        };
        let mut documents = Documents::default();
        documents.groups.insert("lobby-1".to_owned(), mutated_or_valid(1, group, GROUP));
        documents.templates.insert("lobby".to_owned(), mutated_or_valid(2, template, TEMPLATE));
        documents.tenants.insert("racers-erie".to_owned(), mutated_or_valid(4, tenant, TENANT));
        match resolve(&documents) {
            Ok(policy) => prop_assert_eq!(policy.tenants.len(), 1),
            Err(faults) => prop_assert!(!faults.is_empty()),
        }
    }

    /// A statement that begins with the rule's words, in any letter case and spacing, is matched;
    /// one whose last word continues with another letter is not.
    #[test]
    fn prefixes_match_at_the_boundary_of_a_name(
        words in prop::collection::vec("[A-Za-z_é]{1,6}", 1..4),
        space in "[ \\t\\n]{1,3}",
        rest in "\\PC{0,20}",
    ) {
        let policy = StatementPolicy {
            access: Access::Read,
            urgency: Urgency::Normal,
            repeat: Repeat::Never,
            deadline: std::time::Duration::from_secs(1),
        };
        let matcher = StatementMatcher::Prefix(words.join(" "));
        let rules = [StatementRule { matcher, policy }];
        let matches = |query: &str| {
            let prepared_name = None;
            classify(&rules, StatementText { query, prepared_name }).is_some()
        };
        let spaced = words.join(&space).to_ascii_uppercase();
        let matched = format!("{space}{spaced}{space}{rest}");
        prop_assert!(matches(&matched));
        let longer = format!("{spaced}x{rest}");
        prop_assert!(!matches(&longer));
        matches(&rest);
    }
}
