package saddlestall;

import static saddlestall.Maths.clamp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import saddlestall.Dispatcher.CallArrival;
import saddlestall.Dispatcher.CallClass;
import saddlestall.Dispatcher.CopyObservation;
import saddlestall.Dispatcher.FunctionObservation;
import saddlestall.Dispatcher.Observation;
import saddlestall.Dispatcher.WorkerEntry;
import saddlestall.Dispatcher.WorkerObservation;
import saddlestall.Dispatcher.WorkerState;

/**
 * What one front end remembers: fields, written and read by {@link AdaptiveDispatcher}, which
 * decides what they mean.
 */
abstract class DispatcherState {
  /** Halls told apart; further ones share a place. */
  private static final int HALLS = 32;

  /** A benched worker or hall is not tried again sooner. */
  static final long TRIAL_WAIT = 1_000_000;

  /** Nor so soon after others said that it still does not answer; they say so every 2 s. */
  private static final long TOLD_WAIT = 5_000_000;

  final Map<Integer, Worker> workers = new LinkedHashMap<>();
  final Map<Long, Function> functions = new LinkedHashMap<>(64, 0.75f, true);
  final Map<Integer, PendingCall> open = new LinkedHashMap<>();
  final LinkedHashSet<PendingCall> held = new LinkedHashSet<>();
  Worker[] ready = {};

  /** Workers that may not be sent work for long unless they take some, the most urgent first. */
  final LinkedHashSet<Worker> expiring = new LinkedHashSet<>();

  /** When an order last renewed one's permission. */
  long renewedAt = Long.MIN_VALUE / 2;

  int listVersion;

  /** How many front ends there likely are, and by how much what belongs to all is divided here. */
  double siblings;

  double divisor;

  /**
   * By class: time in flight of warm calls, the same over the hint, load time where it is not told.
   */
  final RunningMean[] classWork;

  final RunningMean[] classHint;
  final double[] classLoad;

  /** Load time seen over load time told. */
  double storeFactor = 1;

  int loadsOut;
  double loadLimit = Double.POSITIVE_INFINITY;
  long loadFailedAt;

  /** Own calls of each tenant; calls served by warm workers, for one of size 1; both decaying. */
  final double[] tenantRate;

  double served;

  /** Sizes of the ready workers that are warm, together. */
  double warm;

  /**
   * Own calls within the span of the mix (seconds), its age, and the calls of all front ends a
   * second.
   */
  double taken;

  /**
   * Others' calls that hearsay added to the mix, decaying alike: without them its functions would
   * look in demand.
   */
  double heardOf;

  double mixSpan;
  long mixAge;
  double fleetRate;

  /** Mean time in flight of a warm call. */
  double meanWork;

  /** What rounds the fractions of this front end's shares. */
  double phase;

  /** Pairs of a tenant and a class. */
  int cells;

  long plannedAt;

  /** What is left of the budget for further attempts. */
  double retries;

  boolean commonCause;

  /** Most workers take on nothing. */
  boolean rush;

  /** By hall: whether it is lost as a whole, and when one of its workers may be tried again. */
  final boolean[] hallLost = new boolean[HALLS];

  final long[] hallTrialAt = new long[HALLS];
  double pressure;
  double pressed;
  double meanAim;
  double shed;

  /** Worth of work of the last calls. */
  final double[] values;

  int valueCount;
  long lastLog = Long.MIN_VALUE / 2;
  final ArrayDeque<Long> callTimes = new ArrayDeque<>();
  final ArrayDeque<Long> orderTimes = new ArrayDeque<>();

  final double[] weights;
  final double[] critic;
  double payoffSpread;
  final List<Attempt> batch = new ArrayList<>();

  /** Rows of features, chances and workers of the draw at hand. */
  double[][] rows = {};

  double[] chance = {};
  Worker[] field = {};
  Worker[] inOrder = {};

  /** Means over the ready workers, of the draw at hand. */
  double meanOwn;

  double meanPace;
  double meanPlan;

  DispatcherState(int classes, int tenants, int features, int values) {
    classWork = new RunningMean[classes];
    classHint = new RunningMean[classes];
    classLoad = new double[classes];
    tenantRate = new double[tenants];
    this.values = new double[values];
    weights = new double[features];
    critic = new double[features + 1];
  }

  /** Takes the ready workers and makes room for a draw among them. */
  void setReadyWorkers(List<Worker> list) {
    ready = list.toArray(new Worker[0]);
    listVersion++;
    if (rows.length < ready.length) {
      rows = new double[ready.length][weights.length];
      chance = new double[ready.length];
      field = new Worker[ready.length];
      inOrder = new Worker[ready.length];
    }
  }

  /** The place of a worker's hall. */
  static int hall(Worker w) {
    return Math.floorMod(w.zone, HALLS);
  }

  /** Forgets the function unused for longest, where that is since before {@code last}. */
  void forget(long last) {
    Iterator<Function> eldest = functions.values().iterator();
    Function f = eldest.hasNext() ? eldest.next() : null;
    if (f != null && f.lastAt < last) {
      eldest.remove();
      for (Worker w : workers.values()) {
        w.copies.computeIfPresent(f.id, (id, copy) -> copy.inFlight > 0 ? copy : null);
      }
    }
  }

  /**
   * What was seen here, as others would be told of it; hearsay is left out, as it is others' to
   * tell.
   */
  public void exportObservations(long now, Consumer<Observation> facts) {
    for (Worker w : workers.values()) {
      if (w.state == WorkerState.READY) {
        facts.accept(new WorkerObservation(w.id, w.pace, w.bad, 0, 1));
        w.copies.forEach(
            (function, c) -> {
              if (c.seenAt > 0 && c.trust == 1) {
                facts.accept(new CopyObservation(w.id, function, now - c.seenAt, 1));
              }
            });
      }
    }
    for (Function f : functions.values()) {
      if (f.servedAt > 0) {
        facts.accept(
            new FunctionObservation(
                f.id, f.callClass, f.lanes, (long) f.loadTime, f.recent, now - f.lastAt, 1));
      }
    }
  }

  /**
   * Takes in hearsay, a prior belief: it holds where nothing was seen here, and until something is.
   */
  void applyObservation(Observation known, long now) {
    if (known instanceof CopyObservation e) {
      Worker w = workers.get(e.worker());
      if (w != null && w.state == WorkerState.READY && now - e.age() > w.cameUp) {
        Copy c = w.copies.computeIfAbsent(e.function(), id -> new Copy());
        if (c.seenAt == 0 && c.inFlight == 0 && c.readyAt == 0) {
          c.seenAt = now - e.age();
          c.trust = clamp(e.weight(), 0, 0.99);
        }
      }
    } else if (known instanceof WorkerObservation e) {
      Worker w = workers.get(e.worker());
      boolean fresh = w != null && w.pace == 1 && w.bad == 0 && w.out.isEmpty();
      if (w == null
          || w.state != WorkerState.READY
          || !fresh && now - e.age() <= Math.max(w.wellAt, w.lostAt)) {
        return; // what was seen here later wins
      }
      boolean back = w.toldBad && e.failureRate() < 0.5;
      w.toldBad = e.failureRate() >= 0.5;
      if (w.benched) { // whether it is back is asked by one for all: here a call tries it once it
        // answers, and not before
        w.trialAt = back ? now : w.toldBad ? Math.max(w.trialAt, now + TOLD_WAIT) : w.trialAt;
        hallTrialAt[hall(w)] = back ? now : hallTrialAt[hall(w)];
      } else if (fresh || w.toldBad) {
        w.trialAt = w.toldBad ? now + TOLD_WAIT : w.trialAt;
        w.bad = Math.max(w.bad, e.weight() * clamp(e.failureRate(), 0, 1));
      }
      if (fresh || e.latencyRatio() > 1) {
        w.pace =
            fresh || e.latencyRatio() > w.pace
                ? w.pace + e.weight() * (clamp(e.latencyRatio(), 0.2, 6) - w.pace)
                : w.pace;
      }
    } else if (known instanceof FunctionObservation e
        && e.callClass() >= 0
        && e.callClass() < classWork.length) {
      Function f = functions.computeIfAbsent(e.function(), Function::new);
      if (f.lastAt == 0) {
        f.callClass = e.callClass();
        f.lanes = clamp(e.lanes(), 1, 64);
        f.loadTime = Math.max(0, e.loadTime());
        f.recent = e.weight() * Math.max(0, e.recentCalls());
        heardOf += f.recent;
        f.lastAt = now - e.age();
        f.servedAt = f.lastAt;
      }
    }
  }

  /** Drops times up to {@code last}. */
  static void prune(ArrayDeque<Long> times, long last) {
    while (!times.isEmpty() && times.peek() <= last) {
      times.poll();
    }
  }

  /** A running mean. */
  static final class RunningMean {
    double value;
    int count;

    RunningMean(double start) {
      value = start;
    }

    /** Takes a value in; the first ones weigh more, none less than {@code leastStep}. */
    void add(double x, double leastStep) {
      count = Math.min(count + 1, 1 << 20);
      value += Math.max(leastStep, 1.0 / (count + 1)) * (x - value);
    }
  }

  /** One function's copy at one worker. */
  static final class Copy {
    /** Last proof that it stood loaded; 0: none. */
    long seenAt;

    /** What that proof is worth: 1 for an own one, less for hearsay. */
    double trust = 1;

    /** When a load under way should be over; 0: none known. */
    long readyAt;

    /** Own calls there. */
    int inFlight;

    /** Peers' calls there by the last crowd counts, and when they came. */
    double others;

    long crowdAt;
  }

  /** A function, as its calls described it. */
  static final class Function {
    final long id;
    final RunningMean work = new RunningMean(0);
    double lanes = 1;
    double loadTime;
    int callClass;

    /** When a call of it was last served; 0: never. */
    long servedAt;

    /** Own calls, decaying, as of {@code lastAt}. */
    double recent;

    long lastAt;

    /** Each ready worker's place in the home order, for the list of {@code rankVersion}. */
    int[] rank = {};

    int rankVersion = -1;

    Function(long id) {
      this.id = id;
    }
  }

  /** A worker, as the list, its reports and its outcomes showed it. */
  static final class Worker {
    final int id;
    final Map<Long, Attempt> out = new LinkedHashMap<>();
    final Map<Long, Copy> copies = new LinkedHashMap<>();
    WorkerState state = WorkerState.GONE;
    boolean listed;
    int place;

    /** Place in the home order of the draw at hand. */
    int order;

    int zone;
    int cell;
    double size = 1;
    long cameUp;
    double pace = 1;
    double lag;
    double bad;

    /** When a connection to it was last lost or refused. */
    long diedAt = Long.MIN_VALUE / 2;

    /** When it last served, and when it last was silent or unreachable. */
    long wellAt;

    long lostAt;
    double plan;
    boolean benched;

    /**
     * By tenant and class, turned a call away: passed over until then, and how long the wait was.
     */
    final long[] fullUntil;

    final long[] fullWait;

    /**
     * Calls turned away one after the other, whoever's, the first one's end, and when the last one
     * was sent.
     */
    int turnedAway;

    long firstAwayAt;
    long lastAwaySentAt;

    /** Passed over for all calls until then, and how long the wait was. */
    long awayUntil;

    long awayWait;
    long trialAt;

    /** Others say that it does not answer. */
    boolean toldBad;

    long trialWait;
    double coldBudget;

    /** Since when there is enough of it for a call. */
    long coldSince;

    Worker(int id, int cells) {
      fullUntil = new long[cells];
      fullWait = new long[cells];
      this.id = id;
    }

    void told(WorkerEntry m, double newSize) {
      state = m.state();
      zone = m.zone();
      cell = m.cell();
      cameUp = m.startedAt();
      size = newSize;
    }
  }

  /** A call that is owed an answer. */
  static final class PendingCall {
    final CallArrival event;
    final CallClass kind;
    final long takenAt;
    final long deadline;
    final Function function;
    final List<Worker> tried = new ArrayList<>(1);
    int sent;
    int outstanding;
    boolean streaming;
    boolean closed;

    /** Whether a second copy may be out beside the first. */
    boolean hedged;

    /** Whether an attempt may have run, and the first such attempt's time, hall and cell. */
    boolean mayHaveRun;

    long ranSince;
    int ranZone;
    int ranCell;

    /** Of the last draw: the chosen features less the expected ones, and the mean over workers. */
    double[] gradient;

    double[] mean;

    PendingCall(CallArrival event, CallClass kind, Function function, long now) {
      this.event = event;
      this.kind = kind;
      this.function = function;
      takenAt = now;
      deadline = now + Math.max(0, event.budget());
    }

    /** Takes down the first attempt that may have had its effect. */
    void mayHaveRun(Attempt a) {
      if (!mayHaveRun) {
        mayHaveRun = true;
        ranSince = a.sentAt;
        ranZone = a.worker.zone;
        ranCell = a.worker.cell;
      }
    }
  }

  /** One attempt, from its send to its outcome. */
  static final class Attempt {
    final PendingCall call;
    final Worker worker;
    final Copy copy;
    final long sentAt;
    final int ownBefore;
    boolean cold;
    boolean begins;

    /** Times that it should have been answered, at the worker's pace, and was not. */
    int missed;

    /** Expected time in flight: warm at the usual pace; of a load; in all. */
    double unit;

    double load;
    double expected;
    double[] gradient;
    double[] mean;
    double payoff;
    double advantage;

    Attempt(PendingCall call, Worker worker, Copy copy, long now) {
      this.call = call;
      this.worker = worker;
      this.copy = copy;
      sentAt = now;
      ownBefore = copy.inFlight;
      gradient = call.gradient;
      mean = call.mean;
      call.gradient = null;
      call.tried.add(worker);
    }
  }
}
