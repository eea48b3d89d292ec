//! Bodies of many requests that begin, grow and end in any order within one limit.

use bolero::{
    check,
    TypeGenerator, //
};
use relay::{
    BodyBudget,
    BodyMemory, //
};

const LIMIT_BYTES: u64 = 4 << 20;
const KIB: u64 = 1 << 10;

/// Step of one of several bodies.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// Takes more memory up to so many bytes if it is within the limit.
    Ask(u8, u32),
    /// Takes so many more bytes in any case.
    Take(u8, u16),
    /// Gives back what exceeds so many bytes.
    Shrink(u8, u32),
    End(u8),
}

/// Guards against memory that is never given back, or given back twice, and against a granted request beyond the limit.
#[test]
fn held_memory_is_the_sum_of_all_bodies() {
    check!().with_type().for_each(|steps: &Vec<Step>| {
        let memory = BodyMemory::new(Some(LIMIT_BYTES));
        let mut holds: Vec<_> = (0..8).map(|_| Some(memory.hold())).collect();
        for step in steps {
            let (Step::Ask(body, _)
            | Step::Take(body, _)
            | Step::Shrink(body, _)
            | Step::End(body)) = *step;
            let index = usize::from(body) % holds.len();
            let before = memory.budget().held_bytes();
            let hold = holds[index].take().unwrap_or_else(|| memory.hold());
            let own_before = hold.bytes();
            match *step {
                Step::Ask(_, bytes) => {
                    let granted = hold.try_grow_to(u64::from(bytes));
                    let held = memory.budget().held_bytes();
                    assert_eq!(granted, hold.bytes() >= u64::from(bytes));
                    assert!(held <= LIMIT_BYTES || held == before);
                    assert!(granted || hold.bytes() == own_before);
                }
                Step::Take(_, bytes) => hold.grow(u64::from(bytes)),
                Step::Shrink(_, bytes) => {
                    hold.shrink_to(u64::from(bytes));
                    assert_eq!(hold.bytes(), own_before.min(u64::from(bytes)));
                }
                Step::End(_) => {
                    drop(hold);
                    assert_eq!(memory.budget().held_bytes(), before - own_before);
                    continue;
                }
            }
            holds[index] = Some(hold);
            let sum: u64 = holds.iter().flatten().map(|hold| hold.bytes()).sum();
            assert_eq!(memory.budget().held_bytes(), sum);
        }
        drop(holds);
        assert_eq!(memory.budget().held_bytes(), 0);
    });
}

/// Guards against a deployment without a limit that decides by one.
#[test]
fn everything_is_granted_without_a_limit() {
    let memory = BodyMemory::default();
    let hold = memory.hold();
    assert!(hold.try_grow_to(u64::MAX / 2));
    assert!(!memory.is_limited());
    assert_eq!(memory.budget().kept_body_bytes_max(None), 64 * KIB);
}

/// Tests up to which length a body is kept, by the memory held, the limit and the declared length.
macro_rules! kept_lengths {
    ($($name:ident: $limit:expr, $held:expr, $length:expr => $kept:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut budget = BodyBudget::new($limit);
            budget.take($held);
            assert_eq!(budget.kept_body_bytes_max($length), $kept);
        }
    )*};
}

// Guard against long bodies that take the memory of those of the common length, and against a long body that could be
// kept and sent again, but holds an upstream at the speed of its caller.
kept_lengths! {
    without_a_limit: None, 0, Some(300 * KIB) => 64 * KIB;
    unused: Some(LIMIT_BYTES), 0, Some(300 * KIB) => 512 * KIB;
    unused_without_a_length: Some(LIMIT_BYTES), 0, None => 512 * KIB;
    too_long_to_be_kept: Some(LIMIT_BYTES), 0, Some(600 * KIB) => 64 * KIB;
    half_used: Some(LIMIT_BYTES), LIMIT_BYTES / 2 + KIB, Some(300 * KIB) => 64 * KIB;
}
