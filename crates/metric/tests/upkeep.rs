//! What a recorder gathers.

use metrics_exporter_prometheus::PrometheusBuilder;
use std::fs;

/// Values that are recorded; at eight bytes each they are 32 MB.
const VALUES: u64 = 4_000_000;
/// Values between two calls of upkeep: five seconds of a busy entry.
const BETWEEN: u64 = 100_000;

/// Resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits: String = line
        .expect("a line for it")
        .chars()
        .filter(char::is_ascii_digit)
        .collect();
    digits.parse().expect("a number")
}

/// Symptom: a process whose metrics nobody reads grows with every request. Sequence: histograms keep each
/// value until they are rendered or kept up. Cause guarded against: a recorder without upkeep.
#[test]
fn values_are_not_kept() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        let before_kb = resident_kb();
        for number in 0..VALUES {
            metrics::histogram!("seconds").record(number as f64);
            if number % BETWEEN == 0 {
                handle.run_upkeep();
            }
        }
        let grown_kb = resident_kb().saturating_sub(before_kb);
        assert!(grown_kb < 8_000, "{grown_kb} kB");
    });
    assert!(handle.render().contains(&VALUES.to_string()));
}
