//! Numbers in workers' answers that no worker can mean: they change estimates, and nothing overflows.
use rstest::rstest;
use wrenseam_policy::{
    Action, AttemptResult, Controller, Endpoint, Event, Micros, NewRequest, Outcome, Settings,
    WorkerState,
};

const SECOND: Micros = 1_000_000;
/// Answers that follow one request, at most: a worker that states 0 replicas after each order is asked again.
const MAX_ANSWERS: usize = 20;

/// Answers an action; the worker states `number` replicas and requests.
fn answer(action: Action, number: u32) -> Option<Event> {
    match action {
        Action::Load {
            worker, function, ..
        } => Some(Event::LoadOrderEnded {
            worker,
            function,
            replicas: number,
            outcome: Outcome::Ok,
            elapsed: 1_000,
        }),
        Action::Send { id, .. } => Some(Event::AttemptEnded(AttemptResult {
            id,
            attempt: 0,
            outcome: Outcome::Ok,
            elapsed: 1_000,
            request_closed: true,
            replica_loaded: Some(true),
            queue_depth: Some(number),
            in_flight: None,
        })),
        _ => None,
    }
}

#[rstest]
#[case::a_usual_number(3)]
#[case::the_largest(u32::MAX)]
fn requests_are_served_whatever_numbers_workers_state(#[case] number: u32) {
    let settings = Settings {
        load_orders: true,
        ..Settings::default()
    };
    let mut controller = Controller::new(settings, 1);
    let endpoints = (0..3)
        .map(|worker| Endpoint {
            worker: format!("w{worker}"),
            state: WorkerState::Ready,
            started_at: 0,
            zone: Some(0),
            kind: 0,
            cell: Some(0),
        })
        .collect();
    let update = Event::EndpointUpdate {
        complete: true,
        endpoints,
    };
    let mut actions = Vec::new();
    controller.handle(SECOND, update, &mut actions);
    let mut served = 0;
    for id in 0..400 {
        let now = 2 * SECOND + id * 5_000;
        let request = Event::Request(NewRequest {
            id,
            class: 0,
            tenant: None,
            function: 7 + id % 2,
            time_left: SECOND,
            memory_mb: 500.0,
            concurrency: 2,
            load_time: 100_000,
            retry: false,
        });
        controller.handle(now, request, &mut actions);
        // Every other request stays open, so that the numbers are compared with requests in flight.
        for _ in 0..MAX_ANSWERS {
            let Some(action) = actions.pop() else { break };
            let is_send = matches!(action, Action::Send { .. });
            served += usize::from(is_send);
            if is_send && id % 2 == 0 {
                continue;
            }
            if let Some(event) = answer(action, number) {
                controller.handle(now + 1_000, event, &mut actions);
            }
        }
        actions.clear();
    }
    assert!(served > 100, "{served} of 400 requests sent");
}
