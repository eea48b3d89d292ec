//! Reads a scene file and reports each finding with its position.

use super::{
    first_address,
    Burst,
    CallerRegion,
    ClassLoad,
    Event,
    FilingMethod,
    Plan,
    Scene,
    Work, //
};
use base::{
    ClassId,
    RegionId, //
};
use bytestring::ByteString;
use conf::{
    Field,
    Findings,
    Map, //
};
use std::collections::BTreeSet;

/// Upper limit of all times in a scene.
pub(super) const MAX_TIME_MS: u64 = 24 * 3_600_000;
/// Upper limit of `threads`.
const MAX_THREADS: usize = 64;
/// Upper limit of a region's `callers`.
const MAX_CALLERS: u32 = 1_000_000;
/// Upper limit of a class's `tries`.
const MAX_TRIES: u32 = 100;
/// Placeholder for each id in an event's path.
const ID_PLACEHOLDER: &str = "{id}";
/// Upper limit of a class's `bytes`.
const MAX_BODY_BYTES: u64 = 1 << 32;

impl Scene {
    /// Reads the load and the events of a scene file; `file` names it in findings.
    ///
    /// # Errors
    ///
    /// All findings with their positions.
    pub fn read(file: &str, text: &str) -> Result<Self, Findings> {
        Plan::read(file, text).map(|plan| plan.scene)
    }
}

pub(super) fn scene(map: &mut Map<'_>) -> Option<Scene> {
    let seed = map.optional("seed").integer(0..=u64::MAX, "");
    let duration_ms = map.required("duration_ms").integer(1..=MAX_TIME_MS, "ms");
    let allowance_ms = map.optional("allowance_ms").integer(0..=MAX_TIME_MS, "ms");
    let leaving_bound_ms = map
        .optional("leaving_bound_ms")
        .integer(0..=MAX_TIME_MS, "ms");
    let threads = map.optional("threads").integer(1..=MAX_THREADS, "");
    let regions = read_items(map.required("regions"), region);
    let classes = read_items(map.required("classes"), class);
    let bursts: Vec<_> = map
        .optional("bursts")
        .list()
        .into_iter()
        .filter_map(|field| burst(field, &regions, &classes))
        .collect();
    let events = read_items(map.optional("events"), event);
    Some(Scene {
        seed: seed.unwrap_or(1),
        duration_ms: duration_ms?,
        allowance_ms: allowance_ms.unwrap_or(2_000),
        leaving_bound_ms: leaving_bound_ms.unwrap_or(3_000),
        threads: threads.unwrap_or(2),
        regions: check_unique_names(regions, |region| &region.name),
        classes: check_unique_names(classes, |class| &class.name),
        bursts,
        events: events.into_iter().flat_map(|(_, events)| events).collect(),
    })
}

/// Reads the items of a list; returns each with its field, for later findings.
pub(super) fn read_items<'a, T>(
    field: Field<'a>,
    read: impl Fn(&mut Map<'a>) -> Option<T>,
) -> Vec<(Field<'a>, T)> {
    field
        .list()
        .into_iter()
        .filter_map(|field| Some((field, read(&mut field.map()?)?)))
        .collect()
}

/// Reports duplicate names and returns the items without their fields.
fn check_unique_names<T>(items: Vec<(Field<'_>, T)>, name: impl Fn(&T) -> &ByteString) -> Vec<T> {
    let mut names = BTreeSet::new();
    for (field, item) in &items {
        if !names.insert(name(item).clone()) {
            field.report(format_args!("names `{}` twice", name(item)));
        }
    }
    items.into_iter().map(|(_, item)| item).collect()
}

fn region(map: &mut Map<'_>) -> Option<CallerRegion> {
    let name = map.required("name").text();
    let block_field = map.required("block");
    let block = block_field.text();
    let callers = map.optional("callers").integer(1..=MAX_CALLERS, "");
    let share = non_negative(map.optional("share"));
    let one_way_ms = map.optional("one_way_ms").integer(0..=MAX_TIME_MS, "ms");
    if block.as_ref().is_some_and(|b| first_address(b).is_none()) {
        block_field.report("must be an IPv4 block as in 10.1.0.0/16");
    }
    Some(CallerRegion {
        name: name?,
        block: block?,
        callers: callers.unwrap_or(50),
        share: share.unwrap_or(1.0),
        one_way_ms: one_way_ms.unwrap_or(0),
    })
}

fn class(map: &mut Map<'_>) -> Option<ClassLoad> {
    let name = map.required("name").text();
    let rate_per_s = non_negative(map.required("rate_per_s"));
    let deadline_ms = map.required("deadline_ms").integer(1..=MAX_TIME_MS, "ms");
    let work_field = map.required("work");
    let work = work_field.choice(&[
        ("bytes", Work::Bytes),
        ("chunked", Work::Chunked),
        ("echo", Work::Echo),
    ]);
    let bytes = map.optional("bytes").integer(0..=MAX_BODY_BYTES, "bytes");
    let filing = map
        .optional("filing")
        .choice(&[
            ("none", FilingMethod::None),
            ("ticket", FilingMethod::Ticket),
            ("key", FilingMethod::Key),
        ])
        .unwrap_or_default();
    let tries = map.optional("tries").integer(1..=MAX_TRIES, "");
    let attempt_ms = map.optional("attempt_ms").integer(1..=MAX_TIME_MS, "ms");
    if filing != FilingMethod::None && work.is_some_and(|work| work != Work::Echo) {
        work_field.report("of a filing must be echo");
    }
    Some(ClassLoad {
        name: name?,
        rate_per_s: rate_per_s?,
        deadline_ms: deadline_ms?,
        work: work?,
        bytes: bytes.unwrap_or(1_000),
        filing,
        tries: tries.unwrap_or(4),
        attempt_ms,
    })
}

fn burst(
    field: Field<'_>,
    regions: &[(Field<'_>, CallerRegion)],
    classes: &[(Field<'_>, ClassLoad)],
) -> Option<Burst> {
    let mut map = field.map()?;
    let class_field = map.optional("class");
    let region_field = map.optional("region");
    let class: Option<ClassId> = class_field.text();
    let region: Option<RegionId> = region_field.text();
    let from_ms = map.required("from_ms").integer(0..=MAX_TIME_MS, "ms");
    let to_field = map.required("to_ms");
    let to_ms = to_field.integer(0..=MAX_TIME_MS, "ms");
    let factor = non_negative(map.required("factor"));
    let known = |name: &ClassId| classes.iter().any(|(_, class)| class.name == *name);
    if !class.as_ref().is_none_or(known) {
        class_field.report("names no class of this scene");
    }
    let known = |name: &RegionId| regions.iter().any(|(_, region)| region.name == *name);
    if !region.as_ref().is_none_or(known) {
        region_field.report("names no region of this scene");
    }
    if to_ms? <= from_ms? {
        to_field.report("must be after `from_ms`");
    }
    Some(Burst {
        class,
        region,
        from_ms: from_ms?,
        to_ms: to_ms?,
        factor: factor?,
    })
}

/// Reads an event; one with `each` becomes one event for each id.
fn event(map: &mut Map<'_>) -> Option<Vec<Event>> {
    let at_ms = map.required("at_ms").integer(0..=MAX_TIME_MS, "ms");
    let target = map.required("target").text();
    let path_field = map.required("path");
    let path = path_field.text();
    let each_field = map.optional("each");
    let body_field = map.optional("body");
    let body = body_field.text();
    let leaves = text_list(map.optional("leaves"));
    let returns = text_list(map.optional("returns"));
    if path.as_ref().is_some_and(|path| !path.starts_with('/')) {
        path_field.report("must start with `/`");
    }
    if body.as_ref().is_some_and(|body| !is_json(body)) {
        body_field.report("must be JSON");
    }
    let has_placeholder = path
        .as_ref()
        .is_some_and(|path| path.contains(ID_PLACEHOLDER));
    if path.is_some() && has_placeholder == each_field.is_absent() {
        path_field.report(format_args!(
            "must have `{ID_PLACEHOLDER}` exactly if there is `each`"
        ));
    }
    let event = Event {
        at_ms: at_ms?,
        target: target?,
        path: path?,
        body: body.unwrap_or_default(),
        leaves,
        returns,
    };
    if each_field.is_absent() {
        return Some(vec![event]);
    }
    let ids = text_list(each_field).into_iter();
    let events = ids.map(|id| Event {
        path: event.path.replace(ID_PLACEHOLDER, &id).into(),
        ..event.clone()
    });
    Some(events.collect())
}

fn text_list(field: Field<'_>) -> Vec<ByteString> {
    let items = field.list().into_iter();
    items.filter_map(Field::text).collect()
}

fn is_json(text: &str) -> bool {
    serde_json::from_str::<serde::de::IgnoredAny>(text).is_ok()
}

/// Reads a finite number of 0 or more.
fn non_negative(field: Field<'_>) -> Option<f64> {
    let value: f64 = field.parse("a number")?;
    if value.is_finite() && value >= 0.0 {
        return Some(value);
    }
    field.report("must be a number of 0 or more");
    None
}
