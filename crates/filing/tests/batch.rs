//! Batched claims against a table in memory.

use bytestring::ByteString;
use filing::{
    Batch,
    ClaimEvent,
    Commit,
    CommitAnswer,
    Insert,
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
    fn commit(&mut self, commit: &Commit) -> CommitAnswer {
        let current = |insert: &Insert| self.rows.get(&insert.key).cloned();
        let rows: Vec<Option<Row>> = commit.inserts.iter().map(current).collect();
        let versions = rows.iter().map(|row| row.as_ref().map(|row| row.version));
        if !versions.eq(commit.inserts.iter().map(|insert| insert.check)) {
            return CommitAnswer::Conflict { rows };
        }
        self.version += 1;
        for insert in &commit.inserts {
            let row = Row {
                version: self.version,
                value: insert.value.clone(),
            };
            self.rows.insert(insert.key.clone(), row);
        }
        CommitAnswer::Committed {
            version: self.version,
        }
    }
}

fn insert(caller: u64, key: u8) -> Insert {
    Insert {
        caller,
        key: format!("claim/{key}").into(),
        check: None,
        value: caller.to_string().into(),
    }
}

/// Symptom: one caller's repeated key fails the orders of all others in its batch. The table fails
/// a transaction as a whole.
#[test]
fn each_key_goes_to_one_caller_and_nobody_elses_conflict_fails_another() {
    bolero::check!()
        .with_type::<(Vec<u8>, u8)>()
        .with_iterations(1_000)
        .for_each(|(keys, size)| {
            let mut table = Table::default();
            let mut batch = Batch::new(usize::from(size % 8) + 1);
            for (caller, key) in (0_u64..).zip(keys) {
                batch.push(insert(caller, key % 16));
            }
            let mut told = BTreeMap::new();
            let mut commits = 0;
            while let Some(commit) = batch.commit() {
                commits += 1;
                assert!(batch.commit().is_none(), "one is under way at a time");
                let answer = table.commit(&commit);
                told.extend(batch.answer(answer));
            }
            assert!(commits <= 2 * keys.len());
            assert_eq!(told.len(), keys.len(), "each caller is told once");
            for (caller, event) in told {
                let key = insert(caller, keys[caller as usize] % 16).key;
                let holds = table.rows[&key].value.as_bytes() == caller.to_string().as_bytes();
                let won = matches!(event, ClaimEvent::Committed { .. });
                assert_eq!(won, holds, "caller {caller}: {event:?}");
            }
        });
}

macro_rules! told_all {
    ($($name:ident: $answer:expr, $event:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut batch = Batch::new(8);
            batch.push(insert(1, 1));
            batch.push(insert(2, 2));
            batch.commit().expect("two wait");
            assert_eq!(batch.answer($answer), vec![(1, $event), (2, $event)]);
            assert!(batch.commit().is_none(), "nothing is sent again by itself");
        })*
    };
}

told_all! {
    a_lost_answer_is_told_to_all: CommitAnswer::Lost, ClaimEvent::Lost;
    an_outage_is_told_to_all: CommitAnswer::Down, ClaimEvent::Down;
}

#[test]
fn a_caller_who_gave_up_is_left_out() {
    let mut batch = Batch::new(8);
    batch.push(insert(1, 1));
    assert!(batch.cancel(1));
    assert!(!batch.cancel(1));
    assert!(batch.commit().is_none());
}

/// Symptom: after an outage repeats of answered orders are told `unknown` for ever. The outcome was
/// written once, while the table was down, and nobody waited for the answer.
#[test]
fn an_outcome_outlasts_an_outage() {
    let mut table = Table::default();
    let mut batch = Batch::new(8);
    batch.push(insert(NO_CALLER, 1));
    batch.push(insert(2, 2));
    batch.commit().expect("two wait");
    let told = batch.answer(CommitAnswer::Down);
    assert_eq!(told, vec![(2, ClaimEvent::Down)]);
    assert!(batch.commit().is_none(), "not at once");
    for answered in [false, true] {
        batch.unpark();
        let commit = batch.commit().expect("the outcome waits");
        let answer = table.commit(&commit);
        let answer = if answered { answer } else { CommitAnswer::Lost };
        assert_eq!(batch.answer(answer), vec![]);
    }
    batch.unpark();
    assert!(batch.commit().is_none());
    assert!(table.rows.contains_key("claim/1"));
}
