//! Checks that the metrics page is generated from the current tables.

use std::fs;

#[test]
fn metrics_page_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS.md");
    let page = fs::read_to_string(path).expect("the page exists");
    assert!(
        page == daemon::metrics_page() + &entry::metrics_page(),
        "docs/METRICS.md is stale: regenerate it with `jasmined --metrics-page` and then \
         `jasmine-router --metrics-page`"
    );
}
