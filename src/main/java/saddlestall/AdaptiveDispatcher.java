package saddlestall;

import static saddlestall.Maths.*;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Every decision of one front end. The interface is Dispatcher.java; DispatcherState.java,
 * Maths.java decide nothing.
 *
 * <p>One learned linear score rates every worker for a call, a softmax draws one, and the weights
 * step online by time in flight, clipped as in PPO (docs/design.md). Times are in microseconds.
 */
public final class AdaptiveDispatcher extends DispatcherState implements Dispatcher {

  // ---------------------------------------------------------------- constants

  private static final long MS = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long TICK = 50 * MS;

  // Features of the score, and the weights that they start with.
  private static final int WARM = 0; // belief that a copy stands loaded with a free lane
  private static final int LOAD = 1; // expected wait for a load, over the time that is left
  private static final int OWN = 2; // own calls in flight for its size, against its peers
  private static final int PLAN =
      3; // load that the homes of all functions bring it, against its peers
  private static final int PACE = 4; // time in flight for the work, against its peers
  private static final int CROWD = 5; // calls beyond the lanes of its copy
  private static final int HOME = 6; // place in the function's home order
  private static final int HALL = 7; // in this front end's hall
  private static final int DOUBT = 8; // suspicion of its health
  private static final int FEATURES = 9;
  private static final double[] START = {5, -4, -4, -3, -5, -3, 4, 0.4, -6};

  // Learning.
  private static final int BATCH = 32;
  private static final int EPOCHS = 3;
  private static final double CLIP = 0.2;
  private static final double STEP = 0.1;
  private static final double PULL = 0.01; // share of the way back to the start, each batch
  private static final double REACH =
      0.5; // most that a weight strays: this share of its start, plus this
  private static final double SPREAD = 0.1; // of payoffs about the critic's, before any is seen
  private static final double CRITIC_STEP = 0.02;

  // Beliefs.
  private static final double SLOW_MEAN = 0.05; // step of means over a function or a class
  private static final double FAST_MEAN = 0.15; // step of means over a worker
  private static final double RATE_SPAN = 5; // seconds over which rates are taken, at the least
  private static final double MIX_SPAN = 20; // and at the most, where a front end takes few calls
  private static final double MIX_CALLS = 100; // calls that show the mix of functions well enough
  private static final double MIX_PRIOR =
      20; // calls of functions not seen that the mix starts from
  private static final double QUOTA_USED =
      0.7; // share of all tenants' quotas that is usually asked for
  private static final double QUOTA_CALLS = 20; // own calls that weigh as much as that
  private static final double PACE_CALLS = 20; // own calls in whose time a pace is forgotten
  private static final double PACE_SCALE =
      1.4; // log of the slowness, against the mean, that counts in full
  private static final double RUMOUR = 0.8; // most belief in a copy that was not seen
  private static final double SURE =
      0.97; // belief in a copy seen within the time that idle copies stay
  private static final long KEEP = 10 * SECOND; // how long idle copies stay, where it is not told
  private static final long FORGET = 60 * SECOND; // a function unused for this long is forgotten
  private static final double HOME_FILL = 0.8; // share of its lanes that a home is meant to use
  private static final double HOME_PART =
      0.6; // of a worker's mean load, the most of one function for a home

  private static final double ORDER_CALLS =
      8; // recent calls of all front ends that are worth an order
  private static final double ORDERS_EACH = 4; // by all front ends, where each has a call
  private static final double SLOW_LOAD =
      2; // a load over so many times its time shows a crowded store
  private static final double LOADS_EACH =
      2; // own loads at once, for a front end's share of the workers

  // Health.
  private static final double BAD_STEP = 0.2; // step of a worker's share of bad outcomes
  private static final double BAD_LIMIT =
      0.8; // share above that of the better workers that benches it
  private static final double OVERDUE =
      3; // an attempt is overdue after so many times its expected time
  private static final double COMMON = 0.75; // more of the workers bad than this: a common cause
  private static final double COMMON_AWAY =
      0.5; // more of them turn all away: they are short of room
  private static final double DEAD_STEP = 0.5; // the same where no connection came up
  private static final long HALL_SPAN =
      SECOND; // over which the workers of a hall are looked at together
  private static final int HALL_FAILS = 3; // silent or unreachable workers that bench a whole hall
  private static final long FULL_WAIT_MOST = 2 * SECOND;
  private static final int AWAY_SIGNS =
      5; // calls turned away one after the other that may mean a drain
  private static final long AWAY_SPAN = 2 * SECOND; // over which they come, at the least
  private static final long AWAY_WAIT_MOST = 8 * SECOND;
  private static final double FULL_PRESSURE =
      2; // what being turned away counts as, in time over aim
  private static final long TRIAL_WAIT_MOST = 8 * SECOND;

  // Further attempts, cold workers, admission.
  private static final double RETRY_SHARE = 0.2; // further attempts for each call taken
  private static final double RETRY_BURST = 5;
  private static final double HELD_PART =
      0.45; // of its time, the most that a call waits for its first send
  private static final double HEDGE_AIM =
      0.4; // of the aim, the least time after which a second copy is sent
  private static final double COLD_MARGIN =
      0.5; // part of the cold budget used: workers differ in size
  private static final double PRESSURE_FADE =
      0.95; // each tick: old pressure is no reason to refuse
  private static final double PRESSURE_AIM =
      0.75; // mean time in flight, of its aim, that shedding holds to
  private static final double PRESSURE_CALLS =
      4; // calls in good time that pressure is shrunk towards
  private static final double PRESSURE_USUAL = 0.3; // time over aim of such a call
  private static final double LITTLE_MOST = 2; // times what answers show, for calls in flight
  private static final double SHED_GAIN = 0.05; // each tick, of what the pressure is over its bound
  private static final double SHED_RISE = 0.025; // and at most
  private static final double SHED_FALL = 0.03; // each tick with the pressure within its bound
  private static final double SHED_MOST = 0.8; // share of calls refused at the most
  private static final int VALUES = 64; // calls remembered to rank the next one's worth among

  // ---------------------------------------------------------------- state

  private final Settings settings;
  private final Random random;
  private final double quota;
  private long now;
  private Consumer<Action> out;

  /**
   * Starts one front end. Throws IllegalArgumentException naming a setting that cannot be served.
   */
  public AdaptiveDispatcher(Settings settings, long seed, long now, Consumer<Action> out) {
    super(settings.classes().size(), settings.tenants().size(), FEATURES, VALUES);
    SettingsValidator.check(settings);
    this.settings = settings;
    siblings = divisor = settings.frontEndCount();
    quota = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    this.random = new Random(seed);
    this.now = now;
    this.out = out;
    System.arraycopy(START, 0, weights, 0, FEATURES);
    cells = Math.max(1, settings.tenants().size()) * settings.classes().size();
    retries = RETRY_BURST * random.nextDouble();
    payoffSpread = SPREAD;
    phase = random.nextDouble();
    mixSpan = MIX_SPAN;
    for (int i = 0; i < classWork.length; i++) {
      CallClass c = settings.classes().get(i);
      classWork[i] = new RunningMean(c.latencyTarget() / 4.0);
      classHint[i] = new RunningMean(1);
      classLoad[i] = Math.min(c.latencyTarget(), c.timeout() / 4.0);
      meanWork += classWork[i].value / classWork.length;
      meanAim += c.latencyTarget() / (double) classWork.length;
    }
    act(new StartTimer(TICK, -1));
    if (settings.subscribesToWorkerList()) {
      act(new Subscribe(true));
    }
  }

  // ---------------------------------------------------------------- events

  @Override
  public void handle(long clock, Event event, Consumer<Action> actions) {
    now = clock;
    out = actions;
    if (event instanceof CallArrival e) {
      onCall(e);
    } else if (event instanceof AttemptOutcome e) {
      onOutcome(e);
    } else if (event instanceof TimerFired e) {
      onDue(e.token());
    } else if (event instanceof WorkerListUpdate e) {
      onWorkerListUpdate(e);
    } else if (event instanceof PreloadResult e) {
      onLoaded(e);
    } else if (event instanceof ClientDisconnected e) {
      close(open.get(e.call()));
    } else if (event instanceof Observation e) {
      applyObservation(e, now);
    } else if (event instanceof CopyRequested e) {
      Worker w = workers.get(e.worker());
      Function f = functions.get(e.function());
      if (w != null && f != null && !cold(w) && mayOrder(w)) {
        order(w, f, f.loadTime * storeFactor);
      }
    } else if (event instanceof LeasesExpiring e) {
      onExpiring(e);
    } else if (event instanceof FleetSizeUpdate e) {
      siblings = Math.max(1, e.count());
      divisor = Math.max(siblings, e.divisor());
    } else if (event instanceof StreamStarted e && open.get(e.call()) != null) {
      open.get(e.call()).streaming = true;
    }
  }

  private void onCall(CallArrival e) {
    if (e.callClass() >= settings.classes().size()) {
      act(new Refuse(e.id(), 0));
      return;
    }
    Function f = functions.computeIfAbsent(e.function(), Function::new);
    PendingCall call = new PendingCall(e, settings.classes().get(e.callClass()), f, now);
    f.recent = recent(f) + 1;
    f.lastAt = now;
    taken++;
    f.lanes = Double.isFinite(e.lanes()) ? Math.max(1, e.lanes()) : 1;
    f.loadTime = e.loadTime();
    f.callClass = e.callClass();
    open.put(e.id(), call);
    retries = Math.min(RETRY_BURST, retries + RETRY_SHARE);
    act(new StartTimer(Math.max(1, call.deadline - now), e.id() & 0xffffffffL));
    if (turnedAway(call)) {
      refuse(call);
    } else {
      if (!e.retry()) { // guards rule 5: what was refused and tried again may not count there
        callTimes.add(now);
      }
      place(call);
      preload(f, call);
    }
  }

  private void onOutcome(AttemptOutcome e) {
    PendingCall call = open.get(e.call());
    Worker w = workers.get(e.worker());
    Attempt a = w == null ? null : w.out.remove(key(e.call(), e.attempt()));
    if (a == null) {
      return;
    }
    a.copy.inFlight--;
    loadsOut -= a.begins && loadsOut > 0 ? 1 : 0;
    judge(w, a, e);
    if (call == null) {
      return;
    }
    call.outstanding--;
    if (!e.code().notRun) {
      call.mayHaveRun(a);
    }
    if (e.callClosed() || e.code() == OutcomeCode.OK) {
      close(call);
    } else if (call.outstanding == 0) {
      again(call, e.code());
    }
  }

  private void onDue(long token) {
    if (token == -1) {
      tick();
      act(new StartTimer(TICK, -1));
    } else if (token == -2) {
      act(new Subscribe(true));
    } else {
      PendingCall call = open.get((int) token);
      if (call != null && !call.streaming && now >= call.deadline) {
        finish(call);
      }
    }
  }

  private void onWorkerListUpdate(WorkerListUpdate e) {
    if (e.kind() == ListKind.FAILED) {
      act(new StartTimer(SECOND, -2));
      return;
    }
    if (e.kind() != ListKind.DELTA) {
      workers.values().forEach(w -> w.listed = false);
    }
    for (WorkerEntry m : e.workers()) {
      Worker w = workers.computeIfAbsent(m.worker(), id -> new Worker(id, cells));
      w.listed = true;
      told(w, m);
    }
    List<Worker> list = new ArrayList<>();
    for (Worker w : workers.values()) {
      w.state = w.listed ? w.state : WorkerState.GONE;
      if (w.state == WorkerState.READY) {
        w.place = list.size();
        list.add(w);
      }
    }
    workers.values().removeIf(w -> w.state == WorkerState.GONE && w.out.isEmpty());
    setReadyWorkers(list);
    if (served == 0
        && !list.isEmpty()) { // guards a start among cold workers alone, which would send nothing
      served =
          QUOTA_USED * quota / siblings * RATE_SPAN / list.stream().mapToDouble(w -> w.size).sum();
    }
    retryHeld();
  }

  /** One that restarts, or comes back after it was gone, is empty, cold and without a past. */
  private void told(Worker w, WorkerEntry m) {
    if (m.startedAt() != w.cameUp
        || w.state == WorkerState.GONE && m.state() == WorkerState.READY) {
      w.copies.values().removeIf(c -> c.inFlight == 0);
      w.copies.values().forEach(c -> c.seenAt = 0);
      w.bad = 0;
      w.toldBad = false;
      w.benched = false;
      w.lostAt = 0;
      hallLost[hall(w)] = false;
      w.coldBudget = random.nextDouble(); // so that small shares sum up rightly over the front ends
    }
    if (m.state() == WorkerState.READY
        && w.state != WorkerState.READY) { // it was out, and now it is said to be back
      w.turnedAway = 0;
      w.awayWait = 0;
      w.awayUntil = 0;
    }
    w.told(m, settings.relativeSize(m));
  }

  private void onLoaded(PreloadResult e) {
    Worker w = workers.get(e.worker());
    Copy c = w == null ? null : w.copies.get(e.function());
    if (c != null) {
      c.readyAt = 0;
      c.trust = e.code() == OutcomeCode.OK && e.copies() > 0 ? 1 : c.trust;
      c.seenAt = e.code() == OutcomeCode.OK && e.copies() > 0 ? now : c.seenAt;
      retryHeld();
    }
  }

  /** Demand, health, admission and held calls, at a steady pace. */
  private void tick() {
    double fade = StrictMath.exp(-(double) TICK / (RATE_SPAN * SECOND));
    served *= warm > 0 ? fade : 1;
    watchMix();
    if (now - plannedAt >= SECOND / 2) {
      plannedAt = now;
      plan();
    }
    scale(tenantRate, fade);
    watchHealth();
    steerShedding();
    retryHeld();
    forget(now - FORGET);
  }

  /** How many calls all front ends take, and over which span the mix is taken. */
  private void watchMix() {
    taken *= StrictMath.exp(-TICK / (mixSpan * SECOND));
    heardOf *= StrictMath.exp(-TICK / (mixSpan * SECOND));
    mixAge = Math.min(mixAge + TICK, (long) (4 * mixSpan * SECOND));
    double seconds = mixSpan * (1 - StrictMath.exp(-mixAge / (mixSpan * SECOND)));
    double prior = QUOTA_USED * quota / siblings;
    double own =
        (taken + (prior > 0 ? QUOTA_CALLS : 0)) / (seconds + (prior > 0 ? QUOTA_CALLS / prior : 0));
    fleetRate = siblings * (prior > 0 ? clamp(own, prior / 2, 2 * prior) : own);
    mixSpan = clamp(MIX_CALLS * seconds / Math.max(1, taken), RATE_SPAN, MIX_SPAN);
  }

  /** The load that each worker should have, were all calls sent to the homes of their functions. */
  private void plan() {
    for (Worker w : ready) {
      w.plan = 0;
    }
    for (Function f : functions.values()) {
      int homes = homes(f);
      double each = demand(f) * usual(f, f.callClass) / SECOND / homes;
      for (Worker w : ready) {
        w.plan += rank(f, w) < homes ? each : 0;
      }
    }
  }

  /**
   * Held calls are tried again. One that can no longer be served within its aim is let go under
   * pressure, and one that was never sent while there is still time for its client to try
   * elsewhere.
   */
  private void retryHeld() {
    for (PendingCall call : held.isEmpty() ? List.<PendingCall>of() : new ArrayList<>(held)) {
      held.remove(call);
      boolean stale =
          call.sent == 0 && now - call.takenAt > HELD_PART * (call.deadline - call.takenAt);
      if (stale || shed > 0 && now - call.takenAt + unit(call) > call.kind.latencyTarget()) {
        finish(call);
      } else {
        place(call);
      }
    }
  }

  // ---------------------------------------------------------------- the draw

  /** Sends a call to a worker drawn by the score, or holds it while nothing is permitted. */
  private void place(PendingCall call) {
    Worker w = trial(call);
    w = w != null ? w : renewal(call);
    w = w != null ? w : draw(call, false);
    w = w != null ? w : draw(call, true);
    if (w == null) {
      held.add(call);
    } else {
      send(call, w);
    }
  }

  /**
   * Draws by the softmax of the score. A second round takes benched workers and those tried before.
   */
  private Worker draw(PendingCall call, boolean second) {
    int n = 0;
    meanOwn = 0;
    meanPace = 0;
    meanPlan = 0;
    for (Worker p : ready) {
      meanOwn += p.out.size() / p.size / ready.length;
      meanPace += p.pace / ready.length;
      meanPlan += p.plan / p.size / ready.length;
    }
    for (Worker w : ready) {
      boolean passed =
          now < w.fullUntil[cell(call)]
              || turnsAway(w)
              || !second && (w.benched && !commonCause || call.tried.contains(w));
      if (!passed && permitted(call, w) && !outlasts(call, w) && !storeBusy(call, w)) {
        field[n++] = w;
        inOrder[rank(call.function, w)] = w;
      }
    }
    for (int i = 0, order = 0;
        i < ready.length;
        i++) { // the home order among those that can be drawn
      if (inOrder[i] != null) {
        inOrder[i].order = order++;
        inOrder[i] = null;
      }
    }
    if (n == 0) {
      return null;
    }
    for (int i = 0; i < n; i++) {
      features(call, field[i], rows[i]);
      chance[i] = dot(weights, rows[i]);
    }
    double sum = softmax(chance, n);
    double at = random.nextDouble() * sum;
    int pick = 0;
    while (pick < n - 1 && (at -= chance[pick]) >= 0) {
      pick++;
    }
    call.gradient = surprise(rows, chance, n, pick, sum);
    call.mean = mean(rows, n);
    return field[pick];
  }

  /** Fills a row of features; all within about [-1, 1]. */
  private void features(PendingCall call, Worker w, double[] x) {
    Function f = call.function;
    int rank = w.order;
    int homes = homes(f);
    double belief = belief(f, w);
    double busyLanes = busyLanes(f, w);
    double left = Math.max(MS, call.deadline - now);
    x[WARM] = belief * clamp(f.lanes - busyLanes, 0, 1);
    x[LOAD] =
        Math.min(1, (1 - belief) * loadWait(call, w) / Math.min(left, call.kind.latencyTarget()));
    x[OWN] = clamp((w.out.size() / w.size - meanOwn) / (meanOwn + 1), -1, 1);
    x[PACE] =
        clamp(
            StrictMath.log(Math.max(w.pace, w.lag) / Math.max(0.1, meanPace)) / PACE_SCALE, -1, 1);
    x[CROWD] = clamp((busyLanes + 1 - f.lanes) / f.lanes, 0, 1);
    x[HOME] = rank < homes ? 1 : Math.max(-1, -0.25 * (rank - homes));
    x[HALL] = w.zone == settings.zone() ? 1 : 0;
    x[PLAN] = clamp((w.plan / w.size - meanPlan) / (meanPlan + 0.1), -1, 1);
    x[DOUBT] = clamp(w.bad, 0, 1);
  }

  /**
   * Place in the home order, the same at every front end: a hash of function and worker, weighed by
   * size.
   */
  private int rank(Function f, Worker w) {
    if (f.rankVersion != listVersion) {
      f.rankVersion = listVersion;
      f.rank =
          Maths.rank(
              ready.length, i -> -StrictMath.log(fraction(mix(f.id, ready[i].id))) / ready[i].size);
    }
    return f.rank[w.place];
  }

  /** Own calls of a function within the span of the mix. */
  private double recent(Function f) {
    return f.recent * StrictMath.exp(-(now - f.lastAt) / (mixSpan * SECOND));
  }

  /**
   * Calls of a function a second over all front ends: its part of the mix, times the calls that all
   * take. Both are shrunk, as one call would else count for hundreds of siblings: the part towards
   * functions not seen yet, the calls towards the tenants' quotas. It lags where the mix turns.
   */
  private double demand(Function f) {
    double calls = recent(f);
    return Math.max(calls - 0.5, calls / 2) / (taken + heardOf + MIX_PRIOR) * fleetRate;
  }

  /**
   * How many homes the demand for a function fills; a fraction is rounded by this front end's
   * phase.
   */
  private int homes(Function f) {
    double inFlight = demand(f) * usual(f, f.callClass) / SECOND;
    double most =
        Math.max(1, HOME_PART * fleetRate * meanWork / SECOND / Math.max(1, ready.length));
    return (int)
        clamp(inFlight / Math.min(HOME_FILL * f.lanes, most) + phase, 1, Math.max(1, ready.length));
  }

  /**
   * Belief that a copy stands loaded: sure while idle ones stay, then what peers' calls make
   * likely.
   */
  private double belief(Function f, Worker w) {
    Copy copy = w.copies.get(f.id);
    int homes = homes(f);
    double others = siblings > 1 ? demand(f) : 0;
    double peers =
        rank(f, w) >= homes ? 0 : RUMOUR * (1 - StrictMath.exp(-others * keep() / SECOND / homes));
    if (copy == null) {
      return peers;
    }
    if (copy.readyAt > 0) {
      return now < copy.readyAt ? 0 : RUMOUR;
    }
    double age = (now - copy.seenAt) / (double) keep();
    double own = copy.inFlight > 0 ? SURE : SURE * copy.trust * clamp((1.3 - age) / 0.4, 0, 1);
    return copy.seenAt == 0 ? peers : Math.max(own, peers);
  }

  private long keep() {
    return settings.loadPolicy().idleRetention() > 0 ? settings.loadPolicy().idleRetention() : KEEP;
  }

  /**
   * Calls of the function at the worker: own ones, and what peers are seen or likely to have there.
   */
  private double busyLanes(Function f, Worker w) {
    Copy copy = w.copies.get(f.id);
    double own = copy == null ? 0 : copy.inFlight;
    int homes = homes(f);
    double part = 1 - 1.0 / siblings;
    double peers =
        rank(f, w) < homes ? part * demand(f) * usual(f, f.callClass) / SECOND / homes : 0;
    double fresh = copy == null ? 0 : StrictMath.exp(-(now - copy.crowdAt) / (double) SECOND);
    return own + peers + (fresh == 0 ? 0 : fresh * (copy.others - peers));
  }

  /** Expected wait for a copy that does not stand loaded. */
  private double loadWait(PendingCall call, Worker w) {
    Function f = call.function;
    Copy copy = w.copies.get(f.id);
    double whole = f.loadTime > 0 ? f.loadTime * storeFactor : classLoad[call.event.callClass()];
    return copy != null && copy.readyAt > now ? Math.max(whole / 10, copy.readyAt - now) : whole;
  }

  /**
   * The draw passes over a worker whose load would outlast its time left; a rumour of a copy is no
   * proof.
   */
  private boolean outlasts(PendingCall call, Worker w) {
    return belief(call.function, w) <= RUMOUR
        && loadWait(call, w) + unit(call) >= call.deadline - now;
  }

  private boolean beginsLoad(PendingCall call, Worker w) {
    Copy copy = w.copies.get(call.function.id);
    return (copy == null || copy.readyAt <= now) && belief(call.function, w) < 0.5;
  }

  /**
   * Few own loads at once: all workers share the store, and it turns fetches away, or stops, when
   * crowded. The limit halves when loads fail or slow down and grows with each that is in time.
   * Loads under way may be joined. It hurts when loads fail at one worker alone.
   */
  private boolean storeBusy(PendingCall call, Worker w) {
    return loadsOut >= Math.min(loadLimit, mostLoads()) && beginsLoad(call, w);
  }

  private double mostLoads() {
    return Math.max(2, LOADS_EACH * ready.length / divisor);
  }

  private void noteLoad(Attempt a, boolean done) {
    if (done && a.begins) {
      loadLimit = Math.min(mostLoads(), loadLimit + 0.5);
    } else if (!done && now - loadFailedAt > SECOND / 4) {
      loadFailedAt = now;
      loadLimit = Math.max(1, Math.min(mostLoads(), loadLimit) / 2);
    }
  }

  /** Expected time in flight of a call on a warm worker of the usual pace. */
  private double unit(PendingCall call) {
    double prior = classWork[call.event.callClass()].value;
    if (call.event.expectedDuration()
        > 0) { // hints are rough, and a small call waits like any other
      return prior / 4
          + 0.75 * call.event.expectedDuration() * classHint[call.event.callClass()].value;
    }
    return usual(call.function, call.event.callClass());
  }

  /** The usual time in flight of a warm call of a function, shrunk towards its class. */
  private double usual(Function f, int callClass) {
    return (3 * classWork[callClass].value + f.work.count * f.work.value) / (3 + f.work.count);
  }

  // ---------------------------------------------------------------- sends and their gate

  /**
   * The one gate of every send: attempt limits, and rules 2 (effects), 3 (drains) and 4 (cold
   * workers).
   */
  private boolean permitted(PendingCall call, Worker w) {
    if (call.sent >= settings.limits().maxAttempts() || now >= call.deadline || call.streaming) {
      return false;
    }
    boolean alone = call.outstanding <= (call.hedged ? 1 : 0);
    if (w.state != WorkerState.READY || !alone || call.mayHaveRun && !repeatable(call, w)) {
      return false;
    }
    return !cold(w) || w.coldBudget >= 1;
  }

  private boolean cold(Worker w) {
    return settings.rules().isCold(now, w.cameUp);
  }

  private boolean repeatable(PendingCall call, Worker w) {
    CallClass kind = call.kind;
    if (kind.idempotency() == Idempotency.IDEMPOTENT) {
      return true;
    }
    if (kind.idempotency() == Idempotency.NOT_IDEMPOTENT
        || now - call.ranSince >= kind.dedupWindow()) {
      return false;
    }
    return switch (kind.dedupScope()) {
      case ALL -> true;
      case ZONE -> w.zone == call.ranZone;
      case CELL -> w.cell == call.ranCell;
    };
  }

  /**
   * Rule 4. A cold worker may get this front end's own share of what a warm one bears, times the
   * multiple and the share that it can do by now; every front end keeping to its share, all of them
   * keep the rule unasked. While none is warm, what the last ones bore holds.
   */
  private void fillColdBudget(Worker w) {
    Rules r = settings.rules();
    double rate =
        COLD_MARGIN
            * r.overloadMultiple()
            * r.warmUpFraction(now, w.cameUp)
            * served
            / RATE_SPAN
            * w.size;
    double most = Math.max(1, rate * r.overloadWindow() / SECOND / 4);
    w.coldSince = w.coldBudget < 1 ? now : w.coldSince;
    boolean lapsed =
        most == 1
            && now - w.coldSince > r.overloadWindow(); // else many front ends save one up each
    w.coldBudget =
        lapsed ? random.nextDouble() : Math.min(most, w.coldBudget + rate * TICK / SECOND);
  }

  private void send(PendingCall call, Worker w) {
    Function f = call.function;
    Copy copy = w.copies.computeIfAbsent(f.id, id -> new Copy());
    Attempt a = new Attempt(call, w, copy, now);
    double belief = belief(f, w);
    a.cold = belief < 0.5;
    a.begins = beginsLoad(call, w);
    loadsOut += a.begins ? 1 : 0;
    a.unit = unit(call);
    a.load = loadWait(call, w);
    a.expected = a.unit * Math.max(1, w.pace) + (a.cold ? 1.5 * a.load : (1 - belief) * a.load);
    if (a.cold && copy.readyAt <= now) {
      copy.readyAt = now + (long) a.load;
    }
    if (cold(w)) {
      w.coldBudget--;
    }
    copy.inFlight++;
    expiring.remove(w);
    w.out.put(key(call.event.id(), call.sent), a);
    call.sent++;
    call.outstanding++;
    long left = call.deadline - now;
    boolean again =
        call.kind.idempotency() == Idempotency.IDEMPOTENT && !settings.limits().cancelAllowed();
    act(
        new Send(
            call.event.id(),
            w.id,
            again ? Math.min(left, (long) (OVERDUE * a.expected) + TICK) : left));
  }

  /**
   * A call whose attempts are all over, unanswered: sent again within its class and the budget, or
   * ended.
   */
  private void again(PendingCall call, OutcomeCode last) {
    boolean allowed = !call.mayHaveRun || call.kind.idempotency() != Idempotency.NOT_IDEMPOTENT;
    // What no worker knows may be nonsense: it is tried once more, and leaves others their budget.
    boolean known = last != OutcomeCode.ERROR || call.function.servedAt > 0 || call.sent < 2;
    boolean time =
        known && call.deadline - now > unit(call) && call.sent < settings.limits().maxAttempts();
    if (allowed && time && retries >= 1) {
      // One that never arrived has cost the workers nothing.
      retries -= last == OutcomeCode.CONNECT_FAILED ? 0.25 : 1;
      place(call);
    } else {
      finish(call);
    }
  }

  /**
   * Ends a call unserved: refused where rule 2 allows it, as the client may then try again; else
   * failed.
   */
  private void finish(PendingCall call) {
    boolean proved = !call.mayHaveRun && call.outstanding == 0;
    boolean dropped =
        call.kind.idempotency() == Idempotency.DEDUPLICATED
            && call.kind.dedupScope() == DedupScope.ALL;
    if (proved || call.kind.idempotency() == Idempotency.IDEMPOTENT || dropped) {
      refuse(call);
    } else {
      act(new Fail(call.event.id()));
      close(call);
    }
  }

  private void refuse(PendingCall call) {
    long most = settings.limits().retryAfterAllowed() ? settings.limits().maxRetryAfter() : 0;
    act(new Refuse(call.event.id(), (long) (random.nextDouble() * most)));
    close(call);
  }

  private void close(PendingCall call) {
    if (call != null) {
      open.remove(call.event.id());
      held.remove(call);
      call.closed = true;
    }
  }

  // ---------------------------------------------------------------- orders to load

  /**
   * The one gate of orders to load: rules 3 (drains) and 5 (rationed loads). An order counts as it
   * arrives, and may wait for a connection first: what was given that much before the window may
   * fall into it as well. What is given to a worker that is silent may arrive seconds later, once
   * it is heard again.
   */
  private boolean mayOrder(Worker w) {
    LoadPolicy l = settings.loadPolicy();
    prune(callTimes, now - l.preloadWindow());
    prune(orderTimes, now - l.preloadWindow() - settings.limits().connectTimeout() - TICK);
    return l.mayPreload()
        && w.state == WorkerState.READY
        && !w.benched
        && w.lostAt <= w.wellAt
        && !turnsAway(w)
        && (l.preloadWindow() <= 0
            || orderTimes.size() + 1 <= l.freePreloads() + l.preloadsPerCall() * callTimes.size());
  }

  /**
   * Loads a further home before it is needed; the home itself where copies come only by orders, or
   * where the load would outlast the calls of a function in use: they may not begin it, so that it
   * never would stand.
   */
  private void preload(Function f, PendingCall call) {
    prune(callTimes, now - Math.max(SECOND, settings.loadPolicy().preloadWindow()));
    int homes = homes(f);
    boolean inUse = siblings * recent(f) >= ORDER_CALLS; // one of many front ends sees few
    boolean unserved = shed == 0 && inUse && now - f.servedAt > keep();
    // All front ends want the same further homes: most orders would find a copy that another had
    // loaded.
    boolean turn = homes > 1 && random.nextDouble() * divisor < ORDERS_EACH;
    for (int i = 0; i < ready.length && settings.loadPolicy().mayPreload(); i++) {
      Worker w = ready[i];
      Copy copy = w.copies.get(f.id);
      boolean hopeless = unserved && held.contains(call) && outlasts(call, w);
      boolean wanted =
          rank(f, w) < homes && (turn || hopeless || !settings.loadPolicy().loadsOnMiss());
      boolean absent = copy == null || copy.readyAt == 0 && now - copy.seenAt > keep();
      if (wanted && absent && mayOrder(w)) {
        order(w, f, loadWait(call, w));
        return;
      }
    }
  }

  private void order(Worker w, Function f, double wait) {
    orderTimes.add(now);
    w.copies.computeIfAbsent(f.id, id -> new Copy()).readyAt = now + (long) wait;
    act(new Preload(w.id, f.id, 1));
  }

  // ---------------------------------------------------------------- work that renews a permission

  /**
   * While the source of the list is out of reach a worker may be sent work only as long as it goes
   * on taking some: it gets an order for a copy that it likely holds, within the ration, and else
   * the next call that fits. It costs the workers next to nothing; where no copy is likely there,
   * few of all front ends begin a load for it. The orders are spread over the span of the ration:
   * all at once they would leave none for those whose permission ends next.
   */
  private void onExpiring(LeasesExpiring e) {
    List<Worker> urgent = new ArrayList<>();
    List<Worker> idle = new ArrayList<>();
    List<Worker> others = new ArrayList<>();
    for (int i = 0; i < e.workers().size(); i++) {
      Worker w = workers.get(e.workers().get(i));
      if (w != null && w.state == WorkerState.READY) {
        (now - w.wellAt > 2 * KEEP ? idle : i < e.urgent() ? urgent : others).add(w);
      }
    }
    expiring.clear();
    expiring.addAll(urgent); // where not all can be kept, those in use are
    expiring.addAll(idle);
    expiring.addAll(others);
    LoadPolicy l = settings.loadPolicy();
    double apart =
        l.preloadWindow() / Math.max(1, l.freePreloads() + l.preloadsPerCall() * callTimes.size());
    for (Worker w : expiring) {
      Function f = now - renewedAt >= apart && mayOrder(w) ? likely(w) : null;
      if (f != null) {
        renewedAt = now;
        order(w, f, belief(f, w) >= 0.5 ? 0 : f.loadTime * storeFactor);
      }
    }
  }

  /**
   * The function in most use here of which a copy likely stands loaded at a worker, else the one in
   * most use of all, if a load for it is due: its calls can renew the permission from then on. Null
   * for none.
   */
  private Function likely(Worker w) {
    boolean mayLoad =
        loadsOut < Math.min(loadLimit, mostLoads()) && random.nextDouble() * divisor < ORDERS_EACH;
    Function best = null;
    boolean found = false;
    double most = 0;
    for (Function f : functions.values()) {
      boolean loaded = belief(f, w) >= 0.5;
      double use = recent(f);
      if (loaded && !found || loaded == found && (loaded || mayLoad) && use > most) {
        best = f;
        found = loaded;
        most = use;
      }
    }
    return best;
  }

  /**
   * A worker whose permission ends soon and that has a free lane of the call's function loaded; any
   * that fits, where orders are not allowed.
   */
  private Worker renewal(PendingCall call) {
    for (Worker w : expiring) {
      boolean passed =
          w.benched || now < w.fullUntil[cell(call)] || turnsAway(w) || call.tried.contains(w);
      if (passed || !permitted(call, w) || outlasts(call, w) || storeBusy(call, w)) {
        continue;
      }
      boolean loaded =
          belief(call.function, w) >= 0.5 && busyLanes(call.function, w) < call.function.lanes;
      if (loaded
          || !settings.loadPolicy().mayPreload()
              && call.kind.idempotency() == Idempotency.IDEMPOTENT) {
        return w;
      }
    }
    return null;
  }

  // ---------------------------------------------------------------- health

  /** Draws on an outcome: the worker's pace and health, the copy, the function, the weights. */
  private void judge(Worker w, Attempt a, AttemptOutcome e) {
    Function f = a.call.function;
    if (e.code() == OutcomeCode.OK) {
      w.wellAt = now;
      tookOn(w, a);
      hallLost[hall(w)] = false;
      meanWork += SLOW_MEAN * (a.unit - meanWork);
      boolean loaded =
          e.copyStatus() == CopyStatus.WARM
              || e.copyStatus() == CopyStatus.NONE
                  && !a.cold
                  && e.elapsed() < a.expected + a.load / 2;
      if (loaded) {
        w.pace += FAST_MEAN * (clamp(e.elapsed() / a.unit, 0, 6) - w.pace);
        f.work.add(e.elapsed(), SLOW_MEAN);
        classWork[a.call.event.callClass()].add(e.elapsed(), SLOW_MEAN);
        if (a.call.event.expectedDuration() > 0) {
          classHint[a.call.event.callClass()].add(
              e.elapsed() / (double) a.call.event.expectedDuration(), SLOW_MEAN);
        }
      } else if (e.copyStatus() == CopyStatus.BEGAN_LOAD
          || e.copyStatus() == CopyStatus.NONE && a.cold) {
        double load = Math.max(0, e.elapsed() - a.unit * w.pace);
        classLoad[a.call.event.callClass()] +=
            FAST_MEAN * (load - classLoad[a.call.event.callClass()]);
        if (f.loadTime > 0) {
          storeFactor += FAST_MEAN * (clamp(load / f.loadTime, 0.5, 4) - storeFactor);
        }
      }
      noteLoad(a, e.elapsed() - a.unit * w.pace < SLOW_LOAD * a.load);
      served += cold(w) ? 0 : 1 / Math.max(w.size, warm);
      if (loaded) { // a wait for a load is no sign that the workers are short of cores
        press(e.elapsed() / (double) a.call.kind.latencyTarget());
      }
      a.copy.seenAt = now;
      a.copy.trust = 1;
      a.copy.readyAt = 0;
      w.fullWait[cell(a.call)] = 0;
    } else if (e.code() == OutcomeCode.TIMEOUT || e.code() == OutcomeCode.CANCELLED) {
      w.pace += FAST_MEAN * Math.max(0, clamp(e.elapsed() / a.unit, 0, 6) - w.pace);
    } else if (e.code() == OutcomeCode.MISS || e.copyStatus() == CopyStatus.LOAD_FAILED) {
      a.copy.seenAt = 0;
      a.copy.readyAt = 0;
      noteLoad(a, false);
    } else if (e.code() == OutcomeCode.FULL) {
      turnedAwayBy(w, a);
      watchForDrain(w, a, e.concurrency());
    }
    if (e.concurrency() >= 0
        && settings.loadPolicy().reportsConcurrency()) { // else an absent count would be none
      a.copy.others += 0.5 * (Math.max(0, e.concurrency() - a.ownBefore) - a.copy.others);
      a.copy.crowdAt = now;
    }
    boolean dead = e.code() == OutcomeCode.CONNECT_FAILED || e.code() == OutcomeCode.RESET;
    // An error for a function that nobody has served yet tells of the function, or of a client's
    // nonsense.
    boolean error =
        e.code() == OutcomeCode.ERROR && e.copyStatus() != CopyStatus.LOAD_FAILED && f.servedAt > 0;
    boolean bad = dead || e.code() == OutcomeCode.TIMEOUT || error;
    f.servedAt = e.code() == OutcomeCode.OK ? now : f.servedAt;
    if (bad) {
      // What one lost connection takes along counts once.
      w.bad +=
          a.missed > 0 && !dead || dead && now - w.diedAt < TICK
              ? 0
              : (e.code() == OutcomeCode.CONNECT_FAILED ? DEAD_STEP : BAD_STEP) * (1 - w.bad);
      w.diedAt = dead ? now : w.diedAt;
      w.lostAt = error ? w.lostAt : now;
      if (w.benched) {
        w.trialWait = Math.min(TRIAL_WAIT_MOST, 2 * w.trialWait);
        w.trialAt = now + w.trialWait;
      }
    } else if (e.code() == OutcomeCode.OK) {
      w.bad *= w.benched ? 0.4 : 1 - BAD_STEP;
    }
    learn(a, e, bad);
  }

  /**
   * Benches workers that do worse than their better peers, by outcomes or by silence, whatever the
   * cause; when nearly all look bad the cause is a common one, and the pool is kept whole.
   */
  private void watchHealth() {
    double[] bads = new double[ready.length];
    double paceSpan =
        clamp(PACE_CALLS * ready.length * mixSpan / Math.max(1, taken), RATE_SPAN, MIX_SPAN);
    List<Attempt> late = new ArrayList<>();
    loadsOut = 0;
    warm = 0;
    for (int i = 0; i < ready.length; i++) {
      Worker w = ready[i];
      bads[i] = w.bad;
      w.pace += (1 - w.pace) * TICK / (paceSpan * SECOND);
      watchOut(w, late);
      if (cold(w)) {
        fillColdBudget(w);
      } else {
        warm += w.size;
      }
    }
    Arrays.sort(bads);
    double better = bads.length == 0 ? 0 : bads[bads.length / 4];
    watchHalls();
    int count = 0;
    int away = 0;
    for (Worker w : ready) {
      away += now < w.awayUntil ? 1 : 0;
      boolean lost = hallLost[hall(w)];
      boolean worse = lost || w.bad - better > (w.benched ? BAD_LIMIT / 2 : BAD_LIMIT);
      if (worse && !w.benched) {
        w.trialWait = TRIAL_WAIT;
        w.trialAt = w.toldBad ? w.trialAt : now + TRIAL_WAIT;
        log("worker " + (w.id & 0xffffffffL) + " benched: failing or silent");
      }
      w.benched = worse;
      count += worse ? 1 : 0;
    }
    commonCause = count > COMMON * ready.length;
    rush = away > COMMON_AWAY * ready.length;
    late.forEach(this::hedge);
  }

  /**
   * A hall whose workers fail one after another is benched whole until one serves or comes up anew,
   * since a front end with few calls learns of each worker alone too late. It hurts where just
   * those called fail.
   */
  private void watchHalls() {
    int[] failing = new int[hallLost.length];
    int[] well = new int[hallLost.length];
    int[] all = new int[hallLost.length];
    for (Worker w : ready) {
      all[hall(w)]++;
      failing[hall(w)] += w.lostAt > w.wellAt && now - w.lostAt < HALL_SPAN ? 1 : 0;
      well[hall(w)] += w.wellAt >= w.lostAt && now - w.wellAt < HALL_SPAN / 2 ? 1 : 0;
    }
    for (int z = 0; z < hallLost.length; z++) {
      boolean fails = failing[z] >= HALL_FAILS && failing[z] > HALL_FAILS * well[z];
      if (!hallLost[z]
          && fails
          && all[z] < ready.length) { // the only hall there is can't be done without
        hallLost[z] = true;
        hallTrialAt[z] = now + TRIAL_WAIT;
        log(
            "hall "
                + z
                + " benched: "
                + failing[z]
                + " of its workers fail, "
                + well[z]
                + " serve");
      }
    }
  }

  /**
   * A call whose only attempt is late gets a second copy where a loaded copy surely stands, if its
   * class allows that, so that a slow or silent worker or a lost answer does not cost it its aim.
   * It hurts where the work itself is long, so it comes out of the budget for further attempts, and
   * not under pressure.
   */
  private void hedge(Attempt a) {
    PendingCall call = a.call;
    boolean allowed =
        settings.limits().hedgingAllowed()
            && call.kind.idempotency() != Idempotency.NOT_IDEMPOTENT
            && shed == 0;
    if (!allowed || call.closed || call.outstanding != 1 || retries < 1) {
      return;
    }
    boolean ranBefore = call.mayHaveRun;
    call.hedged = true;
    call.mayHaveRun(a); // it is out: a keyed copy stays in its hall
    Worker w = draw(call, false);
    call.mayHaveRun = ranBefore;
    if (w != null && belief(call.function, w) > RUMOUR) {
      call.mayHaveRun(a);
      retries--;
      send(call, w);
    }
  }

  /** A tenant's calls of one class: what a worker may turn away while it serves others. */
  private int cell(PendingCall call) {
    return call.event.tenant() % Math.max(1, settings.tenants().size()) * settings.classes().size()
        + call.event.callClass();
  }

  /**
   * A full worker answers at once and has few calls of ours, so it would attract more of them. It
   * is passed over for the tenant and class that it turned away, for a wait that grows while it
   * goes on; covers any quick rejection, also of one tenant alone. It hurts where one function
   * alone is full.
   */
  private void turnedAwayBy(Worker w, Attempt a) {
    int cell = cell(a.call);
    if (now >= w.fullUntil[cell]) {
      w.fullWait[cell] =
          Math.min(FULL_WAIT_MOST, Math.max(2 * w.fullWait[cell], (long) (a.unit / 4)));
      w.fullUntil[cell] = now + w.fullWait[cell];
    }
    press(FULL_PRESSURE);
  }

  /**
   * A worker that takes on nothing at all, and holds no call of the functions asked for either, may
   * drain though the list does not say so: one that is full is at work. It is passed over whole,
   * for a wait that doubles while the next call after it is turned away too. It hurts where one
   * without memory to be had looks the same. Where answers don't tell what a worker holds, nothing
   * tells the two apart.
   */
  private void watchForDrain(Worker w, Attempt a, int crowd) {
    if (!settings.loadPolicy().reportsConcurrency() || crowd != 0) {
      w.turnedAway = 0;
      return;
    }
    w.turnedAway++;
    w.firstAwayAt = w.turnedAway == 1 ? now : w.firstAwayAt;
    w.lastAwaySentAt = Math.max(w.lastAwaySentAt, a.sentAt);
    if (w.turnedAway >= AWAY_SIGNS && now - w.firstAwayAt >= AWAY_SPAN && now >= w.awayUntil) {
      w.awayWait = Math.min(AWAY_WAIT_MOST, Math.max(2 * w.awayWait, SECOND));
      w.awayUntil = now + w.awayWait;
    }
  }

  /** Not where most of them turn all away, which a rush explains. */
  private boolean turnsAway(Worker w) {
    return now < w.awayUntil && !rush;
  }

  /**
   * A call was taken on: one sent behind all those that were turned away shows that work is
   * welcome.
   */
  private void tookOn(Worker w, Attempt a) {
    if (a.sentAt > w.lastAwaySentAt) {
      w.turnedAway = 0;
      w.awayWait = 0;
      w.awayUntil = 0;
    }
  }

  /**
   * An attempt that is out for much longer than expected shows a sick worker before any time-out;
   * it counts as a bad outcome, and again each time that as much has passed. Covers hangs and lost
   * answers. The ages of those out also show a slow worker before its answers do. It hurts where
   * one call alone is very long.
   */
  private void watchOut(Worker w, List<Attempt> late) {
    double age = 0;
    double usual = 0;
    for (Attempt a : w.out.values()) {
      double one = Math.max(a.unit, classWork[a.call.event.callClass()].value);
      double since =
          now - a.sentAt - (a.cold ? 1.5 : 1) * a.load; // a belief in a copy may be wrong
      usual += one;
      loadsOut += a.begins && now - a.sentAt < OVERDUE * a.load ? 1 : 0; // not one that hangs
      age += Math.max(0, since + (a.cold ? 0 : a.load));
      if (since > (a.missed + 1) * OVERDUE * one * Math.max(1, w.pace)) {
        a.missed++;
        w.lostAt = now;
        w.bad += BAD_STEP * (1 - w.bad);
      }
      if (now - a.sentAt
          > Math.max(
              OVERDUE * one * Math.max(1, w.pace), HEDGE_AIM * a.call.kind.latencyTarget())) {
        late.add(a);
      }
    }
    w.lag = age / Math.max(1, usual);
  }

  /** A benched worker gets a safe call now and then, alone, to show that it is back. */
  private Worker trial(PendingCall call) {
    if (call.kind.idempotency() != Idempotency.IDEMPOTENT || call.sent > 0 || commonCause) {
      return null;
    }
    for (Worker w : ready) {
      int z = hall(w);
      boolean due = now >= w.trialAt && (!hallLost[z] || now >= hallTrialAt[z]);
      if (w.benched && due && permitted(call, w) && !outlasts(call, w)) {
        w.trialAt = now + w.trialWait;
        hallTrialAt[z] = now + TRIAL_WAIT;
        return w;
      }
    }
    return null;
  }

  // ---------------------------------------------------------------- admission

  /**
   * Under pressure the calls of least worth for their work are refused at once, over-share tenants
   * first.
   */
  private boolean turnedAway(PendingCall call) {
    meanAim += SLOW_MEAN * (call.kind.latencyTarget() - meanAim);
    double value = worthOfWork(call);
    double below = 0;
    int n = Math.min(valueCount, VALUES);
    double tie = random.nextDouble();
    for (int i = 0; i < n; i++) {
      below += values[i] < value ? 1 : values[i] == value ? tie : 0;
    }
    values[valueCount++ % VALUES] = value;
    return (below + random.nextDouble()) / (n + 1) < shed;
  }

  private double worthOfWork(PendingCall call) {
    double worth = call.kind.value();
    if (!settings.tenants().isEmpty() && call.event.tenant() < tenantRate.length) {
      tenantRate[call.event.tenant()] += 1 / RATE_SPAN;
      double quota = settings.tenants().get(call.event.tenant()).quotaPerSecond() / divisor;
      boolean over = random.nextDouble() < 1 - quota / tenantRate[call.event.tenant()];
      worth *= over ? settings.overShareValueFactor() : 1;
    }
    return settings.valueByWork() ? worth : worth / unit(call);
  }

  private void press(double timeOverAim) {
    pressure += Math.min(4, timeOverAim);
    pressed++;
  }

  /**
   * Holds the mean time in flight over the aim to a bound, by the answers of the last second and,
   * sooner, by Little's law: calls in flight over the rate of answers. Both are shrunk towards a
   * few calls in good time.
   */
  private void steerShedding() {
    double out =
        PRESSURE_CALLS * PRESSURE_USUAL * meanAim / SECOND; // an idle front end is at the usual
    for (Worker w : ready) {
      for (Attempt a :
          w.out.values()) { // what is stuck on a sick worker, or loads, is no sign of overload
        out += w.benched || a.call.closed || a.cold && now - a.sentAt < OVERDUE * a.load ? 0 : 1;
      }
    }
    double seen = (pressure + PRESSURE_CALLS * PRESSURE_USUAL) / (pressed + PRESSURE_CALLS);
    double little = out * SECOND / (pressed + PRESSURE_CALLS) / meanAim;
    double error = Math.max(seen, Math.min(little, LITTLE_MOST * seen)) - PRESSURE_AIM;
    if (shed == 0 && error > 0) {
      log("shedding: answers take " + Math.round(100 * (error + PRESSURE_AIM)) + "% of their aim");
    }
    shed =
        clamp(
            shed + (error > 0 ? Math.min(SHED_RISE, SHED_GAIN * error) : -SHED_FALL), 0, SHED_MOST);
    pressure *= PRESSURE_FADE;
    pressed *= PRESSURE_FADE;
  }

  // ---------------------------------------------------------------- learning

  /** Payoff: minus the time in flight in parts of the time allowed; a failure costs all of it. */
  private void learn(Attempt a, AttemptOutcome e, boolean bad) {
    if (a.gradient != null && (e.code() == OutcomeCode.OK || bad)) {
      double allowed = Math.max(1, a.call.deadline - a.sentAt);
      a.payoff = bad ? -1 : -Math.min(1, e.elapsed() / allowed);
      batch.add(a);
    }
    if (batch.size() == BATCH) {
      step();
      batch.clear();
    }
  }

  /**
   * One clipped step; the ratio of new to old chance is taken to first order in the change of
   * weights.
   */
  private void step() {
    double[] old = weights.clone();
    for (Attempt a : batch) {
      a.advantage = a.payoff - dot(critic, a.mean) - critic[FEATURES];
      payoffSpread += SLOW_MEAN / 4 * (Math.abs(a.advantage) - payoffSpread);
      for (int k = 0; k < FEATURES; k++) {
        critic[k] += CRITIC_STEP * a.advantage * a.mean[k];
      }
      critic[FEATURES] += CRITIC_STEP * a.advantage;
    }
    for (int epoch = 0; epoch < EPOCHS; epoch++) {
      for (Attempt a : batch) {
        double ratio =
            StrictMath.exp(clamp(dot(weights, a.gradient) - dot(old, a.gradient), -5, 5));
        boolean clipped = a.advantage > 0 ? ratio > 1 + CLIP : ratio < 1 - CLIP;
        double size = STEP / BATCH * clamp(a.advantage / (payoffSpread + 0.01), -3, 3) * ratio;
        for (int k = 0; k < FEATURES && !clipped; k++) {
          weights[k] += size * a.gradient[k];
        }
      }
    }
    for (int k = 0; k < FEATURES; k++) {
      double reach = REACH * Math.abs(START[k]) + REACH;
      weights[k] =
          clamp(weights[k] + PULL * (START[k] - weights[k]), START[k] - reach, START[k] + reach);
    }
  }

  // ---------------------------------------------------------------- small parts

  private void act(Action action) {
    out.accept(action);
  }

  private void log(String text) {
    if (now - lastLog >= SECOND / 2) {
      lastLog = now;
      act(new Log(text));
    }
  }
}
