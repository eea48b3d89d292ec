//! Frames as bytes, and configurations in parts.

mod support;

use bytes::Bytes;
use peer::{
    decode,
    encode,
    from_payload,
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
use support::beat;

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
        println!("beat with {count} summaries: {} bytes", message.len());
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

#[test]
fn refused_bytes() {
    let deep = [vec![0xa1, 0x61, b'x'], vec![0x81; 100_000]].concat();
    let trailing = [&encode(&full_beat(0)).unwrap()[..], b"\x00"].concat();
    let table: [(&[u8], CodecError); 7] = [
        (b"", CodecError::Truncated),
        (b"\xa1\x65share", CodecError::Truncated),
        (b"\x1c", CodecError::Syntax(0)),
        (b"\xa0", CodecError::Shape),
        (b"\xa1\x65share\x01", CodecError::Shape),
        (&deep, CodecError::Depth),
        (&trailing, CodecError::Trailing(1)),
    ];
    for (bytes, error) in table {
        let shown = &bytes[..bytes.len().min(8)];
        assert_eq!(decode(bytes), Err(error), "{shown:x?}");
    }
    assert_eq!(from_payload::<u32>(b"\x61x"), Err(CodecError::Shape));
}

/// Symptom: a daemon has a configuration in force that nobody accepted. Sequence: parts of two
/// versions, or with one missing, are put together after a session was reopened. Cause: parts
/// joined by arrival alone.
#[test]
fn parts_that_do_not_fit() {
    let body = Bytes::from(vec![5; 600_000]);
    let parts = split_config(4, &"head".into(), &body);
    assert_eq!(parts.len(), 3);
    let other = split_config(5, &"head".into(), &body);
    let endless = ConfigBody {
        body: Bytes::new(),
        ..parts[0].clone()
    };
    let table = [
        ([&parts[0], &parts[2]], AssemblyError::Gap),
        ([&parts[0], &other[1]], AssemblyError::Gap),
        ([&parts[0], &parts[1]], AssemblyError::TooLarge),
        ([&parts[1], &parts[2]], AssemblyError::Gap),
        ([&endless, &parts[1]], AssemblyError::Gap),
    ];
    for (number, (sequence, error)) in table.into_iter().enumerate() {
        let limit = if error == AssemblyError::TooLarge {
            599_999
        } else {
            600_000
        };
        let mut assembly = ConfigAssembly::new(limit);
        let results = sequence.map(|part| assembly.push(part.clone()));
        assert!(results.contains(&Err(error)), "case {number}: {results:?}");
        let mut afresh = ConfigAssembly::new(600_000);
        let sequence = [&parts[0], &parts[0], &parts[1], &parts[2]];
        let last = sequence.map(|part| afresh.push(part.clone()).unwrap());
        assert_eq!(last[3].as_ref().map(|whole| &whole.body), Some(&body));
    }
    let empty = split_config(6, &"head".into(), &Bytes::new());
    let whole = ConfigAssembly::new(0).push(empty[0].clone());
    assert!(matches!(whole, Ok(Some(_))));
}
