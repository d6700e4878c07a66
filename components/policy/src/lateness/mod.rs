//! Which jobs go last among those of the same priority.
//!
//! A job that misses its objective anyway must not make others miss theirs. Its result still has
//! some worth for a while, so that it goes before jobs whose result nobody wants any more.

/// A late result loses all worth at this multiple of the time to the objective.
pub const WORTHLESS_AT: u64 = 3;

/// What the result of a job will be worth; the lowest goes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Lateness {
    /// The job can meet its objective.
    #[default]
    InTime,
    /// It will surely miss its objective, and can end before its result loses all worth.
    Late,
    /// It will surely end after that.
    Worthless,
}

/// The objective of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// The time by which the job should end, in Unix milliseconds.
    pub at: u64,
    /// The time between acceptance and objective.
    pub span: u64,
}

/// Returns the class of a job whose rest surely takes `rest` from `now` on. A job never returns to
/// an earlier class than `before`: the order of jobs would change back and forth.
pub fn classify(objective: Objective, now: u64, rest: u64, before: Lateness) -> Lateness {
    let end = now.saturating_add(rest);
    let grace = objective.span.saturating_mul(WORTHLESS_AT - 1);
    let current = if end <= objective.at {
        Lateness::InTime
    } else if end <= objective.at.saturating_add(grace) {
        Lateness::Late
    } else {
        Lateness::Worthless
    };
    current.max(before)
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(0, 500, Lateness::InTime; "early")]
    #[test_case(500, 500, Lateness::InTime; "just in time")]
    #[test_case(501, 500, Lateness::Late; "just late")]
    #[test_case(2_500, 500, Lateness::Late; "just worth something")]
    #[test_case(2_501, 500, Lateness::Worthless; "worthless")]
    #[test_case(0, u64::MAX, Lateness::Worthless; "endless")]
    fn classify_by_time(now: u64, rest: u64, expected: Lateness) {
        let objective = Objective {
            at: 1_000,
            span: 1_000,
        };
        assert_eq!(classify(objective, now, rest, Lateness::InTime), expected);
    }

    #[test]
    fn classify_without_span() {
        let objective = Objective { at: 1_000, span: 0 };
        assert_eq!(
            classify(objective, 1_001, 0, Lateness::InTime),
            Lateness::Worthless
        );
    }

    #[test_case(Lateness::Late)]
    #[test_case(Lateness::Worthless)]
    fn classify_never_returns(before: Lateness) {
        let objective = Objective {
            at: 1_000,
            span: 1_000,
        };
        assert_eq!(classify(objective, 0, 1, before), before);
    }
}
