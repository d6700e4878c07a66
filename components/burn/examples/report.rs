//! A report built from the counts of two gates, with a third gate unreachable:
//! `cargo run -p magpie-burn-core --example report`.

use {
    magpie_burn_core::{
        Counts, Series,
        report::{self, Sample},
    },
    std::sync::Arc,
};

fn sample(gate: &str, slow: u64) -> Sample {
    let mut series = Series::default();
    let counts = Counts {
        total: 1000,
        slow,
        failed: 0,
    };
    series.add(86_400, counts);
    Sample {
        gate: Arc::from(gate),
        targets: [(Arc::from("validation"), 50)].into(),
        series: [(Arc::from("validation"), series)].into(),
    }
}

fn main() {
    let samples = [sample("b1", 3), sample("b2", 30)];
    let silent = vec![Arc::from("b3")];
    print!(
        "{}",
        report::render(&report::build(&samples, silent, 0.99, 86_405))
    );
}
