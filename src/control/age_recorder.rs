//! Records how long ago weights were named, while this replica leads.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::replica::Input;
use super::shared::Shared;
use super::weight_ages::due;
use crate::clock::boot_now;
use crate::scheduler::weights::OldWeightsPolicy;

/// How often it is looked whether one has.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Records ages while this replica leads, for as long as the process lives.
pub async fn keep_recording(
    shared: Rc<Shared>,
    inputs: mpsc::Sender<Input>,
    old_weights: OldWeightsPolicy,
) {
    let Some(bound) = old_weights.longest() else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let due = {
            let belief = shared.belief.borrow();
            let named = shared.named_since.borrow();
            match belief.leads {
                true => due(&named, &belief.state.weight_ages, bound, boot_now()),
                false => Vec::new(),
            }
        };
        for command in due {
            let (sender, decided) = oneshot::channel();
            if inputs.send(Input::Propose(command, sender)).await.is_err() {
                return;
            }
            // Not decided: it is due again, here or at another leader.
            let _ = decided.await;
        }
    }
}
