//! How the tests of filings, members and versions run a search and judge it.

use model::{
    explore,
    Model, //
};

const LIMIT_STATES: usize = 3_000_000;

/// Walks all states; fails on a counterexample or if some were left out.
pub(crate) fn search_holds<M: Model>(name: &str, model: &M) {
    let seen = explore(model, LIMIT_STATES);
    println!("{name}: {seen}");
    assert!(seen.complete, "{name} left states out, or found: {seen}");
}

/// Walks until the counterexample that a missing guard must have.
pub(crate) fn search_breaks<M: Model>(name: &str, model: &M, violation: &str) {
    let seen = explore(model, LIMIT_STATES);
    println!("{name}: {seen}");
    let trace = seen
        .counterexample
        .expect("the search finds the seeded fault");
    assert!(trace.violation.contains(violation), "{name}: {trace}");
}

/// Names a search for each model with all guards on.
macro_rules! holds {
    ($($name:ident: $model:expr;)*) => {
        $(#[test]
        fn $name() {
            crate::common::search_holds(stringify!($name), &($model)(Guards::default()));
        })*
    };
}

/// Names a search for each model with one guard off, and what it must find.
macro_rules! breaks {
    ($($(#[$doc:meta])* $name:ident: $model:expr, $guard:ident, $violation:literal;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let mut guards = Guards::default();
            guards.$guard = false;
            crate::common::search_breaks(stringify!($name), &($model)(guards), $violation);
        })*
    };
}

pub(crate) use {
    breaks,
    holds, //
};
