//! Parsing and formatting of the catalogue file.

use proptest::prelude::*;
use quetzalhill::catalogue_file::{parse, to_toml};
use quetzalhill_core::catalogue::TrafficClass;
use yare::parameterized;

const VALID: &str = r#"
[service.feed]
owner = "Lucky Slip"
class = "urgent"
addresses = ["10.0.0.1:443", "10.0.0.2:443"]
path_classes = { "/edit" = "urgent", "/history" = "bulk" }

[service.feed.limits]
flows = 2_000
slot_share = 0.5
deadline = "10s"
max_deadline = "2h 30m"

[service.batch]
owner = "Lucky Slip"
addresses = ["10.0.0.3:443"]
"#;

/// Guards against values that the parser loses or converts wrongly, such as durations and omitted defaults.
#[test]
fn valid_file_is_parsed() {
    let services = parse("good.toml", VALID).expect("a valid file");
    let feed = &services["feed"];
    assert_eq!(feed.class, TrafficClass::Urgent);
    assert_eq!(feed.addresses.len(), 2);
    assert_eq!(feed.path_classes.len(), 2);
    assert_eq!(feed.limits.flows, 2_000);
    assert_eq!(feed.limits.deadline_ms, 10_000);
    assert_eq!(feed.limits.max_deadline_ms, 9_000_000);
    assert_eq!(services["batch"].class, TrafficClass::Standard);
}

/// Guards against a printed catalogue that cannot be applied again.
#[test]
fn printed_catalogue_parses_to_the_same_services() {
    let services = parse("good.toml", VALID).expect("a valid file");
    let text = to_toml(&services);
    assert_eq!(parse("printed.toml", &text).expect("printed"), services);
}

/// Guards against errors without the line, the key or the allowed values.
#[parameterized(
    syntax = { "[service.a\nowner = 1", 1, "" },
    unknown_table = { "[services.a]\n", 1, "services" },
    unknown_key = { "[service.a]\nowner = \"o\"\naddresses = [\"10.0.0.1:1\"]\ncolour = 1\n", 4, "service.a.colour" },
    owner_missing = { "\n[service.a]\naddresses = [\"10.0.0.1:1\"]\n", 2, "service.a.owner" },
    owner_number = { "[service.a]\nowner = 1\naddresses = [\"10.0.0.1:1\"]\n", 2, "service.a.owner" },
    bad_class = { "[service.a]\nowner = \"o\"\naddresses = [\"10.0.0.1:1\"]\nclass = \"fast\"\n", 4, "service.a.class" },
    bad_address = { "[service.a]\nowner = \"o\"\naddresses = [\n\"10.0.0.1:1\",\n\"host:1\"]\n", 5, "service.a.addresses" },
    bad_duration = { "[service.a]\nowner = \"o\"\naddresses = [\"10.0.0.1:1\"]\n[service.a.limits]\ndeadline = 10\n", 5, "service.a.limits.deadline" },
    negative = { "[service.a]\nowner = \"o\"\naddresses = [\"10.0.0.1:1\"]\nlimits.queue = -1\n", 4, "service.a.limits.queue" },
    invalid_value = { "[service.a]\nowner = \"o\"\naddresses = [\"10.0.0.1:1\"]\n[service.a.limits]\nqueue = 9999\n", 5, "service.a.limits.queue" },
    invalid_default = { "[service.a]\nowner = \"o\"\naddresses = [\"10.0.0.1:1\"]\n[service.a.limits]\nmax_deadline = \"1s\"\n", 4, "service.a.limits.deadline" },
)]
fn error_names_line_key_and_what_is_allowed(text: &str, line: usize, key: &str) {
    let errors = parse("bad.toml", text).expect_err("an invalid file");
    assert_eq!(
        (errors[0].line, errors[0].key.as_str()),
        (line, key),
        "{errors:?}"
    );
    let shown = errors[0].to_string();
    assert!(shown.starts_with(&format!("bad.toml:{line}: ")), "{shown}");
    assert!(shown.contains("; allowed: "), "{shown}");
}

proptest! {
    /// Guards against a panic on arbitrary text.
    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC*") {
        let _ = parse("any.toml", &text);
    }

    /// Guards against a panic on arbitrary values of known keys, which arbitrary text rarely reaches.
    #[test]
    fn arbitrary_value_does_not_panic(
        key in "(owner|class|addresses|path_classes|limits|limits\\.(queue|flows|deadline|slot_share|x))",
        value in "(\"[^\"\\\\]{0,20}\"|-?[0-9]{1,25}|0x[0-9a-f]{1,20}|[0-9.e]{1,9}|nan|-?inf|true|\\[\\]|\\{\\}|[0-9-]{1,10})",
    ) {
        let text = format!("[service.a]\n{key} = {value}\n");
        let _ = parse("any.toml", &text);
    }
}
