//! Measures the time from the accept of a large block table until it is in force at every daemon,
//! and the daemons' resident size.
//!
//! Run `cargo run --release -p ctl --example blocks -- [BLOCKS]` after `cargo build --release -p
//! daemon -p standin`. The rig has one region of two entries with the default terms. The program
//! accepts a table of `BLOCKS` blocks, ten differences of a thousand blocks, and another table.

use op::{
    AcceptRequest,
    Client, //
};
use rig::{
    Layout,
    Rig, //
};
use std::{
    env,
    fmt::Write,
    fs, thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Default number of blocks, the expected future size of the table.
const BLOCKS: u32 = 1_700_000;
/// Number of blocks in one difference.
const BLOCKS_PER_DIFFERENCE: u32 = 1_000;
/// Number of differences that are accepted.
const DIFFERENCES: u32 = 10;
/// Timeout for a version to be in force at every daemon.
const TIMEOUT: Duration = Duration::from_secs(120);
/// Number of addresses in one block.
const BLOCK_ADDRS: u32 = 256;
/// First address of the blocks, 1.0.0.0.
const FIRST_ADDR: u32 = 1 << 24;

fn main() {
    let blocks = env::args().nth(1);
    let blocks = blocks.map_or(BLOCKS, |blocks| blocks.parse().expect("a number"));
    let rig = Rig::start(Layout {
        terms: Vec::new(),
        ..Layout::one_region()
    })
    .expect("the rig starts");
    println!("{blocks} blocks; MB resident now and at most, of each daemon");
    print_sizes("one version without blocks");
    accept(&rig, 1, &table(0..blocks));
    print_sizes("a table");
    for round in 0..DIFFERENCES {
        let mut text = String::new();
        for index in 0..BLOCKS_PER_DIFFERENCE / 2 {
            let index = (index * 3001 + round * 17) % blocks;
            writeln!(text, "-{}", block(index)).expect("writing to a string can't fail");
            writeln!(
                text,
                "+{} arusha",
                block(blocks + round * BLOCKS_PER_DIFFERENCE + index % BLOCKS_PER_DIFFERENCE)
            )
            .expect("writing to a string can't fail");
        }
        let lines: std::collections::BTreeSet<&str> = text.lines().collect();
        let lines: Vec<&str> = lines.into_iter().collect();
        accept(&rig, 2 + u64::from(round), &lines.join("\n"));
    }
    print_sizes("ten differences later");
    let base = 2 + u64::from(DIFFERENCES);
    accept(&rig, base, &table(blocks..2 * blocks));
    print_sizes("another table");
}

/// Text of a table with the blocks at these indices.
fn table(indices: std::ops::Range<u32>) -> String {
    let mut text = String::new();
    for index in indices {
        writeln!(text, "{} arusha", block(index)).expect("writing to a string can't fail");
    }
    text
}

/// Block at this index, as text.
fn block(index: u32) -> String {
    let addr = std::net::Ipv4Addr::from_bits(FIRST_ADDR + index * BLOCK_ADDRS);
    format!("{addr}/24")
}

fn accept(rig: &Rig, base: u64, blocks: &str) {
    let request = AcceptRequest {
        accept_id: format!("blocks-{base}"),
        author: "blocks".into(),
        base_version: Some(base),
        text: rig.layout.config(),
        blocks: Some(blocks.to_owned()),
    };
    let daemon = rig.daemons["arusha-0"].operator_addr.clone();
    let sent_at = Instant::now();
    actix_rt::System::new().block_on(async move {
        let client = Client::new(vec![daemon], None, TIMEOUT);
        client.change(&request).await.expect("accepted");
    });
    let accepted_at = Instant::now();
    while !rig.daemons.keys().all(|id| version(rig, id) > base) {
        assert!(accepted_at.elapsed() < TIMEOUT, "not in force everywhere");
        thread::sleep(Duration::from_millis(5));
    }
    println!(
        "version {}: accepted after {} ms, in force everywhere {} ms later",
        base + 1,
        (accepted_at - sent_at).as_millis(),
        accepted_at.elapsed().as_millis()
    );
}

fn version(rig: &Rig, id: &str) -> u64 {
    let reply = rig.operator_request(id, "/op/v1/status", None);
    reply.body["version"].as_u64().unwrap_or(0)
}

/// Prints the resident sizes of the daemons, which are children of this process.
fn print_sizes(stage: &str) {
    // Freed memory is returned to the system only after a delay.
    thread::sleep(Duration::from_secs(2));
    let me = std::process::id();
    let children = fs::read_to_string(format!("/proc/{me}/task/{me}/children"));
    let children = children.expect("the kernel lists children");
    let mut sizes = Vec::new();
    for child in children.split_whitespace() {
        let status = fs::read_to_string(format!("/proc/{child}/status")).unwrap_or_default();
        if status.starts_with("Name:\tjasmined") {
            sizes.push(format!(
                "{} {}",
                size_mb(&status, "VmRSS"),
                size_mb(&status, "VmHWM")
            ));
        }
    }
    println!("{stage}: {}", sizes.join(", "));
}

/// Size in a process's status file, in MB.
fn size_mb(status: &str, name: &str) -> u64 {
    let line = status.lines().find(|line| line.starts_with(name));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1024
}
