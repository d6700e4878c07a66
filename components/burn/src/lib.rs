//! Service-level burn: how much of a service's error budget its requests use up.
//!
//! The method is the multi-window burn rate of the Site Reliability Workbook (Beyer and others,
//! 2018, chapter 5): the share of bad requests in a window over the share that the objective
//! allows. A rate of 1 uses the budget up exactly by the end of its period.

pub mod report;
pub mod series;

pub use report::{Report, ServiceReport};
pub use series::{Counts, Series};
