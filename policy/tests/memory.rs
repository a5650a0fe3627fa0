//! The policy's tables are bounded by what is in use, not by everything that a front end has seen since its start.
use wrenseam_policy::{
    Action, AttemptResult, Controller, Endpoint, Event, Micros, NewRequest, Outcome, Settings,
    WorkerState, MAX_FUNCTIONS,
};

const SECOND: Micros = 1_000_000;

fn request(id: u64, function: u64, time_left: Micros) -> Event {
    Event::Request(NewRequest {
        id,
        class: 0,
        tenant: None,
        function,
        time_left,
        memory_mb: 1.0,
        concurrency: 1,
        load_time: 0,
        retry: false,
    })
}

#[test]
fn unused_functions_and_closed_requests_are_removed() {
    let settings = Settings {
        load_orders: true,
        front_ends: 200,
        keep_alive: SECOND,
        ..Settings::default()
    };
    let mut controller = Controller::new(settings, 1);
    let mut actions = Vec::new();
    let mut now = SECOND;
    for id in 0..2_000 {
        now += 20_000;
        controller.handle(now, request(id, id, 100_000), &mut actions);
        controller.handle(now, Event::Timer { token: 0 }, &mut actions);
        for action in actions.drain(..) {
            if let Action::Timer { token, .. } = action {
                let timer = Event::Timer { token };
                controller.handle(now + 100_000, timer, &mut Vec::new());
            }
        }
    }
    // Functions are kept for four keep-alives of 0.9 s. At 50 requests per second, each for a new function, that makes
    // 180 functions.
    let sizes = controller.table_sizes();
    assert!(
        sizes.functions < 250 && sizes.function_positions < 250,
        "{sizes:?}"
    );
    assert!(sizes.requests < 10, "{sizes:?}");
}

fn endpoint(number: u64, state: WorkerState) -> Endpoint {
    Endpoint {
        worker: format!("w{number}"),
        state,
        started_at: 0,
        zone: Some(0),
        kind: 0,
        cell: Some(0),
    }
}

/// The event that answers an action, and its delay: all orders and attempts succeed. `None` if it has no answer.
fn answer(action: Action) -> Option<(Micros, Event)> {
    match action {
        Action::Load {
            worker,
            function,
            replicas,
        } => Some((
            1_000,
            Event::LoadOrderEnded {
                worker,
                function,
                replicas,
                outcome: Outcome::Ok,
                elapsed: 1_000,
            },
        )),
        Action::Send { id, .. } => Some((
            2_000,
            Event::AttemptEnded(AttemptResult {
                id,
                attempt: 0,
                outcome: Outcome::Ok,
                elapsed: 1_000,
                request_closed: true,
                replica_loaded: None,
                queue_depth: None,
                in_flight: None,
            }),
        )),
        _ => None,
    }
}

/// The event that ends an order without success, or an attempt as cancelled; `None` for other actions.
fn failure(action: Action) -> Option<Event> {
    match action {
        Action::Load {
            worker, function, ..
        } => Some(Event::LoadOrderEnded {
            worker,
            function,
            replicas: 0,
            outcome: Outcome::Error,
            elapsed: 0,
        }),
        Action::Cancel { id, attempt } => Some(Event::AttemptEnded(AttemptResult {
            id,
            attempt,
            outcome: Outcome::Cancelled,
            elapsed: 0,
            request_closed: true,
            replica_loaded: None,
            queue_depth: None,
            in_flight: None,
        })),
        _ => None,
    }
}

/// Guards against tables that grow while workers are replaced by new ones: the positions of removed workers are reused.
#[test]
fn positions_of_removed_workers_are_reused() {
    let settings = Settings {
        load_orders: true,
        ..Settings::default()
    };
    let mut controller = Controller::new(settings, 1);
    let mut actions = Vec::new();
    for step in 0..200u64 {
        let now = step * SECOND;
        let endpoints = vec![
            endpoint(step, WorkerState::Ready),
            endpoint(step.wrapping_sub(3), WorkerState::Gone),
        ];
        let update = Event::EndpointUpdate {
            complete: false,
            endpoints,
        };
        controller.handle(now, update, &mut actions);
        controller.handle(now + 1, request(step, 7, 900_000), &mut actions);
        while let Some(action) = actions.pop() {
            if let Some((delay, event)) = answer(action) {
                controller.handle(now + delay, event, &mut actions);
            }
        }
        let cancelled = Event::RequestCancelled { id: step };
        controller.handle(now + 990_000, cancelled, &mut Vec::new());
    }
    let sizes = controller.table_sizes();
    assert!(
        sizes.worker_positions < 10 && sizes.workers < 10,
        "{sizes:?}"
    );
}

/// Clients name functions, and each that is not known yet takes a record. A function that workers have served is kept
/// in preference to those that were only asked for.
#[test]
fn functions_that_clients_name_are_bounded() {
    let settings = Settings {
        load_orders: true,
        keep_alive: 8 * SECOND,
        ..Settings::default()
    };
    let mut controller = Controller::new(settings, 1);
    let mut actions = Vec::new();
    let endpoints = vec![endpoint(1, WorkerState::Ready)];
    let update = Event::EndpointUpdate {
        complete: true,
        endpoints,
    };
    controller.handle(SECOND, update, &mut actions);
    let served_function = 7;
    controller.handle(SECOND, request(0, served_function, SECOND), &mut actions);
    while let Some(action) = actions.pop() {
        if let Some((delay, event)) = answer(action) {
            controller.handle(SECOND + delay, event, &mut actions);
        }
    }
    let requests = 2 * MAX_FUNCTIONS as u64;
    for id in 1..requests {
        let now = 2 * SECOND + 100 * id;
        controller.handle(now, request(id, 1_000 + id, SECOND), &mut actions);
        controller.handle(now, Event::RequestCancelled { id }, &mut actions);
        while let Some(action) = actions.pop() {
            if let Some(event) = failure(action) {
                controller.handle(now, event, &mut actions);
            }
        }
    }
    let sizes = controller.table_sizes();
    assert!(
        sizes.functions <= MAX_FUNCTIONS && sizes.function_positions <= MAX_FUNCTIONS,
        "{sizes:?}"
    );
    // A served function's request is sent at once to the worker that has it loaded.
    let now = 2 * SECOND + 100 * requests;
    controller.handle(
        now,
        request(requests, served_function, SECOND),
        &mut actions,
    );
    assert!(
        matches!(&actions[..], [.., Action::Send { id, .. }] if *id == requests),
        "{actions:?}"
    );
}
