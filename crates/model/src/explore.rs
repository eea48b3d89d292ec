//! Breadth-first search of every state that a small instance can reach.
//!
//! A [`Model`] names its first state, its transitions and its invariant. [`explore`] walks all of
//! them with the breadth-first search of the library `pathfinding`, so that a counterexample is a
//! shortest one, and says how much it saw. A search that stopped at its limit says so: its silence
//! proves nothing beyond the states it counted.

use pathfinding::directed::bfs::bfs;
use std::{
    cell::Cell,
    fmt,
    hash::{
        Hash,
        Hasher, //
    },
};

/// Small instance of a protocol with its faults.
pub trait Model {
    /// Everything that decides what may happen next.
    type State: Clone + Eq + Hash;
    /// Name of a transition, as a line of a trace.
    type Step: Clone + fmt::Display;

    /// State that every run starts from.
    fn start(&self) -> Self::State;

    /// Each transition that is possible in `state`, with the state it leads to.
    fn transitions(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// What must hold in every state.
    ///
    /// # Errors
    ///
    /// The violation, in words.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// State with how it was first reached; only the state itself counts for equality.
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

/// Shortest run to a state that breaks the invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Trace {
    /// Transitions from the start, in order.
    pub steps: Vec<String>,
    /// Which invariant the last state breaks, and how.
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

/// What a search saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exploration {
    /// States whose transitions were all followed.
    pub states: usize,
    /// Transitions followed.
    pub transitions: usize,
    /// Length of the longest of the shortest runs.
    pub depth: usize,
    /// Whether nothing was left out: every reachable state was seen.
    pub complete: bool,
    /// Run that breaks the invariant, if one was found.
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

/// Walks all states of `model` breadth first, up to `limit_states` of them.
///
/// Source: `pathfinding::directed::bfs::bfs`, whose goal is a state that breaks the invariant.
pub fn explore<M: Model>(model: &M, limit_states: usize) -> Exploration {
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
        if states.get() >= limit_states {
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

/// Names the steps along `nodes` and what the last of them breaks.
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
