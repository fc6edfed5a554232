//! Essential tasks.

use std::time::Duration;

use kumquatpost::essential_tasks::essential_tasks;
use tokio::task::LocalSet;

/// An end that is noticed is noticed at once; one that is not must not keep the test for ever.
const NEVER: Duration = Duration::from_secs(20);

fn first_end(task: impl Future<Output = ()> + 'static) -> String {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (tasks, mut first_exit) = essential_tasks();
        tasks.spawn("other", std::future::pending());
        tasks.spawn("ordering", task);
        let first = tokio::time::timeout(NEVER, first_exit.wait()).await;
        first.expect("the end is noticed").to_string()
    })
}

#[test]
fn a_process_ends_with_a_task_that_panics_or_returns() {
    for told in [first_end(async { panic!("borrowed twice") }), first_end(async {})] {
        assert!(told.starts_with("ordering: "), "{told}");
    }
}
