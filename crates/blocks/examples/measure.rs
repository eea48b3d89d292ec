//! Measures the block table: build time, memory, look-ups, and the cost of a difference.
//!
//! Run it in release mode with a single size: `measure 1700000`. Resident memory is reported as the
//! increase in each step, which memory freed after an earlier size would distort.
//! `measure unrelated 1700000` keeps two tables in memory that share nothing, as after a snapshot.

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
use numbers::Rng;
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

const DELTA_LEN: usize = 1_000;
const LOOKUPS: usize = 2_000_000;
const REGIONS: usize = 100;
const PREFERENCES: u64 = 2_000;

impl Rng {
    /// A random block: three in four are IPv4, mostly /24, and some are nested.
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
        let mut preference_rng = Rng(self.below(PREFERENCES));
        let mut regions = Vec::new();
        while regions.len() < 3 {
            let region = RegionId::from(format!("site-{}", preference_rng.below(REGIONS as u64)));
            if !regions.contains(&region) {
                regions.push(region);
            }
        }
        regions
    }

    /// A random address; three in four of IPv4 and all of IPv6 are from a block of the table.
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

/// Resident memory of this process, in KiB.
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

fn random_delta(rng: &mut Rng, blocks: &[Block]) -> Delta {
    let mut delta = Delta::default();
    while delta.len() < DELTA_LEN {
        match rng.below(4) {
            0 => delta.set(rng.block(), &rng.regions()),
            1 => delta.remove(blocks[rng.below(blocks.len() as u64) as usize]),
            _ => {
                let block = blocks[rng.below(blocks.len() as u64) as usize];
                delta.set(block, &rng.regions());
            }
        }
    }
    delta
}

/// Mean duration of a look-up in nanoseconds, and the number of addresses found.
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
    let mut rng = Rng(size as u64);
    let mut blocks: Vec<Block> = Vec::new();
    while blocks.len() < size {
        blocks.extend((blocks.len()..size).map(|_| rng.block()));
        blocks.sort_unstable();
        blocks.dedup();
    }
    blocks.shrink_to_fit();
    let lists: Vec<Vec<RegionId>> = (0..500).map(|_| rng.regions()).collect();
    let before_kib = resident_kib();
    let start = Instant::now();
    let mut builder = Builder::default();
    for block in &blocks {
        let regions = &lists[rng.below(lists.len() as u64) as usize];
        builder.push(*block, regions).expect("few preferences");
    }
    let table = builder.finish();
    let build = start.elapsed();
    let table_kib = resident_kib() - before_kib;

    let addrs: Vec<IpAddr> = (0..LOOKUPS).map(|_| rng.addr(&blocks)).collect();
    let (lookup_ns, found) = lookups(&table, &addrs);

    let delta = random_delta(&mut rng, &blocks);
    let before_kib = resident_kib();
    let start = Instant::now();
    let mut later = table.apply(&delta).expect("few preferences");
    let mut times = vec![start.elapsed()];
    let later_kib = resident_kib() - before_kib;
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
        mib(table_kib),
        lookup_ns,
        1e3 / lookup_ns,
        micros(times[times.len() / 2]),
        micros(times[times.len() - 1]),
        later.unshared_bytes(&table) as f64 / 1048576.0,
        mib(later_kib),
        micros(compare),
    );
    lookups_during_apply(&table, &delta, &addrs);
    parse_compact_text(&table);
    eprintln!(
        "{size} blocks: {found} of {LOOKUPS} look-ups found; the difference of {DELTA_LEN} blocks \
         has {delta_bytes} bytes of text and differs in {compared}"
    );
}

/// Median and 99th percentile of single look-ups in nanoseconds, including the clock reads.
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

/// Measures look-ups alone, then while another thread continuously applies differences.
fn lookups_during_apply(table: &Table, delta: &Delta, addrs: &[IpAddr]) {
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
        let during_apply = percentiles(table, addrs);
        done.store(true, Ordering::Relaxed);
        (
            during_apply,
            applying.join().expect("the thread does not panic"),
        )
    });
    eprintln!(
        "single look-ups: alone median {alone_median} ns, p99 {alone_p99} ns; beside {applied} \
         differences median {median} ns, p99 {p99} ns"
    );
}

/// Measures parsing of a table's compact textual form, as a snapshot has it.
fn parse_compact_text(table: &Table) {
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

/// Measures two unrelated tables in memory at once, as after a snapshot.
fn measure_unrelated(size: usize) {
    let mut rng = Rng(7);
    let lists: Vec<Vec<RegionId>> = (0..500).map(|_| rng.regions()).collect();
    let build = |rng: &mut Rng| {
        let mut builder = Builder::default();
        for _ in 0..size {
            let regions = &lists[rng.below(500) as usize];
            builder.push(rng.block(), regions).expect("few");
        }
        builder.finish()
    };
    let before_kib = resident_kib();
    let first = build(&mut rng);
    let second = build(&mut rng);
    let both_kib = resident_kib() - before_kib;
    println!(
        "two unrelated tables of {} and {} blocks: {:.1} MiB resident, {:.1} MiB by count",
        first.len(),
        second.len(),
        mib(both_kib),
        (first.memory_bytes() + second.memory_bytes()) as f64 / 1048576.0
    );
}

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let sizes: Vec<usize> = args.iter().filter_map(|arg| arg.parse().ok()).collect();
    if args.first().is_some_and(|arg| arg == "unrelated") {
        sizes.into_iter().for_each(measure_unrelated);
        return;
    }
    println!(
        "| blocks | build ms | table MiB | VmRSS MiB | look-up ns | look-ups M/s | apply 1,000 us \
         median | apply max us | own MiB of the later | VmRSS MiB of the later | compare us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    sizes.into_iter().for_each(measure);
}
