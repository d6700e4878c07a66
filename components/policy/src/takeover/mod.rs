//! Which tasks a new owner may start while some workers have not answered it.
//!
//! The former owner may be alive: it was suspended or cut off, and resumes. It may then start tasks
//! of jobs that it knows on workers that have not accepted the new fence. A task may therefore
//! start elsewhere only when it surely neither runs on such a worker nor can be started there.

mod sealing;
mod unheard;

pub use sealing::{
    Condition, MAX_RECORDED, REWRITE_INTERVAL, may_replace_tasks, may_seal, must_withdraw,
};
pub use unheard::{Origin, Task, Unheard, Verdict};
