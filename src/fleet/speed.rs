//! Estimates how fast each start of a target works. Pure.
//!
//! Targets differ in two ways. Some are faster than others for as long as they run: a long-term factor
//! is learned from how long their work takes. Some share their host with other work, which slows them
//! for fractions of a second: they report how long work takes there at the moment, as a figure with
//! every response. Such a figure says little after a while, so the estimate returns to the mean of the
//! service as the figure ages.

use std::time::Duration;

use super::ring::mix;
use crate::clock::BootTime;

/// Width of an age bucket. A tenth of a second is a fraction of the time for which hosts are slowed,
/// and an engine responds about once in it.
const BUCKET: Duration = Duration::from_millis(100);
/// Ages up to this many buckets are learned; the weight of older figures falls to 0 within the same
/// time again.
const BUCKETS: usize = 12;
/// Fraction of the longest learned age by which the time varies for which a figure is compared with
/// later ones.
const ANCHOR_TTL_SPREAD: f64 = 0.5;
/// A figure has no value after this time, however long figures hold in its service.
pub const FIGURE_TTL: Duration = Duration::from_millis(2_500);
/// Until figures have been compared, one is taken to lose its value within this time, about the time
/// for which hosts are slowed.
const INITIAL_TTL: Duration = Duration::from_millis(600);
/// Weight of the initial assumption in each bucket, as a sum of squared deviations. About seven
/// figures where 15% of the hosts are slowed by a factor of 2.5.
const INITIAL_DEVIATION: f64 = 2.0;
/// Factor by which each comparison reduces the weight of earlier ones, so about the last 1,000 count.
const COMPARISON_DECAY: f64 = 0.999;
/// The mean of a service covers about this much observed time, summed over its targets.
const MEAN_WINDOW: Duration = Duration::from_secs(60);
/// Time that a figure stands for in the mean if its start reported none before, and at most.
const FIGURE_SPAN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Expected work over which a target's long-term factor is learned, some 60 prompts.
const WORK_WINDOW_MS: f64 = 3_000.0;
/// The same for the mean of the service. Short, since what all targets have in common changes while the
/// service's estimate is learned.
const SERVICE_WORK_WINDOW_MS: f64 = 6_000.0;
/// Weight of the assumption that a target is as fast as its service, as expected work: about the
/// first two prompts barely count.
const ASSUMED_WORK_MS: f64 = 150.0;
/// Accepted range of one ratio of actual to expected time. Longer times are mostly not the target's
/// own work.
const RATIO_RANGE: (f64, f64) = (0.4, 2.5);
/// Accepted range of the long-term factor.
const LONG_TERM_RANGE: (f64, f64) = (0.5, 2.0);
/// Long-term factors that differ from 1 by less than this fraction count as 1, and others are closer
/// to 1 by as much: equal targets appear to differ by a few percent.
const LONG_TERM_DEADBAND: f64 = 0.02;
/// Two figures that differ by more than this factor show that the host's state has changed between
/// them.
const SAME_FIGURE_RATIO: f64 = 1.1;

/// A figure reported by a target: how many times as long as usual work takes on its host.
#[derive(Clone, Copy, Debug)]
struct Figure {
    factor: f64,
    at: BootTime,
}

/// The speed of one start of a target. A new start works at the rate of its service.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetSpeed {
    /// The latest figure.
    current: Option<Figure>,
    /// An earlier figure with which later ones are compared, so that long ages are learned, too.
    anchor: Option<Figure>,
    work: WorkTime,
}

/// How work was measured. Each way has an error of its own, which all targets have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measurement {
    /// From the request to the first part of its response.
    Response,
    /// From the first part of the response before it to that of its own.
    Interval,
}

/// Work of known size: how long it was expected to take, and how long it took.
#[derive(Clone, Copy, Debug, Default)]
struct WorkTime {
    expected_ms: f64,
    took_ms: f64,
}

/// What the targets of a service have in common.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSpeed {
    /// Mean of the reported figures over time; 1 if none was reported.
    mean: f64,
    /// Observed time that the mean covers.
    mean_span_s: f64,
    /// By the age of a figure: its covariance with the later one, and its variance.
    comparisons: [(f64, f64); BUCKETS],
    /// Weight of a figure by its age; not increasing.
    weights: [f64; BUCKETS],
    /// Work of all targets, by the way in which it was measured.
    work: [WorkTime; 2],
}

impl WorkTime {
    fn add(&mut self, expected_ms: f64, took_ms: f64, window_ms: f64) {
        let left = (1.0 - expected_ms / window_ms).max(0.0);
        self.expected_ms = self.expected_ms * left + expected_ms;
        self.took_ms = self.took_ms * left + took_ms;
    }
}

impl Default for ServiceSpeed {
    fn default() -> ServiceSpeed {
        let initial = |bucket: usize| {
            let weight = 1.0 - bucket_age_s(bucket) / INITIAL_TTL.as_secs_f64();
            (weight.max(0.0) * INITIAL_DEVIATION, INITIAL_DEVIATION)
        };
        let mut speed = ServiceSpeed {
            mean: 1.0,
            mean_span_s: 0.0,
            comparisons: std::array::from_fn(initial),
            weights: [0.0; BUCKETS],
            work: [WorkTime::default(); 2],
        };
        speed.update_weights();
        speed
    }
}

impl ServiceSpeed {
    /// Mean of the reported figures: how many times as long as usual work takes on a host of which
    /// nothing else is known.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Weight of a figure of this age, from 1 to 0.
    pub fn figure_weight(&self, age: Duration) -> f64 {
        let at = age.as_secs_f64() / BUCKET.as_secs_f64() - 0.5;
        if at < 0.0 {
            // A new figure is exact.
            return 1.0 + (self.weights[0] - 1.0) * (at + 0.5) * 2.0;
        }
        let (bucket, fraction) = (at as usize, at.fract());
        match self.weights.get(bucket..bucket + 2) {
            Some([before, after]) => before + (after - before) * fraction,
            _ => {
                let beyond = (at - (BUCKETS - 1) as f64) / BUCKETS as f64;
                self.weights[BUCKETS - 1] * (1.0 - beyond).max(0.0)
            }
        }
    }

    fn compare(&mut self, earlier: Figure, later: Figure) {
        let age = later.at.saturating_sub(earlier.at);
        let bucket = (age.as_secs_f64() / BUCKET.as_secs_f64()) as usize;
        let Some((covariance, variance)) = self.comparisons.get_mut(bucket) else { return };
        let deviation = earlier.factor - self.mean;
        *covariance = *covariance * COMPARISON_DECAY + deviation * (later.factor - self.mean);
        *variance = *variance * COMPARISON_DECAY + deviation * deviation;
        self.update_weights();
    }

    fn update_weights(&mut self) {
        let mut at_most = 1.0_f64;
        for (weight, (covariance, variance)) in self.weights.iter_mut().zip(&self.comparisons) {
            at_most = at_most.min((covariance / variance.max(1e-9)).max(0.0));
            *weight = at_most;
        }
    }

    /// Adds a figure to the mean, weighted by the time since the last one of the same start: a target
    /// that is slow is used less and reports less often.
    fn add_to_mean(&mut self, factor: f64, since_last: Option<Duration>) {
        let (first, longest) = FIGURE_SPAN;
        let span_s = since_last.map_or(first, |since| since.min(longest)).as_secs_f64();
        self.mean_span_s = (self.mean_span_s + span_s).min(MEAN_WINDOW.as_secs_f64());
        if self.mean_span_s > 0.0 {
            self.mean += (factor - self.mean) * span_s / self.mean_span_s;
        }
    }
}

impl TargetSpeed {
    /// Records a reported figure, 100 being as usual.
    pub fn observe_figure(
        &mut self,
        work_time_percent: u16,
        service: &mut ServiceSpeed,
        now: BootTime,
    ) {
        let figure = Figure { factor: f64::from(work_time_percent) / 100.0, at: now };
        let since_last = self.current.map(|last| now.saturating_sub(last.at));
        service.add_to_mean(figure.factor, since_last);
        for earlier in self.current.iter().chain(&self.anchor) {
            service.compare(*earlier, figure);
        }
        if self.anchor.is_none_or(|anchor| now.saturating_sub(anchor.at) >= anchor_ttl(now)) {
            self.anchor = Some(figure);
        }
        self.current = Some(figure);
    }

    /// Records work of this target alone: how long it was expected to take at the usual rate of its
    /// service, and how long it took. The current figure is divided out.
    pub fn observe_work(
        &mut self,
        measurement: Measurement,
        expected: Duration,
        took: Duration,
        service: &mut ServiceSpeed,
        now: BootTime,
    ) {
        let expected_ms = expected.as_secs_f64() * 1e3;
        let usual_ms = took.as_secs_f64() * 1e3 / self.figure(service, now);
        if expected_ms <= 0.0 {
            return;
        }
        let (least, most) = RATIO_RANGE;
        let usual_ms = usual_ms.clamp(expected_ms * least, expected_ms * most);
        let all = &mut service.work[measurement as usize];
        all.add(expected_ms, usual_ms, SERVICE_WORK_WINDOW_MS);
        // What all targets have in common is a matter of the service's estimate.
        let common = all.took_ms / all.expected_ms;
        self.work.add(expected_ms, usual_ms / common, WORK_WINDOW_MS);
    }

    /// How many times as long as usual for the service work takes here.
    pub fn time_factor(&self, service: &ServiceSpeed, now: BootTime) -> f64 {
        self.long_term_factor() * self.figure(service, now)
    }

    /// Time factor apart from the host's current state.
    pub fn long_term_factor(&self) -> f64 {
        let ratio =
            (self.work.took_ms + ASSUMED_WORK_MS) / (self.work.expected_ms + ASSUMED_WORK_MS);
        let factor = ratio.clamp(LONG_TERM_RANGE.0, LONG_TERM_RANGE.1);
        match factor {
            slow if slow > 1.0 => (slow / (1.0 + LONG_TERM_DEADBAND)).max(1.0),
            fast => (fast * (1.0 + LONG_TERM_DEADBAND)).min(1.0),
        }
    }

    /// Time factor of the host's current state, as far as it is known.
    fn figure(&self, service: &ServiceSpeed, now: BootTime) -> f64 {
        let mean = service.mean;
        self.current.map_or(mean, |figure| {
            let weight = service.figure_weight(now.saturating_sub(figure.at));
            mean + (figure.factor - mean) * weight
        })
    }

    /// The latest figure, if it is still worth more than the mean.
    pub fn known_figure(&self, service: &ServiceSpeed, now: BootTime) -> Option<f64> {
        let is_known =
            |figure: &Figure| service.figure_weight(now.saturating_sub(figure.at)) >= 0.5;
        self.current.filter(is_known).map(|figure| figure.factor)
    }

    /// Whether the host may have changed its state since a figure was known: work that began then
    /// took neither as long as before the change nor as long as after it.
    pub fn has_changed_since(&self, known: Option<f64>) -> bool {
        let (Some(known), Some(current)) = (known, self.current) else { return false };
        let ratio = current.factor / known;
        !(1.0 / SAME_FIGURE_RATIO..=SAME_FIGURE_RATIO).contains(&ratio)
    }
}

/// How long figures are compared with an anchor. It varies, so that anchors are not always taken at the
/// same time before hosts change their state.
fn anchor_ttl(now: BootTime) -> Duration {
    let longest = BUCKET * BUCKETS as u32;
    let random = (mix(now.as_micros() as u64) >> 11) as f64 / (1_u64 << 53) as f64;
    longest.mul_f64(1.0 - ANCHOR_TTL_SPREAD * random)
}

/// Age in the middle of a bucket.
fn bucket_age_s(bucket: usize) -> f64 {
    BUCKET.as_secs_f64() * (bucket as f64 + 0.5)
}
