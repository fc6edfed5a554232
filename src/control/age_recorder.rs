//! Records the ages of weight versions in the log while this replica is the leader.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::replica::Input;
use super::shared::Shared;
use super::weight_ages::due_commands;
use crate::clock::boot_now;
use crate::scheduler::weights::OldWeightsPolicy;

/// How often to check for ages to record.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Records ages for as long as the process lives.
pub async fn run(shared: Rc<Shared>, inputs: mpsc::Sender<Input>, old_weights: OldWeightsPolicy) {
    let Some(bound) = old_weights.longest() else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let due = {
            let view = shared.view.borrow();
            let named = shared.named_since.borrow();
            match view.leads {
                true => due_commands(&named, &view.state.weight_ages, bound, boot_now()),
                false => Vec::new(),
            }
        };
        for command in due {
            let (sender, decided) = oneshot::channel();
            if inputs.send(Input::Propose(command, sender)).await.is_err() {
                return;
            }
            // An age that was not committed is still due in the next iteration, here or at another
            // leader.
            let _ = decided.await;
        }
    }
}
