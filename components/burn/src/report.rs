//! The report: what each service reached, and how fast it burns its budget.

use {
    crate::series::{Counts, Series},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt::Write, sync::Arc},
};

/// The windows of the report, in seconds, with their names.
pub const WINDOWS: [(u64, &str); 4] = [(300, "5m"), (3600, "1h"), (21_600, "6h"), (259_200, "3d")];

/// What one gate tells of its services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The gate's box.
    pub gate: Arc<str>,
    /// The targets by class, in milliseconds.
    pub targets: BTreeMap<Arc<str>, u32>,
    /// The counts by class.
    pub series: BTreeMap<Arc<str>, Series>,
}

/// One service in one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// The window's name.
    pub name: Arc<str>,
    /// The counts.
    pub counts: Counts,
    /// The share of requests within the target; 1 when there were none.
    pub reached: f64,
    /// How fast the budget burns; 1 uses it up by the end of its period.
    pub rate: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The class.
    pub class: Arc<str>,
    /// The latency target, in milliseconds.
    pub target: u32,
    /// The share of the budget of the longest window that is left; below 0 when overdrawn.
    pub left: f64,
    /// The windows, the shortest first.
    pub windows: Vec<Window>,
}

/// The report on all services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The share of requests that must be within the target.
    pub objective: f64,
    /// The gates that told.
    pub gates: Vec<Arc<str>>,
    /// The gates that did not answer.
    pub silent: Vec<Arc<str>>,
    /// The services.
    pub lines: Vec<ServiceReport>,
}

/// Works the report out from what the gates told.
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

/// Writes the report for a terminal.
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

    #[test_case(0, 0.0; "none slow")]
    #[test_case(2, 1.0; "as many as allowed")]
    #[test_case(20, 10.0; "ten times as many")]
    fn build_rate(slow: u64, rate: f64) {
        let samples = [sample("a", 100, slow), sample("b", 100, 0)];
        let report = build(&samples, Vec::new(), 0.99, 1005);
        let window = &report.lines[0].windows[0];
        assert!((window.rate - rate).abs() < 1e-9, "{}", window.rate);
        assert_eq!(window.counts.total, 200);
    }

    #[test]
    fn text_names_silent() {
        let report = build(&[], vec![Arc::from("b3")], 0.99, 0);
        assert!(render(&report).contains("Gate b3 does not answer"));
    }
}
