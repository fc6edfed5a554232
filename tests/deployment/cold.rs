//! Cold targets: the rate of all hosts together at a target that has just started.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use kumquatpost::clock::boot_now;
use kumquatpost::control::frames::{Update, VersionedRoster};
use kumquatpost::deployment::{Service, ServiceRole};
use kumquatpost::fleet::cold::ColdStart;
use kumquatpost::fleet::evacuation::{EvacuatedDomains, EvacuationOrder, Evacuations};
use kumquatpost::fleet::news::{NewsTable, TargetEvent};
use kumquatpost::fleet::rate::{IndependentShare, Pacer};
use kumquatpost::fleet::{FleetView, Listed};
use kumquatpost::ids::TargetStart;
use kumquatpost::scheduler::{EndReason, PlacementEvent, Scheduler};

use crate::fixtures::{address, ms, roster, start, target};
use crate::gateway::{Entry, deployment_with_long_timeouts, ok_response, run_local, start_entry};
use crate::load::{
    Simulation, end_placement, engines, expect_placed, placement_request, scheduler,
    simulated_deployment,
};
use crate::scheduler_service::leader_state;
use crate::stand_in::{AfterAnswer, StandIn};

const COLD_START: ColdStart = ColdStart { duration: Duration::from_secs(3), requests_per_s: 18.0 };

fn with_cold_start(scheduler: &mut Scheduler) {
    let mut deployment = simulated_deployment();
    deployment.services.get_mut("llm").expect("engines").cold_start = Some(COLD_START);
    scheduler.observe_deployment(&deployment);
}

fn cold(listed: Vec<Listed>) -> Vec<Listed> {
    listed.into_iter().map(|listed| Listed { is_cold: true, ..listed }).collect()
}

/// The highest number of times within one second.
fn max_per_second(times: &[Duration]) -> usize {
    let count =
        |from: Duration| times.iter().filter(|at| (from..from + ms(1_000)).contains(*at)).count();
    times.iter().map(|from| count(*from)).max().unwrap_or(0)
}

/// Submits more prompts than a limited engine bears, each ending after 40 ms, and returns when each
/// engine got one.
pub fn storm(
    scheduler: &mut Scheduler,
    from_ms: u64,
    to_ms: u64,
) -> BTreeMap<TargetStart, Vec<Duration>> {
    let mut placed: BTreeMap<TargetStart, Vec<Duration>> = BTreeMap::new();
    let mut running = VecDeque::new();
    for at in from_ms..to_ms {
        let now = ms(at);
        while let Some((ticket, _)) = running.pop_front_if(|(_, ends)| *ends <= now) {
            end_placement(scheduler, ticket, EndReason::Completed, now);
        }
        let submitted = scheduler.submit(at, placement_request(2, at % 40, at), now);
        let outcomes = submitted.map(|outcome| (at, outcome)).into_iter();
        for (_, outcome) in outcomes.chain(scheduler.dispatch(now)).collect::<Vec<_>>() {
            let Ok(placement) = outcome else { continue };
            placed.entry(placement.target).or_default().push(now);
            running.push_back((placement.ticket, now + ms(40)));
        }
    }
    for (ticket, ends) in running {
        end_placement(scheduler, ticket, EndReason::Completed, ends);
    }
    placed
}

/// Engines that return together after an outage are empty and idle, so that all prompts would go
/// there.
#[test]
fn returning_engines_get_no_more_than_they_bear() {
    let mut scheduler = scheduler(2);
    with_cold_start(&mut scheduler);
    let mut listed = engines(4);
    let returned = cold(listed.split_off(2));
    scheduler.observe_roster(&roster(listed.into_iter().chain(returned)));
    let placed = storm(&mut scheduler, 0, 3_000);
    for engine in ["i-02", "i-03"] {
        let times = &placed[&start(engine)];
        assert!(max_per_second(times) <= 18, "{engine}: {}", max_per_second(times));
        assert!(times.len() >= 45, "{engine} must be used as far as it bears: {}", times.len());
    }
    assert!(placed[&start("i-00")].len() > 100, "the others are not limited");
}

/// Guards against two schedulers that each use the whole rate within the same second.
#[test]
fn a_change_of_leader_does_not_exceed_the_rate() {
    let cold_roster = roster(cold(engines(1)));
    let mut times = Vec::new();
    for (from_ms, to_ms) in [(0, 700), (700, 1_100), (1_100, 2_500)] {
        let mut scheduler = scheduler(1);
        with_cold_start(&mut scheduler);
        scheduler.observe_roster(&cold_roster);
        let placed = storm(&mut scheduler, from_ms, to_ms);
        times.extend(placed.into_values().flatten());
    }
    assert!(max_per_second(&times) <= 18 + 2, "{}", max_per_second(&times));
}

#[test]
fn engines_of_a_restored_domain_are_taken_for_cold() {
    let mut scheduler = scheduler(1);
    with_cold_start(&mut scheduler);
    scheduler.observe_roster(&roster(engines(1)));
    let mut record = Evacuations::default();
    for order in [EvacuationOrder::Evacuate, EvacuationOrder::Restore] {
        let expected = record.revision("a");
        record.order("a".to_string(), order, expected).expect("the revision is current");
    }
    let mut known = EvacuatedDomains::default();
    known.update(&record, ms(10_000));
    scheduler.observe_evacuated(&known);
    let restored = storm(&mut scheduler, 10_000, 12_900);
    assert!(max_per_second(&restored[&start("i-00")]) <= 18);
    let warm = storm(&mut scheduler, 13_000, 15_000);
    assert!(max_per_second(&warm[&start("i-00")]) > 30);
}

#[test]
fn an_unreachable_engine_is_taken_for_cold() {
    let mut scheduler = scheduler(1);
    with_cold_start(&mut scheduler);
    let placed = expect_placed(scheduler.submit(1, placement_request(2, 1, 1), ms(100)));
    end_placement(&mut scheduler, placed.ticket, EndReason::Unreachable, ms(110));
    let returned = storm(&mut scheduler, 700, 2_900);
    assert!(max_per_second(&returned[&start("i-00")]) <= 18);
}

/// A service without a limit, and one whose engines are warm, place as before.
#[test]
fn warm_engines_and_services_without_a_limit_are_not_paced() {
    let mut unlimited = scheduler(1);
    unlimited.observe_roster(&roster(cold(engines(1))));
    assert!(max_per_second(&storm(&mut unlimited, 0, 1_000)[&start("i-00")]) > 30);
    let mut warm = scheduler(1);
    with_cold_start(&mut warm);
    assert!(max_per_second(&storm(&mut warm, 0, 1_000)[&start("i-00")]) > 30);
}

/// The pattern of an outage: half of the engines are lost under load and return cold.
#[test]
fn most_prompts_are_on_time_while_half_of_the_engines_is_cold() {
    let mut simulation = Simulation::new(12);
    with_cold_start(&mut simulation.scheduler);
    simulation.run(5, 0.8);
    let mut listed = engines(12);
    let returned = cold(listed.split_off(6));
    simulation.scheduler.observe_roster(&roster(listed.into_iter().chain(returned)));
    let during = simulation.run(3, 0.8);
    assert!(during.on_time_share() > 0.9, "{during:?}");
}

fn plain_view(is_cold: bool) -> FleetView {
    let mut view = FleetView::default();
    let service =
        Service { role: ServiceRole::Plain, max_connections: 100, cold_start: Some(COLD_START) };
    view.observe_services(&BTreeMap::from([("app".to_string(), service)]));
    view.update(&roster([Listed { is_cold, ..target("i-1", "app", address(1)) }]));
    view
}

/// Requests that the entries of a deployment, each deciding for itself, send to one cold target
/// within any second, while they have more than it bears.
fn independent_requests(entries: u32) -> Vec<Duration> {
    let mut times = Vec::new();
    for seed in 0..u64::from(entries) {
        let share = IndependentShare { entries, seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) };
        let mut view = plain_view(true);
        for at in (0..20_000).step_by(10).map(ms) {
            let state = view.get(&start("i-1")).expect("listed");
            if view.admits_independent(state, false, &share, at) {
                view.record_independent(&start("i-1"), &share, at);
                times.push(at);
            }
        }
    }
    times
}

#[test]
fn entries_that_decide_alone_together_keep_the_rate_of_a_cold_target() {
    for entries in [1, 4, 8, 27, 81, 1_500] {
        let times = independent_requests(entries);
        assert!(max_per_second(&times) <= 27 + 5, "{entries}: {}", max_per_second(&times));
        let mean = times.len() as f64 / 20.0;
        assert!((6.0..=12.0).contains(&mean), "{entries} entries: {mean} requests per second");
    }
}

/// The scheduler uses the whole rate of cold engines, whether or not an entry can reach it.
#[test]
fn an_entry_alone_sends_no_prompt_to_a_cold_engine() {
    let share = IndependentShare { entries: 1, seed: 1 };
    for (is_cold, admits) in [(true, false), (false, true)] {
        let view = plain_view(is_cold);
        let state = view.get(&start("i-1")).expect("listed");
        assert_eq!(view.admits_independent(state, true, &share, ms(0)), admits);
    }
}

#[test]
fn a_pacer_spaces_requests_and_saves_nothing_up() {
    let mut pacer = Pacer::default();
    let mut times = Vec::new();
    for at in (5_000..7_000).map(ms) {
        if pacer.admits(at) {
            pacer.record(COLD_START.limit(), at);
            times.push(at);
        }
    }
    assert!(max_per_second(&times) <= 18);
}

/// Guards against full load on an engine that restarted under its id while the list still shows its
/// earlier start and new prompts are placed there already, and against pacing an engine that lost a
/// single answer.
#[test]
fn an_engine_that_lost_connections_at_once_is_taken_for_cold() {
    for (lost_at, is_paced) in [(&[200][..], false), (&[200, 210], true), (&[200, 600], false)] {
        let mut scheduler = scheduler(1);
        with_cold_start(&mut scheduler);
        let place = |scheduler: &mut Scheduler, n: u64| {
            expect_placed(scheduler.submit(n, placement_request(2, n, n), ms(100 + n))).ticket
        };
        let tickets = [1, 2, 3].map(|n| place(&mut scheduler, n));
        for (ticket, at) in tickets.iter().zip(lost_at) {
            end_placement(&mut scheduler, *ticket, EndReason::ConnectionLost, ms(*at));
        }
        let times = storm(&mut scheduler, 700, 2_900).remove(&start("i-00")).expect("placements");
        assert_eq!(max_per_second(&times) <= 18, is_paced, "connections lost at {lost_at:?}");
    }
}

/// Guards against full load on an engine that was down for longer than a cold start lasts, or that
/// started long after its connections broke: the time for which it is cold begins with its answers.
#[test]
fn an_engine_stays_cold_for_a_whole_cold_start_after_its_first_answer() {
    let mut scheduler = scheduler(1);
    with_cold_start(&mut scheduler);
    let placed = expect_placed(scheduler.submit(1, placement_request(2, 1, 1), ms(100)));
    end_placement(&mut scheduler, placed.ticket, EndReason::Unreachable, ms(110));
    for down_until in [2_500, 8_000] {
        let before = scheduler.submit(2, placement_request(2, 2, 2), ms(down_until));
        let ticket = expect_placed(before).ticket;
        end_placement(&mut scheduler, ticket, EndReason::Unreachable, ms(down_until + 10));
    }
    // Nobody asks between 8 s and the restart at 15 s.
    let times = storm(&mut scheduler, 15_000, 18_000).remove(&start("i-00")).expect("used");
    assert!(max_per_second(&times) <= 18, "{}", max_per_second(&times));
    let warm = storm(&mut scheduler, 18_200, 20_000).remove(&start("i-00")).expect("used");
    assert!(max_per_second(&warm) > 30, "{}", max_per_second(&warm));
}

/// Guards against full load on an engine that restarted under its id while no prompt ran there.
#[test]
fn an_engine_that_closed_idle_connections_early_is_taken_for_cold() {
    let mut scheduler = scheduler(1);
    with_cold_start(&mut scheduler);
    let lost = PlacementEvent::IdleConnectionsLost { target: start("i-00") };
    scheduler.observe(&lost, ms(5_000));
    let times = storm(&mut scheduler, 5_000, 7_900).remove(&start("i-00")).expect("placements");
    assert!(max_per_second(&times) <= 18, "{}", max_per_second(&times));
}

/// Guards against entries that don't notice a restart between two requests. The closing of one of
/// several connections shows none.
#[test]
fn an_entry_notices_that_all_idle_connections_were_closed_early() {
    for (first_answer, is_cold) in [(AfterAnswer::CloseLater, true), (AfterAnswer::KeepOpen, false)]
    {
        run_local(async move {
            let answers = [first_answer, AfterAnswer::KeepOpen]
                .map(|after_answer| (ok_response("done"), after_answer));
            let instance = StandIn::start(answers.to_vec()).await;
            let mut deployment = deployment_with_long_timeouts();
            deployment.services.get_mut("app").expect("a service").cold_start = Some(COLD_START);
            let entry = start_entry(deployment, vec![target("i-1", "app", instance.address)]).await;
            let is_taken_for_cold = || {
                let fleet = entry.gateway.fleet.borrow();
                let state = fleet.get(&start("i-1")).expect("listed");
                fleet.cold_limit(state, boot_now()).is_some()
            };
            for (id, expected) in [("r1", false), ("r2", is_cold)] {
                assert_eq!(entry.call("/safe/a", id).await.status, 200);
                assert_eq!(is_taken_for_cold(), expected, "{id}");
                tokio::time::sleep(ms(200)).await;
            }
        });
    }
}

/// Guards against full load on a restarted target by entries that place requests themselves: only the
/// one that was refused a connection knew of the restart.
#[test]
fn entries_tell_each_other_of_a_restart_through_replicas() {
    run_local(async {
        let mut deployment = deployment_with_long_timeouts();
        deployment.services.get_mut("app").expect("a service").cold_start = Some(COLD_START);
        // Nothing listens there.
        let listed = || vec![target("i-1", "app", SocketAddr::from(([127, 0, 0, 1], 1)))];
        let refused = start_entry(deployment.clone(), listed()).await;
        let other = start_entry(deployment, listed()).await;
        let is_taken_for_cold = |entry: &Entry| {
            let fleet = entry.gateway.fleet.borrow();
            let state = fleet.get(&start("i-1")).expect("listed");
            fleet.cold_limit(state, boot_now()).is_some()
        };
        assert_ne!(refused.call("/safe/a", "r1").await.status, 200);
        assert!(is_taken_for_cold(&refused) && !is_taken_for_cold(&other));
        // The replicas of both entries.
        let replicas = [1, 2].map(|term| leader_state(term, VersionedRoster::default()));
        let news = refused.gateway.news.borrow().since(0, boot_now());
        replicas[0].observe_news(&news);
        replicas[1].observe_news(&replicas[0].news.borrow().since(0, boot_now()));
        let news = replicas[1].news.borrow().since(0, boot_now());
        other.gateway.observe(Update::News(news)).expect("a valid update");
        assert!(is_taken_for_cold(&other));
    });
}

/// The scheduler of a new leader must pace engines whose restart its predecessor was told of.
#[test]
fn news_of_a_restart_are_kept_for_a_new_scheduler_and_then_forgotten() {
    let mut news = NewsTable::default();
    let mut is_news =
        |at| news.observe(&start("i-00"), TargetEvent::MayHaveRestarted, ms(at), ms(at));
    assert!(is_news(5_000));
    assert!(!is_news(5_100), "the same restart");
    assert!(is_news(5_400), "another one");
    let kept = news.since(0, ms(6_000));
    assert_eq!(kept.iter().map(|restart| restart.age).collect::<Vec<_>>(), [ms(600)]);
    assert!(news.since(news.revision(), ms(6_000)).is_empty());
    let mut scheduler = scheduler(1);
    with_cold_start(&mut scheduler);
    scheduler.may_have_restarted(&kept[0].target, ms(6_000) - kept[0].age);
    let times = storm(&mut scheduler, 6_000, 8_300).remove(&start("i-00")).expect("placements");
    assert!(max_per_second(&times) <= 18, "{}", max_per_second(&times));
    assert!(news.since(0, ms(10_500)).is_empty());
}
