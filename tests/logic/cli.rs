//! Text for terminals.

use oriolefork::cli::text::{Span, Table, clean, clean_json, span};
use proptest::prelude::*;
use test_case::test_case;

#[test_case("30s", Some(30_000) ; "seconds")]
#[test_case("1h 30m", Some(5_400_000) ; "hours")]
#[test_case("0s", None ; "zero")]
#[test_case("-5s", None ; "negative")]
#[test_case("5", None ; "no_unit")]
#[test_case("99999999999999999999h", None ; "absurd")]
fn span_parse(text: &str, millis: Option<u128>) {
    let span: Option<Span> = text.parse().ok();
    assert_eq!(span.map(|span| span.0.as_millis()), millis);
}

#[test]
fn span_largest() {
    assert!(!span(u64::MAX).is_empty());
}

#[test]
fn table_aligned() {
    let mut table = Table::new(&["A", "B"]);
    table.row(&["long", "x"]);
    table.row(&["two\nlines", "y"]);
    let text = table.render();
    let columns: Vec<usize> = text.lines().map(|line| line.trim_end().len() - 1).collect();
    assert_eq!(columns.len(), 3, "{text}");
    assert!(columns.iter().all(|column| *column == columns[0]), "{text}");
}

fn is_shown(c: char) -> bool {
    !c.is_control() && !('\u{202a}'..='\u{202e}').contains(&c)
}

proptest! {
    #[test]
    fn clean_any(text in any::<String>()) {
        prop_assert!(clean(&text).chars().all(is_shown));
    }

    #[test]
    fn clean_json_keeps_value(text in any::<String>()) {
        let json = clean_json(&serde_json::json!({ "a": text }).to_string());
        prop_assert!(json.chars().all(is_shown));
        let value: serde_json::Value = serde_json::from_str(&json).unwrap();
        prop_assert_eq!(value["a"].as_str(), Some(text.as_str()));
    }
}
