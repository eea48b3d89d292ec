//! Breadth-first search of every state that a small protocol instance can reach.
//!
//! A [`Model`] defines its initial state, its transitions and its invariant. [`explore`] visits all
//! states with the breadth-first search of the library `pathfinding`, so that a counterexample is a
//! shortest one, and reports the size of the search. A search that reaches its limit is reported as
//! partial: without a counterexample it proves nothing beyond the states that it visited.

use pathfinding::directed::bfs::bfs;
use std::{
    cell::Cell,
    fmt,
    hash::{
        Hash,
        Hasher, //
    },
};

/// Small instance of a protocol, with the faults that may occur.
pub trait Model {
    /// Everything that determines which transitions are possible.
    type State: Clone + Eq + Hash;
    /// Label of a transition; its text is one line of a trace.
    type Step: Clone + fmt::Display;

    /// Initial state.
    fn start(&self) -> Self::State;

    /// Transitions that are possible in `state`, each with its successor state.
    fn transitions(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// Checks the invariant, which must hold in every state.
    ///
    /// # Errors
    ///
    /// A description of the violation.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// State with the step and depth at which it was first reached, which equality and hash ignore.
#[derive(Clone)]
struct Node<S, T> {
    state: S,
    step: Option<T>,
    depth: usize,
}

impl<S: PartialEq, T> PartialEq for Node<S, T> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq, T> Eq for Node<S, T> {}

impl<S: Hash, T> Hash for Node<S, T> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Path from the initial state to a state that violates the invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Trace {
    /// Transitions from the initial state, in order.
    pub steps: Vec<String>,
    /// How the last state violates the invariant.
    pub violation: String,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>3}. {step}", index + 1)?;
        }
        write!(f, "  => {}", self.violation)
    }
}

/// Result of a search.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exploration {
    /// Number of states whose transitions were all followed.
    pub states: usize,
    /// Number of transitions followed.
    pub transitions: usize,
    /// Maximum distance of a visited state from the initial state, in transitions.
    pub depth: usize,
    /// Whether every reachable state was visited.
    pub complete: bool,
    /// Shortest path to a violation of the invariant, if one was found.
    pub counterexample: Option<Trace>,
}

impl fmt::Display for Exploration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} states, {} transitions, depth {}, {}",
            self.states,
            self.transitions,
            self.depth,
            if self.complete { "complete" } else { "partial" }
        )?;
        match &self.counterexample {
            Some(trace) => write!(f, ", counterexample:\n{trace}"),
            None => write!(f, ", no counterexample"),
        }
    }
}

/// Visits the states of `model` breadth first, at most `max_states` of them.
///
/// Source: `pathfinding::directed::bfs::bfs`, whose goal is a state that violates the invariant.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Exploration {
    let states = Cell::new(0);
    let transitions = Cell::new(0);
    let depth = Cell::new(0);
    let complete = Cell::new(true);
    let start = Node {
        state: model.start(),
        step: None,
        depth: 0,
    };
    let successors = |node: &Node<M::State, M::Step>| {
        if states.get() >= max_states {
            complete.set(false);
            return Vec::new();
        }
        states.set(states.get() + 1);
        depth.set(depth.get().max(node.depth));
        let next = model.transitions(&node.state);
        transitions.set(transitions.get() + next.len());
        let next_depth = node.depth + 1;
        next.into_iter()
            .map(|(step, state)| Node {
                state,
                step: Some(step),
                depth: next_depth,
            })
            .collect()
    };
    let path = bfs(&start, successors, |node| model.check(&node.state).is_err());
    Exploration {
        states: states.get(),
        transitions: transitions.get(),
        depth: depth.get(),
        complete: complete.get() && path.is_none(),
        counterexample: path.map(|nodes| trace(model, &nodes)),
    }
}

/// Steps along `nodes`, and the violation in the last of them.
fn trace<M: Model>(model: &M, nodes: &[Node<M::State, M::Step>]) -> Trace {
    let steps = nodes
        .iter()
        .filter_map(|node| node.step.as_ref().map(ToString::to_string))
        .collect();
    let violation = nodes
        .last()
        .and_then(|node| model.check(&node.state).err())
        .unwrap_or_default();
    Trace { steps, violation }
}
