//! Property tests with random sequences of queue operations.
//!
//! The queue verifies its invariants after each operation in debug builds. The tests do so in all
//! builds, and follow each request until it ends.

use std::collections::HashMap;
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_policy::classifier::{
    Classifier, CostClass, ExpectedTime, Request, Settings as ClassSettings,
};
use masticdeal_policy::limit::{self, ConcurrencyLimit};
use masticdeal_policy::queue::{
    Cancelled, EntryId, Order, Permit, Queue, RequestInfo, Settings, verify,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

/// Operation on the queue. An index selects one of the waiting or running requests.
#[derive(Debug, Clone)]
enum Step {
    Push {
        path: usize,
        cost: Option<CostClass>,
        deadline_ms: u64,
    },
    Pop,
    Finish {
        index: usize,
        has_service_time: bool,
    },
    Cancel {
        index: usize,
    },
    Wait(u64),
    Reclassify,
    TakeRefused,
    SetSlots(usize),
    StartCold,
    ReduceLimit,
    Drain(u64),
    Resume,
}

const PATHS: [&str; 3] = ["/list", "/search/9", "/slides/9.pptx"];

fn step() -> impl Strategy<Value = Step> {
    let cost = prop_oneof![
        Just(None),
        Just(Some(CostClass::Short)),
        Just(Some(CostClass::Long))
    ];
    let push = (0..PATHS.len(), cost, 1..3000u64);
    prop_oneof![
        8 => push.prop_map(|(path, cost, deadline_ms)| Step::Push { path, cost, deadline_ms }),
        8 => Just(Step::Pop),
        6 => (0..64usize, any::<bool>())
            .prop_map(|(index, has_service_time)| Step::Finish { index, has_service_time }),
        2 => (0..64usize).prop_map(|index| Step::Cancel { index }),
        6 => (0..400u64).prop_map(Step::Wait),
        3 => Just(Step::Reclassify),
        3 => Just(Step::TakeRefused),
        1 => (0..10usize).prop_map(Step::SetSlots),
        1 => Just(Step::StartCold),
        1 => Just(Step::ReduceLimit),
        1 => (0..500u64).prop_map(Step::Drain),
        2 => Just(Step::Resume),
    ]
}

fn settings() -> impl Strategy<Value = Settings> {
    let share = prop_oneof![Just(None), (0.01..=1.0f64).prop_map(Some)];
    let ageing = prop_oneof![Just(None), (0..600u64).prop_map(Some)];
    let order = prop_oneof![Just(Order::ShortFirst), Just(Order::Fifo)];
    let flags = (any::<bool>(), any::<bool>());
    (share, ageing, order, 0..20usize, 0.1..=1.0f64, flags).prop_map(
        |(
            long_share,
            ageing,
            order,
            capacity,
            max_wait_share,
            (adaptive_share, refuse_unreachable),
        )| Settings {
            long_share,
            adaptive_share,
            capacity,
            ageing: ageing.map(Duration::from_millis),
            order,
            max_wait_share,
            refuse_unreachable,
            ..Settings::default()
        },
    )
}

/// Model of the owner, which tracks the state of each admitted request.
struct Owner {
    now: Duration,
    queue: Queue<u64>,
    classifier: Classifier,
    waiting: HashMap<u64, EntryId>,
    running: Vec<(u64, Permit)>,
    next_item: u64,
    slots: usize,
    settings: Settings,
}

impl Owner {
    fn new(settings: Settings, slots: usize) -> Self {
        Self {
            now: Duration::from_secs(1),
            queue: Queue::new(
                settings.clone(),
                ConcurrencyLimit::new(limit::Settings::default(), slots),
            ),
            classifier: Classifier::new(ClassSettings::default()),
            waiting: HashMap::new(),
            running: Vec::new(),
            next_item: 0,
            slots,
            settings,
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Push {
                path,
                cost,
                deadline_ms,
            } => self.push(path, cost, deadline_ms),
            Step::Pop => self.pop(),
            Step::Finish {
                index,
                has_service_time,
            } => self.finish(index, has_service_time),
            Step::Cancel { index } => self.cancel(index),
            Step::Wait(ms) => self.now += Duration::from_millis(ms),
            Step::Reclassify => self.queue.reclassify(self.now, &mut self.classifier),
            Step::TakeRefused => self.take_refused(),
            Step::SetSlots(slots) => {
                self.slots = slots;
                self.queue.set_slots(self.now, slots);
            }
            Step::StartCold => self.queue.start_cold(self.now),
            Step::ReduceLimit => self.queue.reduce_limit(self.now),
            Step::Drain(ms) => self.queue.drain(self.now + Duration::from_millis(ms)),
            Step::Resume => self.queue.resume(),
        }
        verify(&self.queue).unwrap();
        assert_eq!(self.queue.running(), self.running.len());
        assert!(self.queue.waiting() <= self.settings.capacity);
    }

    fn push(&mut self, path: usize, cost: Option<CostClass>, deadline_ms: u64) {
        let req = Request {
            service: "library",
            method: "GET",
            path: PATHS[path],
            key_segment: None,
            is_route: false,
        };
        let class = self.classifier.classify(self.now, req);
        let deadline = self.now + Duration::from_millis(deadline_ms);
        let mut request_info = RequestInfo::new(class, deadline);
        request_info.cost = cost.unwrap_or(class.cost);
        let item = self.next_item;
        self.next_item += 1;
        match self.queue.push(self.now, request_info, item) {
            Ok(id) => assert!(self.waiting.insert(item, id).is_none()),
            Err(refused) => assert_eq!(refused.item, item, "a refusal returns its own item"),
        }
    }

    fn pop(&mut self) {
        let counts_before = (self.queue.running(), self.queue.long_running());
        let limits_before = (self.queue.slots(self.now), self.queue.long_limit(self.now));
        let Some((item, permit)) = self.queue.pop(self.now) else {
            let limit_reached =
                counts_before.0 >= limits_before.0 || counts_before.1 >= limits_before.1;
            assert!(
                limit_reached || self.queue.waiting() == 0,
                "a slot stays free although a request may start"
            );
            return;
        };
        assert!(
            counts_before.0 < limits_before.0,
            "a request started beyond the limit"
        );
        if self.queue.long_running() > counts_before.1 {
            assert!(
                counts_before.1 < limits_before.1,
                "a long request started beyond its share"
            );
        }
        let id = self
            .waiting
            .remove(&item)
            .expect("only waiting requests start");
        assert_eq!(id, permit.id());
        self.running.push((item, permit));
    }

    fn finish(&mut self, index: usize, has_service_time: bool) {
        if self.running.is_empty() {
            return;
        }
        let (_, permit) = self.running.swap_remove(index % self.running.len());
        let service_time = has_service_time.then_some(Duration::from_millis(7));
        self.queue.finish(self.now, permit, service_time);
    }

    fn cancel(&mut self, index: usize) {
        let mut items: Vec<u64> = self.waiting.keys().copied().collect();
        items.sort_unstable();
        if let Some(&item) = items.get(index) {
            let id = self.waiting[&item];
            // An expired request is already refused, and is returned by `take_refused`.
            if let Cancelled::Waiting(cancelled) = self.queue.cancel(id) {
                assert_eq!(cancelled, item);
                self.waiting.remove(&item);
            }
        }
        if let Some((_, permit)) = self.running.get(index) {
            assert_eq!(self.queue.cancel(permit.id()), Cancelled::Running);
        }
    }

    fn take_refused(&mut self) {
        for refused in self.queue.take_refused(self.now) {
            let was_waiting = self.waiting.remove(&refused.item);
            assert!(
                was_waiting.is_some(),
                "only waiting requests are refused, and only once"
            );
        }
    }

    /// Finishes all requests and checks that none is left.
    fn finish_all(&mut self) {
        self.queue.drain(self.now);
        self.now += Duration::from_secs(60);
        self.take_refused();
        while !self.running.is_empty() {
            self.finish(0, false);
        }
        assert!(self.waiting.is_empty(), "lost: {:?}", self.waiting);
        assert!(self.queue.is_idle());
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x9eed),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(600))]

    /// Guards against lost or duplicated requests, and against more running or long requests than
    /// the limits allow.
    #[test]
    fn no_request_is_lost_or_duplicated(
        settings in settings(),
        slots in 0..10usize,
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut owner = Owner::new(settings, slots);
        for step in &steps {
            owner.apply(step);
        }
        owner.finish_all();
    }

}

proptest! {
    #![proptest_config(config(60))]

    /// Guards against long requests that starve behind short ones. A long request starts within its
    /// ageing time plus one service time, regardless of the rate of short requests.
    #[test]
    fn long_request_starts_at_a_load_peak_of_short_requests(
        slots in 2..10usize,
        share in 0.1..=1.0f64,
        short_per_step in 1..20usize,
    ) {
        let settings = Settings { long_share: Some(share), capacity: 30, ..Settings::default() };
        let ageing = settings.ageing.unwrap();
        let mut queue = Queue::new(settings, ConcurrencyLimit::new(limit::Settings::default(), slots));
        let ms = Duration::from_millis;
        let mean = ms(10);
        let request_info = |cost, now| RequestInfo {
            cost,
            shape: None,
            expected: Some(ExpectedTime { mean, upper: mean }),
            deadline: now + Duration::from_secs(10), due: None, priority: 0, bytes: 0.0 };
        let mut now = ms(0);
        let mut running = Vec::new();
        queue.push(now, request_info(CostClass::Long, now), CostClass::Long).unwrap();
        let mut started = None;
        while started.is_none() && now < Duration::from_secs(5) {
            for _ in 0..short_per_step {
                let _ = queue.push(now, request_info(CostClass::Short, now), CostClass::Short);
            }
            while let Some((cost, permit)) = queue.pop(now) {
                if cost == CostClass::Long {
                    started = Some(now);
                }
                running.push(permit);
            }
            now += mean;
            for permit in running.drain(..) {
                queue.finish(now, permit, Some(mean));
            }
        }
        verify_that!(started, some(le(ageing + mean))).unwrap();
    }
}
