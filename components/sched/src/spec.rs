//! The specification of a job: an array of tasks of one class.

use {
    infra::Size,
    kernel::{Failure, verdict::Cause},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    table::{Kind, Row},
};

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// The specification of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The class of work, which is a row of the table.
    pub class: Arc<str>,
    /// Number of tasks.
    pub count: u32,
    /// The capacity allocated to each task.
    pub size: Size,
    /// Declared length of each task in milliseconds; 0 for a task without an end.
    pub length: u64,
    /// True when each task may be started at most once.
    #[serde(default)]
    pub once: bool,
    /// The data hall to run in; `None` for any.
    #[serde(default)]
    pub hall: Option<Arc<str>>,
}

impl Spec {
    /// Validates the specification, also against the row of its class.
    ///
    /// # Errors
    ///
    /// Returns `Invalid` with the field and the valid values.
    pub fn validate(&self, row: Option<&Row>) -> Result<(), Failure> {
        let invalid = |text: String| Err(Failure::not_run(Cause::Invalid, text));
        let Some(row) = row else {
            return invalid(format!(
                "class: no row of the table is named '{}'",
                self.class
            ));
        };
        if !(1..=MAX_TASKS).contains(&self.count) {
            return invalid(format!(
                "count: {} is not from 1 to {MAX_TASKS}",
                self.count
            ));
        }
        if self.size.cpu == 0 && self.size.accel == 0 {
            return invalid("size: a task needs processors or accelerators".to_owned());
        }
        if row.kind == Kind::Batch && self.length == 0 {
            return invalid("length: a batch task ends, so its length is not 0".to_owned());
        }
        if row.kind != Kind::Batch && self.length != 0 {
            return invalid(format!(
                "length: a {} task has no end, so its length is 0",
                row.kind
            ));
        }
        if self.once && row.kind != Kind::Batch {
            return invalid("once: only batch tasks can run at most once".to_owned());
        }
        Ok(())
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use {super::*, test_case::test_case};

    /// Returns a valid job of four batch tasks.
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
    fn validate_names_field(spec: Spec, kind: Kind, field: &str) {
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
