//! Tests of the predictions.

use {super::*, std::sync::Arc, test_case::test_case};

fn ended(estimate: u64, longest: u64) -> Ended {
    Ended {
        estimate,
        longest,
        mean: longest,
    }
}

fn learned(steps: &[(u64, u64)]) -> Durations {
    let mut durations = Durations::default();
    for &(estimate, longest) in steps.iter().cycle().take(40) {
        durations.record(ended(estimate, longest));
    }
    durations
}

fn assert_near(value: u64, expected: u64) {
    assert!(
        value.abs_diff(expected) <= expected / 20,
        "{value} {expected}"
    );
}

#[test]
fn predict_few_samples_is_estimate() {
    let mut durations = Durations::default();
    for _ in 0..7 {
        durations.record(ended(100, 1_000));
        assert_eq!(durations.predict(300), 300);
        assert_eq!(durations.predict_task(300), 300);
        assert_eq!(durations.low(300), 300);
        assert_eq!(durations.deviation(300), None);
    }
    durations.record(ended(100, 1_000));
    assert!(durations.predict(300) > 300);
}

/// Steps are alike and estimates are up to nine tenths off: the usual length decides.
#[test]
fn predict_alike_steps_ignores_estimate() {
    let durations = learned(&[(100, 1_000), (500, 1_000), (1_900, 1_000), (1_000, 1_000)]);
    for estimate in [100, 1_000, 1_900] {
        assert_near(durations.predict(estimate), 1_000);
    }
}

/// Lengths differ and estimates are a constant factor off: the corrected estimate decides.
#[test]
fn predict_proportional_estimates() {
    let durations = learned(&[(100, 200), (1_000, 2_000), (10_000, 20_000)]);
    for estimate in [100, 1_000, 10_000] {
        assert_near(durations.predict(estimate), estimate * 2);
    }
}

#[test]
fn predict_without_estimate_is_usual_length() {
    let durations = learned(&[(0, 900), (0, 1_100)]);
    assert_near(durations.predict(0), 995);
    assert_near(durations.predict(50_000), 995);
}

#[test]
fn predict_follows_change() {
    let mut durations = learned(&[(1_000, 1_000)]);
    for _ in 0..1_000 {
        durations.record(ended(1_000, 4_000));
    }
    assert!(durations.predict(1_000) > 3_500);
}

#[test]
fn predict_task_is_mean_of_tasks() {
    let mut durations = Durations::default();
    for _ in 0..20 {
        durations.record(Ended {
            estimate: 1_000,
            longest: 2_000,
            mean: 1_200,
        });
    }
    assert_near(durations.predict(1_000), 2_000);
    assert_near(durations.predict_task(1_000), 1_200);
}

/// Other boxes predict as the owner does, but for rounding.
#[test_case(&[(100, 1_000), (1_900, 1_100), (1_000, 900)]; "alike")]
#[test_case(&[(100, 200), (1_000, 2_100), (10_000, 19_000)]; "proportional")]
#[test_case(&[(0, 900), (0, 1_100)]; "without estimates")]
fn profile_predicts_alike(steps: &[(u64, u64)]) {
    let durations = learned(steps);
    let profile = durations.profile().unwrap();
    for estimate in [0, 1, 100, 1_000, 20_000] {
        assert_near(profile.predict(estimate), durations.predict(estimate));
    }
}

#[test]
fn profile_few_samples_is_none() {
    assert_eq!(Durations::default().profile(), None);
    for estimate in [0, 5, 1_000] {
        assert_eq!(Profile::ESTIMATE.predict(estimate), estimate);
    }
}

#[test_case(0, 0, 0, 0; "all zero")]
#[test_case(u32::MAX, u16::MAX, u64::MAX, u64::MAX; "all huge")]
#[test_case(u32::MAX, 50, u64::MAX, u64::MAX; "huge blend")]
#[test_case(0, 50, 0, 0; "zero blend")]
fn profile_absurd_figures(percent: u32, trust: u16, usual: u64, estimate: u64) {
    let profile = Profile {
        percent,
        trust,
        usual,
    };
    profile.predict(estimate);
}

#[test]
fn low_is_one_deviation_below() {
    let durations = learned(&[(1_000, 500), (1_000, 2_000)]);
    // Both logarithms deviate by ln 2 from their means, and they count alike.
    let deviation = durations.deviation(1_000).unwrap();
    assert!((deviation - 2f64.ln() / 2f64.sqrt()).abs() < 0.02);
    let low = durations.predict(1_000) as f64 * (-deviation).exp();
    assert_near(durations.low(1_000), low as u64);
}

#[test]
fn low_of_constant_steps_is_tenth_below() {
    let durations = learned(&[(1_000, 1_000)]);
    assert_near(durations.low(1_000), 932);
}

#[test_case(0, 0, 0; "nothing")]
#[test_case(0, 1, u64::MAX; "longer mean than longest")]
#[test_case(u64::MAX, 1, 0; "short")]
#[test_case(1, u64::MAX, u64::MAX; "long")]
#[test_case(u64::MAX, u64::MAX, 1; "huge")]
fn predict_absurd_samples(estimate: u64, longest: u64, mean: u64) {
    let mut durations = Durations::default();
    for _ in 0..20 {
        durations.record(Ended {
            estimate,
            longest,
            mean,
        });
    }
    for estimate in [0, 1, 1_000, u64::MAX] {
        let predicted = durations.predict(estimate);
        assert!(predicted <= MAX_LENGTH || !durations.is_learned());
        assert!(durations.low(estimate) <= predicted);
        assert!(durations.predict_task(estimate) <= predicted);
    }
}

#[test_case((f64::NAN, 7.0, 0.1); "count")]
#[test_case((20.0, f64::NAN, 0.1); "mean")]
#[test_case((20.0, f64::INFINITY, 0.1); "infinite mean")]
#[test_case((20.0, 7.0, f64::NAN); "variance")]
#[test_case((20.0, 7.0, -1.0); "negative variance")]
#[test_case((1e300, 7.0, 0.1); "large count")]
fn decode_absurd_figures(stored: (f64, f64, f64)) {
    assert_eq!(Moments::from(stored), Moments::default());
}

#[test]
fn decode_encoded() {
    let mut queues = Queues::default();
    let queue: Arc<str> = "queue".into();
    for _ in 0..20 {
        queues.record(&queue, ended(100, 1_000));
    }
    let bytes = rmp_serde::to_vec(&queues).unwrap();
    let decoded: Queues = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(decoded.get("queue"), queues.get("queue"));
    assert!(decoded.get("queue").is_some());
}

#[test]
fn record_bounds_queues() {
    let mut queues = Queues::default();
    let names: Vec<Arc<str>> = (0..1_000).map(|n: u32| n.to_string().into()).collect();
    for name in &names {
        for _ in 0..8 {
            queues.record(name, ended(100, 1_000));
            queues.record(&names[0], ended(100, 1_000));
        }
    }
    let known = names.iter().filter(|name| queues.get(name).is_some());
    assert_eq!(known.count(), 256);
    assert!(queues.get("0").is_some() && queues.get("999").is_some());
    assert!(queues.get("1").is_none());
}
