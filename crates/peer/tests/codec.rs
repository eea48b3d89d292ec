//! Frames as bytes, and configurations in parts.

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
    nothing: refuses(b"", CodecError::Truncated);
    cut_short: refuses(b"\xa1\x65share", CodecError::Truncated);
    reserved_byte: refuses(b"\x1c", CodecError::Syntax(0));
    no_kind: refuses(b"\xa0", CodecError::Shape);
    two_kinds: refuses(b"\xa2\x61x\x01\x61y\x01", CodecError::Shape);
    not_the_fields: refuses(b"\xa1\x65share\x01", CodecError::Shape);
    bytes_after: refuses(b"\xa1\x61x\x01\x00", CodecError::Trailing(1));
    too_deep: refuses(&[&b"\xa1\x61x"[..], &[0x81; 100_000]].concat(), CodecError::Depth);
    part_missing: parts(&[part(4, 0), part(4, 2)], TOTAL, AssemblyError::Gap);
    part_of_another_version: parts(&[part(4, 0), part(5, 1)], TOTAL, AssemblyError::Gap);
    no_first_part: parts(&[part(4, 1), part(4, 2)], TOTAL, AssemblyError::Gap);
    part_without_bytes: parts(&[empty_part(), part(4, 1)], TOTAL, AssemblyError::Gap);
    too_long: parts(&[part(4, 0), part(4, 1)], TOTAL - 1, AssemblyError::TooLarge);
}

/// A beat with `count` summaries of each sort, of the sizes that deployments have.
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

/// Prints what a beat costs; docs/design/peer.md quotes it.
#[test]
fn beat_sizes() {
    for count in [0, 12, 60] {
        let frame = full_beat(count);
        let message = encode(&frame).unwrap();
        let json = serde_json::to_vec(&frame).unwrap();
        println!(
            "beat with {count} summaries: {} bytes of CBOR, {} of JSON",
            message.len(),
            json.len()
        );
        assert_eq!(decode(&message), Ok(Decoded::Frame(frame)));
    }
}

/// Symptom: a daemon dies of a message. Sequence: any bytes arrive. Cause: a decoder that trusts
/// lengths, nesting or text.
#[test]
fn any_bytes_give_a_frame_or_one_error() {
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

/// As above, near good frames, where a decoder goes deeper.
#[test]
fn damaged_frames_give_a_frame_or_one_error() {
    let good = encode(&full_beat(2)).unwrap();
    bolero::check!()
        .with_iterations(20_000)
        .with_type::<(Vec<(usize, u8)>, usize)>()
        .for_each(|(changes, cut)| {
            let mut bytes = good.to_vec();
            for (place, value) in changes {
                let place = place % bytes.len();
                bytes[place] = *value;
            }
            bytes.truncate(cut % (good.len() + 1));
            if let Err(error) = decode(&bytes) {
                assert_ne!(error, CodecError::Unwritable);
            }
        });
}

/// Symptom and cause as above; here with the error each fault gives.
async fn refuses(bytes: &[u8], error: CodecError) {
    assert_eq!(decode(bytes), Err(error));
}

/// Symptom: a daemon has a configuration in force that nobody accepted. Sequence: parts of two
/// versions, or with one missing, are put together after a session was reopened. Cause: parts
/// joined by arrival alone.
async fn parts(sequence: &[ConfigBody], max_bytes: u64, error: AssemblyError) {
    let mut assembly = ConfigAssembly::new(max_bytes);
    let results: Vec<_> = sequence
        .iter()
        .map(|part| assembly.push(part.clone()))
        .collect();
    assert!(results.contains(&Err(error)), "{results:?}");
    assert!(results.iter().all(|result| !matches!(result, Ok(Some(_)))));
}

/// Symptom: a receiver that lost a part never gets the configuration. Sequence: the sender starts
/// over. Cause: parts of the first attempt kept.
#[test]
fn a_sender_may_start_over() {
    let mut assembly = ConfigAssembly::new(TOTAL);
    let sequence = [part(4, 0), part(4, 2), part(4, 0), part(4, 1), part(4, 2)];
    let results = sequence.map(|part| assembly.push(part));
    assert_eq!(results[1], Err(AssemblyError::Gap));
    let whole = results[4].as_ref().unwrap().as_ref().unwrap();
    assert!(whole.body.iter().eq(&vec![5; 600_000]));
    let empty = split_config(6, &"head".into(), &Bytes::new());
    assert!(matches!(assembly.push(empty[0].clone()), Ok(Some(_))));
}

/// Length of the configuration that `part` takes parts of: two whole ones and a rest.
const TOTAL: u64 = 600_000;

/// Part `number` of a configuration.
fn part(version: u64, number: usize) -> ConfigBody {
    let body = Bytes::from(vec![5; 600_000]);
    split_config(version, &"head".into(), &body).swap_remove(number)
}

/// A first part without bytes.
fn empty_part() -> ConfigBody {
    ConfigBody {
        body: Bytes::new(),
        ..part(4, 0)
    }
}
