package saddlestall;

import static saddlestall.Maths.*;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Decides for one front end which calls to admit, which worker each attempt goes to, when to retry
 * or hedge, and which functions to preload.
 *
 * <p>A learned linear score rates every eligible worker for a call, and a softmax over the scores
 * samples one. The weights are updated online, with latency as the negative reward and clipped
 * updates as in PPO. Times are in microseconds. Single-threaded; see {@link Dispatcher} for the
 * contract with the embedding front end.
 *
 * <p>Each function has an order of the workers, its home order. The first workers in it, as many as
 * its demand needs, are its homes: its calls prefer them, so that few workers need a loaded copy.
 *
 * <p>Load reports, probe results and messages from peers are ignored.
 */
public final class AdaptiveDispatcher extends DispatcherState implements Dispatcher {

  // ---------------------------------------------------------------- constants

  private static final long MILLISECOND = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long TICK_MICROS = 50 * MILLISECOND;

  /** Token of the periodic tick timer. */
  private static final long TICK_TOKEN = -1;

  /** Token of the timer after which a failed subscription to the worker list is repeated. */
  private static final long SUBSCRIBE_TOKEN = -2;

  // ---------------------------------------------------------------- features of the score

  /** Probability that a loaded copy with a free lane exists at the worker. */
  private static final int WARM_COPY = 0;

  /** Expected wait for a load, relative to the time left. */
  private static final int LOAD_WAIT = 1;

  /** Own calls in flight relative to the worker's size, compared with the other workers. */
  private static final int OWN_LOAD = 2;

  /** Load from all functions that have the worker as a home, compared with the other workers. */
  private static final int PLANNED_LOAD = 3;

  /** Observed over expected latency, compared with the other workers. */
  private static final int LATENCY_RATIO = 4;

  /** Calls in excess of the lanes of the function's copy. */
  private static final int CONCURRENCY = 5;

  /** Position in the function's home order. */
  private static final int HOME_RANK = 6;

  /** Whether the worker is in this front end's hall. */
  private static final int OWN_HALL = 7;

  /** Running failure rate. */
  private static final int FAILURE_RATE = 8;

  private static final int FEATURE_COUNT = 9;
  private static final double[] INITIAL_WEIGHTS = {5, -4, -4, -3, -5, -3, 4, 0.4, -6};

  // ---------------------------------------------------------------- policy updates

  private static final int BATCH_SIZE = 32;
  private static final int EPOCHS = 3;
  private static final double CLIP_RANGE = 0.2;
  private static final double LEARNING_RATE = 0.1;

  /** Share of the distance to its initial value that each weight moves back per batch. */
  private static final double WEIGHT_DECAY = 0.01;

  /** A weight deviates from its initial value w by at most this times (|w| + 1). */
  private static final double MAX_WEIGHT_DRIFT = 0.5;

  /** Mean absolute advantage that is assumed before any was observed. */
  private static final double INITIAL_ADVANTAGE_SCALE = 0.1;

  private static final double CRITIC_LEARNING_RATE = 0.02;

  // ---------------------------------------------------------------- estimates

  /** Step of running means per function or class. */
  private static final double SLOW_MEAN_STEP = 0.05;

  /** Step of running means per worker. */
  private static final double FAST_MEAN_STEP = 0.15;

  /** Shortest window over which call rates are measured. */
  private static final double RATE_WINDOW_SECONDS = 5;

  /** Longest window for the function mix; front ends with few calls need it. */
  private static final double MAX_MIX_WINDOW_SECONDS = 20;

  /** The mix window is sized to hold this many own calls. */
  private static final double MIX_TARGET_CALLS = 100;

  /** Weight, in calls, of the prior that the mix consists of functions not seen yet. */
  private static final double MIX_PRIOR_CALLS = 20;

  /** Share of the sum of the tenants' quotas that is assumed to be used. */
  private static final double QUOTA_UTILIZATION = 0.7;

  /** Weight, in own calls, of the call rate derived from the quotas. */
  private static final double QUOTA_PRIOR_CALLS = 20;

  /** Own calls per worker after which its latency ratio has decayed towards 1. */
  private static final double LATENCY_RATIO_MEMORY_CALLS = 20;

  /** Logarithm of the latency ratio, relative to the mean, at which the feature saturates. */
  private static final double LATENCY_RATIO_LOG_SCALE = 1.4;

  /** Highest probability assigned to a copy that this front end has not seen. */
  private static final double MAX_INFERRED_PROBABILITY = 0.8;

  /** Probability assigned to a copy seen within the idle retention. */
  private static final double SEEN_PROBABILITY = 0.97;

  /** How long workers keep idle copies where the settings do not say. */
  private static final long DEFAULT_IDLE_RETENTION_MICROS = 10 * SECOND;

  /** A function without calls for this long is dropped from the state. */
  private static final long FUNCTION_RETENTION_MICROS = 60 * SECOND;

  /** Share of a copy's lanes that the demand per home is planned to use. */
  private static final double HOME_LANE_UTILIZATION = 0.8;

  /** Share of a worker's mean load that one function may bring to one home. */
  private static final double MAX_HOME_LOAD_SHARE = 0.6;

  /** Recent calls, over all front ends, from which on a function is worth a preload. */
  private static final double MIN_PRELOAD_CALLS = 8;

  /** Front ends expected to preload a home if each of them has a call of the function. */
  private static final double PRELOADING_FRONT_ENDS = 4;

  /** A load that takes this many times its expected time indicates a congested store. */
  private static final double SLOW_LOAD_RATIO = 2;

  /** Own concurrent loads per worker in this front end's share of the workers. */
  private static final double LOADS_PER_WORKER_SHARE = 2;

  // ---------------------------------------------------------------- health

  /** Step of a worker's running failure rate. */
  private static final double FAILURE_RATE_STEP = 0.2;

  /** A worker is benched when its failure rate exceeds that of the better workers by this. */
  private static final double BENCH_FAILURE_RATE_EXCESS = 0.8;

  /** An attempt is overdue after this many times its expected time. */
  private static final double OVERDUE_RATIO = 3;

  /** If more than this share of the workers is unhealthy, a common cause is assumed. */
  private static final double COMMON_FAILURE_SHARE = 0.75;

  /** If more than this share rejects every call, the workers lack capacity and do not drain. */
  private static final double COMMON_REJECTION_SHARE = 0.5;

  /** Step of the failure rate after a failed connect. */
  private static final double CONNECT_FAILURE_STEP = 0.5;

  /** Window over which the workers of a hall are assessed together. */
  private static final long HALL_WINDOW_MICROS = SECOND;

  /** Silent or unreachable workers from which on a whole hall is benched. */
  private static final int MIN_HALL_FAILURES = 3;

  private static final long MAX_REJECTION_BACKOFF_MICROS = 2 * SECOND;

  /** Consecutive rejections that may indicate a draining worker. */
  private static final int MIN_DRAIN_REJECTIONS = 5;

  /** Shortest time over which those rejections must extend. */
  private static final long MIN_DRAIN_WINDOW_MICROS = 2 * SECOND;

  private static final long MAX_DRAIN_BACKOFF_MICROS = 8 * SECOND;

  /** Pressure of a rejected attempt, as latency over the latency target. */
  private static final double REJECTION_PRESSURE = 2;

  private static final long MAX_TRIAL_BACKOFF_MICROS = 8 * SECOND;

  // ---------------------------------------------------------------- retries and admission

  /** Retries and hedges earned by each accepted call. */
  private static final double RETRIES_PER_CALL = 0.2;

  private static final double MAX_RETRY_BUDGET = 5;

  /** Share of its budget that a call may wait for its first attempt. */
  private static final double MAX_HELD_SHARE = 0.45;

  /** Share of the latency target before which no hedge is sent. */
  private static final double MIN_HEDGE_DELAY_SHARE = 0.4;

  /** Share of the allowed load on cold workers that is used, since workers differ in size. */
  private static final double COLD_BUDGET_SHARE = 0.5;

  /** Decay of the pressure per tick: past pressure is no reason to refuse calls now. */
  private static final double PRESSURE_DECAY = 0.95;

  /** Mean latency over the latency target that load shedding holds. */
  private static final double MAX_PRESSURE = 0.75;

  /** Weight, in calls, of the prior that answers are in time. */
  private static final double PRESSURE_PRIOR_CALLS = 4;

  /** Latency over the latency target of such an answer. */
  private static final double PRESSURE_PRIOR = 0.3;

  /** Highest ratio of the pressure estimated by Little's law to that seen in answers. */
  private static final double MAX_LITTLE_RATIO = 2;

  /** Increase of the shed fraction per tick and unit of excess pressure. */
  private static final double SHED_GAIN = 0.05;

  /** Highest increase of the shed fraction per tick. */
  private static final double MAX_SHED_INCREASE = 0.025;

  /** Decrease of the shed fraction per tick without excess pressure. */
  private static final double SHED_DECREASE = 0.03;

  /** Highest share of calls that is shed. */
  private static final double MAX_SHED_FRACTION = 0.8;

  /** Recent calls among which the value of the next call is ranked. */
  private static final int RECENT_VALUE_COUNT = 64;

  // ---------------------------------------------------------------- state

  private final Settings settings;
  private final Random random;
  private final double quota;
  private long now;
  private Consumer<Action> actionSink;

  /**
   * Creates the dispatcher of one front end and emits its first actions.
   *
   * @param seed seed of the random choices; equal seeds and events give equal actions
   * @param now current time in microseconds
   * @param out receives the actions of the start
   * @throws IllegalArgumentException naming a setting that cannot be served
   */
  public AdaptiveDispatcher(Settings settings, long seed, long now, Consumer<Action> out) {
    super(settings.classes().size(), settings.tenants().size(), FEATURE_COUNT, RECENT_VALUE_COUNT);
    SettingsValidator.check(settings);
    this.settings = settings;
    frontEndCount = shareDivisor = settings.frontEndCount();
    quota = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    this.random = new Random(seed);
    this.now = now;
    this.actionSink = out;
    System.arraycopy(INITIAL_WEIGHTS, 0, weights, 0, FEATURE_COUNT);
    tenantClassCount = Math.max(1, settings.tenants().size()) * settings.classes().size();
    retryBudget = MAX_RETRY_BUDGET * random.nextDouble();
    advantageScale = INITIAL_ADVANTAGE_SCALE;
    roundingOffset = random.nextDouble();
    mixWindowSeconds = MAX_MIX_WINDOW_SECONDS;
    for (int i = 0; i < classDuration.length; i++) {
      CallClass callClass = settings.classes().get(i);
      classDuration[i] = new RunningMean(callClass.latencyTarget() / 4.0);
      classHintRatio[i] = new RunningMean(1);
      classLoadTime[i] = Math.min(callClass.latencyTarget(), callClass.timeout() / 4.0);
      meanDuration += classDuration[i].value / classDuration.length;
      meanLatencyTarget += callClass.latencyTarget() / (double) classDuration.length;
    }
    emit(new StartTimer(TICK_MICROS, TICK_TOKEN));
    if (settings.subscribesToWorkerList()) {
      emit(new Subscribe(true));
    }
  }

  // ---------------------------------------------------------------- events

  @Override
  public void handle(long clock, Event event, Consumer<Action> actions) {
    now = clock;
    actionSink = actions;
    if (event instanceof CallArrival e) {
      onCall(e);
    } else if (event instanceof AttemptOutcome e) {
      onOutcome(e);
    } else if (event instanceof TimerFired e) {
      onTimerFired(e.token());
    } else if (event instanceof WorkerListUpdate e) {
      onWorkerListUpdate(e);
    } else if (event instanceof PreloadResult e) {
      onPreloadResult(e);
    } else if (event instanceof ClientDisconnected e) {
      close(pendingCalls.get(e.call()));
    } else if (event instanceof Observation e) {
      applyObservation(e, now);
    } else if (event instanceof CopyRequested e) {
      onCopyRequested(e);
    } else if (event instanceof LeasesExpiring e) {
      onExpiring(e);
    } else if (event instanceof FleetSizeUpdate e) {
      frontEndCount = Math.max(1, e.count());
      shareDivisor = Math.max(frontEndCount, e.divisor());
    } else if (event instanceof StreamStarted e && pendingCalls.get(e.call()) != null) {
      pendingCalls.get(e.call()).streaming = true;
    }
  }

  private void onCall(CallArrival arrival) {
    if (arrival.callClass() >= settings.classes().size()) {
      emit(new Refuse(arrival.id(), 0));
      return;
    }
    Function function = functions.acquireForCall(arrival.function(), now);
    PendingCall call =
        new PendingCall(arrival, settings.classes().get(arrival.callClass()), function, now);
    function.recentCalls = recentCalls(function) + 1;
    function.lastCallAt = now;
    ownCalls++;
    function.lanes = Double.isFinite(arrival.lanes()) ? Math.max(1, arrival.lanes()) : 1;
    function.loadTime = arrival.loadTime();
    function.callClass = arrival.callClass();
    pendingCalls.put(arrival.id(), call);
    retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRIES_PER_CALL);
    emit(new StartTimer(Math.max(1, call.deadline - now), arrival.id() & 0xffffffffL));
    if (shouldShed(call)) {
      refuse(call);
    } else {
      // What was refused and is retried might not count for the limit on preloads per window.
      if (!arrival.retry()) {
        callTimes.add(now);
      }
      dispatch(call);
      preloadHome(function, call);
    }
  }

  private void onOutcome(AttemptOutcome outcome) {
    PendingCall call = pendingCalls.get(outcome.call());
    Worker worker = workers.get(outcome.worker());
    Attempt attempt =
        worker == null
            ? null
            : worker.attempts.remove(attemptKey(outcome.call(), outcome.attempt()));
    if (attempt == null) {
      return;
    }
    attempt.copy.inFlight--;
    loadsInFlight -= attempt.startsLoad && loadsInFlight > 0 ? 1 : 0;
    recordOutcome(worker, attempt, outcome);
    functions.release(attempt.call.function);
    if (call == null) {
      return;
    }
    call.attemptsInFlight--;
    if (!outcome.code().notRun) {
      call.recordPossibleRun(attempt);
    }
    if (outcome.callClosed() || outcome.code() == OutcomeCode.OK) {
      close(call);
    } else if (call.attemptsInFlight == 0) {
      retryOrFinish(call, outcome.code());
    }
  }

  private void onCopyRequested(CopyRequested request) {
    Worker worker = workers.get(request.worker());
    Function function = functions.get(request.function());
    if (worker != null
        && function != null
        && function.wasCalled()
        && !isCold(worker)
        && mayPreload(worker)) {
      sendPreload(worker, function, function.loadTime * loadTimeRatio);
    }
  }

  private void onTimerFired(long token) {
    if (token == TICK_TOKEN) {
      tick();
      emit(new StartTimer(TICK_MICROS, TICK_TOKEN));
    } else if (token == SUBSCRIBE_TOKEN) {
      emit(new Subscribe(true));
    } else {
      PendingCall call = pendingCalls.get((int) token);
      if (call != null && !call.streaming && now >= call.deadline) {
        finish(call);
      }
    }
  }

  private void onWorkerListUpdate(WorkerListUpdate update) {
    if (update.kind() == ListKind.FAILED) {
      emit(new StartTimer(SECOND, SUBSCRIBE_TOKEN));
      return;
    }
    if (update.kind() != ListKind.DELTA) {
      workers.values().forEach(worker -> worker.listed = false);
    }
    for (WorkerEntry entry : update.workers()) {
      Worker worker =
          workers.computeIfAbsent(entry.worker(), id -> new Worker(id, tenantClassCount));
      worker.listed = true;
      updateWorker(worker, entry);
    }
    List<Worker> list = new ArrayList<>();
    for (Worker worker : workers.values()) {
      worker.state = worker.listed ? worker.state : WorkerState.GONE;
      if (worker.state == WorkerState.READY) {
        worker.readyIndex = list.size();
        list.add(worker);
      }
    }
    workers
        .values()
        .removeIf(worker -> worker.state == WorkerState.GONE && worker.attempts.isEmpty());
    setReadyWorkers(list);
    // Without this estimate a front end that starts with cold workers only would never send
    // anything.
    if (warmServed == 0 && !list.isEmpty()) {
      warmServed =
          QUOTA_UTILIZATION
              * quota
              / frontEndCount
              * RATE_WINDOW_SECONDS
              / list.stream().mapToDouble(worker -> worker.size).sum();
    }
    retryHeld();
  }

  /**
   * Applies a list entry. A worker that restarted, or returns after it was gone, has no copies, is
   * cold and has a clean history.
   */
  private void updateWorker(Worker worker, WorkerEntry entry) {
    if (entry.startedAt() != worker.startedAt
        || worker.state == WorkerState.GONE && entry.state() == WorkerState.READY) {
      worker.copies.values().removeIf(copy -> copy.inFlight == 0);
      worker.copies.values().forEach(copy -> copy.seenLoadedAt = 0);
      worker.failureRate = 0;
      worker.reportedUnhealthy = false;
      worker.benched = false;
      worker.lastUnresponsiveAt = 0;
      hallBenched[hallIndex(worker)] = false;
      // The random start makes the small shares of many front ends add up correctly.
      worker.coldBudget = random.nextDouble();
    }
    // It was draining or gone and is listed as ready again.
    if (entry.state() == WorkerState.READY && worker.state != WorkerState.READY) {
      worker.consecutiveRejections = 0;
      worker.drainBackoff = 0;
      worker.drainSuspectedUntil = 0;
    }
    worker.update(entry, settings.relativeSize(entry));
  }

  private void onPreloadResult(PreloadResult result) {
    Worker worker = workers.get(result.worker());
    Copy copy = worker == null ? null : worker.copies.get(result.function());
    if (copy != null) {
      copy.expectedReadyAt = 0;
      copy.confidence =
          result.code() == OutcomeCode.OK && result.copies() > 0 ? 1 : copy.confidence;
      copy.seenLoadedAt =
          result.code() == OutcomeCode.OK && result.copies() > 0 ? now : copy.seenLoadedAt;
      retryHeld();
    }
  }

  /** Updates demand, health and admission, and retries held calls, every tick. */
  private void tick() {
    double fade = StrictMath.exp(-(double) TICK_MICROS / (RATE_WINDOW_SECONDS * SECOND));
    warmServed *= warmCapacity > 0 ? fade : 1;
    updateDemand();
    if (now - lastPlanAt >= SECOND / 2) {
      lastPlanAt = now;
      updatePlannedLoad();
    }
    scale(tenantCallRate, fade);
    updateHealth();
    updateShedding();
    retryHeld();
    functions.forgetIdle(now - FUNCTION_RETENTION_MICROS);
  }

  /** Estimates the call rate of the whole fleet and adapts the mix window. */
  private void updateDemand() {
    ownCalls *= StrictMath.exp(-TICK_MICROS / (mixWindowSeconds * SECOND));
    reportedCalls *= StrictMath.exp(-TICK_MICROS / (mixWindowSeconds * SECOND));
    mixAgeMicros = Math.min(mixAgeMicros + TICK_MICROS, (long) (4 * mixWindowSeconds * SECOND));
    double seconds =
        mixWindowSeconds * (1 - StrictMath.exp(-mixAgeMicros / (mixWindowSeconds * SECOND)));
    double priorRate = QUOTA_UTILIZATION * quota / frontEndCount;
    double ownRate =
        (ownCalls + (priorRate > 0 ? QUOTA_PRIOR_CALLS : 0))
            / (seconds + (priorRate > 0 ? QUOTA_PRIOR_CALLS / priorRate : 0));
    fleetCallRate =
        frontEndCount * (priorRate > 0 ? clamp(ownRate, priorRate / 2, 2 * priorRate) : ownRate);
    mixWindowSeconds =
        clamp(
            MIX_TARGET_CALLS * seconds / Math.max(1, ownCalls),
            RATE_WINDOW_SECONDS,
            MAX_MIX_WINDOW_SECONDS);
  }

  /**
   * Computes the load that each worker would have if all calls went to the homes of their
   * functions.
   */
  private void updatePlannedLoad() {
    for (Worker worker : readyWorkers) {
      worker.plannedLoad = 0;
    }
    for (Function function : functions.all()) {
      int homes = homeCount(function);
      double loadPerHome =
          demand(function) * usualDuration(function, function.callClass) / SECOND / homes;
      for (Worker worker : readyWorkers) {
        worker.plannedLoad += homeRank(function, worker) < homes ? loadPerHome : 0;
      }
    }
  }

  /**
   * Tries to dispatch the held calls. Gives up a call that can no longer meet its latency target
   * while calls are shed, and one that was never sent while its client still has time to try
   * elsewhere.
   */
  private void retryHeld() {
    for (PendingCall call :
        heldCalls.isEmpty() ? List.<PendingCall>of() : new ArrayList<>(heldCalls)) {
      heldCalls.remove(call);
      boolean stale =
          call.attemptsSent == 0
              && now - call.arrivedAt > MAX_HELD_SHARE * (call.deadline - call.arrivedAt);
      if (stale
          || shedFraction > 0
              && now - call.arrivedAt + warmDuration(call) > call.callClass.latencyTarget()) {
        finish(call);
      } else {
        dispatch(call);
      }
    }
  }

  // ---------------------------------------------------------------- worker selection

  /**
   * Sends a call to a trial, lease-renewing or sampled worker, or holds it while no worker may be
   * sent to.
   */
  private void dispatch(PendingCall call) {
    Worker worker = trialWorker(call);
    worker = worker != null ? worker : renewalWorker(call);
    worker = worker != null ? worker : sampleWorker(call, false);
    worker = worker != null ? worker : sampleWorker(call, true);
    if (worker == null) {
      heldCalls.add(call);
    } else {
      send(call, worker);
    }
  }

  /**
   * Samples a worker from the softmax over the scores of the eligible workers; null if there is
   * none. The second round also admits benched workers and those that the call has already tried.
   */
  private Worker sampleWorker(PendingCall call, boolean secondRound) {
    int count = 0;
    meanOwnLoad = 0;
    meanLatencyRatio = 0;
    meanPlannedLoad = 0;
    for (Worker worker : readyWorkers) {
      meanOwnLoad += worker.attempts.size() / worker.size / readyWorkers.length;
      meanLatencyRatio += worker.latencyRatio / readyWorkers.length;
      meanPlannedLoad += worker.plannedLoad / worker.size / readyWorkers.length;
    }
    for (Worker worker : readyWorkers) {
      boolean skipped =
          now < worker.rejectedUntil[tenantClassIndex(call)]
              || isDrainSuspected(worker)
              || !secondRound
                  && (worker.benched && !commonFailure || call.triedWorkers.contains(worker));
      if (!skipped
          && maySend(call, worker)
          && !loadOutlastsCall(call, worker)
          && !loadLimitReached(call, worker)) {
        candidates[count++] = worker;
        candidatesByRank[homeRank(call.function, worker)] = worker;
      }
    }
    // The home order among the eligible workers only.
    for (int i = 0, order = 0; i < readyWorkers.length; i++) {
      if (candidatesByRank[i] != null) {
        candidatesByRank[i].candidateRank = order++;
        candidatesByRank[i] = null;
      }
    }
    if (count == 0) {
      return null;
    }
    for (int i = 0; i < count; i++) {
      features(call, candidates[i], featureRows[i]);
      scores[i] = dot(weights, featureRows[i]);
    }
    double sum = softmax(scores, count);
    double threshold = random.nextDouble() * sum;
    int chosen = 0;
    while (chosen < count - 1 && (threshold -= scores[chosen]) >= 0) {
      chosen++;
    }
    call.gradient = logProbabilityGradient(featureRows, scores, count, chosen, sum);
    call.meanFeatures = meanRow(featureRows, count);
    return candidates[chosen];
  }

  /** Fills in the features of a worker for a call, each within about [-1, 1]. */
  private void features(PendingCall call, Worker worker, double[] row) {
    Function function = call.function;
    int rank = worker.candidateRank;
    int homes = homeCount(function);
    double loadedProbability = loadedProbability(function, worker);
    double busyLanes = busyLanes(function, worker);
    double timeLeft = Math.max(MILLISECOND, call.deadline - now);
    row[WARM_COPY] = loadedProbability * clamp(function.lanes - busyLanes, 0, 1);
    row[LOAD_WAIT] =
        Math.min(
            1,
            (1 - loadedProbability)
                * expectedLoadWait(call, worker)
                / Math.min(timeLeft, call.callClass.latencyTarget()));
    row[OWN_LOAD] =
        clamp((worker.attempts.size() / worker.size - meanOwnLoad) / (meanOwnLoad + 1), -1, 1);
    row[LATENCY_RATIO] =
        clamp(
            StrictMath.log(
                    Math.max(worker.latencyRatio, worker.inFlightLatencyRatio)
                        / Math.max(0.1, meanLatencyRatio))
                / LATENCY_RATIO_LOG_SCALE,
            -1,
            1);
    row[CONCURRENCY] = clamp((busyLanes + 1 - function.lanes) / function.lanes, 0, 1);
    row[HOME_RANK] = rank < homes ? 1 : Math.max(-1, -0.25 * (rank - homes));
    row[OWN_HALL] = worker.hall == settings.hall() ? 1 : 0;
    row[PLANNED_LOAD] =
        clamp(
            (worker.plannedLoad / worker.size - meanPlannedLoad) / (meanPlannedLoad + 0.1), -1, 1);
    row[FAILURE_RATE] = clamp(worker.failureRate, 0, 1);
  }

  /**
   * Returns the worker's position in the function's home order. The order is a hash of function and
   * worker weighted by worker size, so that it is the same at every front end.
   */
  private int homeRank(Function function, Worker worker) {
    if (function.homeRankVersion != listVersion) {
      function.homeRankVersion = listVersion;
      function.homeRanks =
          Maths.ranks(
              readyWorkers.length,
              i ->
                  -StrictMath.log(toUnitInterval(hash(function.id, readyWorkers[i].id)))
                      / readyWorkers[i].size);
    }
    return function.homeRanks[worker.readyIndex];
  }

  /** Returns the own calls of a function within the mix window. */
  private double recentCalls(Function function) {
    return function.recentCalls
        * StrictMath.exp(-(now - function.lastCallAt) / (mixWindowSeconds * SECOND));
  }

  /**
   * Estimates the calls per second of a function over all front ends: its share of the mix, times
   * the fleet's call rate. Both are shrunk towards a prior, since otherwise one call would be
   * multiplied by hundreds of front ends: the share towards functions not seen yet, the rate
   * towards the tenants' quotas. The estimate lags when the mix changes.
   */
  private double demand(Function function) {
    double calls = recentCalls(function);
    return Math.max(calls - 0.5, calls / 2)
        / (ownCalls + reportedCalls + MIX_PRIOR_CALLS)
        * fleetCallRate;
  }

  /**
   * Returns how many homes the demand for a function needs. This front end's offset decides whether
   * a fraction is rounded up.
   */
  private int homeCount(Function function) {
    double expectedInFlight =
        demand(function) * usualDuration(function, function.callClass) / SECOND;
    double maxPerHome =
        Math.max(
            1,
            MAX_HOME_LOAD_SHARE
                * fleetCallRate
                * meanDuration
                / SECOND
                / Math.max(1, readyWorkers.length));
    return (int)
        clamp(
            expectedInFlight / Math.min(HOME_LANE_UTILIZATION * function.lanes, maxPerHome)
                + roundingOffset,
            1,
            Math.max(1, readyWorkers.length));
  }

  /**
   * Estimates the probability that a loaded copy exists at the worker: high while an own
   * observation is within the idle retention, else the probability that peers' calls keep one
   * loaded.
   */
  private double loadedProbability(Function function, Worker worker) {
    Copy copy = worker.copies.get(function.id);
    int homes = homeCount(function);
    double peerCallRate = frontEndCount > 1 ? demand(function) : 0;
    double byPeers =
        homeRank(function, worker) >= homes
            ? 0
            : MAX_INFERRED_PROBABILITY
                * (1 - StrictMath.exp(-peerCallRate * idleRetention() / SECOND / homes));
    if (copy == null) {
      return byPeers;
    }
    if (copy.expectedReadyAt > 0) {
      return now < copy.expectedReadyAt ? 0 : MAX_INFERRED_PROBABILITY;
    }
    double age = (now - copy.seenLoadedAt) / (double) idleRetention();
    double byOwnCalls =
        copy.inFlight > 0
            ? SEEN_PROBABILITY
            : SEEN_PROBABILITY * copy.confidence * clamp((1.3 - age) / 0.4, 0, 1);
    return copy.seenLoadedAt == 0 ? byPeers : Math.max(byOwnCalls, byPeers);
  }

  private long idleRetention() {
    return settings.loadPolicy().idleRetention() > 0
        ? settings.loadPolicy().idleRetention()
        : DEFAULT_IDLE_RETENTION_MICROS;
  }

  /**
   * Estimates the calls of the function in flight at the worker: the own ones, and those of the
   * peers as reported or expected.
   */
  private double busyLanes(Function function, Worker worker) {
    Copy copy = worker.copies.get(function.id);
    double own = copy == null ? 0 : copy.inFlight;
    int homes = homeCount(function);
    double peerShare = 1 - 1.0 / frontEndCount;
    double peers =
        homeRank(function, worker) < homes
            ? peerShare
                * demand(function)
                * usualDuration(function, function.callClass)
                / SECOND
                / homes
            : 0;
    double freshness =
        copy == null ? 0 : StrictMath.exp(-(now - copy.concurrencyReportedAt) / (double) SECOND);
    return own + peers + (freshness == 0 ? 0 : freshness * (copy.peerCalls - peers));
  }

  /** Returns the expected wait for a copy that is not loaded. */
  private double expectedLoadWait(PendingCall call, Worker worker) {
    Function function = call.function;
    Copy copy = worker.copies.get(function.id);
    double fullLoad =
        function.loadTime > 0
            ? function.loadTime * loadTimeRatio
            : classLoadTime[call.event.callClass()];
    return copy != null && copy.expectedReadyAt > now
        ? Math.max(fullLoad / 10, copy.expectedReadyAt - now)
        : fullLoad;
  }

  /**
   * Returns whether loading would take longer than the call has left. A copy that is only inferred
   * from the demand does not count as loaded, nor does one that a peer reported with a low weight.
   */
  private boolean loadOutlastsCall(PendingCall call, Worker worker) {
    return loadedProbability(call.function, worker) <= MAX_INFERRED_PROBABILITY
        && expectedLoadWait(call, worker) + warmDuration(call) >= call.deadline - now;
  }

  private boolean startsLoad(PendingCall call, Worker worker) {
    Copy copy = worker.copies.get(call.function.id);
    return (copy == null || copy.expectedReadyAt <= now)
        && loadedProbability(call.function, worker) < 0.5;
  }

  /**
   * Returns whether the call would start a load above the limit. All workers share the store, which
   * rejects fetches or stalls when it is congested. The limit halves when loads fail or slow down
   * and grows with each load in time; loads in progress may be joined. The drawback: it also reacts
   * to loads that fail at a single worker.
   */
  private boolean loadLimitReached(PendingCall call, Worker worker) {
    return loadsInFlight >= Math.min(loadLimit, maxLoadsInFlight()) && startsLoad(call, worker);
  }

  private double maxLoadsInFlight() {
    return Math.max(2, LOADS_PER_WORKER_SHARE * readyWorkers.length / shareDivisor);
  }

  private void recordLoad(Attempt attempt, boolean inTime) {
    if (inTime && attempt.startsLoad) {
      loadLimit = Math.min(maxLoadsInFlight(), loadLimit + 0.5);
    } else if (!inTime && now - lastLoadFailureAt > SECOND / 4) {
      lastLoadFailureAt = now;
      loadLimit = Math.max(1, Math.min(maxLoadsInFlight(), loadLimit) / 2);
    }
  }

  /** Returns the expected latency of a call on a warm worker with latency ratio 1. */
  private double warmDuration(PendingCall call) {
    double classMean = classDuration[call.event.callClass()].value;
    // Expected durations are rough, and a small call waits as long as any other.
    if (call.event.expectedDuration() > 0) {
      return classMean / 4
          + 0.75 * call.event.expectedDuration() * classHintRatio[call.event.callClass()].value;
    }
    return usualDuration(call.function, call.event.callClass());
  }

  /** Returns the usual latency of a function's warm calls, shrunk towards that of its class. */
  private double usualDuration(Function function, int callClass) {
    return (3 * classDuration[callClass].value + function.duration.count * function.duration.value)
        / (3 + function.duration.count);
  }

  // ---------------------------------------------------------------- sending attempts

  /**
   * Checks every send against the attempt limit and three rules: a call that may have run is
   * repeated only as its idempotency allows, a draining worker gets nothing new, and a cold worker
   * gets no more than its load limit.
   */
  private boolean maySend(PendingCall call, Worker worker) {
    if (call.attemptsSent >= settings.limits().maxAttempts()
        || now >= call.deadline
        || call.streaming) {
      return false;
    }
    boolean onlyAttempt = call.attemptsInFlight <= (call.hedged ? 1 : 0);
    if (worker.state != WorkerState.READY
        || !onlyAttempt
        || call.mayHaveRun && !mayRepeat(call, worker)) {
      return false;
    }
    return !isCold(worker) || worker.coldBudget >= 1;
  }

  private boolean isCold(Worker worker) {
    return settings.rules().isCold(now, worker.startedAt);
  }

  private boolean mayRepeat(PendingCall call, Worker worker) {
    CallClass callClass = call.callClass;
    if (callClass.idempotency() == Idempotency.IDEMPOTENT) {
      return true;
    }
    if (callClass.idempotency() == Idempotency.NOT_IDEMPOTENT
        || now - call.firstRunAt >= callClass.dedupWindow()) {
      return false;
    }
    return switch (callClass.dedupScope()) {
      case ALL -> true;
      case ZONE -> worker.hall == call.firstRunHall;
      case CELL -> worker.cell == call.firstRunCell;
    };
  }

  /**
   * Refills the budget that enforces the load limit of a cold worker. The worker may get this front
   * end's share of what a warm worker handles, times the overload multiple and its present share of
   * full capacity. As every front end keeps to its share, all of them together keep the limit
   * without coordination. While no worker is warm, the last known rate of warm workers applies.
   */
  private void refillColdBudget(Worker worker) {
    Rules rules = settings.rules();
    double rate =
        COLD_BUDGET_SHARE
            * rules.overloadMultiple()
            * rules.warmUpFraction(now, worker.startedAt)
            * warmServed
            / RATE_WINDOW_SECONDS
            * worker.size;
    double maxBudget = Math.max(1, rate * rules.overloadWindow() / SECOND / 4);
    worker.coldBudgetReadySince = worker.coldBudget < 1 ? now : worker.coldBudgetReadySince;
    // Otherwise each of many front ends would accumulate a call, and all could send at once.
    boolean expired = maxBudget == 1 && now - worker.coldBudgetReadySince > rules.overloadWindow();
    worker.coldBudget =
        expired
            ? random.nextDouble()
            : Math.min(maxBudget, worker.coldBudget + rate * TICK_MICROS / SECOND);
  }

  private void send(PendingCall call, Worker worker) {
    Function function = call.function;
    Copy copy = worker.copies.computeIfAbsent(function.id, id -> new Copy());
    Attempt attempt = new Attempt(call, worker, copy, now);
    double loadedProbability = loadedProbability(function, worker);
    attempt.expectsLoad = loadedProbability < 0.5;
    attempt.startsLoad = startsLoad(call, worker);
    loadsInFlight += attempt.startsLoad ? 1 : 0;
    attempt.warmDuration = warmDuration(call);
    attempt.loadTime = expectedLoadWait(call, worker);
    attempt.expectedTime =
        attempt.warmDuration * Math.max(1, worker.latencyRatio)
            + (attempt.expectsLoad
                ? 1.5 * attempt.loadTime
                : (1 - loadedProbability) * attempt.loadTime);
    if (attempt.expectsLoad && copy.expectedReadyAt <= now) {
      copy.expectedReadyAt = now + (long) attempt.loadTime;
    }
    if (isCold(worker)) {
      worker.coldBudget--;
    }
    copy.inFlight++;
    functions.acquire(function);
    expiringWorkers.remove(worker);
    worker.attempts.put(attemptKey(call.event.id(), call.attemptsSent), attempt);
    call.attemptsSent++;
    call.attemptsInFlight++;
    long timeLeft = call.deadline - now;
    boolean mayRetryEarly =
        call.callClass.idempotency() == Idempotency.IDEMPOTENT
            && !settings.limits().cancelAllowed();
    emit(
        new Send(
            call.event.id(),
            worker.id,
            mayRetryEarly
                ? Math.min(timeLeft, (long) (OVERDUE_RATIO * attempt.expectedTime) + TICK_MICROS)
                : timeLeft));
  }

  /**
   * Handles a call whose attempts have all ended unanswered: sends it again if its class and the
   * retry budget allow, or ends it.
   */
  private void retryOrFinish(PendingCall call, OutcomeCode lastCode) {
    boolean allowed =
        !call.mayHaveRun || call.callClass.idempotency() != Idempotency.NOT_IDEMPOTENT;
    // A function that no worker has ever served may not exist: its calls get one retry only and
    // leave the budget to others.
    boolean worthRetrying =
        lastCode != OutcomeCode.ERROR || call.function.lastServedAt > 0 || call.attemptsSent < 2;
    boolean hasTime =
        worthRetrying
            && call.deadline - now > warmDuration(call)
            && call.attemptsSent < settings.limits().maxAttempts();
    if (allowed && hasTime && retryBudget >= 1) {
      // An attempt that never arrived has cost the workers nothing.
      retryBudget -= lastCode == OutcomeCode.CONNECT_FAILED ? 0.25 : 1;
      dispatch(call);
    } else {
      finish(call);
    }
  }

  /**
   * Ends a call unserved. It is refused where a retry by the client is safe, as a call that may
   * have run is repeated only as its idempotency allows, and fails otherwise.
   */
  private void finish(PendingCall call) {
    boolean provedNotRun = !call.mayHaveRun && call.attemptsInFlight == 0;
    boolean deduplicatedEverywhere =
        call.callClass.idempotency() == Idempotency.DEDUPLICATED
            && call.callClass.dedupScope() == DedupScope.ALL;
    if (provedNotRun
        || call.callClass.idempotency() == Idempotency.IDEMPOTENT
        || deduplicatedEverywhere) {
      refuse(call);
    } else {
      emit(new Fail(call.event.id()));
      close(call);
    }
  }

  private void refuse(PendingCall call) {
    long maxRetryAfter =
        settings.limits().retryAfterAllowed() ? settings.limits().maxRetryAfter() : 0;
    emit(new Refuse(call.event.id(), (long) (random.nextDouble() * maxRetryAfter)));
    close(call);
  }

  private void close(PendingCall call) {
    if (call != null && !call.closed) {
      pendingCalls.remove(call.event.id());
      heldCalls.remove(call);
      call.closed = true;
      functions.release(call.function);
    }
  }

  // ---------------------------------------------------------------- preloads

  /**
   * Checks every preload against two rules: a draining worker gets nothing new, and the number of
   * preloads per window is limited. A preload counts when it arrives, and it may wait for a
   * connection first, so those sent up to a connect timeout before the window count as well. A
   * preload for a silent worker might arrive seconds later, once the worker is reachable again.
   */
  private boolean mayPreload(Worker worker) {
    LoadPolicy policy = settings.loadPolicy();
    removeUpTo(callTimes, now - policy.preloadWindow());
    removeUpTo(
        preloadTimes,
        now - policy.preloadWindow() - settings.limits().connectTimeout() - TICK_MICROS);
    return policy.mayPreload()
        && worker.state == WorkerState.READY
        && !worker.benched
        && worker.lastUnresponsiveAt <= worker.lastOkAt
        && !isDrainSuspected(worker)
        && (policy.preloadWindow() <= 0
            || preloadTimes.size() + 1
                <= policy.freePreloads() + policy.preloadsPerCall() * callTimes.size());
  }

  /**
   * Preloads a further home before it is needed. The first home is preloaded too where copies come
   * only from preloads, or where the load would outlast the calls of a function in use: those calls
   * may not start it, so the copy would never be loaded.
   */
  private void preloadHome(Function function, PendingCall call) {
    removeUpTo(callTimes, now - Math.max(SECOND, settings.loadPolicy().preloadWindow()));
    int homes = homeCount(function);
    // One of many front ends sees only few of the calls.
    boolean inUse = frontEndCount * recentCalls(function) >= MIN_PRELOAD_CALLS;
    boolean unserved = shedFraction == 0 && inUse && now - function.lastServedAt > idleRetention();
    // All front ends want the same further homes, so most preloads would find a copy that another
    // one had loaded.
    boolean mayPreloadFurtherHome =
        homes > 1 && random.nextDouble() * shareDivisor < PRELOADING_FRONT_ENDS;
    for (int i = 0; i < readyWorkers.length && settings.loadPolicy().mayPreload(); i++) {
      Worker worker = readyWorkers[i];
      Copy copy = worker.copies.get(function.id);
      boolean neverLoads = unserved && heldCalls.contains(call) && loadOutlastsCall(call, worker);
      boolean wanted =
          homeRank(function, worker) < homes
              && (mayPreloadFurtherHome || neverLoads || !settings.loadPolicy().loadsOnMiss());
      boolean absent =
          copy == null || copy.expectedReadyAt == 0 && now - copy.seenLoadedAt > idleRetention();
      if (wanted && absent && mayPreload(worker)) {
        sendPreload(worker, function, expectedLoadWait(call, worker));
        return;
      }
    }
  }

  private void sendPreload(Worker worker, Function function, double wait) {
    preloadTimes.add(now);
    worker.copies.computeIfAbsent(function.id, id -> new Copy()).expectedReadyAt =
        now + (long) wait;
    emit(new Preload(worker.id, function.id, 1));
  }

  // ---------------------------------------------------------------- lease renewal

  /**
   * Renews expiring leases. While the source of the worker list is unreachable, a worker may be
   * sent work only as long as it keeps accepting some. It gets a preload of a copy that it probably
   * holds, within the preload limit, and otherwise the next suitable call; this costs the worker
   * almost nothing. Where no copy is likely, only a few of all front ends start a load. The
   * preloads are spread over the preload window: all at once they would use up the limit before the
   * leases that expire next.
   */
  private void onExpiring(LeasesExpiring event) {
    List<Worker> urgent = new ArrayList<>();
    List<Worker> idle = new ArrayList<>();
    List<Worker> others = new ArrayList<>();
    for (int i = 0; i < event.workers().size(); i++) {
      Worker worker = workers.get(event.workers().get(i));
      if (worker != null && worker.state == WorkerState.READY) {
        (now - worker.lastOkAt > 2 * DEFAULT_IDLE_RETENTION_MICROS
                ? idle
                : i < event.urgent() ? urgent : others)
            .add(worker);
      }
    }
    expiringWorkers.clear();
    // If not all leases can be kept, the workers in use keep theirs.
    expiringWorkers.addAll(urgent);
    expiringWorkers.addAll(idle);
    expiringWorkers.addAll(others);
    LoadPolicy policy = settings.loadPolicy();
    double minInterval =
        policy.preloadWindow()
            / Math.max(1, policy.freePreloads() + policy.preloadsPerCall() * callTimes.size());
    for (Worker worker : expiringWorkers) {
      Function function =
          now - lastRenewalAt >= minInterval && mayPreload(worker) ? renewalFunction(worker) : null;
      if (function != null) {
        lastRenewalAt = now;
        sendPreload(
            worker,
            function,
            loadedProbability(function, worker) >= 0.5 ? 0 : function.loadTime * loadTimeRatio);
      }
    }
  }

  /**
   * Returns the most used function of which the worker probably holds a copy. Without one, returns
   * the most used function of all if a load is allowed, since its calls can renew the lease from
   * then on. Null if there is none.
   */
  private Function renewalFunction(Worker worker) {
    boolean mayStartLoad =
        loadsInFlight < Math.min(loadLimit, maxLoadsInFlight())
            && random.nextDouble() * shareDivisor < PRELOADING_FRONT_ENDS;
    Function best = null;
    boolean bestLoaded = false;
    double mostCalls = 0;
    for (Function function : functions.all()) {
      if (!function.wasCalled()) {
        continue;
      }
      boolean loaded = loadedProbability(function, worker) >= 0.5;
      double calls = recentCalls(function);
      if (loaded && !bestLoaded
          || loaded == bestLoaded && (loaded || mayStartLoad) && calls > mostCalls) {
        best = function;
        bestLoaded = loaded;
        mostCalls = calls;
      }
    }
    return best;
  }

  /**
   * Returns a worker whose lease expires soon and that has a free lane of a loaded copy of the
   * call's function, or null. Where preloads are not allowed, any suitable worker will do for an
   * idempotent call.
   */
  private Worker renewalWorker(PendingCall call) {
    for (Worker worker : expiringWorkers) {
      boolean skipped =
          worker.benched
              || now < worker.rejectedUntil[tenantClassIndex(call)]
              || isDrainSuspected(worker)
              || call.triedWorkers.contains(worker);
      if (skipped
          || !maySend(call, worker)
          || loadOutlastsCall(call, worker)
          || loadLimitReached(call, worker)) {
        continue;
      }
      boolean loaded =
          loadedProbability(call.function, worker) >= 0.5
              && busyLanes(call.function, worker) < call.function.lanes;
      if (loaded
          || !settings.loadPolicy().mayPreload()
              && call.callClass.idempotency() == Idempotency.IDEMPOTENT) {
        return worker;
      }
    }
    return null;
  }

  // ---------------------------------------------------------------- health

  /**
   * Updates the worker's latency and health, the copy, the function and the policy from an outcome.
   */
  private void recordOutcome(Worker worker, Attempt attempt, AttemptOutcome outcome) {
    Function function = attempt.call.function;
    if (outcome.code() == OutcomeCode.OK) {
      worker.lastOkAt = now;
      onAccepted(worker, attempt);
      hallBenched[hallIndex(worker)] = false;
      meanDuration += SLOW_MEAN_STEP * (attempt.warmDuration - meanDuration);
      boolean loaded =
          outcome.copyStatus() == CopyStatus.WARM
              || outcome.copyStatus() == CopyStatus.NONE
                  && !attempt.expectsLoad
                  && outcome.elapsed() < attempt.expectedTime + attempt.loadTime / 2;
      if (loaded) {
        worker.latencyRatio +=
            FAST_MEAN_STEP
                * (clamp(outcome.elapsed() / attempt.warmDuration, 0, 6) - worker.latencyRatio);
        function.duration.add(outcome.elapsed(), SLOW_MEAN_STEP);
        classDuration[attempt.call.event.callClass()].add(outcome.elapsed(), SLOW_MEAN_STEP);
        if (attempt.call.event.expectedDuration() > 0) {
          classHintRatio[attempt.call.event.callClass()].add(
              outcome.elapsed() / (double) attempt.call.event.expectedDuration(), SLOW_MEAN_STEP);
        }
      } else if (outcome.copyStatus() == CopyStatus.BEGAN_LOAD
          || outcome.copyStatus() == CopyStatus.NONE && attempt.expectsLoad) {
        double loadTime =
            Math.max(0, outcome.elapsed() - attempt.warmDuration * worker.latencyRatio);
        classLoadTime[attempt.call.event.callClass()] +=
            FAST_MEAN_STEP * (loadTime - classLoadTime[attempt.call.event.callClass()]);
        if (function.loadTime > 0) {
          loadTimeRatio +=
              FAST_MEAN_STEP * (clamp(loadTime / function.loadTime, 0.5, 4) - loadTimeRatio);
        }
      }
      recordLoad(
          attempt,
          outcome.elapsed() - attempt.warmDuration * worker.latencyRatio
              < SLOW_LOAD_RATIO * attempt.loadTime);
      warmServed += isCold(worker) ? 0 : 1 / Math.max(worker.size, warmCapacity);
      // Waiting for a load is no sign that the workers lack CPU.
      if (loaded) {
        addPressure(outcome.elapsed() / (double) attempt.call.callClass.latencyTarget());
      }
      attempt.copy.seenLoadedAt = now;
      attempt.copy.confidence = 1;
      attempt.copy.expectedReadyAt = 0;
      worker.rejectionBackoff[tenantClassIndex(attempt.call)] = 0;
    } else if (outcome.code() == OutcomeCode.TIMEOUT || outcome.code() == OutcomeCode.CANCELLED) {
      worker.latencyRatio +=
          FAST_MEAN_STEP
              * Math.max(
                  0, clamp(outcome.elapsed() / attempt.warmDuration, 0, 6) - worker.latencyRatio);
    } else if (outcome.code() == OutcomeCode.MISS
        || outcome.copyStatus() == CopyStatus.LOAD_FAILED) {
      attempt.copy.seenLoadedAt = 0;
      attempt.copy.expectedReadyAt = 0;
      recordLoad(attempt, false);
    } else if (outcome.code() == OutcomeCode.FULL) {
      onRejected(worker, attempt);
      detectDrain(worker, attempt, outcome.concurrency());
    }
    // Where workers do not report their concurrency, an absent value must not be read as 0.
    if (outcome.concurrency() >= 0 && settings.loadPolicy().reportsConcurrency()) {
      attempt.copy.peerCalls +=
          0.5
              * (Math.max(0, outcome.concurrency() - attempt.ownCallsBefore)
                  - attempt.copy.peerCalls);
      attempt.copy.concurrencyReportedAt = now;
    }
    boolean disconnected =
        outcome.code() == OutcomeCode.CONNECT_FAILED || outcome.code() == OutcomeCode.RESET;
    // An error for a function that was never served says something about the function or the
    // client, not about the worker.
    boolean error =
        outcome.code() == OutcomeCode.ERROR
            && outcome.copyStatus() != CopyStatus.LOAD_FAILED
            && function.lastServedAt > 0;
    boolean failed = disconnected || outcome.code() == OutcomeCode.TIMEOUT || error;
    if (outcome.code() == OutcomeCode.OK) {
      function.lastServedAt = now;
      functions.onServed(function);
    }
    if (failed) {
      // All attempts that fail with one lost connection count once.
      worker.failureRate +=
          attempt.missedDeadlines > 0 && !disconnected
                  || disconnected && now - worker.lastConnectionLossAt < TICK_MICROS
              ? 0
              : (outcome.code() == OutcomeCode.CONNECT_FAILED
                      ? CONNECT_FAILURE_STEP
                      : FAILURE_RATE_STEP)
                  * (1 - worker.failureRate);
      worker.lastConnectionLossAt = disconnected ? now : worker.lastConnectionLossAt;
      worker.lastUnresponsiveAt = error ? worker.lastUnresponsiveAt : now;
      if (worker.benched) {
        worker.trialBackoff = Math.min(MAX_TRIAL_BACKOFF_MICROS, 2 * worker.trialBackoff);
        worker.nextTrialAt = now + worker.trialBackoff;
      }
    } else if (outcome.code() == OutcomeCode.OK) {
      worker.failureRate *= worker.benched ? 0.4 : 1 - FAILURE_RATE_STEP;
    }
    recordReward(attempt, outcome, failed);
  }

  /**
   * Benches workers whose failure rate exceeds that of the better ones, be it by outcomes or by
   * silence. When nearly all look unhealthy the cause is probably a common one, and all stay in
   * use.
   */
  private void updateHealth() {
    double[] failureRates = new double[readyWorkers.length];
    double memorySeconds =
        clamp(
            LATENCY_RATIO_MEMORY_CALLS
                * readyWorkers.length
                * mixWindowSeconds
                / Math.max(1, ownCalls),
            RATE_WINDOW_SECONDS,
            MAX_MIX_WINDOW_SECONDS);
    List<Attempt> lateAttempts = new ArrayList<>();
    loadsInFlight = 0;
    warmCapacity = 0;
    for (int i = 0; i < readyWorkers.length; i++) {
      Worker worker = readyWorkers[i];
      failureRates[i] = worker.failureRate;
      worker.latencyRatio += (1 - worker.latencyRatio) * TICK_MICROS / (memorySeconds * SECOND);
      checkAttemptsInFlight(worker, lateAttempts);
      if (isCold(worker)) {
        refillColdBudget(worker);
      } else {
        warmCapacity += worker.size;
      }
    }
    Arrays.sort(failureRates);
    double better = failureRates.length == 0 ? 0 : failureRates[failureRates.length / 4];
    updateHallHealth();
    int unhealthy = 0;
    int rejecting = 0;
    for (Worker worker : readyWorkers) {
      rejecting += now < worker.drainSuspectedUntil ? 1 : 0;
      boolean hallIsBenched = hallBenched[hallIndex(worker)];
      boolean unhealthyNow =
          hallIsBenched
              || worker.failureRate - better
                  > (worker.benched ? BENCH_FAILURE_RATE_EXCESS / 2 : BENCH_FAILURE_RATE_EXCESS);
      if (unhealthyNow && !worker.benched) {
        worker.trialBackoff = MIN_TRIAL_WAIT_MICROS;
        worker.nextTrialAt =
            worker.reportedUnhealthy ? worker.nextTrialAt : now + MIN_TRIAL_WAIT_MICROS;
        log("worker " + (worker.id & 0xffffffffL) + " benched: failing or silent");
      }
      worker.benched = unhealthyNow;
      unhealthy += unhealthyNow ? 1 : 0;
    }
    commonFailure = unhealthy > COMMON_FAILURE_SHARE * readyWorkers.length;
    commonRejection = rejecting > COMMON_REJECTION_SHARE * readyWorkers.length;
    lateAttempts.forEach(this::hedge);
  }

  /**
   * Benches a hall whose workers fail one after another, until one of them serves a call or
   * restarts. A front end with few calls would otherwise detect each failed worker separately, and
   * too late. The drawback: a hall is benched wrongly if just those workers fail that were called.
   */
  private void updateHallHealth() {
    int[] failing = new int[hallBenched.length];
    int[] serving = new int[hallBenched.length];
    int[] total = new int[hallBenched.length];
    for (Worker worker : readyWorkers) {
      total[hallIndex(worker)]++;
      failing[hallIndex(worker)] +=
          worker.lastUnresponsiveAt > worker.lastOkAt
                  && now - worker.lastUnresponsiveAt < HALL_WINDOW_MICROS
              ? 1
              : 0;
      serving[hallIndex(worker)] +=
          worker.lastOkAt >= worker.lastUnresponsiveAt
                  && now - worker.lastOkAt < HALL_WINDOW_MICROS / 2
              ? 1
              : 0;
    }
    for (int hall = 0; hall < hallBenched.length; hall++) {
      boolean fails =
          failing[hall] >= MIN_HALL_FAILURES && failing[hall] > MIN_HALL_FAILURES * serving[hall];
      // If there is only one hall, no other could take its calls.
      if (!hallBenched[hall] && fails && total[hall] < readyWorkers.length) {
        hallBenched[hall] = true;
        hallNextTrialAt[hall] = now + MIN_TRIAL_WAIT_MICROS;
        log(
            "hall "
                + hall
                + " benched: "
                + failing[hall]
                + " of its workers fail, "
                + serving[hall]
                + " serve");
      }
    }
  }

  /**
   * Sends a second attempt for a call whose only attempt is late, to a worker that very probably
   * has a loaded copy, if the class allows it: a slow or silent worker or a lost answer should not
   * cost the call its latency target. It wastes work where the call itself is long, so it is paid
   * from the retry budget and is not done while calls are shed.
   */
  private void hedge(Attempt attempt) {
    PendingCall call = attempt.call;
    boolean allowed =
        settings.limits().hedgingAllowed()
            && call.callClass.idempotency() != Idempotency.NOT_IDEMPOTENT
            && shedFraction == 0;
    if (!allowed || call.closed || call.attemptsInFlight != 1 || retryBudget < 1) {
      return;
    }
    boolean ranBefore = call.mayHaveRun;
    call.hedged = true;
    // The first attempt is in flight, so a deduplicated call has to stay in its dedup scope.
    call.recordPossibleRun(attempt);
    Worker worker = sampleWorker(call, false);
    call.mayHaveRun = ranBefore;
    if (worker != null && loadedProbability(call.function, worker) > MAX_INFERRED_PROBABILITY) {
      call.recordPossibleRun(attempt);
      retryBudget--;
      send(call, worker);
    }
  }

  /**
   * Returns the index of the call's tenant and class. A worker may reject the calls of one such
   * pair while it serves others.
   */
  private int tenantClassIndex(PendingCall call) {
    return call.event.tenant() % Math.max(1, settings.tenants().size()) * settings.classes().size()
        + call.event.callClass();
  }

  /**
   * Makes calls of the same tenant and class skip the worker for a time that grows with repeated
   * rejections. A full worker answers at once and holds few of our calls, so it would otherwise
   * attract more of them. This covers any fast rejection, also of one tenant only. The drawback: it
   * also affects other functions when just one is full.
   */
  private void onRejected(Worker worker, Attempt attempt) {
    int index = tenantClassIndex(attempt.call);
    if (now >= worker.rejectedUntil[index]) {
      worker.rejectionBackoff[index] =
          Math.min(
              MAX_REJECTION_BACKOFF_MICROS,
              Math.max(2 * worker.rejectionBackoff[index], (long) (attempt.warmDuration / 4)));
      worker.rejectedUntil[index] = now + worker.rejectionBackoff[index];
    }
    addPressure(REJECTION_PRESSURE);
  }

  /**
   * Detects a worker that probably drains although the list does not say so: it rejects everything
   * and runs no call of the requested functions, whereas a full worker is busy. All calls skip it,
   * for a time that doubles while the next call after it is rejected too. The drawback: a worker
   * without free memory looks the same. Where answers do not report concurrency the two cannot be
   * told apart, and nothing is done.
   */
  private void detectDrain(Worker worker, Attempt attempt, int concurrency) {
    if (!settings.loadPolicy().reportsConcurrency() || concurrency != 0) {
      worker.consecutiveRejections = 0;
      return;
    }
    worker.consecutiveRejections++;
    worker.firstRejectionAt = worker.consecutiveRejections == 1 ? now : worker.firstRejectionAt;
    worker.lastRejectedSentAt = Math.max(worker.lastRejectedSentAt, attempt.sentAt);
    if (worker.consecutiveRejections >= MIN_DRAIN_REJECTIONS
        && now - worker.firstRejectionAt >= MIN_DRAIN_WINDOW_MICROS
        && now >= worker.drainSuspectedUntil) {
      worker.drainBackoff =
          Math.min(MAX_DRAIN_BACKOFF_MICROS, Math.max(2 * worker.drainBackoff, SECOND));
      worker.drainSuspectedUntil = now + worker.drainBackoff;
    }
  }

  /**
   * Returns whether the worker is skipped as probably draining. Not while most workers reject
   * everything, which a load peak explains.
   */
  private boolean isDrainSuspected(Worker worker) {
    return now < worker.drainSuspectedUntil && !commonRejection;
  }

  /**
   * Handles an accepted call. One that was sent after all rejected ones shows that the worker
   * accepts work.
   */
  private void onAccepted(Worker worker, Attempt attempt) {
    if (attempt.sentAt > worker.lastRejectedSentAt) {
      worker.consecutiveRejections = 0;
      worker.drainBackoff = 0;
      worker.drainSuspectedUntil = 0;
    }
  }

  /**
   * Counts an attempt that is in flight for much longer than expected as a failure, and again after
   * each further such interval. This detects hangs and lost answers before any timeout. The ages of
   * the attempts also show a slow worker before its answers do. The drawback: a single very long
   * call counts as a failure too.
   */
  private void checkAttemptsInFlight(Worker worker, List<Attempt> lateAttempts) {
    double ageSum = 0;
    double expectedSum = 0;
    for (Attempt attempt : worker.attempts.values()) {
      double expected =
          Math.max(attempt.warmDuration, classDuration[attempt.call.event.callClass()].value);
      // The estimate that a copy is loaded may be wrong, so the load time is allowed for in any
      // case.
      double excess = now - attempt.sentAt - (attempt.expectsLoad ? 1.5 : 1) * attempt.loadTime;
      expectedSum += expected;
      // A load that hangs does not count.
      loadsInFlight +=
          attempt.startsLoad && now - attempt.sentAt < OVERDUE_RATIO * attempt.loadTime ? 1 : 0;
      ageSum += Math.max(0, excess + (attempt.expectsLoad ? 0 : attempt.loadTime));
      if (excess
          > (attempt.missedDeadlines + 1)
              * OVERDUE_RATIO
              * expected
              * Math.max(1, worker.latencyRatio)) {
        attempt.missedDeadlines++;
        worker.lastUnresponsiveAt = now;
        worker.failureRate += FAILURE_RATE_STEP * (1 - worker.failureRate);
      }
      if (now - attempt.sentAt
          > Math.max(
              OVERDUE_RATIO * expected * Math.max(1, worker.latencyRatio),
              MIN_HEDGE_DELAY_SHARE * attempt.call.callClass.latencyTarget())) {
        lateAttempts.add(attempt);
      }
    }
    worker.inFlightLatencyRatio = ageSum / Math.max(1, expectedSum);
  }

  /**
   * Returns a benched worker that is due for a trial, or null. Trials are single, idempotent calls
   * that show whether the worker has recovered.
   */
  private Worker trialWorker(PendingCall call) {
    if (call.callClass.idempotency() != Idempotency.IDEMPOTENT
        || call.attemptsSent > 0
        || commonFailure) {
      return null;
    }
    for (Worker worker : readyWorkers) {
      int hall = hallIndex(worker);
      boolean due =
          now >= worker.nextTrialAt && (!hallBenched[hall] || now >= hallNextTrialAt[hall]);
      if (worker.benched && due && maySend(call, worker) && !loadOutlastsCall(call, worker)) {
        worker.nextTrialAt = now + worker.trialBackoff;
        hallNextTrialAt[hall] = now + MIN_TRIAL_WAIT_MICROS;
        return worker;
      }
    }
    return null;
  }

  // ---------------------------------------------------------------- admission

  /**
   * Decides whether to refuse an arriving call. While calls are shed, those with the least value
   * for their work are refused. The value of a call in excess of its tenant's quota is multiplied
   * by {@code overShareValueFactor}.
   */
  private boolean shouldShed(PendingCall call) {
    meanLatencyTarget += SLOW_MEAN_STEP * (call.callClass.latencyTarget() - meanLatencyTarget);
    double value = valueOf(call);
    double below = 0;
    int count = Math.min(recentValueCount, RECENT_VALUE_COUNT);
    double tie = random.nextDouble();
    for (int i = 0; i < count; i++) {
      below += recentValues[i] < value ? 1 : recentValues[i] == value ? tie : 0;
    }
    recentValues[recentValueCount++ % RECENT_VALUE_COUNT] = value;
    return (below + random.nextDouble()) / (count + 1) < shedFraction;
  }

  private double valueOf(PendingCall call) {
    double value = call.callClass.value();
    if (!settings.tenants().isEmpty() && call.event.tenant() < tenantCallRate.length) {
      tenantCallRate[call.event.tenant()] += 1 / RATE_WINDOW_SECONDS;
      double quota = settings.tenants().get(call.event.tenant()).quotaPerSecond() / shareDivisor;
      boolean overShare = random.nextDouble() < 1 - quota / tenantCallRate[call.event.tenant()];
      value *= overShare ? settings.overShareValueFactor() : 1;
    }
    return settings.valueByWork() ? value : value / warmDuration(call);
  }

  private void addPressure(double latencyOverTarget) {
    pressureSum += Math.min(4, latencyOverTarget);
    pressureCount++;
  }

  /**
   * Controls the shed fraction so that the mean latency over the latency target stays below a
   * bound. The latency is taken from the answers of the last second and, sooner, from Little's law:
   * calls in flight over the rate of answers. Both are shrunk towards a few answers in time.
   */
  private void updateShedding() {
    // An idle front end has the prior pressure.
    double callsInFlight = PRESSURE_PRIOR_CALLS * PRESSURE_PRIOR * meanLatencyTarget / SECOND;
    for (Worker worker : readyWorkers) {
      // Attempts on an unhealthy worker and those that wait for a load are no sign of overload.
      for (Attempt attempt : worker.attempts.values()) {
        callsInFlight +=
            worker.benched
                    || attempt.call.closed
                    || attempt.expectsLoad
                        && now - attempt.sentAt < OVERDUE_RATIO * attempt.loadTime
                ? 0
                : 1;
      }
    }
    double observedPressure =
        (pressureSum + PRESSURE_PRIOR_CALLS * PRESSURE_PRIOR)
            / (pressureCount + PRESSURE_PRIOR_CALLS);
    double littlePressure =
        callsInFlight * SECOND / (pressureCount + PRESSURE_PRIOR_CALLS) / meanLatencyTarget;
    double error =
        Math.max(observedPressure, Math.min(littlePressure, MAX_LITTLE_RATIO * observedPressure))
            - MAX_PRESSURE;
    if (shedFraction == 0 && error > 0) {
      log(
          "shedding load: answers take "
              + Math.round(100 * (error + MAX_PRESSURE))
              + "% of their latency target");
    }
    shedFraction =
        clamp(
            shedFraction
                + (error > 0 ? Math.min(MAX_SHED_INCREASE, SHED_GAIN * error) : -SHED_DECREASE),
            0,
            MAX_SHED_FRACTION);
    pressureSum *= PRESSURE_DECAY;
    pressureCount *= PRESSURE_DECAY;
  }

  // ---------------------------------------------------------------- learning

  /**
   * Adds a completed attempt to the batch. The reward is minus the latency as a share of the time
   * allowed, and -1 for a failure.
   */
  private void recordReward(Attempt attempt, AttemptOutcome outcome, boolean failed) {
    if (attempt.gradient != null && (outcome.code() == OutcomeCode.OK || failed)) {
      double allowed = Math.max(1, attempt.call.deadline - attempt.sentAt);
      attempt.reward = failed ? -1 : -Math.min(1, outcome.elapsed() / allowed);
      batch.add(attempt);
    }
    if (batch.size() == BATCH_SIZE) {
      updatePolicy();
      batch.clear();
    }
  }

  /**
   * Updates critic and weights from one batch, with clipping as in PPO. The ratio of new to old
   * probability is approximated to first order in the change of the weights.
   */
  private void updatePolicy() {
    double[] old = weights.clone();
    for (Attempt attempt : batch) {
      attempt.advantage =
          attempt.reward - dot(critic, attempt.meanFeatures) - critic[FEATURE_COUNT];
      advantageScale += SLOW_MEAN_STEP / 4 * (Math.abs(attempt.advantage) - advantageScale);
      for (int k = 0; k < FEATURE_COUNT; k++) {
        critic[k] += CRITIC_LEARNING_RATE * attempt.advantage * attempt.meanFeatures[k];
      }
      critic[FEATURE_COUNT] += CRITIC_LEARNING_RATE * attempt.advantage;
    }
    for (int epoch = 0; epoch < EPOCHS; epoch++) {
      for (Attempt attempt : batch) {
        double ratio =
            StrictMath.exp(
                clamp(dot(weights, attempt.gradient) - dot(old, attempt.gradient), -5, 5));
        boolean clipped = attempt.advantage > 0 ? ratio > 1 + CLIP_RANGE : ratio < 1 - CLIP_RANGE;
        double stepSize =
            LEARNING_RATE
                / BATCH_SIZE
                * clamp(attempt.advantage / (advantageScale + 0.01), -3, 3)
                * ratio;
        for (int k = 0; k < FEATURE_COUNT && !clipped; k++) {
          weights[k] += stepSize * attempt.gradient[k];
        }
      }
    }
    for (int k = 0; k < FEATURE_COUNT; k++) {
      double maxDrift = MAX_WEIGHT_DRIFT * Math.abs(INITIAL_WEIGHTS[k]) + MAX_WEIGHT_DRIFT;
      weights[k] =
          clamp(
              weights[k] + WEIGHT_DECAY * (INITIAL_WEIGHTS[k] - weights[k]),
              INITIAL_WEIGHTS[k] - maxDrift,
              INITIAL_WEIGHTS[k] + maxDrift);
    }
  }

  // ---------------------------------------------------------------- actions

  private void emit(Action action) {
    actionSink.accept(action);
  }

  private void log(String text) {
    if (now - lastLogAt >= SECOND / 2) {
      lastLogAt = now;
      emit(new Log(text));
    }
  }
}
