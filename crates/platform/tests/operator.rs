//! Tests of the keys that operators write beside the manifest.

use quetzalhill_platform::manifest::MANIFEST_KEY;
use quetzalhill_platform::operator::{
    evacuated_zone, evacuation_key, EvacuationError, OPERATOR_PREFIX,
};
use yare::parameterized;

/// Guards against a malformed key that evacuates a zone, a key for something else that is taken for a malformed one, and
/// a zone's name that is altered.
#[parameterized(
    zone = { "op/evacuate/zone-a", Ok(Some("zone-a")) },
    name_with_dots = { "op/evacuate/eu.west.1", Ok(Some("eu.west.1")) },
    name_with_spaces = { "op/evacuate/ a ", Ok(Some(" a ")) },
    no_name = { "op/evacuate/", Err(EvacuationError::NoZone) },
    nested = { "op/evacuate/a/b", Err(EvacuationError::Nested) },
    trailing_slash = { "op/evacuate/a/", Err(EvacuationError::Nested) },
    only_slash = { "op/evacuate//", Err(EvacuationError::Nested) },
    no_slash = { "op/evacuate", Ok(None) },
    longer_word = { "op/evacuated/a", Ok(None) },
    manifest = { MANIFEST_KEY, Ok(None) },
    empty = { "", Ok(None) },
)]
fn key_names_a_zone(key: &str, expected: Result<Option<&str>, EvacuationError>) {
    let expected = expected.map(|zone| zone.map(String::from));
    assert_eq!(evacuated_zone(key), expected);
}

/// Guards against a prefix that misses the manifest or the evacuations: one read has to return both.
#[test]
fn one_prefix_covers_all_keys() {
    assert!(MANIFEST_KEY.starts_with(OPERATOR_PREFIX));
    assert!(evacuation_key("zone-a").starts_with(OPERATOR_PREFIX));
}
