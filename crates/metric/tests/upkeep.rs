//! Memory use of a recorder whose metrics are never rendered.

use metrics_exporter_prometheus::PrometheusBuilder;
use std::fs;

/// Number of recorded values; 32 MB at eight bytes each.
const RECORDED_VALUES: u64 = 4_000_000;
/// Values recorded between upkeep calls: five seconds on a busy entry.
const VALUES_PER_UPKEEP: u64 = 100_000;

/// Resident set size of this process, in kilobytes.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the process status is readable");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits: String = line
        .expect("a VmRSS line")
        .chars()
        .filter(char::is_ascii_digit)
        .collect();
    digits.parse().expect("a number")
}

/// Guards against a process whose memory grows with every request while its metrics are never scraped:
/// histograms buffer each value until the metrics are rendered or `run_upkeep` is called.
#[test]
fn upkeep_bounds_memory_of_unread_histograms() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        let before_kb = resident_kb();
        for number in 0..RECORDED_VALUES {
            metrics::histogram!("seconds").record(number as f64);
            if number % VALUES_PER_UPKEEP == 0 {
                handle.run_upkeep();
            }
        }
        let grown_kb = resident_kb().saturating_sub(before_kb);
        assert!(grown_kb < 8_000, "{grown_kb} kB");
    });
    assert!(handle.render().contains(&RECORDED_VALUES.to_string()));
}
