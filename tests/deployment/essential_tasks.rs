//! Detection of essential tasks that panic or return.

use std::time::Duration;

use kumquatpost::essential_tasks::essential_tasks;
use tokio::task::LocalSet;

/// Keeps the test from hanging if an exit goes unnoticed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

fn first_exit_message(task: impl Future<Output = ()> + 'static) -> String {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (tasks, mut first_exit) = essential_tasks();
        tasks.spawn("other", std::future::pending());
        tasks.spawn("ordering", task);
        let first = tokio::time::timeout(EXIT_TIMEOUT, first_exit.wait()).await;
        first.expect("the exit is reported").to_string()
    })
}

#[test]
fn a_task_that_panics_or_returns_is_reported_as_the_first_exit() {
    for message in
        [first_exit_message(async { panic!("borrowed twice") }), first_exit_message(async {})]
    {
        assert!(message.starts_with("ordering: "), "{message}");
    }
}
