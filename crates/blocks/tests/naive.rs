//! A table equals a naive model: all blocks in a map, the longest one that contains the address.

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
use numbers::Numbers;
use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        Ipv4Addr,
        Ipv6Addr, //
    },
};

type Model = BTreeMap<Block, Vec<RegionId>>;

impl Numbers {
    /// An address out of few enough that blocks nest, meet and repeat often.
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

fn table_of(model: &Model) -> Table {
    Table::build(model.iter().map(|(block, regions)| (*block, &**regions))).unwrap()
}

fn longest(model: &Model, addr: IpAddr) -> Option<&[RegionId]> {
    model
        .iter()
        .filter(|(block, _)| block.contains(addr))
        .max_by_key(|(block, _)| block.prefix_len())
        .map(|(_, regions)| &**regions)
}

fn assert_same(table: &Table, model: &Model, numbers: &mut Numbers) {
    let listed: Model = table
        .iter()
        .map(|(b, regions)| (b, regions.to_vec()))
        .collect();
    assert_eq!(&listed, model);
    assert_eq!(table.len(), model.len());
    for _ in 0..64 {
        let addr = numbers.addr();
        assert_eq!(table.lookup(addr), longest(model, addr), "{addr}");
    }
}

/// Random changes, many of them of blocks that are there.
fn random_delta(model: &Model, numbers: &mut Numbers, len: u64) -> Delta {
    let present: Vec<Block> = model.keys().copied().collect();
    let mut delta = Delta::default();
    for _ in 0..len {
        let known = !present.is_empty() && numbers.below(2) == 0;
        let block = if known {
            present[numbers.below(present.len() as u64) as usize]
        } else {
            numbers.block()
        };
        if numbers.below(2) == 0 {
            delta.remove(block);
        } else {
            delta.set(block, &numbers.regions());
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
            let mut numbers = Numbers(*seed);
            let mut model = Model::new();
            for _ in 0..len % 3_000 {
                model.insert(numbers.block(), numbers.regions());
            }
            let mut table = table_of(&model);
            assert_same(&table, &model, &mut numbers);
            for _ in 0..3 {
                let before = (table.clone(), model.clone());
                let len = numbers.below(200) * numbers.below(20);
                let delta = random_delta(&model, &mut numbers, len);
                apply_to_model(&mut model, &delta);
                table = table.apply(&delta).unwrap();
                assert_same(&table, &model, &mut numbers);
                // The old table stays as it was, and the difference leads from one to the other.
                assert_same(&before.0, &before.1, &mut numbers);
                let between = Delta::between(&before.0, &table);
                assert_eq!(before.0.apply(&between).unwrap(), table);
                assert_eq!(Delta::between(&before.0, &table_of(&model)), between);
            }
            assert_eq!(Table::parse(&table.to_string()).unwrap(), table);
            let compact = Compact(&table).to_string();
            assert_eq!(Table::parse(&compact).unwrap(), table);
            assert_eq!(Compact(&table_of(&model)).to_string(), compact);
        });
}

#[test]
fn any_text_is_read_or_refused() {
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
fn pieces_give_the_same_table_as_the_whole() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<(Vec<(u8, u8, bool)>, u8)>()
        .for_each(|(lines, cut)| {
            let line = |(addr, kind, ends): &(u8, u8, bool)| {
                let preference = ["a", "a,b", "@1", "@2", "x x"][usize::from(*kind) % 5];
                let line = match kind % 7 {
                    0 => format!("@{} {preference}", addr % 3),
                    1 => "# nothing".to_owned(),
                    _ => format!("10.{addr}.0.0/16 {preference}"),
                };
                line + if *ends { "\n" } else { "\n\n" }
            };
            let lines: Vec<String> = lines.iter().map(line).collect();
            let (first, rest) = lines.split_at(lines.len().min(usize::from(*cut)));
            let mut reader = TableReader::default();
            reader.push(&first.concat());
            reader.push(&rest.concat());
            let whole = Table::parse(&lines.concat());
            match (reader.finish(), whole) {
                (Ok(pieces), Ok(whole)) => assert_eq!(pieces, whole),
                (Err(pieces), Err(whole)) => {
                    let repeats = |e: &&LineError| e.message.contains("stands twice, first");
                    let lines = |e: &LineError| e.line;
                    let whole = whole.iter().filter(|e| !repeats(e)).map(lines);
                    let repeats = |e: &&LineError| e.message.contains("repeat the block");
                    let pieces = pieces.iter().filter(|e| !repeats(e)).map(lines);
                    assert!(pieces.eq(whole));
                }
                (pieces, whole) => panic!("{pieces:?} but {whole:?}"),
            }
        });
}

/// Symptom: a block has a preference that a later line replaced, or callers get that of another
/// block. Sequence: blocks come in order for some chunks, then out of order, some of them again.
/// Cause: those in order are in chunks by then, and what came late is brought in at the end.
#[test]
fn blocks_may_come_in_any_order_and_the_last_counts() {
    bolero::check!()
        .with_iterations(60)
        .with_type::<(u64, u8)>()
        .for_each(|(seed, in_order_of_256)| {
            let mut numbers = Numbers(*seed);
            let mut blocks: Vec<_> = (0..numbers.below(3_000))
                .map(|_| (numbers.block(), numbers.regions()))
                .collect();
            let in_order = blocks.len() * usize::from(*in_order_of_256) / 256;
            blocks[..in_order].sort();
            let model: Model = blocks.iter().cloned().collect();
            let table = Table::build(blocks.iter().map(|(b, regions)| (*b, &**regions))).unwrap();
            assert_same(&table, &model, &mut numbers);
        });
}

#[test]
fn removing_a_nested_block_uncovers_its_parent() {
    // Symptom: callers of a removed /24 have no home. Sequence: a /8, a /24 inside it in a later
    // chunk, then a difference without the /24. Cause would be a table that flattened the two.
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
    let gone = later
        .apply(&Delta::parse("-10.0.0.0/8\n").unwrap())
        .unwrap();
    assert_eq!(gone.lookup(addr), None);
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

/// Names a table of text with its expected errors.
macro_rules! refused {
    ($($name:ident: $kind:ident, $text:expr => $errors:expr;)*) => {$(
        #[test]
        fn $name() {
            let errors = $kind::parse($text).unwrap_err();
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            assert_eq!(errors, $errors);
        }
    )*};
}

refused! {
    every_bad_line_is_named: Table, "# head\n10.0.0.1/8 a\n\nx a\n10.0.0.0/8\n10.0.0.0/33 a\n1.0.0.0/8 a,a\n" => [
        "line 2: `10.0.0.1/8`: bits are set after the prefix",
        "line 4: `x`: not a block of the form address/length",
        "line 5: `` are no regions with commas between them",
        "line 6: `10.0.0.0/33`: longer than an address of its family",
        "line 7: region `a` stands twice",
    ];
    a_repeated_block_is_named: Table, "10.0.0.0/8 a\n2001:db8::/32 b\n10.0.0.0/8 b\n" => [
        "line 3: block `10.0.0.0/8` stands twice, first on line 1",
    ];
    a_preference_is_named_once_and_before_its_use: Table, "10.0.0.0/8 @0\n@0 a,b\n@0 b\n@1 @0\n2001:db8::/32 @0\n" => [
        "line 1: preference `@0` is not named by an earlier line",
        "line 3: preference `@0` stands twice",
        "line 4: preference `@0` is not named by an earlier line",
    ];
    a_change_needs_its_sign: Delta, "10.0.0.0/8 a\n+10.0.0.0/8 a\n-10.0.0.0/8\n" => [
        "line 1: neither `+BLOCK REGIONS` nor `-BLOCK`",
        "line 3: block `10.0.0.0/8` stands twice",
    ];
}
