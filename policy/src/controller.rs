//! Every decision of a gateway. The settings, events and actions it speaks in stand in `src/interface.rs`.
//!
//! Ordinary path (docs/design.md): a request goes to a uniformly random worker among those believed warm
//! with a free lane. Finding none is a loss; losses, real and virtual, add copies where the least recently
//! lost function lies idle. Everything else below is a guard, and says what it guards against.
use crate::interface::*;
use crate::polling::Scout;
use crate::retry::{may_repeat, repeat_window, Placement};
use crate::state::*;
use crate::virtual_loss::{has_virtual_losses, theta, virtual_loss_chance};

pub(crate) const MS: Micros = 1_000;
pub(crate) const SEC: Micros = 1_000_000;
const TICK: Micros = 20 * MS; // housekeeping while requests are open: well under any aim
pub(crate) const SURVEY: Micros = 100 * MS; // period of what walks the fleet, and of idle housekeeping
const PLACES_ASKED: usize = 6; // first places of the common draw that are asked: others looked there too
const END_MARGIN: Micros = 8 * MS; // the final answer comes this long before the client leaves
pub(crate) const LONGEST: Micros = 3_600 * SEC; // longest life kept: absurd figures cannot overflow the clock
pub(crate) const ASK_WAIT: Micros = 60 * MS; // a lost request waits so long for first answers
pub(crate) const ASK_AGAIN: Micros = 4 * SEC; // no second question sooner: others' loads take much of it
/// Questions that each call earns, and how many can be saved up: a round for some tens of functions.
pub(crate) const QUESTIONS: (f64, f64) = (0.5, 600.0);
const RENEW_AT: f64 = 0.75; // share of a belief's life after which a hold renews it, to arrive in time
const RENEW_FOR: f64 = 2.0; // keep-alives after a call while the last copy is renewed: timers call so often
/// Calls at a steady distance are foreseen: this multiple of a load's time and this much more before the next
/// one a copy is held. Calls closer than the last figure are one firing.
const FORESEEN: (f64, Micros) = (1.5, 250 * MS);
const FIRING: Micros = SEC;
const RESTS: Micros = 300 * MS; // so long after a call, a function on a timer has no more of them
const FORGET: Micros = 4; // keep-alives after its last call at which a function is forgotten
pub(crate) const DEFAULT_SPAN: Micros = SEC; // keep-alive, load time and aim where none is told
const LOADS_PER_WORKER: u32 = 2; // asked of one worker at a time by us: it runs few, others ask too
/// Bounds of the cap on our loads in flight, and loads of all gateways at which the upper one lies.
pub(crate) const LOAD_CAP: (f64, f64, f64, f64) = (1.0, 8.0, 16.0, 40.0);
pub(crate) const LOAD_SLOW: f64 = 2.0; // a load this multiple of its usual time: the store is crowded
pub(crate) const PACE_KEPT: Micros = 2 * SEC; // how long a worker's last load tells how it loads
/// Most places that calls of a function are spread over at size, and the weight of an answer in their number.
const WIDEST: f64 = 8.0;
const SPREAD: f64 = 0.3;
const LANES_LEFT: f64 = 3.0; // a call that finds all lanes taken waits, or has another copy loaded: rarely so
const COPIES_PER_CALL: f64 = 0.6; // copies beyond the first for each call in flight: a core's work
/// Bounds of the span that rates are taken over.
pub(crate) const SPANS: (Micros, Micros) = (2 * SEC, 8 * SEC);
const STOOD_STILL: Micros = 2 * SURVEY; // no event for longer, timers included: this gateway stood still
const ALPHA: f64 = 0.1; // weight of a new sample in running means: about the last ten count
const BAD: f64 = 5.0; // health sample of a failed attempt, and the most one slow answer counts
const WORST: f64 = 12.0; // the same at size, where a gateway may get no second one for seconds
const SLOW: f64 = 3.5; // slow at this multiple of the median's figure: past kinds, and a few lost answers
const HEALTH_FADE: f64 = 6.0 * SEC as f64; // without news health returns to 1 with this time constant
const SILENT: f64 = 9.0; // an attempt out for this multiple of its expected time with nothing heard
/// Where two copies may run at once and a connection broke or was spoilt within this time, answers get lost
/// as well; where answers take less than this part of the aims there is room: an attempt then gets a second
/// one after this multiple of its expected time, and part of its aim.
const HEDGE: (Micros, f64, f64, f64) = (5 * SEC, 0.2, 4.0, 0.5);
pub(crate) const TRIAL_GAP: Micros = SEC; // trial calls and questions to a suspect keep this distance
/// At size the distance doubles with each question in vain, so many times, and is left to chance by half.
pub(crate) const TRIALS: u32 = 3;
/// Crowded: this multiple of the mean held, and this many more. Few gateways see most of what a worker holds
/// themselves: there whoever holds more than the mean is passed over, as calls in line come late.
const CROWDED: (f64, f64) = (1.25, 0.75);
const CROWDED_FEW: (f64, f64) = (1.0, 0.25);
const FEW: u32 = 16; // gateways
pub(crate) const REPORT_FADE: (f64, f64) = (2.0 * SEC as f64, 15.0 * SEC as f64); // our calls come round
const FULL_WAIT: Micros = SEC / 5; // a worker that is full is left for this long, twice as long each time
const WHOLE: (Option<usize>, usize) = (None, usize::MAX); // in place of tenant and class: all calls
/// What a worker with room turns away stays away so long, first and at most: calls come round within it.
const AWAY: (Micros, Micros) = (5 * SEC, 20 * SEC);
/// Requests out at each worker, over all gateways, below which nothing is refused: about one a core.
pub(crate) const CROWD: f64 = 4.0;
/// Multiples of the mean aim beyond which the time from send to answer refuses: traffic beyond a share, the
/// class that earns least a unit of time, the one that earns most.
const REFUSE: (f64, f64, f64) = (0.6, 0.8, 1.3);
const ANSWERS: f64 = 0.05; // weight of an answer in the time that answers take of late
const QUEUED: f64 = 2.0; // most that the time of those to come is taken for, as a multiple of it
const HELD_PART: f64 = 0.45; // part of its life that a request waits with no attempt made
const TURNED_AWAY: usize = 3; // attempts that never ran after which nobody is asked again
const UNPROVEN_ERRORS: u32 = 2; // errors after which calls of a function never served here end
const RETRY_SHARE: f64 = 0.15; // further attempts earned by a request: bounds what they add to overload

impl Controller {
    /// Takes one event at clock time `now` and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.ticks == 0 {
            self.ticks = 1;
            out.push(Action::Timer {
                delay: TICK,
                token: 0,
            });
            out.extend(self.set.watch_endpoints.then_some(Action::WatchEndpoints));
        }
        let now = now.min(u64::MAX / 4);
        if now > self.last_event + STOOD_STILL {
            self.woke = now;
        }
        self.last_event = now;
        match event {
            Event::EndpointUpdate {
                complete: full,
                endpoints: entries,
            } => self.members(now, full, entries, out),
            Event::Request { id, .. } if self.requests.contains_key(&id) => {}
            Event::Request { .. } => self.request(now, event, out),
            Event::AttemptEnded { .. } => self.outcome(now, event, out),
            Event::RequestCancelled { id } => self.withdrawn(id, out),
            Event::Timer { token: 0 } => {
                self.tick(now, out);
                let delay = if self.requests.is_empty() {
                    SURVEY
                } else {
                    TICK
                };
                out.push(Action::Timer { delay, token: 0 });
            }
            Event::Timer { token } => {
                let id = token >> 1;
                if self.requests.get(&id).is_some_and(|r| now >= r.ends) {
                    self.finish(id, out);
                }
            }
            Event::LoadOrderEnded {
                worker,
                function,
                replicas: count,
                outcome,
                elapsed,
            } => {
                let known = (
                    self.worker_ids.get(&worker),
                    self.function_ids.get(&function),
                );
                if let (Some(&w), Some(&f)) = known {
                    self.loaded(now, w, f, (count, outcome, elapsed), out);
                }
            }
        }
    }

    // ---- the list of workers

    fn members(&mut self, now: Micros, full: bool, entries: Vec<Endpoint>, out: &mut Vec<Action>) {
        let (started, emptied) = self.listed(now, full, entries);
        for w in started {
            // A new process: past health says nothing, it holds no copy, and nothing is saved up for it.
            let worker = &mut self.workers[w];
            (worker.dead, worker.slow, worker.health, worker.errors) =
                (false, false, 1.0, (0.0, 0));
            (worker.report, worker.trials) = (None, 0);
            worker.cold.started();
            self.zones.back(worker.entry.zone);
        }
        emptied.into_iter().for_each(|w| self.void(w));
        self.retry_held(None, now, out);
    }

    /// A refused or lost connection: the worker leaves the choice until it answers a question. Its copies
    /// stay believed until then, as only the connection may have broken.
    fn died(&mut self, w: usize, now: Micros) {
        // At size a question in vain does not bring the next one nearer.
        if !(self.many() && self.workers[w].dead) {
            self.workers[w].next_trial = now + TRIAL_GAP / 4;
        }
        self.workers[w].dead = true;
    }

    /// Guards against a worker that turns calls away. If it holds no more than others it picks by tenant or
    /// class: that pair stays away, others are served. Else (full, or draining before the list tells) all do.
    fn turned_away(&mut self, w: usize, pair: (Option<usize>, usize), now: Micros) {
        let picks = self.reports && !self.crowded(w, now);
        let (key, span) = if picks {
            (pair, AWAY)
        } else {
            (WHOLE, (FULL_WAIT, AWAY.0))
        };
        let block = self.workers[w].blocks.entry(key).or_default();
        block.1 = (block.1 * 2).clamp(span.0, span.1);
        block.0 = now + block.1;
    }

    /// A connection broke. It may be the process, which then holds nothing once it is back: it is asked.
    fn doubt(&mut self, w: usize, now: Micros) {
        let worker = &mut self.workers[w];
        (worker.reset, worker.doubted, self.last_reset) = (now, true, now);
        worker.next_trial = now + TRIAL_GAP / 4;
    }

    /// Whether a worker may be sent a call of this class now. Rule 3: drains are kept from the moment of the
    /// news. Rule 4: a cold worker gets only what its budget allows. Suspects only get trial calls, unless
    /// most of the fleet looks bad: then the judgement is at fault, not the fleet.
    pub(crate) fn usable(&self, w: usize, class: usize, now: Micros) -> bool {
        let worker = &self.workers[w];
        let broke =
            self.cold_share(w, now).is_some() && !worker.cold.admits(now, self.weight(class));
        let safe = self.set.classes[class].idempotency == Idempotency::Idempotent;
        let trial = safe
            && !worker.dead
            && !self.zone_lost(w)
            && worker.out.is_empty()
            && now >= worker.next_trial;
        worker.ready() && !broke && (!self.suspect(w) || trial)
    }

    pub(crate) fn suspect(&self, w: usize) -> bool {
        !self.distrust && (self.workers[w].dead || self.workers[w].slow || self.zone_lost(w))
    }

    fn zone_lost(&self, w: usize) -> bool {
        self.zones.lost(self.workers[w].entry.zone)
    }

    /// Guards against piling up on a worker that others fill or that is weak: it holds more than the mean.
    fn crowded(&self, w: usize, now: Micros) -> bool {
        let few = (2..=FEW).contains(&self.set.front_ends);
        let bound = if few { CROWDED_FEW } else { CROWDED };
        self.held_at(w, now) * self.workers[w].health > self.mean_held * bound.0 + bound.1
    }

    // ---- requests

    fn request(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let Event::Request {
            id,
            class,
            tenant,
            function,
            time_left: left,
            memory_mb,
            concurrency: lanes,
            load_time,
            retry,
        } = event
        else {
            return;
        };
        let class = class.min(self.set.classes.len() - 1);
        let sane = |v: f64, other: f64| if v.is_finite() && v > 0.0 { v } else { other };
        let (f, new) = self.slot(function);
        if new {
            let (service, load_time) = (self.class_service[class], load_time.min(LONGEST) as f64);
            self.functions[f] = Function {
                id: function,
                service,
                load_time,
                ..Function::default()
            };
        }
        self.latest = f;
        let told = &mut self.functions[f];
        (told.memory, told.lanes) = (sane(memory_mb, told.memory), lanes.clamp(1, 1024));
        let past = now.saturating_sub(told.last_call) as f64;
        told.calls = told.calls * (-past / SPANS.1 as f64).exp() + 1.0;
        if !retry && now > told.last_call + FIRING {
            told.fires(now);
        }
        (told.class, told.last_call) = (class, now);
        let life = self.belief(f);
        for c in self.functions[f].at.values_mut().filter(|c| c.count > 0) {
            c.expires = c.expires.max(c.seen + life);
        }
        // Guards the ration: calls of what no worker knows earn none, as only calls of usual clients count.
        self.took(f, now);
        self.retries = (self.retries + RETRY_SHARE).min(20.0);
        self.questions = (self.questions + QUESTIONS.0).min(QUESTIONS.1);
        let left = left.min(LONGEST);
        let ends = now + left.saturating_sub(END_MARGIN);
        let tenant = tenant.filter(|&t| t < self.tenant_rate.len());
        tenant.into_iter().for_each(|t| self.tenant_rate[t] += 1.0);
        let (function, arrived, [lost, done, risk], errors, attempts) =
            (f, now, [false; 3], 0, Vec::new());
        let r = Request {
            function,
            class,
            tenant,
            arrived,
            ends,
            retry,
            lost,
            done,
            risk,
            errors,
            attempts,
        };
        self.requests.insert(id, r);
        if left <= END_MARGIN
            || self.hopeless(id, left, now)
            || self.overloaded(class, tenant, left, f)
        {
            return self.finish(id, out);
        }
        // Rule 1: whatever else happens, this timer ends the request in time.
        out.push(Action::Timer {
            delay: ends - now,
            token: id << 1 | 1,
        });
        if self.virtual_loss(f, now) {
            self.functions[f].last_lost = now;
            self.add_copy(f, now, None, out);
        }
        self.place(now, id, out);
    }

    /// Guards against queueing to death: what is here now takes longer than the aims at the pace of late.
    /// What earns least goes first: traffic beyond a tenant's share, then the class of least worth a unit of
    /// time. Not acted on while little is out or the pace is not known yet.
    fn overloaded(&self, class: usize, tenant: Option<usize>, left: Micros, f: usize) -> bool {
        // What workers report tells of all gateways; else all are taken to have as much out as we have.
        let held =
            self.backlog * f64::from(self.set.front_ends.max(1)) / self.ready.len().max(1) as f64;
        if if self.reports { self.mean_held } else { held } < CROWD || self.ticks < 100 {
            return false;
        }
        // What waits for loads is out too, but is no queue: answers of calls that found a copy tell.
        let wait =
            (self.backlog / self.served_rate.max(0.1) * SEC as f64).min(QUEUED * self.answer_time);
        let doomed = (left as f64) < self.functions[f].service; // its client leaves first: work for nothing
        let over = tenant.is_some_and(|t| self.over_share(t));
        let told = &self.set.classes[..self.set.classes.len() - 1];
        let density = |c: usize| self.set.classes[c].priority_weight / self.class_service[c];
        let worse = (0..told.len())
            .filter(|&c| density(c) < density(class) / 1.2)
            .count();
        let rank = worse as f64 / (told.len() as f64 - 1.0).max(1.0);
        let bound = if over {
            REFUSE.0
        } else {
            REFUSE.1 + (REFUSE.2 - REFUSE.1) * rank
        };
        doomed || wait > bound * self.mean_aim()
    }

    /// The design's virtual loss: probability (min z*/z*) 1(Z <= z*) q(Z), while theta >= 1, D > 0, z* >= 1.
    fn virtual_loss(&mut self, f: usize, now: Micros) -> bool {
        let theta = theta(self.busy, self.instances);
        let (d, lambda) = self.counts(&self.functions[f], now);
        let z_star = (d as f64 - lambda) / theta;
        if !has_virtual_losses(d, theta, z_star) {
            return false;
        }
        let least = self.least_star.min(z_star);
        let z = self.free_workers(f, now).len();
        let Some(p) = virtual_loss_chance(d, z, lambda, theta, z_star, least) else {
            return false;
        };
        (self.random() as f64) < p * 2f64.powi(32)
    }

    fn free_workers(&self, f: usize, now: Micros) -> Vec<usize> {
        let function = &self.functions[f];
        let free = |(&w, c): (&usize, &Copy)| {
            let ok =
                c.warm(now) && c.free(now, function.lanes) && self.usable(w, function.class, now);
            (ok && !self.crowded(w, now)).then_some(w)
        };
        function.at.iter().filter_map(free).collect()
    }

    /// Where a request may go. Rule 2 is kept by `may_repeat`. Nothing goes back to where it failed.
    pub(crate) fn allowed(&self, id: RequestId, w: usize, now: Micros) -> bool {
        let r = &self.requests[&id];
        let blocked = |key| self.workers[w].blocks.get(&key).is_some_and(|b| now < b.0);
        if blocked((r.tenant, r.class)) || blocked(WHOLE) {
            return false;
        }
        if r.attempts
            .iter()
            .any(|a| a.worker == w && (a.open || a.may_have_run))
        {
            return false;
        }
        may_repeat(
            r,
            &self.set.classes[r.class],
            Placement::of(&self.workers[w].entry),
            now,
        )
    }

    /// Sends a request, or leaves it held until a copy is due, or ends it if nothing more can be done.
    fn place(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done) else {
            return;
        };
        let (f, class, lost, retry) = (r.function, r.class, r.lost, r.retry);
        if r.attempts.iter().any(|a| a.open) {
            return;
        }
        let ran = r.attempts.iter().any(|a| a.may_have_run);
        // Guards against a call for nobody: the attempt's time-out may come just before the request's timer.
        if now >= r.ends
            || r.attempts.iter().filter(|a| !(a.open || a.may_have_run || a.missed)).count() >= TURNED_AWAY
            || r.attempts.len() as u32 >= self.set.max_attempts
            || ran && self.set.classes[class].idempotency == Idempotency::NotIdempotent
            // Guards workers against calls that none of them can use: each answers them with an error.
            || r.errors >= UNPROVEN_ERRORS && !self.functions[f].proven
        {
            return self.finish(id, out);
        }
        let mut free = self.free_workers(f, now);
        free.retain(|&w| self.allowed(id, w, now));
        let most = self.spread(f);
        let mut homes = self.homes(f, id, now, most);
        // Whoever has just started holds nothing, and would have to load what stands elsewhere.
        homes.retain(|&w| free.is_empty() || self.cold_share(w, now).is_none());
        free.extend(homes);
        if let Some(w) = self.pick(&free) {
            // Exception, while several gateways share the workers: others' requests in flight take lanes too.
            // If they are as many as ours of late, all lanes that we know of are taken: a loss we cannot see.
            let (service, lanes) = (
                self.functions[f].service,
                f64::from(self.functions[f].lanes),
            );
            let known = self.functions[f]
                .at
                .values()
                .filter(|c| c.warm(now))
                .count() as f64;
            if self.set.front_ends > 1
                && !(lost || retry)
                && self.fleet_calls(f, service) > known * lanes
            {
                self.functions[f].last_lost = now;
                self.add_copy(f, now, Some(id), out);
            }
            return self.send(now, id, w, out);
        }
        let fresh = !(lost || retry); // a marked repeat is not a fresh loss: the first try has been counted
        if fresh {
            self.functions[f].last_lost = now;
        }
        self.requests.entry(id).and_modify(|r| r.lost = true);
        let at = &self.functions[f].at;
        let fits = |w: &usize| self.usable(*w, class, now) && self.allowed(id, *w, now);
        // Ties go to the least held by all accounts: at size ours are mostly none.
        let load = |w: usize, c: &Copy| {
            (
                c.ours,
                (self.held_at(w, now) * self.workers[w].health * 16.0) as u64,
            )
        };
        let warm = at
            .iter()
            .filter(|(w, c)| c.warm(now) && fits(w))
            .map(|(&w, c)| (load(w, c), w));
        if let Some((_, w)) = warm.min() {
            if fresh {
                self.add_copy(f, now, Some(id), out);
            }
            return self.send(now, id, w, out);
        }
        if let Some(&w) = self.homes(f, id, now, PLACES_ASKED).first() {
            return self.send(now, id, w, out);
        }
        // Guards against holding a request back until nobody can use its answer: with no attempt made by
        // then, a refusal while the client has time to try again is worth more than a place in the queue.
        // Also workers and the ration against calls of what no worker knows: orders to load it fail at once.
        let (r, g) = (&self.requests[&id], &self.functions[f]);
        let old = now.saturating_sub(r.arrived) as f64 > HELD_PART * (r.ends - r.arrived) as f64;
        if old && r.attempts.iter().all(|a| a.missed)
            || g.errors.0 >= UNPROVEN_ERRORS && now < g.errors.1 + ASK_AGAIN
        {
            return self.finish(id, out);
        }
        if !self.functions[f].held.contains(&id) {
            self.functions[f].held.push_back(id);
            self.waiting.insert(f);
        }
        match self.scout(f, id, now) {
            Scout::Send(w) => return self.send(now, id, w, out),
            Scout::Wait => return,
            Scout::Ask if self.ask(f, now, out) => return,
            Scout::Ask | Scout::Load => {}
        }
        let waiting = self.functions[f].held.len() as u32;
        let function = &self.functions[f];
        let pending = function.at.values().filter(|c| c.loading()).count() as u32;
        if waiting > pending * function.lanes.max(2)
            && !self.add_copy(f, now, Some(id), out)
            && pending == 0
        {
            // No order may be given (ration, cap or site): where calls load by themselves, this one does.
            let may = self.set.load_on_demand && f64::from(self.loads_out) < self.load_cap;
            if let Some(w) = may.then(|| self.target(f, now, Some(id))).flatten() {
                self.send(now, id, w, out);
            }
        }
    }

    /// The most that one slow answer counts: at size few more come in time to make sure.
    fn worst(&self) -> f64 {
        [BAD, WORST][usize::from(self.many())]
    }

    pub(crate) fn many(&self) -> bool {
        self.set.front_ends > FEW
    }

    /// Exception, where many gateways share the workers: each sees too little of a function to know where it
    /// stands, and a hundred that ask cost more than they learn. All draw alike, so the first places that may
    /// be used are where others' calls go: ours go there too, and their answers tell. So many at most,
    /// of which no copy is known yet.
    fn homes(&mut self, f: usize, id: RequestId, now: Micros, most: usize) -> Vec<usize> {
        if !self.many() || !self.set.load_on_demand {
            return Vec::new();
        }
        let (places, g) = (self.places(f), &self.functions[f]);
        let fits = |w: &usize| {
            self.usable(*w, g.class, now)
                && !self.suspect(*w)
                && now >= self.workers[*w].full_until
                && self.allowed(id, *w, now)
        };
        let homes = places.into_iter().filter(fits).take(most);
        homes
            .filter(|w| g.at.get(w).is_none_or(|c| !c.warm(now) && c.ours < g.lanes))
            .collect()
    }

    /// How many places calls of a function are spread over: more, the more calls of all gateways its workers
    /// held when ours came. What is between two numbers is left to chance.
    fn spread(&mut self, f: usize) -> usize {
        let width = self.functions[f].width;
        if width <= 1.0 {
            return 1;
        }
        (width + self.random() as f64 / 2f64.powi(32)) as usize
    }

    fn send(&mut self, now: Micros, id: RequestId, w: usize, out: &mut Vec<Action>) {
        let r = &self.requests[&id];
        let function = &self.functions[r.function];
        let unknown = function
            .at
            .get(&w)
            .is_none_or(|c| !c.warm(now) && !c.holding());
        let cold = unknown && self.set.load_on_demand;
        let load = if unknown {
            function.load_time.max(DEFAULT_SPAN as f64)
        } else {
            0.0
        };
        let expected = function.service.max(10.0 * MS as f64) + load;
        let (timeout, class) = (r.ends.saturating_sub(now).max(MS), r.class);
        let window = repeat_window(r, &self.set.classes[class], now);
        self.sent(now, id, w, cold, expected);
        let weight = self.cold_share(w, now).map(|_| self.weight(class));
        let worker = &mut self.workers[w];
        weight
            .into_iter()
            .for_each(|weight| worker.cold.spend(now, weight));
        worker.next_trial = now + TRIAL_GAP;
        out.push(Action::Send {
            id,
            worker: worker.entry.worker.clone(),
            timeout,
            retry_window: window,
        });
    }

    /// The one final answer: refused where nothing can have run, failed otherwise. What is still out is
    /// called off, so that workers that can stop do.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done) else {
            return;
        };
        let ran = r.attempts.iter().any(|a| a.may_have_run);
        let retry_after = self.set.max_retry_after / 2;
        out.push(if ran {
            Action::Fail { id }
        } else {
            Action::Reject { id, retry_after }
        });
        self.close(id, out);
    }

    fn outcome(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let Event::AttemptEnded {
            id,
            attempt,
            outcome,
            elapsed,
            request_closed: closed,
            replica_loaded: warm,
            queue_depth: crowd,
            in_flight: inflight,
        } = event
        else {
            return;
        };
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| a.open) else {
            return;
        };
        a.open = false;
        (a.may_have_run, a.missed) = (
            !outcome.proves_not_executed(),
            outcome == Outcome::NotLoaded,
        );
        r.errors += u32::from(outcome == Outcome::Error);
        let (w, f, a, pair) = (a.worker, r.function, a.clone(), (r.tenant, r.class));
        self.workers[w].out.remove(&(a.sent, id, attempt));
        let fresh_process = a.sent < self.workers[w].entry.started_at;
        let until = now + self.belief(f);
        let c = self.functions[f].at.get_mut(&w).expect("sent there");
        c.ours -= 1;
        c.cold_sends -= u32::from(a.cold);
        self.loads_out -= u32::from(a.cold);
        if self.workers[w].ready() && !fresh_process {
            match outcome {
                Outcome::Ok => {
                    self.workers[w]
                        .blocks
                        .retain(|&key, _| key != pair && key != WHOLE);
                    (c.count, c.expires, c.seen) = (c.count.max(1), c.expires.max(until), now);
                }
                Outcome::NotLoaded => c.count = 0,
                _ => {}
            }
            if outcome == Outcome::Rejected || outcome == Outcome::Ok && warm != Some(false) {
                let held = f64::from(crowd.unwrap_or(0));
                let g = &mut self.functions[f];
                let width = g.width.max(1.0);
                let each = COPIES_PER_CALL.max(LANES_LEFT / f64::from(g.lanes));
                let wanted = (1.0 + each * held * width).min(WIDEST);
                g.width = width + SPREAD * (wanted - width);
            }
            let c = self.functions[f].at.get_mut(&w).expect("sent there");
            if let Some(n) = crowd {
                c.others = (now, n.saturating_sub(a.ours_then.saturating_sub(1)));
            }
        }
        if outcome == Outcome::Rejected {
            self.turned_away(w, pair, now);
        }
        if let Some(held) = inflight.filter(|h| h.is_finite()) {
            self.workers[w].report = Some((now, held.max(0.0), self.workers[w].out.len()));
            self.reports = true;
        }
        if !fresh_process {
            let loaded = warm.map_or(a.cold, |warm| !warm);
            self.judge(now, f, &a, outcome, elapsed, loaded);
        }
        self.served += f64::from(u8::from(outcome == Outcome::Ok));
        (outcome == Outcome::Ok).then(|| self.proved(id, f));
        match closed || self.requests[&id].done {
            true => self.close(id, out),
            false => self.place(now, id, out),
        }
        self.retry_held(Some(f), now, out);
    }

    /// One running figure of how a worker does against what was expected: slow answers, errors, time-outs,
    /// resets, rejections and silence raise it, whatever their cause.
    fn judge(
        &mut self,
        now: Micros,
        f: usize,
        a: &Attempt,
        outcome: Outcome,
        elapsed: Micros,
        loaded: bool,
    ) {
        let (w, class, mut sample) = (a.worker, self.functions[f].class, None);
        match outcome {
            Outcome::ConnectFailed | Outcome::Reset => {
                self.zones.mute(self.workers[w].entry.zone, w, now, elapsed)
            }
            Outcome::Ok | Outcome::Rejected | Outcome::Error | Outcome::NotLoaded => {
                self.zones.heard(self.workers[w].entry.zone, now);
            }
            _ => {}
        }
        // Where a copy was not known and stood all the same, no load was in the way.
        let expected = if a.cold && !loaded {
            self.functions[f].service
        } else {
            a.expected
        };
        let expected = expected.max(10.0 * MS as f64);
        match outcome {
            Outcome::Ok => {
                (self.workers[w].heard, self.workers[w].dead) = (now, false);
                self.workers[w].served();
                if !loaded {
                    let e = elapsed as f64;
                    let ratio = (e / expected).min(self.worst());
                    sample = Some(ratio);
                    if !self.reports {
                        // Of a fleet that reports no load, the time an answer took stands for what is held.
                        let worker = &mut self.workers[w];
                        let before = worker.report.map_or(1.0, |r| r.1);
                        worker.report =
                            Some((now, (before + ratio.min(BAD)) / 2.0, worker.out.len()));
                    }
                    self.paces[class].took(now, e);
                    self.answer_time += ANSWERS * (e - self.answer_time);
                    let function = &mut self.functions[f];
                    function.service += ALPHA * (e.min(expected * BAD) - function.service);
                    let mean = &mut self.class_service[class];
                    *mean += ALPHA / 2.0 * (e.min(expected * BAD) - *mean);
                }
                self.work_done += self.class_service[class];
            }
            // Of a function never served here the error may lie with the call: no worker is accused.
            Outcome::Error if !self.functions[f].proven => {}
            Outcome::Error | Outcome::Timeout if !a.called_off => {
                sample = Some(BAD);
                self.workers[w].erred(outcome == Outcome::Error, now);
            }
            // Guards against a worker that loses answers: what was given up had taken at least so long.
            Outcome::Cancelled if (!loaded || self.many()) && elapsed as f64 > a.expected => {
                sample = Some((elapsed as f64 / a.expected).min(self.worst()));
            }
            Outcome::ConnectFailed => {
                self.died(w, now);
                sample = Some(BAD);
            }
            // Connections end though the process lives: if it does not, the next one is refused. All that was
            // open on one counts once, or a single spoilt answer would cost a sound worker its calls.
            Outcome::Reset if now > self.workers[w].reset + TICK => {
                self.doubt(w, now);
                sample = Some(BAD);
            }
            _ => {}
        }
        // Guards against accusing workers of our own stand-still.
        if now < self.woke + TICK {
            sample = None;
        }
        // A sign weighs more, and below lasts longer, where our calls come round to a worker seldom.
        let weight = 2.0 * ALPHA * (self.fade / REPORT_FADE.0).clamp(1.0, 2.5);
        let health = &mut self.workers[w].health;
        *health += weight * (sample.unwrap_or(*health) - *health);
    }

    /// Housekeeping: further attempts and held requests; now and then the figures of the fleet.
    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.ticks = self.ticks.saturating_add(1);
        if now >= self.surveyed + SURVEY {
            let past = if self.surveyed == 0 {
                SURVEY
            } else {
                now - self.surveyed
            };
            self.surveyed = now;
            self.survey(now, past, out);
        }
        self.second_attempts(now, out);
        self.retry_held(None, now, out);
    }

    /// Figures of the fleet over the span since the last time, silence, trials, renewals.
    fn survey(&mut self, now: Micros, past: Micros, out: &mut Vec<Action>) {
        let window = self.set.load_budget_window;
        while self
            .taken
            .front()
            .is_some_and(|&t| t + window.max(SPANS.1) < now)
        {
            self.taken.pop_front();
        }
        let ready = std::mem::take(&mut self.ready);
        self.figures(now, past, &ready);
        self.accounts(now, &ready);
        let mut bad = 0;
        for &w in &ready {
            let worker = &mut self.workers[w];
            worker.health +=
                (past as f64 / HEALTH_FADE.max(self.fade)).min(1.0) * (1.0 - worker.health);
            worker.slow = worker.health > SLOW * self.median_health || worker.fails();
            if let Some(&(sent, id, n)) = worker.out.first() {
                let expected = self
                    .requests
                    .get(&id)
                    .map_or(0.0, |r| r.attempts[n].expected);
                let quiet = now.saturating_sub(sent.max(worker.heard).max(self.woke)) as f64;
                // Only answers to calls count: a stalled worker may still answer orders.
                if quiet > SILENT * expected.max(50.0 * MS as f64) {
                    worker.health = worker.health.max(BAD * self.median_health);
                }
            }
            bad += usize::from(worker.dead || worker.slow);
        }
        self.distrust = bad * 2 > ready.len();
        if now >= self.logged + 10 * SEC && (bad * 10 > ready.len() || self.load_cap < 2.0) {
            self.logged = now;
            let text = format!(
                "{bad} of {} workers look bad; load cap {:.0}",
                ready.len(),
                self.load_cap
            );
            out.push(Action::Log { text });
        }
        self.trials(now, &ready, out);
        self.ready = ready;
        self.renew(now, out);
        self.foresee(now, out);
        self.forget(now.saturating_sub(FORGET * self.keep()));
    }

    /// How long until a suspect is asked again. Guards a worker that is gone, or just back, from questions of
    /// a hundred gateways in step.
    fn trial_gap(&mut self, w: usize) -> Micros {
        if !self.many() {
            return TRIAL_GAP;
        }
        let trials = self.workers[w].trials;
        self.workers[w].trials += 1;
        let gap = TRIAL_GAP << trials.min(TRIALS);
        gap / 2 + ((gap * self.random()) >> 32)
    }

    /// Asks a suspect that gave no answer about a function it last held: an answer brings it back.
    fn trials(&mut self, now: Micros, ready: &[usize], out: &mut Vec<Action>) {
        for &w in ready {
            if !self.workers[w].in_doubt()
                || now < self.workers[w].next_trial
                || !self.set.load_orders
            {
                continue;
            }
            let zone = self.workers[w].entry.zone;
            if self.zones.lost(zone) && !self.zones.may_ask(zone, now, TRIAL_GAP) {
                continue;
            }
            self.workers[w].next_trial = now + self.trial_gap(w);
            let quiet = |f: &usize| {
                self.functions[*f]
                    .at
                    .get(&w)
                    .is_none_or(|c| c.order.is_none())
            };
            let held = self.workers[w]
                .holds
                .iter()
                .copied()
                .chain([self.latest])
                .filter(quiet);
            let warm = |f: usize| self.functions[f].at.get(&w).is_some_and(|c| c.warm(now));
            let known = held.filter(|&f| self.functions.get(f).is_some_and(|g| g.last_call > 0));
            if let Some(f) = known.max_by_key(|&f| (warm(f), self.functions[f].last_call)) {
                self.copy(f, w).order = Some(Order::Ask(now));
                out.push(self.order(f, w, 0));
            }
        }
    }

    /// Guards against waiting out a worker that will not answer: a repeatable request whose attempt is long
    /// overdue, or sits at a suspect, goes to a free warm worker as well, or instead where two at once are
    /// forbidden (it is called off first, and placed again when that is confirmed).
    fn second_attempts(&mut self, now: Micros, out: &mut Vec<Action>) {
        let lossy = self.last_reset > 0 && now < self.last_reset + HEDGE.0;
        let hedge = self.set.hedging && (lossy || self.answer_time < HEDGE.1 * self.mean_aim());
        let overdue = |(&id, r): (&RequestId, &Request)| {
            let a = r
                .attempts
                .last()
                .filter(|a| a.open && !r.done && !a.called_off)?;
            let only = r.attempts.iter().filter(|a| a.open).count() == 1;
            let worker = &self.workers[a.worker];
            let aim = self.set.classes[r.class].latency_objective as f64;
            let patience = match () {
                () if worker.dead || worker.slow => 1.5 * a.expected,
                () if hedge => (HEDGE.2 * a.expected).max(HEDGE.3 * aim),
                () => f64::INFINITY,
            };
            let waited = now.saturating_sub(a.sent.max(self.woke)) as f64;
            let late = waited > patience.min(SILENT * a.expected);
            let limit = (r.attempts.len() as u32) < self.set.max_attempts;
            (only
                && late
                && limit
                && self.set.classes[r.class].idempotency != Idempotency::NotIdempotent)
                .then_some(id)
        };
        let ids: Vec<RequestId> = self.requests.iter().filter_map(overdue).collect();
        for id in ids {
            let f = self.requests[&id].function;
            let mut free = self.free_workers(f, now);
            free.retain(|&w| self.allowed(id, w, now));
            if free.is_empty() || self.retries < 1.0 {
                continue;
            }
            if self.set.hedging {
                self.pick(&free)
                    .into_iter()
                    .for_each(|w| self.send(now, id, w, out));
            } else if let Some(r) = self.requests.get_mut(&id).filter(|_| self.set.cancellation) {
                let attempt = r.attempts.len() - 1;
                r.attempts[attempt].called_off = true;
                out.push(Action::Cancel { id, attempt });
            }
            self.retries -= 1.0;
        }
    }

    /// Places the held requests of one function, or all, again.
    fn retry_held(&mut self, only: Option<usize>, now: Micros, out: &mut Vec<Action>) {
        self.held(only)
            .into_iter()
            .for_each(|id| self.place(now, id, out));
    }

    /// Learns before loading: asks ready workers whether the function stands there. True while answers are
    /// awaited. Guards against a (re)started gateway loading what others have loaded already.
    fn ask(&mut self, f: usize, now: Micros, out: &mut Vec<Action>) -> bool {
        let most = if self.set.front_ends > 1 {
            PLACES_ASKED
        } else {
            usize::MAX
        };
        let places = self.places(f);
        let open = |&w: &usize| self.set.load_orders && self.workers[w].ready() && !self.suspect(w);
        let places: Vec<usize> = places.into_iter().filter(open).take(most).collect();
        let mut awaited = false;
        for w in places {
            let left = self.questions >= 1.0;
            let c = self.copy(f, w);
            if let Some(Order::Ask(t)) = c.order {
                awaited |= now < t + ASK_WAIT;
            } else if left
                && c.order.is_none()
                && !c.warm(now)
                && c.asked.is_none_or(|t| now >= t + ASK_AGAIN)
            {
                (c.order, c.asked) = (Some(Order::Ask(now)), Some(now));
                self.questions -= 1.0;
                out.push(self.order(f, w, 0));
                awaited = true;
            }
        }
        awaited
    }

    /// Rule 5, and a reserve of it for real losses: may another load be ordered now?
    fn rationed(&mut self, now: Micros, spare: bool) -> bool {
        let window = self.set.load_budget_window;
        if window == 0 {
            return false;
        }
        while self
            .ordered
            .front()
            .is_some_and(|&t| t + window + END_MARGIN < now)
        {
            self.ordered.pop_front();
        }
        let taken = self
            .taken
            .iter()
            .rev()
            .take_while(|&&t| t + window > now + END_MARGIN)
            .count();
        let allowed = self.set.load_budget_base + self.set.load_budget_per_request * taken as f64;
        (self.ordered.len() + 1) as f64 > if spare { allowed / 2.0 } else { allowed }
    }

    /// A loss's answer: one more copy, unless our loads are at their cap or one is on its way already.
    fn add_copy(
        &mut self,
        f: usize,
        now: Micros,
        lost: Option<RequestId>,
        out: &mut Vec<Action>,
    ) -> bool {
        let ahead = lost.is_none();
        let cap = if ahead {
            self.load_cap / 2.0
        } else {
            self.load_cap
        };
        let function = &self.functions[f];
        let pending = function
            .at
            .values()
            .any(|c| c.holding() || c.cold_sends > 0);
        // Exception, while several gateways share the workers: each answers the same losses, and together
        // they would load more copies than memory holds and unload each other's. So calls in flight, taken
        // over all gateways, bound the copies that we know of.
        let known = self.counts(function, now).0 as f64;
        let bound = 1.0 + (COPIES_PER_CALL * self.fleet_calls(f, function.service)).round();
        let enough = self.set.front_ends > 1 && known >= bound;
        let full = f64::from(self.loads_out) + 1.0 > cap || enough;
        if !self.set.load_orders
            || full
            || (pending && function.held.is_empty())
            || self.rationed(now, ahead)
        {
            return false;
        }
        let Some(w) = self.target(f, now, lost) else {
            return false;
        };
        self.make_room(f, w, now, out);
        let c = self.copy(f, w);
        let count = if c.warm(now) {
            (c.count + 1).min(16)
        } else {
            1
        };
        self.hold(f, w, count, now, out);
        true
    }

    /// Where a new copy goes: a random worker on which the least recently lost function lies idle, else any.
    /// A slot once given away is passed over until its function is used again, as if it had been evicted.
    fn target(&mut self, f: usize, now: Micros, id: Option<RequestId>) -> Option<usize> {
        let (class, places) = (self.functions[f].class, self.places(f));
        let slowly = |w: &Worker| now < w.load_pace.0 + PACE_KEPT && w.load_pace.1 > LOAD_SLOW;
        let fits = |w: usize, warm_too: bool| {
            let worker = &self.workers[w];
            let c = self.functions[f].at.get(&w);
            let here = c.is_some_and(|c| c.holding() || c.warm(now) && !warm_too);
            self.usable(w, class, now)
                && !(self.suspect(w) || here)
                && (warm_too || !self.crowded(w, now))
                && worker.orders_out < if slowly(worker) { 1 } else { LOADS_PER_WORKER }
                && now >= worker.full_until
                && id.is_none_or(|id| self.allowed(id, w, now))
        };
        let mut fitting: Vec<usize> = places.iter().copied().filter(|&w| fits(w, false)).collect();
        if fitting.is_empty() {
            fitting = places.into_iter().filter(|&w| fits(w, true)).collect();
        }
        let idle = |c: &Copy| c.warm(now) && c.ours == 0;
        // Exception, while several gateways share the workers: private draws would give each of them copies
        // of its own. They draw alike instead, in an order that the ids alone decide, and take the first
        // worker that has room or holds an idle copy of a function lost less recently than this one.
        if self.set.front_ends > 1 {
            let lost = self.functions[f].last_lost;
            let yields = |g: &usize, w: usize| {
                let g = &self.functions[*g];
                g.last_lost < lost && g.at.get(&w).is_some_and(idle)
            };
            let gives = |w: usize| self.workers[w].holds.iter().any(|g| yields(g, w));
            let fits = |w: &&usize| self.room(f, **w, now) >= 0.0 || gives(**w);
            let first = if self.many() {
                None
            } else {
                fitting.iter().find(fits)
            };
            return first.or(fitting.first()).copied();
        }
        let mut others: Vec<usize> = (0..self.functions.len()).filter(|&g| g != f).collect();
        others.sort_by_key(|&g| self.functions[g].last_lost);
        for g in others {
            let at = &self.functions[g].at;
            let slot = |w: &&usize| at.get(w).is_some_and(|c| idle(c) && !c.spoken_for);
            let slots: Vec<usize> = fitting.iter().filter(slot).copied().collect();
            if let Some(w) = self.pick(&slots) {
                if let Some(c) = self.functions[g].at.get_mut(&w) {
                    c.spoken_for = true;
                }
                return Some(w);
            }
        }
        self.pick(&fitting)
    }

    /// Drops the least recently lost idle copies at a worker while our own account shows its memory short.
    fn make_room(&mut self, f: usize, w: usize, now: Micros, out: &mut Vec<Action>) {
        // Exception at size: what lies idle by our account is in use by others; the worker's own is better.
        let mut room = if self.many() {
            0.0
        } else {
            self.room(f, w, now)
        };
        let mut others: Vec<usize> = self.workers[w]
            .holds
            .iter()
            .copied()
            .filter(|&g| g != f)
            .collect();
        others.sort_by_key(|&g| self.functions[g].last_lost);
        for g in others {
            if room >= 0.0 {
                return;
            }
            let function = &mut self.functions[g];
            let Some(c) = function.at.get_mut(&w) else {
                continue;
            };
            if c.warm(now) && c.ours == 0 && c.order.is_none() {
                room += function.memory * f64::from(c.count);
                c.count = 0;
                let worker = self.workers[w].entry.worker.clone();
                out.push(Action::Unload {
                    worker,
                    function: function.id,
                });
            }
        }
    }

    /// Renews the last believed copy of a function still in use, so that its next call finds it.
    fn renew(&mut self, now: Micros, out: &mut Vec<Action>) {
        let keep = self.keep();
        let lead = (keep as f64 * (1.0 - RENEW_AT)) as Micros;
        for f in 0..self.functions.len() {
            let function = &self.functions[f];
            let over = now > function.last_call + (keep as f64 * RENEW_FOR) as Micros
                || function.steady > 0;
            if over || !self.set.load_orders {
                continue;
            }
            let warm = |&(&w, c): &(&usize, &Copy)| {
                c.warm(now) && self.workers[w].ready() && !self.workers[w].dead
            };
            let last = function
                .at
                .iter()
                .filter(warm)
                .max_by_key(|(_, c)| c.expires);
            let Some((&w, c)) = last else { continue };
            if c.ours == 0
                && c.order.is_none()
                && c.expires < now + lead
                && !self.rationed(now, true)
            {
                self.hold(f, w, 1, now, out);
            }
        }
    }

    /// The loss that a call on a timer will be, answered ahead: such calls come about when idle copies are
    /// unloaded, or their room is taken sooner, and a load takes longer than their aim.
    fn foresee(&mut self, now: Micros, out: &mut Vec<Action>) {
        for f in 0..self.functions.len() {
            let g = &self.functions[f];
            let (due, lead) = (
                g.fired + g.period,
                (FORESEEN.0 * g.load_time) as Micros + FORESEEN.1,
            );
            let soon = now + lead >= due && now < due + FIRING;
            let idle = g.held.is_empty() && g.at.values().all(|c| c.ours == 0 && !c.loading());
            if g.steady == 0 || !idle || !self.set.load_orders {
                continue;
            }
            // Nothing calls it before: its room is worth more to others, which would else lose theirs.
            if g.steady == 2 && now > g.last_call + RESTS && now + 2 * lead < due && !self.many() {
                self.drop_idle(f, now, out);
            }
            if !soon || self.functions[f].foreseen == self.functions[f].fired {
                continue;
            }
            let guess = self.functions[f].steady < 2;
            if f64::from(self.loads_out) + 1.0 > self.load_cap || self.rationed(now, guess) {
                continue;
            }
            let g = &self.functions[f];
            let warm = |(&w, c): (&usize, &Copy)| {
                (c.warm(now) && self.usable(w, g.class, now)).then_some(w)
            };
            let known = g.at.iter().find_map(warm);
            let Some(w) = known.or_else(|| self.target(f, now, None)) else {
                continue;
            };
            known.is_none().then(|| self.make_room(f, w, now, out));
            self.functions[f].foreseen = self.functions[f].fired;
            self.hold(f, w, 1, now, out);
        }
    }

    /// The answer to a hold or a question. Guards the shared store: loads slow everywhere, or two that fail
    /// within a short time, lower our cap on loads in flight; good ones raise it slowly.
    fn loaded(
        &mut self,
        now: Micros,
        w: usize,
        f: usize,
        reply: (u32, Outcome, Micros),
        out: &mut Vec<Action>,
    ) {
        let (keep, (count, outcome, elapsed)) = (self.belief(f), reply);
        let Some(c) = self.functions[f].at.get_mut(&w) else {
            return;
        };
        let Some(order) = c.order.take() else { return };
        let (Order::Ask(since) | Order::Hold(since)) = order;
        let stood = c.count > 0;
        let ready = self.workers[w].ready();
        let old = since < self.workers[w].entry.started_at;
        // It came back without what it held: a new process that no list has told of yet.
        let emptied = stood && count == 0 && self.workers[w].in_doubt() && outcome == Outcome::Ok;
        match outcome {
            Outcome::Ok | Outcome::Rejected | Outcome::Error if ready && !old => {
                c.count = count;
                // A question does not restart the idle time: what it finds may be about to lapse.
                let sure = now
                    + if matches!(order, Order::Hold(_)) {
                        keep
                    } else {
                        keep / 2
                    };
                c.seen = sure.saturating_sub(keep);
                c.expires = if count > 0 { c.expires.max(sure) } else { 0 };
                self.workers[w].revive(SLOW);
            }
            Outcome::ConnectFailed => self.died(w, now),
            Outcome::Reset => self.doubt(w, now),
            _ => {}
        }
        match outcome {
            Outcome::ConnectFailed | Outcome::Reset => {
                self.zones.mute(self.workers[w].entry.zone, w, now, elapsed)
            }
            Outcome::Ok | Outcome::Rejected | Outcome::Error if !old => {
                self.zones.heard(self.workers[w].entry.zone, now);
            }
            _ => {}
        }
        // Of what was never served here an error tells neither of the store nor of the worker.
        let unknown = outcome == Outcome::Error && !self.functions[f].proven;
        self.functions[f].erred(unknown, now);
        emptied.then(|| self.void(w));
        if let Order::Hold(_) = order {
            self.loads_out -= 1;
            self.workers[w].orders_out -= 1;
            let function = &mut self.functions[f];
            let took = elapsed as f64;
            if outcome != Outcome::Ok {
                function.foreseen = 0; // to be tried again in time
            }
            if outcome == Outcome::Ok && !stood && took > 20.0 * MS as f64 {
                let usual = if function.load_time > 0.0 {
                    function.load_time
                } else {
                    took
                };
                let slow = took > LOAD_SLOW * usual;
                self.workers[w].load_pace = (now, took / usual);
                if !slow {
                    self.load_cap += 0.25;
                } else if self.store_crowded(now) {
                    self.load_cap *= 0.7;
                }
                let function = &mut self.functions[f];
                function.load_time = if slow {
                    usual
                } else {
                    usual + ALPHA * (took - usual)
                };
            } else if matches!(outcome, Outcome::Error | Outcome::Timeout) && !unknown {
                // One in a hundred fails by chance: a second one soon after tells of the store.
                if now < self.load_failed + PACE_KEPT {
                    self.load_cap /= 2.0;
                }
                self.load_failed = now;
            } else if outcome == Outcome::Rejected {
                self.workers[w].full_until = now + FULL_WAIT;
            }
            self.load_cap = self.load_cap.clamp(LOAD_CAP.0, self.most_loads);
        }
        self.retry_held(Some(f), now, out);
    }
}
