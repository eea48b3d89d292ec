//! The parts of a scene file that define the system under test and the measurement.
//!
//! The load driver alone ignores them. `measure`, an example of `rig`, starts the system, runs the
//! scene under each policy and kills instances, which no request to the system can do.

use super::{
    read::{
        read_items,
        scene,
        MAX_TIME_MS, //
    },
    Scene, //
};
use base::{
    InstanceId,
    RegionId, //
};
use bytestring::ByteString;
use conf::{
    Document,
    Field,
    Findings,
    Map, //
};
use steer::Policy;

/// Default warm-up, after which the caches of all upstreams of `measure` are warm.
const WARM_UP_MS: u64 = 8_000;

/// The whole contents of a scene file.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The load and the events.
    pub scene: Scene,
    /// User whose system sizes `measure` uses.
    pub user: Option<ByteString>,
    /// Policies to compare; all if the file names none.
    pub policies: Vec<Policy>,
    /// Region whose requests of the first class are evaluated; all regions if the file names none.
    pub focus: Option<RegionId>,
    /// Length of the load without bursts and events that precedes the measurement.
    pub warm_up_ms: u64,
    /// When `focus` takes load back, from the start of the run.
    pub back_at_ms: Option<u64>,
    /// Instances to kill without notice.
    pub kills: Vec<Kill>,
}

/// Instances to kill at the same time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kill {
    /// When, from the start of the run.
    pub at_ms: u64,
    /// The instances.
    pub instances: Vec<InstanceId>,
}

impl Plan {
    /// Reads a whole scene file; `file` names it in findings.
    ///
    /// # Errors
    ///
    /// All findings with their positions.
    pub fn read(file: &str, text: &str) -> Result<Self, Findings> {
        let document = Document::parse(file, text);
        let plan = document.map().and_then(|mut map| plan(&mut map));
        document.finish(plan)
    }

    /// The load of the warm-up, without bursts and events.
    pub fn warm_up(&self) -> Scene {
        Scene {
            seed: self.scene.seed.wrapping_add(1),
            duration_ms: self.warm_up_ms,
            bursts: Vec::new(),
            events: Vec::new(),
            ..self.scene.clone()
        }
    }
}

fn plan(map: &mut Map<'_>) -> Option<Plan> {
    let user = map.optional("user").text();
    let policies = policies(map.optional("policies"));
    let focus_field = map.optional("focus");
    let focus = focus_field.text();
    let warm_up_ms = map.optional("warm_up_ms").integer(0..=MAX_TIME_MS, "ms");
    let back_field = map.optional("back_at_ms");
    let back_at_ms = back_field.integer(0..=MAX_TIME_MS, "ms");
    let kills = read_items(map.optional("kills"), kill);
    let scene = scene(map)?;
    let known = |name: &RegionId| scene.regions.iter().any(|region| region.name == *name);
    if !focus.as_ref().is_none_or(known) {
        focus_field.report("names no region of this scene");
    }
    if back_at_ms.is_some() && focus.is_none() {
        back_field.report("needs `focus` to say which region is back");
    }
    Some(Plan {
        scene,
        user,
        policies,
        focus,
        warm_up_ms: warm_up_ms.unwrap_or(WARM_UP_MS),
        back_at_ms,
        kills: kills.into_iter().map(|(_, kill)| kill).collect(),
    })
}

fn policies(field: Field<'_>) -> Vec<Policy> {
    if field.is_absent() {
        return Policy::ALL.to_vec();
    }
    let names = field.list().into_iter();
    names
        .filter_map(|field| field.parse("the name of a policy"))
        .collect()
}

fn kill(map: &mut Map<'_>) -> Option<Kill> {
    let at_ms = map.required("at_ms").integer(0..=MAX_TIME_MS, "ms");
    let instances = map.required("instances").list();
    Some(Kill {
        at_ms: at_ms?,
        instances: instances.into_iter().filter_map(Field::text).collect(),
    })
}
