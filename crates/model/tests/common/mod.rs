//! Assertions on searches, and macros that generate one test per search.

use model::{
    explore,
    Model, //
};

const MAX_STATES: usize = 3_000_000;

/// Asserts that the search visits every state and finds no counterexample.
pub(crate) fn assert_holds<M: Model>(name: &str, model: &M) {
    let found = explore(model, MAX_STATES);
    println!("{name}: {found}");
    assert!(
        found.complete,
        "{name}: the search is partial or found a counterexample: {found}"
    );
}

/// Asserts that the search finds a counterexample whose violation contains `violation`.
pub(crate) fn assert_violated<M: Model>(name: &str, model: &M, violation: &str) {
    let found = explore(model, MAX_STATES);
    println!("{name}: {found}");
    let trace = found
        .counterexample
        .expect("the search finds a counterexample with the guard off");
    assert!(trace.violation.contains(violation), "{name}: {trace}");
}

/// Generates a test for each model, which must hold with all guards on.
macro_rules! holds {
    ($($name:ident: $model:expr;)*) => {
        $(#[test]
        fn $name() {
            crate::common::assert_holds(stringify!($name), &($model)(Guards::default()));
        })*
    };
}

/// Generates a test for each model with one guard off, and the violation that it must find.
macro_rules! breaks {
    ($($(#[$doc:meta])* $name:ident: $model:expr, $guard:ident, $violation:literal;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let mut guards = Guards::default();
            guards.$guard = false;
            crate::common::assert_violated(stringify!($name), &($model)(guards), $violation);
        })*
    };
}

pub(crate) use {
    breaks,
    holds, //
};
