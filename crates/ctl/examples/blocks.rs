//! Measures a large block table from accept to every daemon: time and resident size.
//!
//! `cargo run --release -p ctl --example blocks -- [BLOCKS]`, after `cargo build --release -p
//! daemon -p standin`: one region of two entries, terms at their defaults. Accepts a table of
//! `BLOCKS` blocks, ten differences of a thousand blocks, and another table.

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

/// Blocks of the size to come.
const BLOCKS: u32 = 1_700_000;
/// Blocks of one difference.
const DIFFERENCE: u32 = 1_000;
/// Differences that are accepted.
const ROUNDS: u32 = 10;
/// Longest wait for a version to be in force.
const LIMIT: Duration = Duration::from_secs(120);
/// Addresses of one block.
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
    for round in 0..ROUNDS {
        let mut text = String::new();
        for index in 0..DIFFERENCE / 2 {
            let index = (index * 3001 + round * 17) % blocks;
            writeln!(text, "-{}", block(index)).expect("a string takes all");
            writeln!(
                text,
                "+{} arusha",
                block(blocks + round * DIFFERENCE + index % DIFFERENCE)
            )
            .expect("a string takes all");
        }
        let lines: std::collections::BTreeSet<&str> = text.lines().collect();
        let lines: Vec<&str> = lines.into_iter().collect();
        accept(&rig, 2 + u64::from(round), &lines.join("\n"));
    }
    print_sizes("ten differences later");
    let base = 2 + u64::from(ROUNDS);
    accept(&rig, base, &table(blocks..2 * blocks));
    print_sizes("another table");
}

/// Text of a table with the blocks of these indices.
fn table(indices: std::ops::Range<u32>) -> String {
    let mut text = String::new();
    for index in indices {
        writeln!(text, "{} arusha", block(index)).expect("a string takes all");
    }
    text
}

/// Block of this index, as text.
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
    let daemon = rig.daemons["arusha-0"].operator.clone();
    let sent = Instant::now();
    actix_rt::System::new().block_on(async move {
        let client = Client::new(vec![daemon], None, LIMIT);
        client.change(&request).await.expect("accepted");
    });
    let accepted = Instant::now();
    while !rig.daemons.keys().all(|id| version(rig, id) > base) {
        assert!(accepted.elapsed() < LIMIT, "not in force everywhere");
        thread::sleep(Duration::from_millis(5));
    }
    println!(
        "version {}: accepted after {} ms, in force everywhere {} ms later",
        base + 1,
        (accepted - sent).as_millis(),
        accepted.elapsed().as_millis()
    );
}

fn version(rig: &Rig, id: &str) -> u64 {
    let reply = rig.operator(id, "/op/v1/status", None);
    reply.body["version"].as_u64().unwrap_or(0)
}

/// Prints the sizes of the daemons, which are children of this process.
fn print_sizes(when: &str) {
    // Memory that was freed goes back a moment later.
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
                field(&status, "VmRSS"),
                field(&status, "VmHWM")
            ));
        }
    }
    println!("{when}: {}", sizes.join(", "));
}

/// Size in a status file, in MB.
fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find(|line| line.starts_with(name));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1024
}
