//! Measures the block table: time to build, memory, look-ups, and the cost of a difference.
//!
//! Run it in release mode with one size, so that resident memory, given as what a step added, is
//! not blurred by what an earlier size freed: `measure 1700000`. `measure unrelated 1700000` holds
//! two tables that share nothing, as after a snapshot.

#[path = "../tests/numbers/mod.rs"]
mod numbers;

use base::RegionId;
use blocks::{
    Block,
    Builder,
    Compact,
    Delta,
    Table, //
};
use numbers::Numbers;
use std::{
    env, fs,
    hint::black_box,
    net::{
        IpAddr,
        Ipv4Addr,
        Ipv6Addr, //
    },
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

const DIFFERENCE: usize = 1_000;
const LOOKUPS: usize = 2_000_000;
const SITES: usize = 100;
const PREFERENCES: u64 = 2_000;

impl Numbers {
    /// A block: three in four of IPv4, mostly /24, some around or inside others.
    fn block(&mut self) -> Block {
        let bits = self.next();
        if self.below(4) > 0 {
            let len = [16, 20, 22, 23, 24, 24, 24, 24, 24, 28][self.below(10) as usize];
            let mask = u32::MAX << (32 - len);
            let addr = Ipv4Addr::from_bits((bits >> 32) as u32 & mask);
            Block::new(addr.into(), len).expect("masked")
        } else {
            let len = [32, 40, 44, 48, 48, 48, 56, 64][self.below(8) as usize];
            let high = 0x2000_0000_0000_0000 | bits >> 3;
            let mask = u64::MAX << (64 - len);
            let addr = Ipv6Addr::from_bits(u128::from(high & mask) << 64);
            Block::new(addr.into(), len).expect("masked")
        }
    }

    fn regions(&mut self) -> Vec<RegionId> {
        let mut own = Numbers(self.below(PREFERENCES));
        let mut regions = Vec::new();
        while regions.len() < 3 {
            let region = RegionId::from(format!("site-{}", own.below(SITES as u64)));
            if !regions.contains(&region) {
                regions.push(region);
            }
        }
        regions
    }

    /// An address inside a block of the table three times out of four.
    fn addr(&mut self, blocks: &[Block]) -> IpAddr {
        let block = blocks[self.below(blocks.len() as u64) as usize];
        match block.addr() {
            IpAddr::V4(addr) if self.below(4) > 0 => {
                Ipv4Addr::from_bits(addr.to_bits() | self.below(16) as u32).into()
            }
            IpAddr::V4(_) => Ipv4Addr::from_bits(self.next() as u32).into(),
            IpAddr::V6(addr) => Ipv6Addr::from_bits(addr.to_bits() | 1).into(),
        }
    }
}

/// Resident memory of this process in KiB.
fn resident_kib() -> i64 {
    let status = fs::read_to_string("/proc/self/status").expect("procfs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).expect("VmRSS in KiB")
}

fn mib(kib: i64) -> f64 {
    kib as f64 / 1024.0
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn difference(numbers: &mut Numbers, blocks: &[Block]) -> Delta {
    let mut delta = Delta::default();
    while delta.len() < DIFFERENCE {
        match numbers.below(4) {
            0 => delta.set(numbers.block(), &numbers.regions()),
            1 => delta.remove(blocks[numbers.below(blocks.len() as u64) as usize]),
            _ => {
                let block = blocks[numbers.below(blocks.len() as u64) as usize];
                delta.set(block, &numbers.regions());
            }
        }
    }
    delta
}

/// Nanoseconds per look-up, and how many were found.
fn lookups(table: &Table, addrs: &[IpAddr]) -> (f64, usize) {
    let start = Instant::now();
    let mut found = 0;
    for addr in addrs {
        found += usize::from(black_box(table.lookup(*addr)).is_some());
    }
    (
        start.elapsed().as_secs_f64() * 1e9 / addrs.len() as f64,
        found,
    )
}

fn measure(size: usize) {
    let mut numbers = Numbers(size as u64);
    let mut blocks: Vec<Block> = Vec::new();
    while blocks.len() < size {
        blocks.extend((blocks.len()..size).map(|_| numbers.block()));
        blocks.sort_unstable();
        blocks.dedup();
    }
    blocks.shrink_to_fit();
    let lists: Vec<Vec<RegionId>> = (0..500).map(|_| numbers.regions()).collect();
    let before_kib = resident_kib();
    let start = Instant::now();
    let mut builder = Builder::default();
    for block in &blocks {
        let regions = &lists[numbers.below(lists.len() as u64) as usize];
        builder.push(*block, regions).expect("few preferences");
    }
    let table = builder.finish();
    let build = start.elapsed();
    let one_kib = resident_kib() - before_kib;

    let addrs: Vec<IpAddr> = (0..LOOKUPS).map(|_| numbers.addr(&blocks)).collect();
    let (lookup_ns, found) = lookups(&table, &addrs);

    let delta = difference(&mut numbers, &blocks);
    let before_kib = resident_kib();
    let start = Instant::now();
    let mut later = table.apply(&delta).expect("few preferences");
    let mut times = vec![start.elapsed()];
    let two_kib = resident_kib() - before_kib;
    for _ in 0..20 {
        let start = Instant::now();
        later = table.apply(&delta).expect("few preferences");
        times.push(start.elapsed());
    }
    times.sort();
    let delta_bytes = delta.to_string().len();
    let start = Instant::now();
    let compared = Delta::between(&table, &later).len();
    let compare = start.elapsed();

    println!(
        "| {size} | {:.1} | {:.1} | {:.1} | {:.0} | {:.2} | {:.0} | {:.0} | {:.2} | {:.2} | {:.0} |",
        build.as_secs_f64() * 1e3,
        table.memory_bytes() as f64 / 1048576.0,
        mib(one_kib),
        lookup_ns,
        1e3 / lookup_ns,
        micros(times[times.len() / 2]),
        micros(times[times.len() - 1]),
        later.unshared_bytes(&table) as f64 / 1048576.0,
        mib(two_kib),
        micros(compare),
    );
    beside_differences(&table, &delta, &addrs);
    through_text(&table);
    eprintln!(
        "{size} blocks: {found} of {LOOKUPS} look-ups found; the difference of {DIFFERENCE} blocks \
         has {delta_bytes} bytes of text and differs in {compared}"
    );
}

/// Median and 99th percentile of single look-ups in nanoseconds, the clock's reading included.
fn percentiles(table: &Table, addrs: &[IpAddr]) -> (u128, u128) {
    let mut times: Vec<u128> = addrs
        .iter()
        .map(|addr| {
            let start = Instant::now();
            black_box(table.lookup(*addr));
            start.elapsed().as_nanos()
        })
        .collect();
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Look-ups alone, then while another thread applies differences without pause.
fn beside_differences(table: &Table, delta: &Delta, addrs: &[IpAddr]) {
    let (alone_median, alone_p99) = percentiles(table, addrs);
    let done = AtomicBool::new(false);
    let ((median, p99), applied) = thread::scope(|scope| {
        let applying = scope.spawn(|| {
            let mut applied = 0;
            while !done.load(Ordering::Relaxed) {
                black_box(table.apply(delta).expect("few preferences"));
                applied += 1;
            }
            applied
        });
        let beside = percentiles(table, addrs);
        done.store(true, Ordering::Relaxed);
        (beside, applying.join().expect("the thread does not panic"))
    });
    eprintln!(
        "single look-ups: alone median {alone_median} ns, p99 {alone_p99} ns; beside {applied} \
         differences median {median} ns, p99 {p99} ns"
    );
}

/// A snapshot's way through its textual form.
fn through_text(table: &Table) {
    let text = Compact(table).to_string();
    let start = Instant::now();
    let read = Table::parse(&text).expect("a printed table reads back");
    eprintln!(
        "compact text of {:.1} MiB read in {:.0} ms, {} blocks",
        text.len() as f64 / 1048576.0,
        start.elapsed().as_secs_f64() * 1e3,
        read.len()
    );
}

/// Two unrelated versions held at once, as after a snapshot.
fn two_unrelated(size: usize) {
    let mut numbers = Numbers(7);
    let lists: Vec<Vec<RegionId>> = (0..500).map(|_| numbers.regions()).collect();
    let build = |numbers: &mut Numbers| {
        let mut builder = Builder::default();
        for _ in 0..size {
            let regions = &lists[numbers.below(500) as usize];
            builder.push(numbers.block(), regions).expect("few");
        }
        builder.finish()
    };
    let before_kib = resident_kib();
    let one = build(&mut numbers);
    let two = build(&mut numbers);
    let held_kib = resident_kib() - before_kib;
    println!(
        "two unrelated tables of {} and {} blocks: {:.1} MiB resident, {:.1} MiB by count",
        one.len(),
        two.len(),
        mib(held_kib),
        (one.memory_bytes() + two.memory_bytes()) as f64 / 1048576.0
    );
}

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let sizes: Vec<usize> = args.iter().filter_map(|arg| arg.parse().ok()).collect();
    if args.first().is_some_and(|arg| arg == "unrelated") {
        sizes.into_iter().for_each(two_unrelated);
        return;
    }
    println!(
        "| blocks | build ms | table MiB | VmRSS MiB | look-up ns | look-ups M/s | apply 1,000 us \
         median | apply max us | own MiB of the later | VmRSS MiB of the later | compare us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    sizes.into_iter().for_each(measure);
}
