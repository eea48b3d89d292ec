//! Rows of upstreams that other writers put into the store: they name no upstream to use, and the others hold.

mod support;

use std::{
    thread,
    time::Duration, //
};
use support::{
    eventually,
    request_head,
    routes,
    upstream_row,
    Caller,
    Entry,
    MemoryStore,
    Upstream, //
};

/// Time within which a change of a row is known to the entry.
const KNOWN_TIME: Duration = Duration::from_millis(800);

fn status(entry: &Entry, id: &str) -> u16 {
    let mut caller = Caller::connect(entry);
    caller.send(request_head("GET", "/r/x", id, ""));
    let response = caller.read_response();
    response.expect("the entry responds").status
}

/// Tests that a row with these bytes under a new key and under that of an upstream changes nothing for the others, also
/// if it is read with the whole table after an outage.
macro_rules! foreign_rows {
    ($($name:ident: $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let store = MemoryStore::default();
            store.put_routes(&routes(1));
            let (kept, replaced) = (Upstream::responding("kept"), Upstream::responding("replaced"));
            store.put_upstream(&upstream_row("u-1", kept.addr));
            store.put_upstream(&upstream_row("u-2", replaced.addr));
            let entry = Entry::start("entry-1", &store);
            let mut sent = 0;
            eventually("requests at both upstreams", || {
                sent += 1;
                status(&entry, &format!("a{sent}"));
                (!kept.requests().is_empty() && !replaced.requests().is_empty()).then_some(())
            });
            store.set_down(true);
            thread::sleep(KNOWN_TIME);
            let value = $value.to_vec();
            store.put("upstreams/other", value.clone());
            store.put("upstreams/u-2", value);
            store.compact();
            store.set_down(false);
            let reads = store.table_reads();
            eventually("a read of the whole table", || {
                (store.table_reads() > reads).then_some(())
            });
            thread::sleep(KNOWN_TIME);
            let before = replaced.requests().len();
            for number in 0..20 {
                assert_eq!(status(&entry, &format!("b{number}")), 200);
            }
            assert_eq!(replaced.requests().len(), before);
            store.put_upstream(&upstream_row("u-2", replaced.addr));
            eventually("requests at the upstream whose row is its own again", || {
                sent += 1;
                status(&entry, &format!("c{sent}"));
                (replaced.requests().len() > before).then_some(())
            });
        }
    )*};
}

// Guard against an entry that ends or reads no further because of such a row, and against requests to an upstream whose
// row is not its own: after an outage, a row that is missing still counts for a while, but one that was replaced doesn't.
foreign_rows! {
    bytes_that_are_not_text: b"\xff\xfe{";
    empty: b"";
    without_fields: b"{}";
    fields_of_other_types: br#"{"id":7,"service":[],"addr":"here","slots":-1}"#;
    cut_off: br#"{"id":"u-2","service":"svc","reg"#;
    deeply_nested: "[".repeat(100_000).into_bytes();
    deeply_nested_field: odd_row("slots", &("[".repeat(50_000) + &"]".repeat(50_000)));
    number_out_of_range: odd_row("slots", "4294967296");
    number_beyond_all_types: odd_row("slots", "1e99999");
    negative_number: odd_row("slots", "-1");
    port_out_of_range: odd_row("addr", r#""127.0.0.1:65536""#);
    negative_port: odd_row("addr", r#""127.0.0.1:-1""#);
    no_port: odd_row("addr", r#""127.0.0.1""#);
}

/// Row of an upstream in which one field has this value.
fn odd_row(field: &str, value: &str) -> Vec<u8> {
    const ODD: &str = "a value to replace";
    let row = upstream_row("u-2", "127.0.0.1:9".parse().expect("an address"));
    let mut row = serde_json::to_value(row).expect("plain data");
    row[field] = ODD.into();
    row.to_string()
        .replace(&format!("\"{ODD}\""), value)
        .into_bytes()
}

/// Guards against an entry that ends, or uses no other upstream any more, because of a number that is in range and far
/// beyond what makes sense.
macro_rules! rows_with_extreme_numbers {
    ($($name:ident: $field:expr, $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let store = MemoryStore::default();
            store.put_routes(&routes(1));
            let (sound, odd) = (Upstream::responding("sound"), Upstream::responding("odd"));
            store.put_upstream(&upstream_row("u-1", sound.addr));
            let entry = Entry::start("entry-1", &store);
            let row = odd_row($field, $value);
            let row = String::from_utf8(row).expect("text");
            store.put("upstreams/u-2", row.replace("127.0.0.1:9", &odd.addr.to_string()));
            thread::sleep(KNOWN_TIME);
            let before = sound.requests().len();
            for number in 0..40 {
                assert_eq!(status(&entry, &format!("a{number}")), 200);
            }
            let taken = sound.requests().len() - before + odd.requests().len();
            assert_eq!(taken, 40);
            store.put("upstreams/u-2", b"{}".to_vec());
            thread::sleep(KNOWN_TIME);
            let before = sound.requests().len();
            for number in 0..10 {
                assert_eq!(status(&entry, &format!("b{number}")), 200);
            }
            assert_eq!(sound.requests().len() - before, 10);
        }
    )*};
}

rows_with_extreme_numbers! {
    most_slots: "slots", "4294967295";
    no_slots: "slots", "0";
    last_start: "started_ms", "18446744073709551615";
    last_write: "writes", "18446744073709551615";
    longest_cold_start: "cold_left", r#"{"secs":18446744073709551615,"nanos":0}"#;
}

/// Guards against requests and connections to an upstream of a service that the routes don't name.
#[test]
fn upstream_of_an_unknown_service_is_left_alone() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let (known, other) = (Upstream::responding("known"), Upstream::responding("other"));
    let mut row = upstream_row("u-1", known.addr);
    store.put_upstream(&row);
    row = upstream_row("u-2", other.addr);
    row.service = "of-tomorrow".into();
    store.put_upstream(&row);
    let entry = Entry::start("entry-1", &store);
    for number in 0..50 {
        assert_eq!(status(&entry, &format!("a{number}")), 200);
    }
    assert!(other.requests().is_empty());
}
