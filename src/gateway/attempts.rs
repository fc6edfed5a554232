//! The attempts made for one request.

use super::attempt::AttemptError;
use crate::ids::TargetStart;

/// Attempts at targets that may have received the request.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    count: u32,
    may_have_run: bool,
    targets: Vec<TargetStart>,
}

impl Attempts {
    /// Adds an attempt. The target is unknown if another entry made the attempt and was lost.
    pub fn add(&mut self, target: Option<TargetStart>) {
        self.count += 1;
        self.targets.extend(target);
    }

    /// Adds an attempt that may have run the request.
    pub fn add_run(&mut self, target: Option<TargetStart>) {
        self.add(target);
        self.mark_may_have_run();
    }

    /// Adds a target that did not run the request, and must not be asked again.
    pub fn avoid(&mut self, target: Option<TargetStart>) {
        self.targets.extend(target);
    }

    /// Adds an attempt without a response.
    pub fn add_failed(&mut self, error: AttemptError) {
        match error {
            AttemptError::NotRun(target) => self.avoid(target),
            AttemptError::MayHaveRun(target) | AttemptError::TimedOut(target) => {
                self.add_run(target);
            }
            AttemptError::NoTarget(_) | AttemptError::Held(_) | AttemptError::TooLate => {}
        }
    }

    /// Records that one of them may have run the request.
    pub fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    /// The known targets.
    pub fn targets(&self) -> &[TargetStart] {
        &self.targets
    }
}
