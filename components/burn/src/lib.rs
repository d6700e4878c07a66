//! Burn rates of services: how fast requests that miss their objective use up the error budget.
//!
//! The method is the multi-window burn rate of the Site Reliability Workbook (Beyer and others,
//! 2018, chapter 5): the share of bad requests in a window divided by the share that the objective
//! allows. A rate of 1 exhausts the budget exactly at the end of its period.

pub mod report;
pub mod series;

pub use report::{Report, ServiceReport};
pub use series::{Counts, Series};
