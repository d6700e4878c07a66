//! The report of service levels: the share of requests within target and the burn rate of each service,
//! built from the samples of all gates.

use {
    crate::series::{Counts, Series},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt::Write, sync::Arc},
};

/// The windows of the report: length in seconds, and name.
pub const WINDOWS: [(u64, &str); 4] = [(300, "5m"), (3600, "1h"), (21_600, "6h"), (259_200, "3d")];

/// The counts of one gate.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The name of the gate's box.
    pub gate: Arc<str>,
    /// The latency targets by class, in milliseconds.
    pub targets: BTreeMap<Arc<str>, u32>,
    /// The request counts by class.
    pub series: BTreeMap<Arc<str>, Series>,
}

/// The service level of one service in one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// The window's name.
    pub name: Arc<str>,
    /// The request counts.
    pub counts: Counts,
    /// The share of requests within the target; 1 when there were no requests.
    pub reached: f64,
    /// The burn rate; 1 exhausts the budget at the end of its period.
    pub rate: f64,
}

/// The service levels of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The class of requests that the service answers.
    pub class: Arc<str>,
    /// The latency target, in milliseconds.
    pub target: u32,
    /// The remaining share of the error budget over the longest window; negative when exceeded.
    pub left: f64,
    /// The windows, shortest first.
    pub windows: Vec<Window>,
}

/// The report of all services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The required share of requests within the target.
    pub objective: f64,
    /// The gates whose counts are included.
    pub gates: Vec<Arc<str>>,
    /// The gates that did not answer.
    pub silent: Vec<Arc<str>>,
    /// One entry per service, sorted by class.
    pub lines: Vec<ServiceReport>,
}

/// Builds the report from the gates' samples; `silent` are the gates that did not answer, `now` is in
/// seconds since 1970.
pub fn build(samples: &[Sample], silent: Vec<Arc<str>>, objective: f64, now: u64) -> Report {
    let mut targets: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for sample in samples {
        targets.extend(sample.targets.clone());
    }
    let lines = targets
        .iter()
        .map(|(class, target)| line(samples, class, *target, objective, now));
    Report {
        objective,
        gates: samples.iter().map(|sample| sample.gate.clone()).collect(),
        silent,
        lines: lines.collect(),
    }
}

fn line(
    samples: &[Sample],
    class: &Arc<str>,
    target: u32,
    objective: f64,
    now: u64,
) -> ServiceReport {
    let mut windows = Vec::new();
    for (seconds, name) in WINDOWS {
        let mut counts = Counts::default();
        for sample in samples {
            if let Some(series) = sample.series.get(class) {
                counts.add(series.window(now, seconds));
            }
        }
        let missed = if counts.total == 0 {
            0.0
        } else {
            counts.bad() as f64 / counts.total as f64
        };
        let rate = missed / (1.0 - objective);
        windows.push(Window {
            name: Arc::from(name),
            counts,
            reached: 1.0 - missed,
            rate,
        });
    }
    let left = 1.0 - windows.last().map_or(0.0, |window| window.rate);
    ServiceReport {
        class: class.clone(),
        target,
        left,
        windows,
    }
}

/// Renders the report as text for a terminal.
pub fn render(report: &Report) -> String {
    let mut out = String::new();
    let objective = report.objective * 100.0;
    let _ = writeln!(
        out,
        "Objective: {objective:.2}% of requests within the target."
    );
    for name in &report.silent {
        let _ = writeln!(
            out,
            "Gate {name} does not answer; its requests are missing here."
        );
    }
    for line in &report.lines {
        let left = line.left * 100.0;
        let _ = writeln!(
            out,
            "{} target {} ms, budget left {left:.1}%",
            line.class, line.target
        );
        for window in &line.windows {
            let Window {
                name,
                counts,
                reached,
                rate,
            } = window;
            let Counts {
                total,
                slow,
                failed,
            } = counts;
            let reached = reached * 100.0;
            let _ = writeln!(
                out,
                "  {name:>3}  reached {reached:7.3}%  burn {rate:8.2}  requests {total}  \
                 slow {slow}  failed {failed}"
            );
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    fn sample(gate: &str, total: u64, slow: u64) -> Sample {
        let mut series = Series::default();
        series.add(
            1000,
            Counts {
                total,
                slow,
                failed: 0,
            },
        );
        Sample {
            gate: Arc::from(gate),
            targets: [(Arc::from("v"), 50)].into(),
            series: [(Arc::from("v"), series)].into(),
        }
    }

    #[test_case(0, 0.0; "no slow requests")]
    #[test_case(2, 1.0; "as many slow requests as allowed")]
    #[test_case(20, 10.0; "ten times as many as allowed")]
    fn build_rate(slow: u64, rate: f64) {
        let samples = [sample("a", 100, slow), sample("b", 100, 0)];
        let report = build(&samples, Vec::new(), 0.99, 1005);
        let window = &report.lines[0].windows[0];
        assert!((window.rate - rate).abs() < 1e-9, "{}", window.rate);
        assert_eq!(window.counts.total, 200);
    }

    #[test]
    fn render_names_silent_gates() {
        let report = build(&[], vec![Arc::from("b3")], 0.99, 0);
        assert!(render(&report).contains("Gate b3 does not answer"));
    }
}
