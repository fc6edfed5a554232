//! Tasks that a process needs as long as it runs. When one ends, the process exits so that the platform restarts
//! it; otherwise it would keep running without the function of that task.

use std::future::Future;

use tokio::sync::mpsc;

use crate::error::Error;

/// Spawns essential tasks on the current thread.
#[derive(Clone, Debug)]
pub struct EssentialTasks {
    exits: mpsc::UnboundedSender<&'static str>,
}

/// Reports the first essential task that ends.
#[derive(Debug)]
pub struct FirstExit {
    exits: mpsc::UnboundedReceiver<&'static str>,
}

/// Creates an empty set of essential tasks.
pub fn essential_tasks() -> (EssentialTasks, FirstExit) {
    let (sender, exits) = mpsc::unbounded_channel();
    (EssentialTasks { exits: sender }, FirstExit { exits })
}

impl EssentialTasks {
    /// Spawns a task that is expected never to end.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let handle = tokio::task::spawn_local(task);
        let exits = self.exits.clone();
        tokio::task::spawn_local(async move {
            let reason = handle.await.err().map(|error| error.to_string());
            log::error!("event=task_ended task={name} reason={reason:?}");
            // The receiver is gone if the process is already exiting.
            let _ = exits.send(name);
        });
    }
}

impl FirstExit {
    /// Waits until a task ends and returns the error to exit with.
    pub async fn wait(&mut self) -> Error {
        match self.exits.recv().await {
            Some(task) => {
                let reason = "the task has ended";
                Error::start(task, reason, "report this as a defect, with the log")
            }
            // All senders are gone: there is no task that could end.
            None => std::future::pending().await,
        }
    }
}

/// Installs a panic hook that logs each panic as an event.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let at = panic.location().map(ToString::to_string);
        let reason = panic.payload_as_str().unwrap_or("no text");
        log::error!("event=panic at={at:?} reason={reason:?}");
    }));
}
