//! Tasks without which a process is of no use. If one ends, so does the process: the platform starts
//! it again, while a process that lacks a task would go on half working.

use std::future::Future;

use tokio::sync::mpsc;

use crate::error::Error;

/// Starts essential tasks on this thread.
#[derive(Clone, Debug)]
pub struct EssentialTasks {
    exits: mpsc::UnboundedSender<&'static str>,
}

/// Tells of the first essential task that ends.
#[derive(Debug)]
pub struct FirstExit {
    exits: mpsc::UnboundedReceiver<&'static str>,
}

/// No tasks yet.
pub fn essential_tasks() -> (EssentialTasks, FirstExit) {
    let (sender, exits) = mpsc::unbounded_channel();
    (EssentialTasks { exits: sender }, FirstExit { exits })
}

impl EssentialTasks {
    /// Starts a task that should never end.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let handle = tokio::task::spawn_local(task);
        let exits = self.exits.clone();
        tokio::task::spawn_local(async move {
            let reason = handle.await.err().map(|error| error.to_string());
            log::error!("event=task_ended task={name} reason={reason:?}");
            // If nobody listens, the process ends already.
            let _ = exits.send(name);
        });
    }
}

impl FirstExit {
    /// Waits until a task ends.
    pub async fn wait(&mut self) -> Error {
        match self.exits.recv().await {
            Some(task) => {
                let reason = "the task has ended";
                Error::start(task, reason, "report this as a defect, with the log")
            }
            // No task was ever started.
            None => std::future::pending().await,
        }
    }
}

/// Has each panic logged as an event, wherever it happens.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let at = panic.location().map(ToString::to_string);
        let reason = panic.payload_as_str().unwrap_or("no text");
        log::error!("event=panic at={at:?} reason={reason:?}");
    }));
}
