//! Describes events in readable form.

use event::{
    Event,
    HedgeOutcome,
    QueueWait,
    RequestEnded,
    SendFailed,
    SendTarget, //
};

/// Describes an event in one line.
pub(crate) fn describe(event: &Event) -> String {
    match event {
        Event::Request(ended) => describe_request(ended),
        Event::SendFailed(failed) => describe_failed_send(failed),
        Event::AnswerCut {
            upstream,
            why,
            sent_bytes,
            ..
        } => {
            format!("answer of {upstream} cut after {sent_bytes} bytes: {why}")
        }
        Event::Started { .. } => "started".to_owned(),
        Event::StoreLost { table, error } => format!("store lost, table {table}: {error}"),
        Event::StoreRegained {
            table,
            outage_ms,
            failed_calls,
            last_call_ms,
            retry_ms,
        } => format!(
            "store regained, table {table}, after {outage_ms} ms and {failed_calls} failed calls, the last one after \
             {last_call_ms} ms and {retry_ms} ms before"
        ),
        Event::Evacuation {
            failure_domain,
            on: true,
            ..
        } => format!("{failure_domain} evacuated"),
        Event::Evacuation { failure_domain, .. } => format!("{failure_domain} in use again"),
        Event::UpstreamListed {
            upstream,
            leaving: true,
            ..
        } => format!("{upstream} leaves"),
        Event::UpstreamListed {
            upstream,
            cold_left_ms,
            ..
        } => {
            format!("{upstream} cold for {cold_left_ms} ms more")
        }
        Event::UpstreamRemoved { upstream, .. } => format!("{upstream} dropped from the list"),
        Event::UpstreamPassedOver {
            upstream, away_ms, ..
        } => {
            format!("{upstream} failed and is passed over for {away_ms} ms")
        }
        Event::ColdLeases {
            outcome, upstreams, ..
        } => {
            let upstreams = upstreams.join(", ");
            format!("lease of cold {upstreams} claimed: {outcome}")
        }
        Event::UpstreamsUnreachable {
            silence_ms,
            failed_connections,
            usable,
            relays,
        } => format!(
            "no upstream can be reached, {silence_ms} ms after the last answer, connections to {failed_connections} of {usable} \
             failed; {relays} entries relay requests"
        ),
        Event::UpstreamsReachable { after_ms } => {
            format!("upstreams can be reached again, after {after_ms} ms")
        }
        Event::RelayFailed {
            entry,
            not_run,
            why,
            ..
        } => {
            let execution = if *not_run { "not run" } else { "may have run" };
            format!("relayed to {entry}, {execution}: {why}")
        }
        Event::UpstreamBack { upstream, .. } => format!("{upstream} answers again"),
        Event::UpstreamPaused {
            upstream, pause_ms, ..
        } => {
            format!("{upstream} asks for a pause of {pause_ms} ms")
        }
        Event::UpstreamLeaving { upstream, from } => {
            format!("{upstream} answers that it leaves, known from {from}")
        },
        Event::UpstreamClosed { upstream, why, .. } => format!("{upstream} closed: {why}"),
        Event::RetriesSpent { service } => format!("budget of further sends to {service} spent"),
        Event::RoutesInForce { version, from } => format!("routes {version} in force, from {from}"),
        Event::EntryLost { entry, why } => format!("session to {entry} lost: {why}"),
        Event::Stopping { under_way } => {
            format!("planned stop begins, {under_way} requests under way")
        }
        Event::Stopped { under_way, .. } => format!("ends, {under_way} requests under way"),
        Event::LinesLeftOut { lines } => format!("{lines} lines about requests left out"),
        Event::LinesDropped { lines, .. } => format!("{lines} lines lost, the queue was full"),
        // The other events have few fields, so their debug form is clear enough.
        other => format!("{other:?}"),
    }
}

fn describe_request(ended: &RequestEnded) -> String {
    let status = ended
        .status
        .map_or_else(String::new, |status| format!(" {status}"));
    let mut text = format!("{}{status} after {} ms", ended.outcome, ended.took_ms);
    if let Some(reason) = ended.reason {
        text += &format!(", {reason}");
    }
    if let (Some(route), Some(service)) = (&ended.route, &ended.service) {
        text += &format!("; route {route}, service {service}");
    }
    if let Some(sent) = &ended.sent {
        text += &format!("; {}", describe_target(sent));
    }
    if let Some(hedge) = ended.hedge {
        text += &format!("; hedged, {}", describe_hedge(hedge));
    }
    if let Some(wait) = ended.wait {
        text += &format!("; {}", describe_wait(wait));
    }
    if let Some(via) = &ended.via {
        text += &format!("; relayed through {via}");
    }
    if let Some(relayed_by) = &ended.relayed_by {
        text += &format!("; relayed by {relayed_by}");
    }
    if let Some(census) = ended.census {
        text += &format!(
            "; {} open, {} closed, {} cold, {} failing, {} paused",
            census.open, census.closed, census.cold, census.failing, census.paused
        );
    }
    if let Some(retry_after_ms) = ended.retry_after_ms {
        text += &format!("; come back in {retry_after_ms} ms");
    }
    let picture = &ended.picture;
    text + &format!(
        "; picture {} of {} ms ago, routes {}",
        picture.number, picture.age_ms, picture.routes
    )
}

fn describe_hedge(hedge: HedgeOutcome) -> &'static str {
    match hedge {
        HedgeOutcome::FirstWon => "the first upstream responded",
        HedgeOutcome::SecondWon => "the second upstream responded",
        HedgeOutcome::BothFailed => "both upstreams failed",
    }
}

/// Describes a wait at an entry.
pub(crate) fn describe_wait(wait: QueueWait) -> String {
    let [organisation, route] = wait.rank;
    format!(
        "it waited {} ms at the entry for a slot, with priority {organisation} of its organisation and {route} of its route",
        wait.ms
    )
}

fn describe_failed_send(failed: &SendFailed) -> String {
    let execution = if failed.not_run {
        "not run"
    } else {
        "may have run"
    };
    let sent = describe_target(&failed.sent);
    let pause = failed.retry_after_ms.map_or_else(String::new, |ms| {
        format!(", it asks for a pause of {ms} ms")
    });
    format!(
        "send failed after {} ms, {execution}: {}{pause}; {sent}",
        failed.after_ms, failed.why
    )
}

fn describe_target(sent: &SendTarget) -> String {
    let report = match sent.report_age_ms {
        Some(age_ms) => format!("reported {age_ms} ms before"),
        None => "never reported".to_owned(),
    };
    let warm = if sent.warm { "warm" } else { "not known warm" };
    let work_time = sent.work_time.map_or_else(String::new, |stated| {
        format!(
            ", work time {} % of the usual {} ms before",
            stated.pct, stated.age_ms
        )
    });
    format!(
        "{} in {}, load {:.1} of {} slots ({report}){work_time}, {warm}, answer expected after {} ms",
        sent.upstream, sent.region, sent.load, sent.slots, sent.expected.answer_ms
    )
}
