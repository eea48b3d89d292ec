//! Tests of the text formats of tickets, records and claims: encoded text is parsed, and changed
//! text is refused.

use bytes::Bytes;
use filing::{
    Claim,
    ClaimState,
    Key,
    Record,
    Ticket,
    TicketError, //
};

fn ticket(class: &str, instance: &str, numbers: (u64, u128, u64)) -> Ticket {
    Ticket {
        class: class.into(),
        instance: instance.into(),
        incarnation: numbers.0,
        nonce: numbers.1,
        expires_at_ms: numbers.2,
    }
}

fn key() -> Key {
    Key::derive(b"secret")
}

/// Makes an id of arbitrary bytes.
fn id(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_minted_ticket_is_verified() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>, (u64, u128, u64))>()
        .with_iterations(2_000)
        .for_each(|(class, instance, numbers)| {
            let ticket = ticket(&id(class), &id(instance), *numbers);
            let text = ticket.mint(&key());
            assert!(text.is_ascii() && !text.contains([' ', ',', ';', '"']));
            if text.len() <= 1024 {
                assert_eq!(Ticket::verify(&text, &key()), Ok(ticket));
            }
        });
}

#[test]
fn a_changed_ticket_is_refused() {
    let text = ticket("orders", "x-1", (3, 99, 1_700_000_000_000)).mint(&key());
    bolero::check!()
        .with_type::<(usize, u8)>()
        .with_iterations(5_000)
        .for_each(|(index, byte)| {
            let mut changed = text.clone().into_bytes();
            let index = index % changed.len();
            let different = changed[index] != *byte;
            changed[index] = *byte;
            if let (true, Ok(changed)) = (different, String::from_utf8(changed)) {
                assert!(Ticket::verify(&changed, &key()).is_err(), "{changed}");
            }
        });
}

/// Guards against an outsider that files without a lookup, with a ticket that is well-formed but
/// not made with the daemons' key.
#[test]
fn a_ticket_of_another_key_is_forged() {
    let text = ticket("orders", "x", (1, 2, 3)).mint(&Key::derive(b"other"));
    assert_eq!(Ticket::verify(&text, &key()), Err(TicketError::Forged));
}

macro_rules! malformed {
    ($($name:ident: $text:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(Ticket::verify($text, &key()), Err(TicketError::Malformed));
        })*
    };
}

malformed! {
    an_empty_text: "";
    a_text_without_fields: "ticket";
    another_format: "t2.a.b.1.2.3.00000000000000000000000000000000";
    a_missing_field: "t1.a.b.1.2.00000000000000000000000000000000";
    an_extra_field: "t1.a.b.1.2.3.4.00000000000000000000000000000000";
    a_short_hash: "t1.a.b.1.2.3.00";
    a_long_text: &"t".repeat(5_000);
    an_invalid_escape: "t1.%a.b.1.2.3.00000000000000000000000000000000";
}

#[test]
fn a_key_is_hidden_in_debug_and_display() {
    let shown = format!("{:?} {}", key(), key());
    assert_eq!(shown, "Key(hidden) (hidden)");
}

#[test]
fn records_and_claims_round_trip() {
    bolero::check!()
        .with_type::<(Vec<(Vec<u8>, Vec<u8>)>, Vec<u8>, u16, u128)>()
        .with_iterations(2_000)
        .for_each(|(headers, body, status, token)| {
            let headers = headers
                .iter()
                .map(|(name, value)| (id(name).into(), Bytes::from(value.clone())))
                .collect();
            let record = Record {
                outcome: base::RunOutcome::Done,
                status: *status,
                headers,
                body: Bytes::from(body.clone()),
            };
            assert_eq!(record.to_string().parse(), Ok(record.clone()));
            let claim = Claim {
                token: *token,
                instance: "x y\n".into(),
                incarnation: u64::from(*status),
                digest: *token,
                state: ClaimState::Ended(record),
            };
            assert_eq!(claim.to_string().parse(), Ok(claim));
        });
}

#[test]
fn arbitrary_text_is_refused_without_panicking() {
    bolero::check!()
        .with_type::<Vec<u8>>()
        .with_iterations(5_000)
        .for_each(|bytes| {
            let text = id(bytes);
            let ticket = Ticket::verify(&text, &key());
            let claim = text.parse::<Claim>();
            let record = text.parse::<Record>();
            assert!(ticket.is_err());
            assert!(claim.is_err() || record.is_err());
        });
}
