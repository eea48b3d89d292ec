//! Compares a table with a naive model, which keeps all blocks in a map and looks up the longest one
//! that contains the address.

mod numbers;

use base::RegionId;
use blocks::{
    Block,
    Compact,
    Delta,
    LineError,
    Table,
    TableReader, //
};
use numbers::Rng;
use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        Ipv4Addr,
        Ipv6Addr, //
    },
};

type Model = BTreeMap<Block, Vec<RegionId>>;

impl Rng {
    /// An address from a set small enough that blocks often are nested, adjacent or repeated.
    fn addr(&mut self) -> IpAddr {
        let edge = [0, 0xff, self.next() & 0xff][self.below(3) as usize] as u8;
        let middle = self.below(16) as u8;
        match self.below(3) {
            0 => Ipv4Addr::new(10, middle, self.below(256) as u8, edge).into(),
            1 => Ipv6Addr::from_bits(
                0x2001_0db8 << 96 | u128::from(middle) << 80 | u128::from(edge) << 64,
            )
            .into(),
            _ => Ipv6Addr::from_bits(
                0x2001_0db8 << 96 | u128::from(middle) << 64 | u128::from(edge) << 32,
            )
            .into(),
        }
    }

    fn block(&mut self) -> Block {
        let addr = self.addr();
        let len = match addr {
            IpAddr::V4(_) => [0, 8, 12, 16, 20, 24, 31, 32][self.below(8) as usize],
            IpAddr::V6(_) => [0, 32, 44, 48, 63, 64, 65, 96, 128][self.below(9) as usize],
        };
        masked(addr, len)
    }

    fn regions(&mut self) -> Vec<RegionId> {
        let mut regions = vec!["arusha", "moshi", "dar"];
        let first = self.below(3) as usize;
        regions.rotate_left(first);
        regions.truncate(1 + self.below(3) as usize);
        regions.into_iter().map(RegionId::from).collect()
    }
}

fn masked(addr: IpAddr, len: u8) -> Block {
    let addr = match addr {
        IpAddr::V4(addr) => {
            let mask = u32::MAX.checked_shl(32 - u32::from(len)).unwrap_or(0);
            IpAddr::from(Ipv4Addr::from_bits(addr.to_bits() & mask))
        }
        IpAddr::V6(addr) => {
            let mask = u128::MAX.checked_shl(128 - u32::from(len)).unwrap_or(0);
            IpAddr::from(Ipv6Addr::from_bits(addr.to_bits() & mask))
        }
    };
    Block::new(addr, len).unwrap()
}

fn to_table(model: &Model) -> Table {
    Table::build(model.iter().map(|(block, regions)| (*block, &**regions))).unwrap()
}

fn model_lookup(model: &Model, addr: IpAddr) -> Option<&[RegionId]> {
    model
        .iter()
        .filter(|(block, _)| block.contains(addr))
        .max_by_key(|(block, _)| block.prefix_len())
        .map(|(_, regions)| &**regions)
}

fn assert_equal(table: &Table, model: &Model, rng: &mut Rng) {
    let listed: Model = table
        .iter()
        .map(|(b, regions)| (b, regions.to_vec()))
        .collect();
    assert_eq!(&listed, model);
    assert_eq!(table.len(), model.len());
    for _ in 0..64 {
        let addr = rng.addr();
        assert_eq!(table.lookup(addr), model_lookup(model, addr), "{addr}");
    }
}

/// Random changes, about half of them to blocks of the model.
fn random_delta(model: &Model, rng: &mut Rng, len: u64) -> Delta {
    let present: Vec<Block> = model.keys().copied().collect();
    let mut delta = Delta::default();
    for _ in 0..len {
        let is_present = !present.is_empty() && rng.below(2) == 0;
        let block = if is_present {
            present[rng.below(present.len() as u64) as usize]
        } else {
            rng.block()
        };
        if rng.below(2) == 0 {
            delta.remove(block);
        } else {
            delta.set(block, &rng.regions());
        }
    }
    delta
}

fn apply_to_model(model: &mut Model, delta: &Delta) {
    for (block, regions) in delta.iter() {
        match regions {
            Some(regions) => model.insert(block, regions.to_vec()),
            None => model.remove(&block),
        };
    }
}

#[test]
fn equals_the_naive_model_over_differences() {
    bolero::check!()
        .with_iterations(60)
        .with_type::<(u64, u16)>()
        .for_each(|(seed, len)| {
            let mut rng = Rng(*seed);
            let mut model = Model::new();
            for _ in 0..len % 3_000 {
                model.insert(rng.block(), rng.regions());
            }
            let mut table = to_table(&model);
            assert_equal(&table, &model, &mut rng);
            for _ in 0..3 {
                let old = (table.clone(), model.clone());
                let len = rng.below(200) * rng.below(20);
                let delta = random_delta(&model, &mut rng, len);
                apply_to_model(&mut model, &delta);
                table = table.apply(&delta).unwrap();
                assert_equal(&table, &model, &mut rng);
                // The old table is unchanged, and the difference turns it into the new one.
                assert_equal(&old.0, &old.1, &mut rng);
                let between = Delta::between(&old.0, &table);
                assert_eq!(old.0.apply(&between).unwrap(), table);
                assert_eq!(Delta::between(&old.0, &to_table(&model)), between);
            }
            assert_eq!(Table::parse(&table.to_string()).unwrap(), table);
            let compact = Compact(&table).to_string();
            assert_eq!(Table::parse(&compact).unwrap(), table);
            assert_eq!(Compact(&to_table(&model)).to_string(), compact);
        });
}

#[test]
fn any_text_that_parses_prints_and_parses_again() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<String>()
        .for_each(|text| {
            if let Ok(table) = Table::parse(text) {
                assert_eq!(Table::parse(&table.to_string()).unwrap(), table);
            }
            if let Ok(delta) = Delta::parse(text) {
                assert_eq!(Delta::parse(&delta.to_string()).unwrap(), delta);
            }
        });
}

#[test]
fn incremental_parsing_equals_parsing_at_once() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<(Vec<(u8, u8, bool)>, u8)>()
        .for_each(|(lines, cut)| {
            let line = |(addr, kind, single_newline): &(u8, u8, bool)| {
                let preference = ["a", "a,b", "@1", "@2", "x x"][usize::from(*kind) % 5];
                let line = match kind % 7 {
                    0 => format!("@{} {preference}", addr % 3),
                    1 => "# nothing".to_owned(),
                    _ => format!("10.{addr}.0.0/16 {preference}"),
                };
                line + if *single_newline { "\n" } else { "\n\n" }
            };
            let lines: Vec<String> = lines.iter().map(line).collect();
            let (first, rest) = lines.split_at(lines.len().min(usize::from(*cut)));
            let mut reader = TableReader::default();
            reader.push(&first.concat());
            reader.push(&rest.concat());
            let whole = Table::parse(&lines.concat());
            match (reader.finish(), whole) {
                (Ok(incremental), Ok(whole)) => assert_eq!(incremental, whole),
                (Err(incremental), Err(whole)) => {
                    let repeats = |e: &&LineError| e.message.contains("stands twice, first");
                    let lines = |e: &LineError| e.line;
                    let whole = whole.iter().filter(|e| !repeats(e)).map(lines);
                    let repeats = |e: &&LineError| e.message.contains("repeat the block");
                    let incremental = incremental.iter().filter(|e| !repeats(e)).map(lines);
                    assert!(incremental.eq(whole));
                }
                (incremental, whole) => panic!("{incremental:?} but {whole:?}"),
            }
        });
}

/// Guards against a block that keeps a replaced preference or gets that of another block. This can
/// happen when blocks arrive out of order, some of them repeated, after blocks in order have already
/// been put into chunks: the two are merged only at the end.
#[test]
fn blocks_are_accepted_in_any_order_and_the_last_counts() {
    bolero::check!()
        .with_iterations(60)
        .with_type::<(u64, u8)>()
        .for_each(|(seed, in_order_of_256)| {
            let mut rng = Rng(*seed);
            let mut blocks: Vec<_> = (0..rng.below(3_000))
                .map(|_| (rng.block(), rng.regions()))
                .collect();
            let in_order = blocks.len() * usize::from(*in_order_of_256) / 256;
            blocks[..in_order].sort();
            let model: Model = blocks.iter().cloned().collect();
            let table = Table::build(blocks.iter().map(|(b, regions)| (*b, &**regions))).unwrap();
            assert_equal(&table, &model, &mut rng);
        });
}

#[test]
fn removing_a_nested_block_exposes_its_parent() {
    // Guards against callers without a home region after their /24 is removed from inside a /8 that
    // begins in an earlier chunk. A table that flattened nested blocks would fail here.
    let mut text = String::from("10.0.0.0/8 dar\n");
    for n in 0..2_000 {
        text.push_str(&format!("10.{}.{}.0/24 moshi\n", n / 256, n % 256));
    }
    let table = Table::parse(&text).unwrap();
    let addr = "10.7.1.9".parse().unwrap();
    assert_eq!(table.lookup(addr).unwrap(), ["moshi"]);
    let delta = Delta::parse("-10.7.1.0/24\n").unwrap();
    let later = table.apply(&delta).unwrap();
    assert_eq!(later.lookup(addr).unwrap(), ["dar"]);
    assert_eq!(table.lookup(addr).unwrap(), ["moshi"]);
    let without_parent = later
        .apply(&Delta::parse("-10.0.0.0/8\n").unwrap())
        .unwrap();
    assert_eq!(without_parent.lookup(addr), None);
}

#[test]
fn a_difference_shares_untouched_chunks() {
    let text: String = (0..100_000)
        .map(|n| format!("10.{}.{}.{}/32 moshi\n", n >> 16, n >> 8 & 255, n & 255))
        .collect();
    let table = Table::parse(&text).unwrap();
    let whole = table.memory_bytes();
    let delta = Delta::parse("+10.0.7.9/32 dar\n-10.1.0.0/32\n").unwrap();
    let later = table.apply(&delta).unwrap();
    assert_eq!(Delta::between(&table, &later), delta);
    assert!(later.unshared_bytes(&table) * 10 < whole);
}

/// Defines tests that parse a text and compare the errors.
macro_rules! parse_errors {
    ($($name:ident: $kind:ident, $text:expr => $errors:expr;)*) => {$(
        #[test]
        fn $name() {
            let errors = $kind::parse($text).unwrap_err();
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            assert_eq!(errors, $errors);
        }
    )*};
}

parse_errors! {
    every_invalid_line_is_reported: Table, "# head\n10.0.0.1/8 a\n\nx a\n10.0.0.0/8\n10.0.0.0/33 a\n1.0.0.0/8 a,a\n" => [
        "line 2: `10.0.0.1/8`: bits are set after the prefix",
        "line 4: `x`: not a block of the form address/length",
        "line 5: `` are no regions with commas between them",
        "line 6: `10.0.0.0/33`: longer than an address of its family",
        "line 7: region `a` stands twice",
    ];
    a_repeated_block_is_reported: Table, "10.0.0.0/8 a\n2001:db8::/32 b\n10.0.0.0/8 b\n" => [
        "line 3: block `10.0.0.0/8` stands twice, first on line 1",
    ];
    a_preference_is_defined_once_and_before_its_use: Table, "10.0.0.0/8 @0\n@0 a,b\n@0 b\n@1 @0\n2001:db8::/32 @0\n" => [
        "line 1: preference `@0` is not named by an earlier line",
        "line 3: preference `@0` stands twice",
        "line 4: preference `@0` is not named by an earlier line",
    ];
    a_change_needs_its_sign: Delta, "10.0.0.0/8 a\n+10.0.0.0/8 a\n-10.0.0.0/8\n" => [
        "line 1: neither `+BLOCK REGIONS` nor `-BLOCK`",
        "line 3: block `10.0.0.0/8` stands twice",
    ];
}
