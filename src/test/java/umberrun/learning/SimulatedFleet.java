package umberrun.learning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import saddlestall.AdaptiveDispatcher;
import saddlestall.Dispatcher.*;

/**
 * A small simulation of a fleet on a virtual clock: several dispatchers, one for each front end,
 * and workers that load functions on demand, keep them while they are used, and hold a limited
 * number of them. It is deterministic for a given seed. All times are in microseconds.
 */
final class SimulatedFleet {
  static final long MS = 1_000;
  static final long SECOND = 1_000_000;
  private static final int FUNCTIONS = 60;
  private static final int COPIES_PER_WORKER = 24;
  private static final long KEEP_MICROS = 9 * SECOND;
  private static final long LOAD_MICROS = 1_200 * MS;
  private static final long WORK_MICROS = 60 * MS;
  private static final double CALLS_PER_SECOND = 60;
  private static final long CALL_BUDGET_MICROS = 4 * SECOND;
  private static final int ROUND_TRIP_MICROS = 1_000;
  private static final long AIM_MICROS = 400 * MS;

  /** An action at a time; the order of insertion decides between steps of the same time. */
  private record Step(long at, long order, Runnable action) {}

  /** A worker: by function, when its copy is or will be loaded, and when it was last used. */
  private static final class Worker {
    private final Map<Long, Long> loadedAt = new HashMap<>();
    private final Map<Long, Long> lastUsedAt = new HashMap<>();
  }

  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final Random random;
  private final Settings settings;
  private final Worker[] workers;
  private final AdaptiveDispatcher[] dispatchers;
  private final Map<Integer, Long> functionOf = new HashMap<>();
  private final Map<Integer, Integer> attempts = new HashMap<>();
  private long order;
  private int calls;

  /** The current virtual time. */
  long now = 100 * SECOND;

  /** The front end whose calls are counted, -1 for none. */
  int watched = -1;

  /** Number of calls of the watched front end. */
  int taken;

  /** Number of sends of the watched front end to a worker without a loaded copy. */
  int metLoad;

  /** Workers that do not answer. */
  final Set<Integer> silent = new HashSet<>();

  /** Number of sends to silent workers. */
  int metSilent;

  /** By worker, the factor by which it is slower than the others. */
  final Map<Integer, Double> slow = new HashMap<>();

  /** Number of calls that were answered within the aim. */
  int timely;

  /** Number of calls that have ended. */
  int over;

  /** By front end, when it first logged that it benched the watched worker. */
  final Map<Integer, Long> benchedAt = new HashMap<>();

  /** By front end, when the watched worker first served it since this map was cleared. */
  final Map<Integer, Long> servedBy = new HashMap<>();

  /** The worker for {@link #benchedAt} and {@link #servedBy}, -1 for none. */
  int watchedWorker = -1;

  private final double callsPerSecond;
  private final Map<Integer, Long> startedAt = new HashMap<>();

  /** The worker that answers every call with an error, -1 for none. */
  int failing = -1;

  /** Number of sends of the watched front end to the failing worker. */
  int metError;

  SimulatedFleet(long seed, int instanceCount, int workerCount) {
    this(seed, instanceCount, workerCount, CALLS_PER_SECOND);
  }

  SimulatedFleet(long seed, int instanceCount, int workerCount, double callsPerSecond) {
    this.callsPerSecond = callsPerSecond;
    random = new Random(seed);
    CallClass kind =
        new CallClass(
            AIM_MICROS, 0, 4 * SECOND, Idempotency.IDEMPOTENT, DedupScope.ALL, 0, 1, 0.2, false);
    settings =
        new Settings(
            0,
            instanceCount,
            0,
            List.of(kind),
            List.of(new Tenant(1, 1_000)),
            0.1,
            false,
            false,
            WeightKind.SILENT,
            List.of(),
            new Limits(true, true, true, false, true, SECOND, 6, 250 * MS),
            new Rules(16 * MS, 10 * SECOND, SECOND, 17 * SECOND, 0.18, SECOND, 2),
            new LoadPolicy(true, true, 5 * SECOND, 4, 0.15, KEEP_MICROS, true, true, 0.05),
            new LoadReportFormat(ReportDelivery.PROBES, List.of()),
            new Costs(0.02, 0.02, 0.16, 0.05, 0.027, 0));
    workers = new Worker[workerCount];
    for (int i = 0; i < workerCount; i++) {
      workers[i] = new Worker();
    }
    dispatchers = new AdaptiveDispatcher[instanceCount];
    for (int i = 0; i < instanceCount; i++) {
      start(i);
      arrive(i);
    }
  }

  /** Starts or restarts a front end, which knows nothing but the worker list. */
  void start(int instance) {
    List<WorkerEntry> workerList = new ArrayList<>();
    for (int w = 0; w < workers.length; w++) {
      workerList.add(new WorkerEntry(w * 0x9E3779B1, w % 3, 0, 0, WorkerState.READY, 1, 0));
    }
    AdaptiveDispatcher[] self = new AdaptiveDispatcher[1];
    Consumer<Action> out = a -> act(instance, self[0], a);
    List<Action> first = new ArrayList<>();
    self[0] = new AdaptiveDispatcher(settings, random.nextLong(), now, first::add);
    dispatchers[instance] = self[0];
    first.forEach(out);
    self[0].handle(now, new WorkerListUpdate(ListKind.FULL, workerList), out);
  }

  /** Tells each front end how many front ends there are. */
  void setFleetSize(double count) {
    for (int i = 0; i < dispatchers.length; i++) {
      handle(i, dispatchers[i], new FleetSizeUpdate(count, count));
    }
  }

  /** Sends the observations of one front end to another; they arrive {@code age} old. */
  void learn(int instance, int from, long age, FactHalfLife halfLives) {
    AdaptiveDispatcher dispatcher = dispatchers[instance];
    dispatchers[from].exportObservations(
        now,
        observation -> {
          if (observation instanceof CopyObservation c) {
            dispatcher.handle(
                now,
                new CopyObservation(
                    c.worker(),
                    c.function(),
                    c.age() + age,
                    halfLives.weight(Fact.Kind.COPY, c.age() + age)),
                a -> act(instance, dispatcher, a));
          } else if (observation instanceof FunctionObservation f) {
            dispatcher.handle(
                now,
                new FunctionObservation(
                    f.function(),
                    f.callClass(),
                    f.lanes(),
                    f.loadTime(),
                    f.recentCalls(),
                    f.age() + age,
                    halfLives.weight(Fact.Kind.FUNCTION, f.age() + age)),
                a -> act(instance, dispatcher, a));
          } else if (observation instanceof WorkerObservation w) {
            dispatcher.handle(
                now,
                new WorkerObservation(
                    w.worker(),
                    w.latencyRatio(),
                    w.failureRate(),
                    age,
                    halfLives.weight(Fact.Kind.WORKER, age)),
                a -> act(instance, dispatcher, a));
          }
        });
  }

  private void at(long when, Runnable action) {
    steps.add(new Step(when, order++, action));
  }

  /** Runs the simulation for {@code duration}. */
  void run(long duration) {
    long end = now + duration;
    while (!steps.isEmpty() && steps.peek().at <= end) {
      Step step = steps.poll();
      now = step.at;
      step.action.run();
    }
    now = end;
  }

  /** Schedules the next call to a front end, after an exponentially distributed time. */
  private void arrive(int instance) {
    at(
        now
            + (long)
                (-Math.log(1 - random.nextDouble()) * SECOND / callsPerSecond * dispatchers.length),
        () -> {
          long function = 1 + (long) (FUNCTIONS * random.nextDouble() * random.nextDouble());
          AdaptiveDispatcher dispatcher = dispatchers[instance];
          taken += instance == watched ? 1 : 0;
          functionOf.put(calls, function);
          startedAt.put(calls, now);
          dispatcher.handle(
              now,
              new CallArrival(
                  calls++,
                  CALL_BUDGET_MICROS,
                  0,
                  function,
                  4,
                  512,
                  0,
                  0,
                  false,
                  false,
                  LOAD_MICROS),
              a -> act(instance, dispatcher, a));
          arrive(instance);
        });
  }

  /** Carries out an action of a dispatcher. */
  private void act(int instance, AdaptiveDispatcher dispatcher, Action action) {
    // A dispatcher that was replaced by a restart has no effect any more.
    if (dispatcher != dispatchers[instance]) {
      return;
    }
    if (action instanceof StartTimer timer) {
      at(
          now + Math.max(1, timer.delay()),
          () -> handle(instance, dispatcher, new TimerFired(timer.token())));
    } else if (action instanceof Log log
        && log.text().startsWith("worker ")
        && log.text().contains("benched")) {
      if (watchedWorker >= 0
          && log.text().startsWith("worker " + (id(watchedWorker) & 0xffffffffL) + " ")) {
        benchedAt.putIfAbsent(instance, now);
      }
    } else if (action instanceof Refuse refuse) {
      over += startedAt.remove(refuse.call()) == null ? 0 : 1;
    } else if (action instanceof Fail fail) {
      over += startedAt.remove(fail.call()) == null ? 0 : 1;
    } else if (action instanceof Send send) {
      execute(instance, dispatcher, send);
    } else if (action instanceof Preload preload) {
      long loadedAt = load(worker(preload.worker()), preload.function());
      at(
          Math.max(now + MS, loadedAt),
          () ->
              handle(
                  instance,
                  dispatcher,
                  new PreloadResult(0, 1, preload.worker(), OutcomeCode.OK, preload.function())));
    }
  }

  /** Passes an event to a dispatcher, unless it was replaced by a restart. */
  private void handle(int instance, AdaptiveDispatcher dispatcher, Event event) {
    if (dispatcher == dispatchers[instance]) {
      dispatcher.handle(now, event, a -> act(instance, dispatcher, a));
    }
  }

  /** Returns the identifier that the dispatchers use for a worker. */
  private static int id(int worker) {
    return worker * 0x9E3779B1;
  }

  /**
   * Probes a worker.
   *
   * @param listener receives whether the worker answered, and the duration of the probe
   */
  void probe(int worker, BiConsumer<Boolean, Long> listener) {
    long sentAt = now;
    boolean answers = !silent.contains(worker);
    long duration =
        answers
            ? (long)
                (ROUND_TRIP_MICROS * slow.getOrDefault(worker, 1.0) * (5 + random.nextDouble()))
            : 500 * MS;
    at(now + duration, () -> listener.accept(answers, now - sentAt));
  }

  /** Runs an action after a delay. */
  void after(long delay, Runnable action) {
    at(now + delay, action);
  }

  /** Sends an observation of a worker to all front ends. */
  void broadcast(int worker, double latencyRatio, double failureRate, long seenAt, double weight) {
    for (int i = 0; i < dispatchers.length; i++) {
      int instance = i;
      AdaptiveDispatcher dispatcher = dispatchers[i];
      at(
          now + ROUND_TRIP_MICROS,
          () ->
              handle(
                  instance,
                  dispatcher,
                  new WorkerObservation(
                      id(worker), latencyRatio, failureRate, now - seenAt, weight)));
    }
  }

  private Worker worker(int id) {
    for (int w = 0; w < workers.length; w++) {
      if (id(w) == id) {
        return workers[w];
      }
    }
    throw new AssertionError("no such worker");
  }

  /** Lets a worker execute an attempt. */
  private void execute(int instance, AdaptiveDispatcher dispatcher, Send send) {
    Worker worker = worker(send.worker());
    int attempt = attempts.merge(send.call(), 1, Integer::sum) - 1;
    if (failing >= 0 && worker == workers[failing]) {
      metError += instance == watched ? 1 : 0;
      at(
          now + WORK_MICROS,
          () ->
              handle(
                  instance,
                  dispatcher,
                  new AttemptOutcome(
                      send.call(),
                      attempt,
                      send.worker(),
                      OutcomeCode.ERROR,
                      WORK_MICROS,
                      false,
                      CopyStatus.NONE,
                      -1,
                      null)));
      return;
    }
    int workerIndex = List.of(workers).indexOf(worker);
    if (silent.contains(workerIndex)) {
      metSilent++;
      long remaining = startedAt.getOrDefault(send.call(), now) + CALL_BUDGET_MICROS - now;
      long timeout = send.timeout() == 0 ? remaining : Math.min(remaining, send.timeout());
      at(
          now + Math.max(1, timeout),
          () -> {
            boolean callEnds = timeout == remaining && startedAt.remove(send.call()) != null;
            over += callEnds ? 1 : 0;
            handle(
                instance,
                dispatcher,
                new AttemptOutcome(
                    send.call(),
                    attempt,
                    send.worker(),
                    OutcomeCode.TIMEOUT,
                    timeout,
                    callEnds || !startedAt.containsKey(send.call()),
                    CopyStatus.NONE,
                    -1,
                    null));
          });
      return;
    }
    long function = functionOf.get(send.call());
    boolean loaded = isLoaded(worker, function);
    boolean loading = !loaded && worker.loadedAt.getOrDefault(function, 0L) > now;
    long duration =
        Math.max(0, load(worker, function) - now)
            + (long)
                (slow.getOrDefault(workerIndex, 1.0)
                    * (WORK_MICROS / 2 + random.nextDouble() * WORK_MICROS));
    metLoad += instance == watched && !loaded ? 1 : 0;
    CopyStatus copyStatus =
        loaded ? CopyStatus.WARM : loading ? CopyStatus.JOINED_LOAD : CopyStatus.BEGAN_LOAD;
    at(
        now + duration,
        () -> {
          Long callStartedAt = startedAt.remove(send.call());
          over += callStartedAt == null ? 0 : 1;
          timely += callStartedAt != null && now - callStartedAt <= AIM_MICROS ? 1 : 0;
          if (workerIndex == watchedWorker) {
            servedBy.putIfAbsent(instance, now);
          }
          handle(
              instance,
              dispatcher,
              new AttemptOutcome(
                  send.call(),
                  attempt,
                  send.worker(),
                  OutcomeCode.OK,
                  duration,
                  true,
                  copyStatus,
                  1,
                  null));
        });
  }

  /** Whether a worker has a loaded copy of a function that has not expired. */
  private boolean isLoaded(Worker worker, long function) {
    return worker.loadedAt.getOrDefault(function, Long.MAX_VALUE) <= now
        && now - worker.lastUsedAt.get(function) < KEEP_MICROS;
  }

  /**
   * Loads a function at a worker unless there is a copy, replacing the copy that has been idle for
   * longest if the worker is full. Returns when the copy is loaded.
   */
  private long load(Worker worker, long function) {
    worker
        .loadedAt
        .keySet()
        .removeIf(
            f -> worker.loadedAt.get(f) <= now && now - worker.lastUsedAt.get(f) >= KEEP_MICROS);
    if (!worker.loadedAt.containsKey(function)) {
      if (worker.loadedAt.size() >= COPIES_PER_WORKER) {
        worker.loadedAt.remove(
            worker.loadedAt.keySet().stream()
                .min((a, b) -> Long.compare(worker.lastUsedAt.get(a), worker.lastUsedAt.get(b)))
                .orElseThrow());
      }
      worker.loadedAt.put(function, now + LOAD_MICROS);
    }
    worker.lastUsedAt.put(function, Math.max(now, worker.loadedAt.get(function)));
    return worker.loadedAt.get(function);
  }
}
