//! Essential tasks.

use kumquatpost::essential::essentials;
use tokio::task::LocalSet;

fn first_end(task: impl Future<Output = ()> + 'static) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (tasks, mut first_end) = essentials();
        tasks.spawn("other", std::future::pending());
        tasks.spawn("ordering", task);
        first_end.wait().await.to_string()
    })
}

#[test]
fn a_process_ends_with_a_task_that_panics_or_returns() {
    for told in [first_end(async { panic!("borrowed twice") }), first_end(async {})] {
        assert!(told.starts_with("ordering: "), "{told}");
    }
}
