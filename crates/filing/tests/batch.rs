//! Tests of batched claims against an in-memory table.

use bytestring::ByteString;
use filing::{
    Batch,
    ClaimEvent,
    Commit,
    CommitResult,
    ConditionalWrite,
    Row,
    NO_CALLER, //
};
use std::collections::BTreeMap;

#[derive(Default)]
struct Table {
    version: u64,
    rows: BTreeMap<ByteString, Row>,
}

impl Table {
    fn commit(&mut self, commit: &Commit) -> CommitResult {
        let current = |insert: &ConditionalWrite| self.rows.get(&insert.key).cloned();
        let rows: Vec<Option<Row>> = commit.writes.iter().map(current).collect();
        let versions = rows.iter().map(|row| row.as_ref().map(|row| row.version));
        if !versions.eq(commit.writes.iter().map(|insert| insert.check)) {
            return CommitResult::Conflict { rows };
        }
        self.version += 1;
        for insert in &commit.writes {
            let row = Row {
                version: self.version,
                value: insert.value.clone(),
            };
            self.rows.insert(insert.key.clone(), row);
        }
        CommitResult::Committed {
            version: self.version,
        }
    }
}

fn insert(caller: u64, key: u8) -> ConditionalWrite {
    ConditionalWrite {
        caller,
        key: format!("claim/{key}").into(),
        check: None,
        value: caller.to_string().into(),
    }
}

/// Guards against one caller's repeated key failing the writes of all others in its batch, since
/// the table fails a transaction as a whole.
#[test]
fn each_key_has_one_holder_and_a_conflict_fails_no_other_write() {
    bolero::check!()
        .with_type::<(Vec<u8>, u8)>()
        .with_iterations(1_000)
        .for_each(|(keys, size)| {
            let mut table = Table::default();
            let mut batch = Batch::new(usize::from(size % 8) + 1);
            for (caller, key) in (0_u64..).zip(keys) {
                batch.push(insert(caller, key % 16));
            }
            let mut events = BTreeMap::new();
            let mut commits = 0;
            while let Some(commit) = batch.commit() {
                commits += 1;
                assert!(
                    batch.commit().is_none(),
                    "at most one transaction is in flight"
                );
                let result = table.commit(&commit);
                events.extend(batch.complete(result));
            }
            assert!(commits <= 2 * keys.len());
            assert_eq!(events.len(), keys.len(), "each caller gets one event");
            for (caller, event) in events {
                let key = insert(caller, keys[caller as usize] % 16).key;
                let is_holder = table.rows[&key].value.as_bytes() == caller.to_string().as_bytes();
                let committed = matches!(event, ClaimEvent::Committed { .. });
                assert_eq!(committed, is_holder, "caller {caller}: {event:?}");
            }
        });
}

macro_rules! reported_to_all {
    ($($name:ident: $answer:expr, $event:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut batch = Batch::new(8);
            batch.push(insert(1, 1));
            batch.push(insert(2, 2));
            batch.commit().expect("two writes are queued");
            assert_eq!(batch.complete($answer), vec![(1, $event), (2, $event)]);
            assert!(batch.commit().is_none(), "nothing is retried automatically");
        })*
    };
}

reported_to_all! {
    a_lost_result_is_reported_to_all: CommitResult::Lost, ClaimEvent::Lost;
    an_outage_is_reported_to_all: CommitResult::Down, ClaimEvent::Down;
}

#[test]
fn a_cancelled_write_is_not_committed() {
    let mut batch = Batch::new(8);
    batch.push(insert(1, 1));
    assert!(batch.cancel(1));
    assert!(!batch.cancel(1));
    assert!(batch.commit().is_none());
}

/// Guards against repeats of completed filings getting `unknown` for good after an outage. It
/// happens if an outcome is written only once, while the table is down, and nobody waits for the
/// result.
#[test]
fn an_outcome_is_retried_after_an_outage() {
    let mut table = Table::default();
    let mut batch = Batch::new(8);
    batch.push(insert(NO_CALLER, 1));
    batch.push(insert(2, 2));
    batch.commit().expect("two writes are queued");
    let events = batch.complete(CommitResult::Down);
    assert_eq!(events, vec![(2, ClaimEvent::Down)]);
    assert!(batch.commit().is_none(), "not retried immediately");
    for result_received in [false, true] {
        batch.retry_deferred();
        let commit = batch.commit().expect("the outcome is queued");
        let result = table.commit(&commit);
        let result = if result_received {
            result
        } else {
            CommitResult::Lost
        };
        assert_eq!(batch.complete(result), vec![]);
    }
    batch.retry_deferred();
    assert!(batch.commit().is_none());
    assert!(table.rows.contains_key("claim/1"));
}
