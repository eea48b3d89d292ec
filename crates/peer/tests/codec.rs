//! Encoding of frames, and configurations split into parts.

mod support;

use bytes::Bytes;
use peer::{
    decode,
    encode,
    split_config,
    AssemblyError,
    CodecError,
    ConfigAssembly,
    ConfigBody,
    Decoded,
    Frame,
    InstanceSummary,
    RegionSummary, //
};
use support::{
    beat,
    cases, //
};

cases! {
    empty_input: decode_fails_with(b"", CodecError::Truncated);
    truncated_input: decode_fails_with(b"\xa1\x65share", CodecError::Truncated);
    reserved_byte: decode_fails_with(b"\x1c", CodecError::Syntax(0));
    no_kind: decode_fails_with(b"\xa0", CodecError::Shape);
    two_kinds: decode_fails_with(b"\xa2\x61x\x01\x61y\x01", CodecError::Shape);
    wrong_fields: decode_fails_with(b"\xa1\x65share\x01", CodecError::Shape);
    trailing_bytes: decode_fails_with(b"\xa1\x61x\x01\x00", CodecError::Trailing(1));
    nested_too_deeply: decode_fails_with(
        &[&b"\xa1\x61x"[..], &[0x81; 100_000]].concat(),
        CodecError::Depth,
    );
    missing_part: assembly_fails_with(&[part(4, 0), part(4, 2)], TOTAL, AssemblyError::Gap);
    part_of_another_version: assembly_fails_with(
        &[part(4, 0), part(5, 1)],
        TOTAL,
        AssemblyError::Gap,
    );
    missing_first_part: assembly_fails_with(&[part(4, 1), part(4, 2)], TOTAL, AssemblyError::Gap);
    part_without_bytes: assembly_fails_with(&[empty_part(), part(4, 1)], TOTAL, AssemblyError::Gap);
    body_too_long: assembly_fails_with(
        &[part(4, 0), part(4, 1)],
        TOTAL - 1,
        AssemblyError::TooLarge,
    );
}

/// Heartbeat with `count` instance summaries and nine region summaries, of realistic sizes.
fn full_beat(count: u64) -> Frame {
    let mut beat = beat(1_000_000);
    beat.instances = (0..count)
        .map(|number| InstanceSummary {
            instance: format!("arusha-entry-{number:02}").into(),
            incarnation: 1 + number,
            version: 1800,
            leaving: false,
            age_ms: 250,
            callers_addr: format!("10.20.30.{number}:8080").into(),
            peers_addr: format!("10.20.30.{number}:8081").into(),
            operator_addr: format!("10.20.30.{number}:8082").into(),
            region: "arusha".into(),
            failure_domain: "arusha-1".into(),
        })
        .collect();
    beat.regions = (0..9u64)
        .map(|number| RegionSummary {
            region: ["arusha", "moshi", "dar"][usize::try_from(number % 3).unwrap()].into(),
            service: ["menu", "ordering", "binder"][usize::try_from(number / 3).unwrap()].into(),
            slots: 135,
            in_use: 60,
            latency_us: 4000,
            age_ms: 100,
            arriving_milli_slots: 60_000,
            carrying_milli_slots: 60_000,
        })
        .collect();
    Frame::Beat(beat)
}

/// Prints the encoded size of a heartbeat; docs/design/peer.md quotes it.
#[test]
fn beat_sizes() {
    for count in [0, 12, 60] {
        let frame = full_beat(count);
        let message = encode(&frame).unwrap();
        let json = serde_json::to_vec(&frame).unwrap();
        println!(
            "heartbeat with {count} summaries: {} bytes of CBOR, {} of JSON",
            message.len(),
            json.len()
        );
        assert_eq!(decode(&message), Ok(Decoded::Frame(frame)));
    }
}

/// Guards against a message that crashes the daemon, by a decoder that trusts lengths, nesting or
/// text.
#[test]
fn arbitrary_bytes_decode_or_fail() {
    bolero::check!()
        .with_iterations(20_000)
        .for_each(|bytes: &[u8]| match decode(bytes) {
            Ok(Decoded::Frame(frame)) => {
                let again = decode(&encode(&frame).unwrap());
                assert_eq!(again, Ok(Decoded::Frame(frame)));
            }
            Ok(Decoded::UnknownKind) => {}
            Err(error) => assert_ne!(error, CodecError::Unwritable),
        });
}

/// As above, with inputs close to valid frames, which get further into the decoder.
#[test]
fn corrupted_frames_decode_or_fail() {
    let valid = encode(&full_beat(2)).unwrap();
    bolero::check!()
        .with_iterations(20_000)
        .with_type::<(Vec<(usize, u8)>, usize)>()
        .for_each(|(changes, cut)| {
            let mut bytes = valid.to_vec();
            for (offset, value) in changes {
                let offset = offset % bytes.len();
                bytes[offset] = *value;
            }
            bytes.truncate(cut % (valid.len() + 1));
            if let Err(error) = decode(&bytes) {
                assert_ne!(error, CodecError::Unwritable);
            }
        });
}

/// Checks the error reported for each kind of invalid input.
async fn decode_fails_with(bytes: &[u8], error: CodecError) {
    assert_eq!(decode(bytes), Err(error));
}

/// Guards against a configuration in force that was never accepted: after a reopened session, parts
/// of two versions, or with a part missing, must not be joined.
async fn assembly_fails_with(sequence: &[ConfigBody], max_bytes: u64, error: AssemblyError) {
    let mut assembly = ConfigAssembly::new(max_bytes);
    let results: Vec<_> = sequence
        .iter()
        .map(|part| assembly.push(part.clone()))
        .collect();
    assert!(results.contains(&Err(error)), "{results:?}");
    assert!(results.iter().all(|result| !matches!(result, Ok(Some(_)))));
}

/// Guards against parts of a failed attempt being kept when the sender starts over: a receiver that
/// lost a part would never get the configuration.
#[test]
fn sender_may_start_over() {
    let mut assembly = ConfigAssembly::new(TOTAL);
    let sequence = [part(4, 0), part(4, 2), part(4, 0), part(4, 1), part(4, 2)];
    let results = sequence.map(|part| assembly.push(part));
    assert_eq!(results[1], Err(AssemblyError::Gap));
    let whole = results[4].as_ref().unwrap().as_ref().unwrap();
    assert!(whole.body.iter().eq(&vec![5; 600_000]));
    let empty = split_config(6, &"head".into(), &Bytes::new());
    assert!(matches!(assembly.push(empty[0].clone()), Ok(Some(_))));
}

/// Length of the configuration that `part` splits: two full parts and a remainder.
const TOTAL: u64 = 600_000;

/// Part `number` of a configuration.
fn part(version: u64, number: usize) -> ConfigBody {
    let body = Bytes::from(vec![5; 600_000]);
    split_config(version, &"head".into(), &body).swap_remove(number)
}

/// A first part without content.
fn empty_part() -> ConfigBody {
    ConfigBody {
        body: Bytes::new(),
        ..part(4, 0)
    }
}
