//! Typed reading of valid and invalid values; an error doesn't stop the reading.

use conf::{
    Document,
    Field, //
};
use std::{
    fmt::Debug,
    time::Duration, //
};

/// Reads field `x` of a one-line document; returns the value or the findings.
fn read<T>(value: &str, read_field: impl FnOnce(Field<'_>) -> Option<T>) -> Result<T, String> {
    let text = format!("x: {value}\n");
    let document = Document::parse("f", &text);
    let read = document
        .map()
        .and_then(|mut map| read_field(map.required("x")));
    document
        .finish(read)
        .map_err(|findings| findings.to_string())
}

fn check_read<T: Debug + PartialEq>(
    value: &str,
    read_field: impl FnOnce(Field<'_>) -> Option<T>,
    expected: Result<T, &str>,
) {
    let expected = expected.map_err(|message| format!("f:1:4: `x` must be {message}"));
    assert_eq!(read(value, read_field), expected);
}

/// Declares a test for each value with the read method and the expected result.
macro_rules! readings {
    ($($name:ident: $value:expr, $reading:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            check_read($value, $reading, $expected);
        }
    )*};
}

readings! {
    integer: "1_000", |x| x.integer(0_u16..=2_000, "") => Ok(1_000);
    negative_integer: "-5", |x| x.integer(-9_i8..=9, "") => Ok(-5);
    integer_out_of_range: "300", |x| x.integer(0_u8..=200, "slots") => Err("between 0 and 200 slots, found 300");
    integer_without_digits: "_", |x| x.integer(0_u8..=200, "") => Err("an integer, found `_`");
    integer_in_quotes: "'5'", |x| x.integer(0_u8..=200, "") => Err("an integer, found quoted text");
    duration: "250", |x| x.duration_ms(1..=500) => Ok(Duration::from_millis(250));
    duration_with_unit: "250ms", |x| x.duration_ms(1..=500) => Err("an integer in ms, written without the unit, found `250ms`");
    duration_of_seconds: "4", |x| x.duration_s(1..=5) => Ok(Duration::from_secs(4));
    percentage: "99.95", |x| x.percent_ppm(0..=1_000_000) => Ok(999_500);
    whole_percentage: "7", |x| x.percent_ppm(0..=1_000_000) => Ok(70_000);
    percentage_out_of_range: "100.0001", |x| x.percent_ppm(0..=1_000_000) => Err("between 0 and 100 percent, found 100.0001");
    percentage_with_too_many_decimals: "0.00001", |x| x.percent_ppm(0..=1_000_000) => Err("a percentage of at most 4 decimals, written without the unit, found `0.00001`");
    boolean: "true", |x| x.boolean() => Ok(true);
    boolean_of_yaml_1_1: "on", |x| x.boolean() => Err("true or false, found `on`");
    choice: "warm", |x| x.choice(&[("cold", 1), ("warm", 2)]) => Ok(2);
    choice_misspelt: "wram", |x| x.choice(&[("cold", 1), ("warm", 2), ("hot", 3)]) => Err("one of cold, warm, hot, found `wram`");
    choice_with_a_hint: "waarm", |x| x.choice(&[("cold", 1), ("warm", 2)]) => Err("one of cold, warm, found `waarm`, did you mean `warm`?");
    parsed: "127.0.0.1:80", |x| x.parse::<std::net::SocketAddr>("an address") => Ok(([127, 0, 0, 1], 80).into());
    not_parsed: "here", |x| x.parse::<std::net::SocketAddr>("an address such as 127.0.0.1:80") => Err("an address such as 127.0.0.1:80, found `here`");
    text_of_a_number: "012", |x| x.text().map(|text| text.to_string()) => Ok("012".to_owned());
    text_of_null: "~", |x| x.text().map(|text| text.to_string()) => Err("text, found nothing");
    list_of_null: "null", |x| x.try_list().map(|list| list.len()) => Err("a list, found nothing");
}

#[test]
fn entries_returns_arbitrary_fields_in_file_order() {
    let document = Document::parse("f", "b: 2\na: 1\nb: 3\n");
    let mut map = document.map().unwrap();
    let read: Vec<_> = map
        .entries()
        .into_iter()
        .map(|(name, place, field)| (name, place.line, field.integer(0_u8..=9, "").unwrap()))
        .collect();
    assert_eq!(read, [("b", 1, 2), ("a", 2, 1)]);
    map.finish();
    let findings = document.finish(Some(())).unwrap_err();
    assert_eq!(
        findings.to_string(),
        "f:3:1: duplicate field `b`, first on line 1"
    );
}

#[test]
fn missing_value_without_finding_is_an_error() {
    let document = Document::parse("f", "a: 1\n");
    let findings = document.finish(None::<()>).unwrap_err();
    assert_eq!(findings.to_string(), "f:1:1: the document can't be read");
}

#[test]
fn quoted_text_round_trips() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<String>()
        .for_each(|text| {
            let read = read(&conf::quote(text), |x| x.text()).unwrap();
            assert_eq!(*read, **text);
        });
    for text in [
        "null",
        "~",
        "",
        "a: b",
        "- a",
        "#",
        "é",
        "\u{0}",
        "\u{85}",
        "\u{feff}",
        "10.1.0.0/16",
    ] {
        assert_eq!(*read(&conf::quote(text), |x| x.text()).unwrap(), *text);
    }
}
