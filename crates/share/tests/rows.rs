//! Rows: what the builder makes, what the verifier finds, and their JSON form.

use share::{
    floor_of,
    plan,
    verify,
    verify_step,
    Amounts,
    Finding,
    MemberId,
    PlanMember,
    PlanState,
    Row,
    Terms, //
};
use std::collections::BTreeMap;

fn id(i: usize) -> MemberId {
    MemberId {
        instance: format!("e{i}").into(),
        incarnation: 1,
    }
}

fn amounts(counts: &[u32]) -> Amounts {
    let by_resource = counts
        .iter()
        .enumerate()
        .map(|(i, n)| (format!("u{i}").into(), *n));
    by_resource.collect()
}

fn live(demand: u32) -> PlanMember {
    PlanMember {
        lease_seq: 1,
        adopted: 0,
        demand,
        state: PlanState::Live,
    }
}

fn all_live(demands: &[u32]) -> BTreeMap<MemberId, PlanMember> {
    let members = demands.iter().enumerate();
    members.map(|(i, demand)| (id(i), live(*demand))).collect()
}

fn totals(row: &Row) -> Vec<u32> {
    let totals = row.members.values().map(|entry| entry.allot.values().sum());
    totals.collect()
}

/// Tests how the builder distributes capacities over demands.
macro_rules! splits {
    ($($name:ident: $capacity:expr, $demands:expr => $totals:expr;)*) => {$(
        #[test]
        fn $name() {
            let row = plan(None, &amounts(&$capacity), &all_live(&$demands), &Terms::default());
            assert_eq!(totals(&row), $totals, "{row}");
            assert_eq!(verify(&row, 50), [], "{row}");
        }
    )*};
}

splits! {
    equal_demands_get_equal_shares: [9, 9], [9, 9] => [9, 9];
    idle_member_gets_one_token: [3, 3], [0, 9] => [1, 5];
    demand_is_met_before_the_rest_is_distributed: [6], [1, 5] => [1, 5];
    rest_evens_out_the_shares: [6], [1, 3] => [3, 3];
    scarce_tokens_meet_demand_evenly: [8], [2, 9, 9] => [2, 3, 3];
    fewer_tokens_than_members: [1], [5, 5] => [1, 0];
    no_tokens: [0], [5, 5] => [0, 0];
}

#[test]
fn floors_round_over_all_resources_together() {
    assert_eq!(
        floor_of(&amounts(&[1, 1, 1]), 50),
        amounts(&[1, 0, 1])
            .into_iter()
            .filter(|(_, n)| *n > 0)
            .collect()
    );
    assert_eq!(floor_of(&amounts(&[5]), 50), amounts(&[3]));
    assert_eq!(floor_of(&amounts(&[5]), 0), Amounts::new());
    assert_eq!(floor_of(&amounts(&[5]), 100), amounts(&[5]));
}

/// Guards against a lapsed entry that wakes up and sends to slots that others have.
///
/// A row reduces its allotment from six to one, and it lapses before it adopts that row. At its own
/// epoch its floor is three, so the next row must not leave it with the floor of one.
#[test]
fn lapsed_member_keeps_the_floor_of_its_epoch() {
    let terms = Terms::default();
    let capacity = amounts(&[12]);
    let first = plan(None, &capacity, &all_live(&[6, 6]), &terms);
    let mut members = all_live(&[0, 12]);
    members.get_mut(&id(0)).unwrap().adopted = 1;
    members.get_mut(&id(1)).unwrap().adopted = 1;
    let second = plan(Some(&first), &capacity, &members, &terms);
    assert_eq!(totals(&second), [1, 11]);
    members.get_mut(&id(0)).unwrap().state = PlanState::Lapsed;
    members.get_mut(&id(1)).unwrap().adopted = 2;
    let third = plan(Some(&second), &capacity, &members, &terms);
    assert_eq!(totals(&third), [3, 9]);
    assert_eq!(verify_step(&second, &third, 50), []);
}

/// Tests the verifier's findings for each way to invalidate a valid row.
macro_rules! invalid_rows {
    ($($name:ident: $mutate:expr => $messages:expr;)*) => {$(
        #[test]
        fn $name() {
            let terms = Terms::default();
            let first = plan(None, &amounts(&[6]), &all_live(&[3, 3]), &terms);
            let mut next = plan(Some(&first), &amounts(&[6]), &all_live(&[3, 3]), &terms);
            assert_eq!(verify_step(&first, &next, 50), []);
            let mutate: fn(&mut Row) = $mutate;
           mutate(&mut next);
            let findings = verify_step(&first, &next, 50);
            let messages: Vec<String> = findings.iter().map(Finding::to_string).collect();
            assert_eq!(messages, $messages);
        }
    )*};
}

fn first_member(row: &mut Row) -> &mut share::RowMember {
    row.members.get_mut(&id(0)).unwrap()
}

invalid_rows! {
    over_capacity: |row| { first_member(row).allot = amounts(&[4]); }
        => ["u0: 7 tokens allotted of 6"];
    unknown_resource: |row| { first_member(row).allot = [("x".into(), 1)].into(); }
        => ["e0#1: tokens of x, which is not listed", "e0#1: bound below the floor"];
    member_without_tokens: |row| { first_member(row).allot.clear(); }
        => ["e0#1: no token allotted"];
    bound_below_earlier_floor: |row| { first_member(row).allot = amounts(&[1]); first_member(row).bound = amounts(&[1]); }
        => ["e0#1: bound below an earlier floor"];
    epoch_gap: |row| { row.epoch += 1; }
        => ["epoch: not the successor of the previous one"];
    since_changed: |row| { first_member(row).since = 2; }
        => ["e0#1: first epoch changed"];
    lease_seq_decreased: |row| { first_member(row).lease_seq = 0; }
        => ["e0#1: lease or epoch went back"];
    epoch_ahead: |row| { first_member(row).adopted = 9; }
        => ["e0#1: epoch after the row's"];
}

#[test]
fn row_round_trips_through_json() {
    let row = plan(
        None,
        &amounts(&[3, 3]),
        &all_live(&[2, 4]),
        &Terms::default(),
    );
    let text = serde_json::to_string(&row).unwrap();
    assert!(text.contains("\"e0#1\""), "{text}");
    assert_eq!(serde_json::from_str::<Row>(&text).unwrap(), row);
    assert!(serde_json::from_str::<Row>(&text.replace("e0#1", "e0")).is_err());
}

/// Every row that the builder makes, after any chain of rows, passes the verifier.
#[test]
fn builder_satisfies_the_verifier() {
    type Step = ([u8; 2], Vec<(u8, u8, bool)>);
    bolero::check!()
        .with_type::<Vec<Step>>()
        .with_iterations(2000)
        .for_each(|steps| {
            let terms = Terms::default();
            let mut previous: Option<Row> = None;
            for (capacity, states) in steps.iter().take(6) {
                let epoch = previous.as_ref().map_or(0, |row| row.epoch);
                let states = [(0, 1, true)]
                    .into_iter()
                    .chain(states.iter().copied().take(4));
                let member = |(i, (state, demand, at_epoch)): (usize, (u8, u8, bool))| {
                    let state = [PlanState::Live, PlanState::Lapsed, PlanState::Leaving]
                        [usize::from(state % 3)];
                    let member = PlanMember {
                        lease_seq: epoch,
                        adopted: if at_epoch { epoch } else { 0 },
                        demand: u32::from(demand),
                        state,
                    };
                    (id(i), member)
                };
                let members = states.enumerate().map(member).collect();
                let capacity = amounts(&capacity.map(u32::from));
                let row = plan(previous.as_ref(), &capacity, &members, &terms);
                let findings = match &previous {
                    Some(previous) => verify_step(previous, &row, terms.floor_pct),
                    None => verify(&row, terms.floor_pct),
                };
                assert_eq!(findings, [], "{previous:?}\n{row}");
                previous = Some(row);
            }
        });
}
