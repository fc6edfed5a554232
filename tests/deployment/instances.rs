//! Pages of the platform's list.

use kumquatpost::control::roster_reader::ListAddress;
use kumquatpost::fleet::Presence;
use kumquatpost::platform::instances;

use crate::fixtures::ms;

const PAGE: &str = r#"{"Instances":[
  {"Service":"llm","Addr":"10.128.0.9:8080","Zone":"hall","Version":"v1","Slots":48,"State":"ready",
   "ColdLeftMs":0,"Stage":"colocated","Models":[{"Name":"m","Version":3,"Adapters":[]}],"Id":"i-1"},
  {"Service":"app","Addr":"10.128.0.10:8080","Zone":"hall","Version":"v1","Slots":6,
   "State":"draining","ColdLeftMs":0,"Id":"i-2"}],"NextToken":"p-50"}"#;

#[test]
fn targets_and_the_next_page_are_read() {
    let (targets, next) = instances::decode(PAGE.as_bytes()).expect("it is a page");
    assert_eq!(next.as_deref(), Some("p-50"));
    assert_eq!(targets[0].weights["m"], 3);
    assert_eq!(
        targets.iter().map(|target| target.presence).collect::<Vec<_>>(),
        [Presence::Live, Presence::Leaving]
    );
    assert_eq!(instances::page_path(next.as_deref()), "/instances?PageToken=p-50");
    assert_eq!(instances::page_path(None), "/instances");
}

#[test]
fn a_state_that_is_not_known_takes_no_work() {
    let page = PAGE.replace("\"ready\"", "\"evacuating\"");
    let (targets, _) = instances::decode(page.as_bytes()).expect("it is a page");
    assert_eq!(targets[0].presence, Presence::Leaving);
}

#[test]
fn a_page_that_breaks_off_is_no_page() {
    for length in 0..PAGE.len() {
        assert!(instances::decode(&PAGE.as_bytes()[..length]).is_err(), "cut at {length}");
    }
}

#[test]
fn a_long_list_is_read_as_often_as_it_may_be_asked() {
    let list = |rate_per_s| ListAddress { address: crate::fixtures::address(1), rate_per_s };
    assert_eq!(list(44.0).read_every(3), ms(500));
    assert_eq!(list(50.0).read_every(60), ms(2_000), "60 pages, 30 calls a second");
    assert_eq!(list(0.0).read_every(60), ms(500), "no rate is told");
}
