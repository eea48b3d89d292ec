//! The page of metrics says what the tables in the code say.

use std::fs;

#[test]
fn the_page_is_the_tables() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS.md");
    let page = fs::read_to_string(path).expect("the page exists");
    assert!(
        page == daemon::metrics_page() + &entry::metrics_page(),
        "docs/METRICS.md is stale: write it anew with `jasmined --metrics-page` and then \
         `jasmine-router --metrics-page`"
    );
}
