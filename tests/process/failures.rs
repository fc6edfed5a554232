//! Nodes that are killed, suspended or isolated, and nodes with damaged or full disks.

use std::io::{BufRead, BufReader};
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::api::{config_number, execution_of, patch_until_answered, priority_patch};
use crate::testenv::{Process, TestEnv, TestEnvOptions, path_str, wait_for};

#[test]
fn a_patch_is_applied_once_if_the_leader_is_killed_while_handling_it() {
    let mut env = TestEnv::start(TestEnvOptions::default());
    let leader = env.leader();
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    std::thread::scope(|scope| {
        let sender = scope.spawn(|| env.send_patch(leader, 1, "mid", &priority_patch(5)).is_ok());
        env.nodes[leader].signal("KILL");
        drop(sender.join());
    });
    // The response may be lost, so the operator resends the patch to another node.
    let first = patch_until_answered(&env, &others, 1, "mid", &priority_patch(5));
    assert_eq!(first["number"], 2);
    let second = patch_until_answered(&env, &others, 2, "next", &priority_patch(6));
    assert_eq!(second["number"], 3);
    assert_eq!(
        patch_until_answered(&env, &others, 1, "mid", &priority_patch(5)),
        first,
        "a resend gets the first response"
    );
    env.nodes[leader].kill();
    env.restart(leader);
    env.wait_until_ready(leader);
    assert_eq!(
        patch_until_answered(&env, &[leader], 1, "mid", &priority_patch(5)),
        first,
        "and there"
    );
    assert_eq!(config_number(&env, leader), Some(3));
}

#[test]
fn of_two_operators_at_two_nodes_exactly_one_wins_each_number() {
    let env = TestEnv::start(TestEnvOptions::default());
    for base in 1..6 {
        let answers: Vec<u16> = std::thread::scope(|scope| {
            let send = |node: usize| {
                let env = &env;
                scope.spawn(move || {
                    let id = format!("{base}-{node}");
                    env.send_patch(node, base, &id, &priority_patch(base))
                        .expect("the node responds")
                        .status()
                        .as_u16()
                })
            };
            let racing: Vec<_> = (0..3).map(send).collect();
            racing.into_iter().map(|one| one.join().expect("the thread does not panic")).collect()
        });
        assert_eq!(answers.iter().filter(|status| **status == 200).count(), 1, "{answers:?}");
        assert_eq!(answers.iter().filter(|status| **status == 412).count(), 2, "{answers:?}");
    }
}

#[test]
fn a_node_frozen_past_its_lease_admits_nothing_until_it_is_fresh_again() {
    let env = TestEnv::start(TestEnvOptions::default());
    let frozen = (env.leader() + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|node| *node != frozen).collect();
    env.nodes[frozen].signal("STOP");
    let remove = json!({"accounts": {"anna": null}});
    let answer = patch_until_answered(&env, &others, 1, "remove", &remove);
    assert_eq!(answer["number"], 2);
    wait_for("the removal is in force", || {
        let in_force = |node: &usize| env.status(*node)["replica"]["in_force"].as_u64() == Some(2);
        others.iter().any(in_force).then_some(())
    });
    // No node may serve the account any more, including the suspended one once it resumes.
    env.nodes[frozen].signal("CONT");
    wait_for("the resumed node rejects the account", || {
        let response = env.send_prompt(frozen, "anna", "still here?", 2);
        assert!(!response.status().is_success(), "the resumed node admitted a removed account");
        let body: Value = response.json().expect("JSON");
        assert_eq!(execution_of(&body), "not_run");
        (body["error"]["code"] == "wrong_key").then_some(())
    });
}

#[test]
fn an_isolated_node_stops_admitting_and_never_returns_an_older_number() {
    let env = TestEnv::start(TestEnvOptions::default());
    let isolated = (env.leader() + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|node| *node != isolated).collect();
    env.isolate(isolated, &others);
    wait_for("the isolated node is not ready", || {
        let ready = env.client.get(format!("{}/health/ready", env.callers_url(isolated))).send();
        ready.is_ok_and(|response| response.status() == 503).then_some(())
    });
    let refused = env.send_prompt(isolated, "anna", "anyone?", 2);
    assert!(refused.headers().contains_key("retry-after"));
    let body: Value = refused.json().expect("JSON");
    assert_eq!((execution_of(&body), &body["error"]["code"]), ("not_run", &json!("not_fresh")));
    assert_eq!(
        config_number(&env, isolated),
        None,
        "an isolated node cannot know the newest number"
    );
    let mut base = 1;
    for number in 0..20 {
        let answer = patch_until_answered(
            &env,
            &others,
            base,
            &format!("p{number}"),
            &priority_patch(number),
        );
        base = answer["number"].as_u64().expect("a number");
    }
    env.isolate(isolated, &[]);
    wait_for("the node is ready again", || {
        let number = config_number(&env, isolated);
        assert!(number.is_none_or(|number| number == base), "an older number: {number:?}");
        let ready = env.client.get(format!("{}/health/ready", env.callers_url(isolated))).send();
        ready.is_ok_and(|response| response.status().is_success()).then_some(())
    });
    assert_eq!(env.status(isolated)["number"].as_u64(), Some(base));
}

/// Guards against prompts that are refused as `not_fresh` while the next lease is on its way, and
/// against prompts that wait at a node that has been cut off for long.
#[test]
fn prompts_wait_for_the_next_lease_only_while_it_is_expected() {
    const LEASE: Duration = Duration::from_secs(6);
    let mut options = TestEnvOptions::default();
    options.timing["lease_ms"] = json!(LEASE.as_millis());
    let env = TestEnv::start(options);
    let node = (env.leader() + 1) % 3;
    let signal_others = |signal| {
        (0..3).filter(|other| *other != node).for_each(|other| env.nodes[other].signal(signal))
    };
    let send_prompt = || {
        let request = env.prompt_request(node, "anna", "still waiting?", 2, false);
        request.header("x-kumquatpost-deadline-ms", "60000").send().expect("the node answers")
    };
    let wait_until_lapsed = || {
        wait_for("the lease has expired", || {
            (env.status(node)["fresh"] == Value::Bool(false)).then_some(())
        })
    };
    signal_others("STOP");
    wait_until_lapsed();
    std::thread::scope(|scope| {
        let waiting = scope.spawn(send_prompt);
        std::thread::sleep(Duration::from_millis(300));
        assert!(!waiting.is_finished(), "the prompt waits");
        signal_others("CONT");
        let response = waiting.join().expect("the thread does not panic");
        assert!(response.status().is_success(), "{}", response.text().unwrap_or_default());
    });
    signal_others("STOP");
    wait_until_lapsed();
    std::thread::sleep(LEASE * 2);
    let sent_at = Instant::now();
    let response = send_prompt();
    assert!(sent_at.elapsed() < LEASE / 2, "refused after {:?}", sent_at.elapsed());
    assert!(response.headers().contains_key("retry-after"));
    let body: Value = response.json().expect("JSON");
    assert_eq!((execution_of(&body), &body["error"]["code"]), ("not_run", &json!("not_fresh")));
    signal_others("CONT");
}

#[test]
fn a_replica_that_missed_hundreds_of_changes_catches_up_by_itself() {
    let mut env = TestEnv::start(TestEnvOptions::default());
    let stopped = (env.leader() + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|node| *node != stopped).collect();
    env.nodes[stopped].kill();
    let mut base = 1;
    for number in 0..300 {
        let answer = patch_until_answered(
            &env,
            &others,
            base,
            &format!("p{number}"),
            &priority_patch(number),
        );
        base = answer["number"].as_u64().expect("a number");
    }
    env.restart(stopped);
    env.wait_until_ready(stopped);
    wait_for("the replica has caught up", || {
        (env.status(stopped)["replica"]["number"].as_u64() == Some(base)).then_some(())
    });
    let again = patch_until_answered(&env, &[stopped], 1, "p0", &priority_patch(0));
    assert_eq!(again["number"], 2, "a resend gets the first response after hundreds of changes");
}

#[test]
fn a_truncated_log_file_is_detected_and_repaired_from_the_other_replicas() {
    let mut env = TestEnv::start(TestEnvOptions::default());
    let leader = env.leader();
    let damaged = (leader + 1) % 3;
    let mut base = 1;
    for number in 0..20 {
        let answer = patch_until_answered(
            &env,
            &[leader],
            base,
            &format!("p{number}"),
            &priority_patch(number),
        );
        base = answer["number"].as_u64().expect("a number");
    }
    env.nodes[damaged].kill();
    let log = env.folder.path().join(format!("data-{}/log", damaged + 1));
    let length = std::fs::metadata(&log).expect("the log").len();
    let file = std::fs::OpenOptions::new().write(true).open(&log).expect("the log");
    file.set_len(length * 2 / 3 + 1).expect("the log can be truncated");
    env.restart(damaged);
    env.wait_until_ready(damaged);
    wait_for("the replica has caught up and ended its recovery", || {
        let replica = env.status(damaged)["replica"].clone();
        let caught_up = replica["number"].as_u64() == Some(base) && replica["recovering"] == false;
        caught_up.then_some(())
    });
}

#[test]
fn a_replica_with_a_full_disk_says_so_and_the_others_go_on() {
    let mut env = TestEnv::start(TestEnvOptions::default());
    let full = (env.leader() + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|node| *node != full).collect();
    env.nodes[full].kill();
    // The process inherits the shell's limit on the size of files; with SIGXFSZ ignored, writes
    // beyond it fail.
    let script = "trap '' XFSZ; ulimit -f 2; exec \"$0\" serve --settings \"$1\"";
    let mut child = Command::new("sh")
        .args([
            "-c",
            script,
            env!("CARGO_BIN_EXE_kumquatpost"),
            path_str(&env.settings_files[full]),
        ])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the shell starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("its output is piped");
    BufReader::new(stdout).read_line(&mut line).expect("its output can be read");
    env.nodes[full] = Process::from_ready_line(child, &line);
    env.wait_until_ready(full);
    let mut base = 1;
    wait_for("the replica has stopped", || {
        let id = format!("p{base}");
        let padding = "x".repeat(500);
        let patch = json!({"kinds": {padding: {"priority": 1}}});
        let answer = patch_until_answered(&env, &others, base, &id, &patch);
        base = answer["number"].as_u64().expect("a number");
        (env.status(full)["replica"]["stopped"] == true).then_some(())
    });
    let answer = patch_until_answered(&env, &others, base, "after", &priority_patch(2));
    assert_eq!(answer["number"].as_u64(), Some(base + 1), "the other replicas accept patches");
    assert!(
        env.send_prompt(full, "anna", "still serving?", 2).status().is_success(),
        "the node still answers prompts"
    );
}

#[test]
fn a_node_whose_relay_dies_stays_ready() {
    let mut env = TestEnv::start(TestEnvOptions { nodes: 4, ..TestEnvOptions::default() });
    // Nodes 0 and 3 share a failure domain, and node 0 is its relay. It must not lead the log,
    // or its death would also cause an election.
    while env.leader() == 0 {
        env.nodes[0].kill();
        wait_for("another node leads", || (env.status(1)["replica"]["leader"] != 1).then_some(()));
        env.restart(0);
        env.wait_until_ready(0);
    }
    env.nodes[0].kill();
    wait_for("the relay is declared dead", || {
        let ready = env.client.get(format!("{}/health/ready", env.callers_url(3))).send();
        assert!(ready.is_ok_and(|response| response.status().is_success()), "the node stays ready");
        let live = env.status(3)["live"].as_array().expect("live nodes").clone();
        live.iter().all(|member| member["node"] != 1).then_some(())
    });
    assert!(env.send_prompt(3, "anna", "still fresh?", 2).status().is_success());
}
