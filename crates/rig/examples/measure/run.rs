//! One run: starts a system, warms it up, runs the scene with its kills, and judges the result.

use crate::{
    inspect,
    user, //
};
use eyre::{
    eyre,
    WrapErr, //
};
use load::Plan;
use rig::{
    Rig,
    Trial, //
};
use std::{
    fs,
    path::PathBuf,
    thread::sleep,
    time::{
        Duration,
        Instant, //
    },
};
use steer::Policy;

/// Time for the initial allotments before the warm-up, during which they follow the load.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Interval at which the shares are printed.
const SHARES_INTERVAL: Duration = Duration::from_secs(1);

/// Policy and daemon build under measurement.
pub(crate) struct Contender {
    pub(crate) policy: Policy,
    /// Folder of an earlier commit's `jasmined`, if not this build's.
    pub(crate) daemon_folder: Option<PathBuf>,
}

/// Result of a run.
pub(crate) struct Outcome {
    pub(crate) trial: Trial,
    /// Load average of the machine over one minute, before and after the run.
    pub(crate) load_average: [f64; 2],
}

/// Runs a scene once.
pub(crate) fn run(plan: &Plan, contender: &Contender, print_shares: bool) -> eyre::Result<Outcome> {
    let user = plan
        .user
        .as_deref()
        .ok_or(eyre!("the scene names no `user`"))?;
    let mut layout = user::layout(user).ok_or_else(|| eyre!("unknown user `{user}`"))?;
    layout.policy = contender.policy.as_str();
    layout.daemon_folder.clone_from(&contender.daemon_folder);
    let mut rig = Rig::start(layout).map_err(|error| eyre!("{error}"))?;
    check_kills(plan, &rig)?;
    sleep(SETTLE_TIME);
    if plan.warm_up_ms > 0 {
        rig.run(&plan.warm_up(), |_| {});
        rig.clear_records();
    }
    let before = load_average()?;
    let trial = rig.run(&plan.scene, |rig| {
        if print_shares {
            print_shares_until_end(rig, plan);
        }
        kill(rig, plan);
    });
    if !trial.ineffective_events.is_empty() {
        return Err(eyre!(
            "events of the scene had no effect: {}",
            trial.ineffective_events.join("; ")
        ));
    }
    Ok(Outcome {
        trial,
        load_average: [before, load_average()?],
    })
}

/// Checks that all instances to kill exist.
fn check_kills(plan: &Plan, rig: &Rig) -> eyre::Result<()> {
    let mut instances = plan.kills.iter().flat_map(|kill| &kill.instances);
    let unknown = instances.find(|id| !rig.daemons.contains_key(&***id));
    unknown.map_or(Ok(()), |id| {
        Err(eyre!("`kills` names an unknown instance `{id}`"))
    })
}

/// Kills the plan's instances at their times.
fn kill(rig: &mut Rig, plan: &Plan) {
    let start = Instant::now();
    let mut kills = plan.kills.clone();
    kills.sort_by_key(|kill| kill.at_ms);
    for kill in kills {
        let kill_at = start + Duration::from_millis(kill.at_ms);
        sleep(kill_at.saturating_duration_since(Instant::now()));
        for id in &kill.instances {
            rig.kill(id);
        }
    }
}

/// Prints the shares once a second until the scene ends.
fn print_shares_until_end(rig: &Rig, plan: &Plan) {
    let start = Instant::now();
    while start.elapsed() < plan.scene.duration() {
        sleep(SHARES_INTERVAL);
        inspect::print_shares(rig, plan.focus.as_deref());
    }
}

/// Load average over the last minute.
fn load_average() -> eyre::Result<f64> {
    let path = "/proc/loadavg";
    let text = fs::read_to_string(path).wrap_err(path)?;
    let first = text.split(' ').next().unwrap_or_default();
    first.parse().wrap_err(path)
}
