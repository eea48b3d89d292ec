//! The cases of this review that are scripts. `run.sh` of each starts this program with the name of its case.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

#![allow(dead_code)]

mod http;
mod json;
mod lost;
mod slow;
mod spoiled;
mod starved;
mod store;
mod stray;
mod system;

use std::{process::exit, thread, time::Duration};

/// Time after which a case counts as one that couldn't run.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::args().nth(2).unwrap_or_else(|| "/tmp".to_owned());
    let record = system::Record::create(&format!("{folder}/record.txt"));
    thread::spawn(|| {
        thread::sleep(CASE_TIMEOUT);
        exit(2);
    });
    let outcome = std::panic::catch_unwind(|| match name.as_str() {
        "two-framings" => spoiled::two_framings(&record, trouble),
        "slow-once" => starved::slow_once(&record, trouble),
        "behind-long" => lost::behind_long(&record, trouble),
        "paused-readers" => slow::paused_readers(&record, trouble),
        "extra-bytes" => stray::extra_bytes(&record, trouble),
        _ => panic!("no case {name:?}"),
    });
    let code = match outcome {
        Ok(Ok(broken)) => i32::from(broken),
        Ok(Err(why)) => {
            record.note(&format!("the case couldn't run: {why}"));
            2
        }
        Err(_) => 2,
    };
    record.note(&format!("exit {code}"));
    exit(code);
}
