//! What is asked of a job: an array of tasks of one class.

use {
    infra::Size,
    kernel::{Failure, verdict::Cause},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    table::{Kind, Row},
};

/// The most tasks that one job may have.
pub const MAX_TASKS: u32 = 100_000;

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The class of work; a row of the table.
    pub class: Arc<str>,
    /// The number of tasks.
    pub count: u32,
    /// What each task is committed.
    pub size: Size,
    /// How long each task's work takes, in milliseconds, as declared; 0 for one without an end.
    pub length: u64,
    /// True when no task may ever be started twice.
    #[serde(default)]
    pub once: bool,
    /// The data hall to run in; `None` for any.
    #[serde(default)]
    pub hall: Option<Arc<str>>,
}

impl Spec {
    /// Checks the spec by itself and against the class's row.
    ///
    /// # Errors
    ///
    /// `Invalid`, with the field and what would be right.
    pub fn validate(&self, row: Option<&Row>) -> Result<(), Failure> {
        let wrong = |text: String| Err(Failure::not_run(Cause::Invalid, text));
        let Some(row) = row else {
            return wrong(format!(
                "class: no row of the table is named '{}'",
                self.class
            ));
        };
        if !(1..=MAX_TASKS).contains(&self.count) {
            return wrong(format!(
                "count: {} is not from 1 to {MAX_TASKS}",
                self.count
            ));
        }
        if self.size.cpu == 0 && self.size.accel == 0 {
            return wrong("size: a task needs processors or accelerators".to_owned());
        }
        if row.kind == Kind::Batch && self.length == 0 {
            return wrong("length: a batch task ends, so its length is not 0".to_owned());
        }
        if row.kind != Kind::Batch && self.length != 0 {
            return wrong(format!(
                "length: a {} task has no end, so its length is 0",
                row.kind
            ));
        }
        if self.once && row.kind != Kind::Batch {
            return wrong("once: only batch tasks can run at most once".to_owned());
        }
        Ok(())
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use {super::*, test_case::test_case};

    /// Four batch tasks.
    pub(crate) fn spec() -> Spec {
        let (class, size) = (Arc::from("batch"), Size::new(1000, 100, 0));
        Spec {
            class,
            count: 4,
            size,
            length: 1000,
            once: false,
            hall: None,
        }
    }

    #[test_case(spec(), Kind::Batch, ""; "right")]
    #[test_case(Spec { count: 0, ..spec() }, Kind::Batch, "count"; "no tasks")]
    #[test_case(Spec { length: 0, ..spec() }, Kind::Batch, "length"; "batch without end")]
    #[test_case(spec(), Kind::Standing, "length"; "standing with an end")]
    #[test_case(Spec { size: Size::default(), ..spec() }, Kind::Batch, "size"; "no size")]
    #[test_case(Spec { once: true, length: 0, ..spec() }, Kind::Service, "once"; "once service")]
    fn check_field(spec: Spec, kind: Kind, field: &str) {
        let row = Row {
            kind,
            ..Row::batch("batch")
        };
        match spec.validate(Some(&row)) {
            Ok(()) => assert_eq!(field, ""),
            Err(failure) => assert!(failure.text.starts_with(&format!("{field}:")), "{failure}"),
        }
        assert!(spec.validate(None).is_err());
    }
}
