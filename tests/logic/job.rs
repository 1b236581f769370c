//! Tests of job identities.

use oriolefork::job::Id;
use test_case::test_case;

#[test_case("00000000000000ff", Some(Id::from_raw(255)) ; "sixteen_digits")]
#[test_case("ff", None ; "too_short")]
#[test_case("+0000000000000ff", None ; "sign")]
#[test_case("zz000000000000ff", None ; "not_hex")]
fn parse_text(text: &str, expected: Option<Id>) {
    assert_eq!(Id::parse(text), expected);
}

#[test]
fn derive_splits_team_from_key() {
    assert_ne!(Id::derive("ab", "c"), Id::derive("a", "bc"));
}
