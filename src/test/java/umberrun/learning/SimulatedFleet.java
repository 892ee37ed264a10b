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
 * A small emulator on a virtual clock: instances of the decision module and workers that load
 * functions when they are asked for, keep them while they are used, and have room for some. One
 * seed, one course of things.
 */
final class SimulatedFleet {
  static final long MS = 1_000;
  static final long SECOND = 1_000_000;
  private static final int FUNCTIONS = 60;
  private static final int ROOM = 24;
  private static final long KEEP = 9 * SECOND;
  private static final long LOAD = 1_200 * MS;
  private static final long WORK = 60 * MS;
  private static final double CALLS_A_SECOND = 60;
  private static final long PATIENCE = 4 * SECOND;
  private static final int ROUND_TRIP = 1_000;

  private record Step(long at, long order, Runnable what) {}

  /** A worker: its copies by when each stands, and when each was last used. */
  private static final class Worker {
    private final Map<Long, Long> standsAt = new HashMap<>();
    private final Map<Long, Long> usedAt = new HashMap<>();
  }

  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final Random random;
  private final Settings settings;
  private final Worker[] workers;
  private final AdaptiveDispatcher[] instances;
  private final Map<Integer, Long> functionOf = new HashMap<>();
  private final Map<Integer, Integer> attempts = new HashMap<>();
  private long order;
  private int calls;
  long now = 100 * SECOND;

  /** Of the calls taken by the instance that is watched: all, and those that met no loaded copy. */
  int watched = -1;

  int taken;
  int metLoad;

  /**
   * Workers that say nothing, and how many sends they have met; those that take so many times as
   * long.
   */
  final Set<Integer> silent = new HashSet<>();

  int metSilent;
  final Map<Integer, Double> slow = new HashMap<>();

  /** Calls that had their answer within the aim, and all that are over. */
  int timely;

  int over;

  /** By instance, when it benched a worker last, in its own words. */
  final Map<Integer, Long> benchedAt = new HashMap<>();

  /** When an instance was first served by the worker that is watched, since this was cleared. */
  final Map<Integer, Long> servedBy = new HashMap<>();

  int watchedWorker = -1;
  private final double callsASecond;
  private final Map<Integer, Long> begunAt = new HashMap<>();

  /**
   * A worker that answers every call with an error, and how many calls of the watched instance met
   * it.
   */
  int failing = -1;

  int metError;

  SimulatedFleet(long seed, int instanceCount, int workerCount) {
    this(seed, instanceCount, workerCount, CALLS_A_SECOND);
  }

  SimulatedFleet(long seed, int instanceCount, int workerCount, double callsASecond) {
    this.callsASecond = callsASecond;
    random = new Random(seed);
    CallClass kind =
        new CallClass(
            400 * MS, 0, 4 * SECOND, Idempotency.IDEMPOTENT, DedupScope.ALL, 0, 1, 0.2, false);
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
            new LoadPolicy(true, true, 5 * SECOND, 4, 0.15, KEEP, true, true, 0.05),
            new LoadReportFormat(ReportDelivery.PROBES, List.of()),
            new Costs(0.02, 0.02, 0.16, 0.05, 0.027, 0));
    workers = new Worker[workerCount];
    for (int i = 0; i < workerCount; i++) {
      workers[i] = new Worker();
    }
    instances = new AdaptiveDispatcher[instanceCount];
    for (int i = 0; i < instanceCount; i++) {
      start(i);
      arrive(i);
    }
  }

  /** An instance starts, or starts anew with nothing but the list of workers. */
  void start(int instance) {
    List<WorkerEntry> members = new ArrayList<>();
    for (int w = 0; w < workers.length; w++) {
      members.add(new WorkerEntry(w * 0x9E3779B1, w % 3, 0, 0, WorkerState.READY, 1, 0));
    }
    AdaptiveDispatcher[] self = new AdaptiveDispatcher[1];
    Consumer<Action> out = a -> act(instance, self[0], a);
    List<Action> first = new ArrayList<>();
    self[0] = new AdaptiveDispatcher(settings, random.nextLong(), now, first::add);
    instances[instance] = self[0];
    first.forEach(out);
    self[0].handle(now, new WorkerListUpdate(ListKind.FULL, members), out);
  }

  /** Tells each instance how many there are. */
  void siblings(double count) {
    for (int i = 0; i < instances.length; i++) {
      tell(i, instances[i], new FleetSizeUpdate(count, count));
    }
  }

  /** One instance learns what another saw, {@code age} ago. */
  void learn(int instance, int from, long age, FactHalfLife calibration) {
    AdaptiveDispatcher module = instances[instance];
    instances[from].exportObservations(
        now,
        k -> {
          if (k instanceof CopyObservation c) {
            module.handle(
                now,
                new CopyObservation(
                    c.worker(),
                    c.function(),
                    c.age() + age,
                    calibration.weight(Fact.Kind.COPY, c.age() + age)),
                a -> act(instance, module, a));
          } else if (k instanceof FunctionObservation f) {
            module.handle(
                now,
                new FunctionObservation(
                    f.function(),
                    f.callClass(),
                    f.lanes(),
                    f.loadTime(),
                    f.recentCalls(),
                    f.age() + age,
                    calibration.weight(Fact.Kind.FUNCTION, f.age() + age)),
                a -> act(instance, module, a));
          } else if (k instanceof WorkerObservation w) {
            module.handle(
                now,
                new WorkerObservation(
                    w.worker(),
                    w.latencyRatio(),
                    w.failureRate(),
                    age,
                    calibration.weight(Fact.Kind.WORKER, age)),
                a -> act(instance, module, a));
          }
        });
  }

  private void at(long when, Runnable what) {
    steps.add(new Step(when, order++, what));
  }

  void run(long span) {
    long end = now + span;
    while (!steps.isEmpty() && steps.peek().at <= end) {
      Step s = steps.poll();
      now = s.at;
      s.what.run();
    }
    now = end;
  }

  private void arrive(int instance) {
    at(
        now
            + (long)
                (-Math.log(1 - random.nextDouble()) * SECOND / callsASecond * instances.length),
        () -> {
          long function = 1 + (long) (FUNCTIONS * random.nextDouble() * random.nextDouble());
          AdaptiveDispatcher module = instances[instance];
          taken += instance == watched ? 1 : 0;
          functionOf.put(calls, function);
          begunAt.put(calls, now);
          module.handle(
              now,
              new CallArrival(calls++, PATIENCE, 0, function, 4, 512, 0, 0, false, false, LOAD),
              a -> act(instance, module, a));
          arrive(instance);
        });
  }

  private void act(int instance, AdaptiveDispatcher module, Action action) {
    if (module != instances[instance]) { // of a life that is over
      return;
    }
    if (action instanceof StartTimer t) {
      at(now + Math.max(1, t.delay()), () -> tell(instance, module, new TimerFired(t.token())));
    } else if (action instanceof Log l
        && l.text().startsWith("worker ")
        && l.text().contains("benched")) {
      if (watchedWorker >= 0
          && l.text().startsWith("worker " + (id(watchedWorker) & 0xffffffffL) + " ")) {
        benchedAt.putIfAbsent(instance, now);
      }
    } else if (action instanceof Refuse r) {
      over += begunAt.remove(r.call()) == null ? 0 : 1;
    } else if (action instanceof Fail f) {
      over += begunAt.remove(f.call()) == null ? 0 : 1;
    } else if (action instanceof Send s) {
      run(instance, module, s);
    } else if (action instanceof Preload h) {
      long stands = stand(worker(h.worker()), h.function());
      at(
          Math.max(now + MS, stands),
          () ->
              tell(
                  instance,
                  module,
                  new PreloadResult(0, 1, h.worker(), OutcomeCode.OK, h.function())));
    }
  }

  private void tell(int instance, AdaptiveDispatcher module, Event event) {
    if (module == instances[instance]) {
      module.handle(now, event, a -> act(instance, module, a));
    }
  }

  private static int id(int worker) {
    return worker * 0x9E3779B1;
  }

  /**
   * Asks a worker, for a front end that probes; {@code then} is told whether it answered, and after
   * how long.
   */
  void ask(int worker, BiConsumer<Boolean, Long> then) {
    long asked = now;
    boolean answers = !silent.contains(worker);
    long took =
        answers
            ? (long) (ROUND_TRIP * slow.getOrDefault(worker, 1.0) * (5 + random.nextDouble()))
            : 500 * MS;
    at(now + took, () -> then.accept(answers, now - asked));
  }

  /** Does something later. */
  void after(long span, Runnable what) {
    at(now + span, what);
  }

  /** All instances but those cut off hear what one found. */
  void hear(int worker, double pace, double bad, long seenAt, double weight) {
    for (int i = 0; i < instances.length; i++) {
      int to = i;
      AdaptiveDispatcher module = instances[i];
      at(
          now + ROUND_TRIP,
          () ->
              tell(to, module, new WorkerObservation(id(worker), pace, bad, now - seenAt, weight)));
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

  private void run(int instance, AdaptiveDispatcher module, Send s) {
    Worker w = worker(s.worker());
    int attempt = attempts.merge(s.call(), 1, Integer::sum) - 1;
    if (failing >= 0 && w == workers[failing]) {
      metError += instance == watched ? 1 : 0;
      at(
          now + WORK,
          () ->
              tell(
                  instance,
                  module,
                  new AttemptOutcome(
                      s.call(),
                      attempt,
                      s.worker(),
                      OutcomeCode.ERROR,
                      WORK,
                      false,
                      CopyStatus.NONE,
                      -1,
                      null)));
      return;
    }
    int number = List.of(workers).indexOf(w);
    if (silent.contains(number)) {
      metSilent++;
      long left = begunAt.getOrDefault(s.call(), now) + PATIENCE - now;
      long wait = s.timeout() == 0 ? left : Math.min(left, s.timeout());
      at(
          now + Math.max(1, wait),
          () -> {
            boolean ends = wait == left && begunAt.remove(s.call()) != null;
            over += ends ? 1 : 0;
            tell(
                instance,
                module,
                new AttemptOutcome(
                    s.call(),
                    attempt,
                    s.worker(),
                    OutcomeCode.TIMEOUT,
                    wait,
                    ends || !begunAt.containsKey(s.call()),
                    CopyStatus.NONE,
                    -1,
                    null));
          });
      return;
    }
    long function = functionOf.get(s.call());
    boolean stood = stands(w, function);
    boolean loading = !stood && w.standsAt.getOrDefault(function, 0L) > now;
    long took =
        Math.max(0, stand(w, function) - now)
            + (long) (slow.getOrDefault(number, 1.0) * (WORK / 2 + random.nextDouble() * WORK));
    metLoad += instance == watched && !stood ? 1 : 0;
    CopyStatus note =
        stood ? CopyStatus.WARM : loading ? CopyStatus.JOINED_LOAD : CopyStatus.BEGAN_LOAD;
    at(
        now + took,
        () -> {
          Long begun = begunAt.remove(s.call());
          over += begun == null ? 0 : 1;
          timely += begun != null && now - begun <= 400 * MS ? 1 : 0;
          if (number == watchedWorker) {
            servedBy.putIfAbsent(instance, now);
          }
          tell(
              instance,
              module,
              new AttemptOutcome(
                  s.call(), attempt, s.worker(), OutcomeCode.OK, took, true, note, 1, null));
        });
  }

  private boolean stands(Worker w, long function) {
    return w.standsAt.getOrDefault(function, Long.MAX_VALUE) <= now
        && now - w.usedAt.get(function) < KEEP;
  }

  /**
   * When the function stands at the worker, which loads it now if it must, in the place of the one
   * idle for longest.
   */
  private long stand(Worker w, long function) {
    w.standsAt.keySet().removeIf(f -> w.standsAt.get(f) <= now && now - w.usedAt.get(f) >= KEEP);
    if (!w.standsAt.containsKey(function)) {
      if (w.standsAt.size() >= ROOM) {
        w.standsAt.remove(
            w.standsAt.keySet().stream()
                .min((a, b) -> Long.compare(w.usedAt.get(a), w.usedAt.get(b)))
                .orElseThrow());
      }
      w.standsAt.put(function, now + LOAD);
    }
    w.usedAt.put(function, Math.max(now, w.standsAt.get(function)));
    return w.standsAt.get(function);
  }
}
