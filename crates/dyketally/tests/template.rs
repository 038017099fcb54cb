//! Documents of operators: what is accepted, and that every fault is reported with its remedy.

use std::time::Duration;

use dyketally::document::Fault;
use dyketally::identifiers::{GroupName, TenantName};
use dyketally::policy::{Access, Confirmation, Repeat, StatementMatcher, Urgency};
use dyketally::template::{Documents, Template, check_group, resolve};
use rstest::rstest;

const TEMPLATE: &str = r#"
name = "orders"
weight = "${weight}"
confirmation = "majority-term"

[databases]
shop = "${ledger}"

[parameters]
ledger = { type = "group" }
weight = { type = "integer", default = 10 }
table = { type = "text", default = "orders" }

[[statements]]
match = { prefix = "INSERT INTO ${table}" }
access = "write"
urgency = "urgent"
repeat = "recorded"
deadline = "250ms"

[[statements]]
match = { prefix = "SELECT" }
access = "read"
deadline = "2s"
"#;

const GROUP: &str = r#"
name = "ledger"
[[members]]
name = "ledger-a"
address = "10.0.0.1:5432"
region = "south"
zone = "a"
connection_limit = 40
slots = 5
"#;

const TENANT: &str = r#"
name = "shop"
template = "orders"
[parameters]
ledger = "ledger"
weight = 20
"#;

fn documents() -> Documents {
    let mut documents = Documents::default();
    documents
        .groups
        .insert("ledger".to_owned(), GROUP.to_owned());
    documents
        .templates
        .insert("orders".to_owned(), TEMPLATE.to_owned());
    documents
        .tenants
        .insert("shop".to_owned(), TENANT.to_owned());
    documents
}

fn lines(faults: Vec<Fault>) -> Vec<String> {
    faults.iter().map(Fault::to_string).collect()
}

/// `text` with `from`, which must be in it, replaced by `to`.
fn change(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from:?} is not in the text");
    text.replacen(from, to, 1)
}

/// Asserts that `faults` are exactly the expected ones, each given by a part of its line.
fn assert_faults(faults: Vec<Fault>, expected: &[&str]) {
    let lines = lines(faults);
    assert_eq!(lines.len(), expected.len(), "{lines:#?}");
    for (line, part) in lines.iter().zip(expected) {
        assert!(line.contains(part), "{part:?} is not in {line:?}");
    }
}

#[test]
fn fills_in_parameters_and_defaults() {
    let policy = resolve(&documents()).unwrap_or_else(|faults| panic!("{:#?}", lines(faults)));
    let tenant = &policy.tenants[&TenantName::from("shop")];
    assert_eq!(tenant.weight, 20);
    assert_eq!(tenant.queue_limit, 100);
    assert_eq!(tenant.confirmation, Confirmation::MajorityTerm);
    assert_eq!(tenant.databases["shop"], GroupName::from("ledger"));
    let matcher = StatementMatcher::Prefix("INSERT INTO orders".to_owned());
    assert_eq!(tenant.rules[0].matcher, matcher);
    let policy_of_rule = &tenant.rules[0].policy;
    assert_eq!(policy_of_rule.access, Access::Write);
    assert_eq!(policy_of_rule.urgency, Urgency::Urgent);
    assert_eq!(policy_of_rule.repeat, Repeat::Recorded);
    assert_eq!(policy_of_rule.deadline, Duration::from_millis(250));
    assert_eq!(tenant.rules[1].policy.repeat, Repeat::Repeatable);
    let group = &policy.groups[&GroupName::from("ledger")];
    assert_eq!(group.members[0].connection_limit, 40);
    assert_eq!(group.ledger_table, "dyketally_ledger");
}

#[rstest]
#[case::accepted("SELECT", "SELECT", &[])]
#[case::syntax("[databases]", "[databases", &["correct the TOML syntax"])]
#[case::no_name("name = \"orders\"", "", &["template: name: is missing; set it to a name"])]
#[case::bad_name("\"orders\"", "\"no name\"", &["name: is \"no name\"; set it to a name"])]
#[case::unknown_key("weight =", "wait =", &["wait: unknown key; remove it or use one of: databases, weight"])]
#[case::zero_weight("\"${weight}\"", "0", &["parameters.weight: is declared but not used", "weight: is 0; set it to a value from 1 to 1000"])]
#[case::zero_by_default("default = 10", "default = 0", &["weight: is 0; set it to a value from 1"])]
#[case::wrong_default("default = 10", "default = \"10\"", &["parameters.weight.default: is \"10\"; set it to a whole number", "weight: is \"10\""])]
#[case::unknown_type("\"group\"", "\"cluster\"", &["parameters.ledger.type: is \"cluster\"; set it to one of", "databases.shop: uses ${ledger}, which is not declared", "databases.shop: is \"${ledger}\"; set it to a name"])]
#[case::unknown_parameter_key("default = 10", "standard = 10", &["parameters.weight.standard: unknown key"])]
#[case::undeclared("${table}", "${tables}", &["statements[0].match.prefix: uses ${tables}, which is not declared; declare it", "parameters.table: is declared but not used; use ${table}"])]
#[case::placeholder_without_end("${table}", "${table", &["statements[0].match.prefix: has a placeholder that is not", "parameters.table: is declared but not used"])]
#[case::unknown_confirmation("majority-term", "all", &["confirmation: is \"all\"; set it to one of \"majority-position\", \"majority-term\""])]
#[case::no_databases("shop = \"${ledger}\"", "", &["parameters.ledger: is declared but not used", "databases: is empty; give at least one database"])]
#[case::recorded_read("access = \"write\"", "access = \"read\"", &["statements[0].repeat: records a read; set `repeat`"])]
#[case::deadline_too_short("250ms", "1ms", &["statements[0].deadline: is 1ms; set it to a value from 5ms to 5m"])]
#[case::deadline_too_long("250ms", "1h", &["statements[0].deadline: is 1h; set it to a value from 5ms"])]
#[case::deadline_without_unit("\"250ms\"", "250", &["statements[0].deadline: is 250; set it to a duration such as"])]
#[case::deadline_missing("deadline = \"250ms\"", "", &["statements[0].deadline: is missing; set it to a duration"])]
#[case::access_missing("access = \"write\"", "", &["statements[0].access: is missing; set it to one of \"read\", \"write\""])]
#[case::unknown_rule_key("urgency", "priority", &["statements[0].priority: unknown key; remove it or use one of: match, access, urgency"])]
#[case::two_matchers("{ prefix = \"SELECT\" }", "{ prefix = \"SELECT\", comment = \"x\" }", &["statements[1].match: is comment with prefix; set it to exactly one of"])]
#[case::no_matcher("{ prefix = \"SELECT\" }", "{}", &["statements[1].match: is missing; set it to exactly one of"])]
#[case::blank_prefix("\"SELECT\"", "\" \"", &["statements[1].match.prefix: is empty; give at least one word"])]
#[case::shadowed("\"SELECT\"", "\"insert into orders (key)\"", &["statements[1].match: never matches, because statements[0] matches first; remove it"])]
#[case::statements_no_list("[[statements]]\nmatch = { prefix = \"INSERT INTO ${table}\" }\naccess = \"write\"\nurgency = \"urgent\"\nrepeat = \"recorded\"\ndeadline = \"250ms\"\n\n[[statements]]", "[statements]", &["parameters.table: is declared but not used", "statements: is a table; set it to a list of tables [[statements]]", "statements: is empty; give at least one [[statements]]"])]
fn reports_every_fault_of_a_template(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &[&str],
) {
    let result = Template::parse_and_check("template", &change(TEMPLATE, from, to));
    let faults = result.err().unwrap_or_default();
    assert_faults(faults, expected);
}

#[rstest]
#[case::accepted("slots = 5", "slots = 5", &[])]
#[case::unknown_key("slots = 5", "slots = 5\nport = 1", &["members[0].port: unknown key"])]
#[case::no_members("[[members]]", "[members]", &["members: is a table; set it to a list", "members: is empty"])]
#[case::bad_address("10.0.0.1:5432", "db-1", &["members[0].address: is \"db-1\"; set it to an IP address and port"])]
#[case::zero_slots("slots = 5", "slots = 0", &["members[0].slots: is 0; set it to a value from 1"])]
#[case::negative("slots = 5", "slots = -5", &["members[0].slots: is -5; set it to a value from 1"])]
#[case::too_few("= 40", "= 5", &["members[0].connection_limit: is 5, which leaves none beside 5 slots; allow more"])]
#[case::ledger("name = \"ledger\"", "name = \"ledger\"\nledger_table = \"a; b\"", &["ledger_table: is \"a; b\"; set it to a table name"])]
#[case::missing("zone = \"a\"", "", &["members[0].zone: is missing; set it to a name"])]
fn reports_every_fault_of_a_group(#[case] from: &str, #[case] to: &str, #[case] expected: &[&str]) {
    let result = check_group("group", &change(GROUP, from, to));
    assert_faults(result.err().unwrap_or_default(), expected);
}

#[rstest]
#[case::unknown_template("\"orders\"", "\"order\"", &["tenant \"shop\": template: names the template \"order\", which doesn't exist; name an existing"])]
#[case::unknown_group("\"ledger\"", "\"leger\"", &["tenant \"shop\": databases.shop: names the group \"leger\", which doesn't exist; name an existing"])]
#[case::missing_parameter("ledger = \"ledger\"", "", &["parameters.ledger: is missing; give this parameter of template \"orders\" the name of a group"])]
#[case::unknown_parameter("weight", "wait", &["parameters.wait: unknown key; remove it or use one of: ledger, table, weight"])]
#[case::wrong_type("20", "\"20\"", &["parameters.weight: is \"20\"; set it to a whole number"])]
#[case::out_of_range("20", "0", &["tenant \"shop\" filled into template \"orders\": weight: is 0; set it to a value from 1"])]
#[case::blank_text("weight = 20", "weight = 20\ntable = \" \"", &["parameters.table: is \" \"; set it to a text that isn't blank"])]
#[case::renamed("\"shop\"", "\"shops\"", &["name: is \"shops\", but the document is kept as \"shop\"; give both the same name"])]
#[case::unknown_key("template", "templates", &["template: is missing", "templates: unknown key"])]
fn reports_every_fault_of_a_tenant(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &[&str],
) {
    let mut documents = documents();
    let tenant = change(TENANT, from, to);
    documents.tenants.insert("shop".to_owned(), tenant);
    assert_faults(resolve(&documents).err().unwrap_or_default(), expected);
}

#[test]
fn databases_and_addresses_belong_to_one_group() {
    let mut documents = documents();
    let other = change(GROUP, "\"ledger\"", "\"other\"");
    documents.groups.insert("other".to_owned(), other);
    let faults = resolve(&documents).err().unwrap_or_default();
    let first = "which group \"ledger\" member \"ledger-a\" has already; use a different one";
    assert_faults(faults, &[first, first]);
}

#[test]
fn reports_the_faults_of_all_documents_together() {
    let mut documents = documents();
    let group = change(GROUP, "slots = 5", "slots = 0");
    let template = change(TEMPLATE, "250ms", "1ms");
    let tenant = change(TENANT, "template =", "model =");
    documents.groups.insert("ledger".to_owned(), group);
    documents.templates.insert("orders".to_owned(), template);
    documents.tenants.insert("shop".to_owned(), tenant);
    let faults = resolve(&documents).err().unwrap_or_default();
    let expected = [
        "members[0].slots",
        "statements[0].deadline",
        "template: is missing",
        "model",
    ];
    assert_faults(faults, &expected);
}
