package saddlestall;

import static saddlestall.Maths.clamp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
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
 * The state of one front end's dispatcher. {@link AdaptiveDispatcher} reads and writes the fields
 * and makes the decisions. Times are in microseconds on the clock passed to {@link
 * Dispatcher#handle}.
 */
abstract class DispatcherState {
  /** Halls that are tracked separately; further ones share an index with another hall. */
  private static final int MAX_HALLS = 32;

  /** Shortest delay before a benched worker or hall gets a trial call. */
  static final long MIN_TRIAL_WAIT_MICROS = 1_000_000;

  /**
   * Delay of the next trial after a peer reported a worker as unhealthy. It exceeds the 2 s at
   * which peers repeat such a report.
   */
  private static final long PEER_REPORT_TRIAL_WAIT_MICROS = 5_000_000;

  /** Observations of functions and copies that are passed on to peers at once. */
  private static final int MAX_EXPORTED_OBSERVATIONS = 4_096;

  final Map<Integer, Worker> workers = new LinkedHashMap<>();

  final FunctionTable functions = new FunctionTable(this::dropCopies);

  /** Calls without a final answer, by call id. */
  final Map<Integer, PendingCall> pendingCalls = new LinkedHashMap<>();

  /** Pending calls that wait because no worker may be sent to. */
  final LinkedHashSet<PendingCall> heldCalls = new LinkedHashSet<>();

  Worker[] readyWorkers = {};

  /** Workers whose lease expires soon unless they accept work, the most urgent first. */
  final LinkedHashSet<Worker> expiringWorkers = new LinkedHashSet<>();

  /** When a preload was last sent to renew a lease. */
  long lastRenewalAt = Long.MIN_VALUE / 2;

  /** Incremented with each change of the ready workers. */
  int listVersion;

  /** Estimated number of front ends. */
  double frontEndCount;

  /** Divisor for this front end's share of what all front ends share; at least their number. */
  double shareDivisor;

  /** Latency of warm calls, by class. */
  final RunningMean[] classDuration;

  /** Latency of warm calls over the expected duration that the client gave, by class. */
  final RunningMean[] classHintRatio;

  /** Load time by class, for functions whose load time is not given. */
  final double[] classLoadTime;

  /** Observed load time over the given load time. */
  double loadTimeRatio = 1;

  /** Own loads in flight. */
  int loadsInFlight;

  /** Limit on {@link #loadsInFlight}, adapted to the store that workers load functions from. */
  double loadLimit = Double.POSITIVE_INFINITY;

  long lastLoadFailureAt;

  /** Own calls per second of each tenant, decaying. */
  final double[] tenantCallRate;

  /** Calls served by warm workers, per unit of worker size, decaying. */
  double warmServed;

  /** Sum of the sizes of the ready workers that are warm. */
  double warmCapacity;

  /** Own calls within the mix window, decaying. */
  double ownCalls;

  /**
   * Calls that peers' observations added to the mix, decaying alike. The total must include them,
   * or the functions they belong to would seem to be in high demand.
   */
  double reportedCalls;

  /** Window over which the mix of functions is taken. */
  double mixWindowSeconds;

  /** Age of the mix, capped at a few windows. */
  long mixAgeMicros;

  /** Estimated calls per second of all front ends. */
  double fleetCallRate;

  /** Mean expected latency of a warm call. */
  double meanDuration;

  /** Offset in [0, 1) with which this front end rounds fractional home counts. */
  double roundingOffset;

  /** Number of pairs of a tenant and a call class. */
  int tenantClassCount;

  /** When the planned load was last computed. */
  long lastPlanAt;

  /** Retries and hedges that may still be sent. */
  double retryBudget;

  /** Whether so many workers are unhealthy that a common cause is assumed. */
  boolean commonFailure;

  /** Whether most workers reject every call. */
  boolean commonRejection;

  /** Whether a hall is benched as a whole, by hall index. */
  final boolean[] hallBenched = new boolean[MAX_HALLS];

  /** When a worker of a benched hall may next get a trial call, by hall index. */
  final long[] hallNextTrialAt = new long[MAX_HALLS];

  /** Sum of latency over latency target of recent answers and rejections, decaying. */
  double pressureSum;

  /** Number of these answers and rejections, decaying. */
  double pressureCount;

  double meanLatencyTarget;

  /** Share of calls that is shed. */
  double shedFraction;

  /** Ring buffer of the values of the latest calls. */
  final double[] recentValues;

  /** Number of values ever written to {@link #recentValues}. */
  int recentValueCount;

  long lastLogAt = Long.MIN_VALUE / 2;

  /** Arrival times of calls that count for the preload limit. */
  final ArrayDeque<Long> callTimes = new ArrayDeque<>();

  /** Send times of recent preloads. */
  final ArrayDeque<Long> preloadTimes = new ArrayDeque<>();

  /** Weights of the linear score, one per feature. */
  final double[] weights;

  /** Weights of the critic (the baseline of the reward), one per feature, and its bias. */
  final double[] critic;

  /** Running mean of the absolute advantage. */
  double advantageScale;

  /** Completed attempts for the next policy update. */
  final List<Attempt> batch = new ArrayList<>();

  /** Features of each candidate of the current sampling. */
  double[][] featureRows = {};

  /** Score of each candidate, then its unnormalized softmax probability. */
  double[] scores = {};

  /** Eligible workers of the current sampling. */
  Worker[] candidates = {};

  /** Those workers by their home rank; null where the worker of that rank is not eligible. */
  Worker[] candidatesByRank = {};

  /** Mean over the ready workers of own calls in flight per size, for the current sampling. */
  double meanOwnLoad;

  /** Mean latency ratio of the ready workers, for the current sampling. */
  double meanLatencyRatio;

  /** Mean planned load per size of the ready workers, for the current sampling. */
  double meanPlannedLoad;

  DispatcherState(int classes, int tenants, int features, int values) {
    classDuration = new RunningMean[classes];
    classHintRatio = new RunningMean[classes];
    classLoadTime = new double[classes];
    tenantCallRate = new double[tenants];
    this.recentValues = new double[values];
    weights = new double[features];
    critic = new double[features + 1];
  }

  /** Replaces the ready workers and resizes the buffers for sampling among them. */
  void setReadyWorkers(List<Worker> list) {
    readyWorkers = list.toArray(new Worker[0]);
    listVersion++;
    functions.setWorkers(readyWorkers.length);
    if (featureRows.length < readyWorkers.length) {
      featureRows = new double[readyWorkers.length][weights.length];
      scores = new double[readyWorkers.length];
      candidates = new Worker[readyWorkers.length];
      candidatesByRank = new Worker[readyWorkers.length];
    }
  }

  /** Returns the index of a worker's hall. */
  static int hallIndex(Worker worker) {
    return Math.floorMod(worker.hall, MAX_HALLS);
  }

  /** Whether a function is remembered, so that actions may still name it. */
  public boolean remembers(long function) {
    return functions.contains(function);
  }

  /** How many functions are remembered. */
  public int functionCount() {
    return functions.size();
  }

  /** Drops what is known of the copies of a function that is forgotten. */
  private void dropCopies(Function function) {
    for (Worker worker : workers.values()) {
      worker.copies.remove(function.id);
    }
  }

  /**
   * Passes on what this front end observed itself, for its peers: the workers, then the functions
   * with their copies, the most called first and within a limit. Copies that only peers have
   * reported are left out, since the peers pass them on themselves.
   */
  public void exportObservations(long now, Consumer<Observation> facts) {
    List<Worker> ready = new ArrayList<>();
    for (Worker worker : workers.values()) {
      if (worker.state == WorkerState.READY) {
        ready.add(worker);
        facts.accept(
            new WorkerObservation(worker.id, worker.latencyRatio, worker.failureRate, 0, 1));
      }
    }
    List<Function> mostCalledFirst = new ArrayList<>(functions.all());
    mostCalledFirst.sort(Comparator.comparingDouble(f -> -f.recentCalls));
    List<Observation> observations = new ArrayList<>();
    for (Function function : mostCalledFirst) {
      addObservations(function, ready, now, observations);
      if (observations.size() >= MAX_EXPORTED_OBSERVATIONS) {
        break;
      }
    }
    observations.forEach(facts);
  }

  /** Adds what was observed of a function and of its copies. */
  private static void addObservations(
      Function function, List<Worker> ready, long now, List<Observation> observations) {
    if (function.lastServedAt > 0) {
      observations.add(
          new FunctionObservation(
              function.id,
              function.callClass,
              function.lanes,
              (long) function.loadTime,
              function.recentCalls,
              now - function.lastCallAt,
              1));
    }
    for (Worker worker : ready) {
      Copy copy = worker.copies.get(function.id);
      if (copy != null && copy.seenLoadedAt > 0 && copy.confidence == 1) {
        observations.add(new CopyObservation(worker.id, function.id, now - copy.seenLoadedAt, 1));
      }
    }
  }

  /**
   * Applies a peer's observation as a prior: it counts only where this front end has observed
   * nothing itself, and until it does. An observation of a worker also counts if it is more recent
   * than the own ones.
   */
  void applyObservation(Observation observation, long now) {
    if (observation instanceof CopyObservation seen) {
      Worker worker = workers.get(seen.worker());
      if (worker != null
          && worker.state == WorkerState.READY
          && now - seen.age() > worker.startedAt) {
        Function function = functions.getReported(seen.function(), now);
        Copy copy = worker.copies.computeIfAbsent(function.id, id -> new Copy());
        if (copy.seenLoadedAt == 0 && copy.inFlight == 0 && copy.expectedReadyAt == 0) {
          copy.seenLoadedAt = now - seen.age();
          copy.confidence = clamp(seen.weight(), 0, 0.99);
        }
      }
    } else if (observation instanceof WorkerObservation seen) {
      Worker worker = workers.get(seen.worker());
      boolean fresh =
          worker != null
              && worker.latencyRatio == 1
              && worker.failureRate == 0
              && worker.attempts.isEmpty();
      // An own observation that is more recent takes precedence.
      if (worker == null
          || worker.state != WorkerState.READY
          || !fresh && now - seen.age() <= Math.max(worker.lastOkAt, worker.lastUnresponsiveAt)) {
        return;
      }
      boolean back = worker.reportedUnhealthy && seen.failureRate() < 0.5;
      worker.reportedUnhealthy = seen.failureRate() >= 0.5;
      // One front end probes the worker for all: here a trial call follows once the worker answers
      // that probe, and not before.
      if (worker.benched) {
        worker.nextTrialAt =
            back
                ? now
                : worker.reportedUnhealthy
                    ? Math.max(worker.nextTrialAt, now + PEER_REPORT_TRIAL_WAIT_MICROS)
                    : worker.nextTrialAt;
        hallNextTrialAt[hallIndex(worker)] = back ? now : hallNextTrialAt[hallIndex(worker)];
      } else if (fresh || worker.reportedUnhealthy) {
        worker.nextTrialAt =
            worker.reportedUnhealthy ? now + PEER_REPORT_TRIAL_WAIT_MICROS : worker.nextTrialAt;
        worker.failureRate =
            Math.max(worker.failureRate, seen.weight() * clamp(seen.failureRate(), 0, 1));
      }
      if (fresh || seen.latencyRatio() > 1) {
        worker.latencyRatio =
            fresh || seen.latencyRatio() > worker.latencyRatio
                ? worker.latencyRatio
                    + seen.weight() * (clamp(seen.latencyRatio(), 0.2, 6) - worker.latencyRatio)
                : worker.latencyRatio;
      }
    } else if (observation instanceof FunctionObservation seen
        && seen.callClass() >= 0
        && seen.callClass() < classDuration.length) {
      Function function = functions.getReported(seen.function(), now);
      if (!function.wasCalled()) {
        function.callClass = seen.callClass();
        function.lanes = clamp(seen.lanes(), 1, 64);
        function.loadTime = Math.max(0, seen.loadTime());
        function.recentCalls = seen.weight() * Math.max(0, seen.recentCalls());
        reportedCalls += function.recentCalls;
        function.lastCallAt = now - seen.age();
        function.lastServedAt = function.lastCallAt;
      }
    }
  }

  /** Removes times up to and including {@code cutoff} from the front of the queue. */
  static void removeUpTo(ArrayDeque<Long> times, long cutoff) {
    while (!times.isEmpty() && times.peek() <= cutoff) {
      times.poll();
    }
  }

  /** What is known of one function's copy at one worker. */
  static final class Copy {
    /** When the copy was last known to be loaded; 0 if never. */
    long seenLoadedAt;

    /** Confidence in that: 1 for an own observation, less for a peer's. */
    double confidence = 1;

    /** When a load in progress is expected to end; 0 if none is known. */
    long expectedReadyAt;

    /** Own calls in flight at this copy. */
    int inFlight;

    /** Peers' calls there, from the concurrency that the worker reported. */
    double peerCalls;

    /** When that concurrency was reported. */
    long concurrencyReportedAt;
  }

  /** A worker, as known from the worker list, its reports and its outcomes. */
  static final class Worker {
    final int id;

    /** Attempts in flight, by {@link Maths#attemptKey}. */
    final Map<Long, Attempt> attempts = new LinkedHashMap<>();

    /** Copies by function id. */
    final Map<Long, Copy> copies = new LinkedHashMap<>();

    WorkerState state = WorkerState.GONE;

    /** Whether the worker is on the current list. */
    boolean listed;

    /** Index in {@link DispatcherState#readyWorkers}. */
    int readyIndex;

    /** Position in the home order among the candidates of the current sampling. */
    int candidateRank;

    int hall;
    int cell;

    /** Capacity relative to the other workers. */
    double size = 1;

    /** Time of the last start; 0 if long past. */
    long startedAt;

    /** Running mean of observed over expected latency. */
    double latencyRatio = 1;

    /** The same ratio for the ages of the attempts in flight. */
    double inFlightLatencyRatio;

    /** Running mean of failures per attempt. */
    double failureRate;

    /** When a connection to it was last lost or refused. */
    long lastConnectionLossAt = Long.MIN_VALUE / 2;

    /** When it last served a call. */
    long lastOkAt;

    /** When it last was silent or unreachable. */
    long lastUnresponsiveAt;

    /** Calls in flight that it would have if all calls went to the homes of their functions. */
    double plannedLoad;

    /** Whether it gets no calls other than trials, as it is unhealthy. */
    boolean benched;

    /** Until when calls of a tenant and class skip it after a rejection, by tenant-class index. */
    final long[] rejectedUntil;

    /** Duration of the latest such interval, by tenant-class index. */
    final long[] rejectionBackoff;

    /** Consecutive rejections, of any tenant and class. */
    int consecutiveRejections;

    /** When the first of them arrived. */
    long firstRejectionAt;

    /** When the attempt rejected last was sent. */
    long lastRejectedSentAt;

    /** Until when all calls skip it because it seems to drain. */
    long drainSuspectedUntil;

    /** Duration of the latest such interval. */
    long drainBackoff;

    /** When a benched worker may next get a trial call. */
    long nextTrialAt;

    /** Whether peers report it as unhealthy. */
    boolean reportedUnhealthy;

    /** Delay between trial calls. */
    long trialBackoff;

    /** Calls that may be sent to it now while it is cold. */
    double coldBudget;

    /** Since when that budget has allowed a call. */
    long coldBudgetReadySince;

    Worker(int id, int tenantClassCount) {
      rejectedUntil = new long[tenantClassCount];
      rejectionBackoff = new long[tenantClassCount];
      this.id = id;
    }

    /** Applies an entry of the worker list. */
    void update(WorkerEntry entry, double newSize) {
      state = entry.state();
      hall = entry.hall();
      cell = entry.cell();
      startedAt = entry.startedAt();
      size = newSize;
    }
  }

  /** A call that has no final answer yet. */
  static final class PendingCall {
    final CallArrival event;
    final CallClass callClass;
    final long arrivedAt;
    final long deadline;
    final Function function;
    final List<Worker> triedWorkers = new ArrayList<>(1);
    int attemptsSent;
    int attemptsInFlight;
    boolean streaming;
    boolean closed;

    /** Whether a hedge may be in flight besides the first attempt. */
    boolean hedged;

    /** Whether an attempt may have had an effect. */
    boolean mayHaveRun;

    /** When the first such attempt was sent. */
    long firstRunAt;

    /** Hall of that attempt's worker. */
    int firstRunHall;

    /** Cell of that attempt's worker. */
    int firstRunCell;

    /** Gradient of the log probability of the worker sampled last; null once it is used. */
    double[] gradient;

    /** Mean of the candidates' features in the latest sampling. */
    double[] meanFeatures;

    PendingCall(CallArrival event, CallClass callClass, Function function, long now) {
      this.event = event;
      this.callClass = callClass;
      this.function = function;
      arrivedAt = now;
      deadline = now + Math.max(0, event.budget());
    }

    /** Records the first attempt that may have had an effect. */
    void recordPossibleRun(Attempt attempt) {
      if (!mayHaveRun) {
        mayHaveRun = true;
        firstRunAt = attempt.sentAt;
        firstRunHall = attempt.worker.hall;
        firstRunCell = attempt.worker.cell;
      }
    }
  }

  /** One attempt, from its send to its outcome. */
  static final class Attempt {
    final PendingCall call;
    final Worker worker;
    final Copy copy;
    final long sentAt;

    /** Own calls at the copy before this one. */
    final int ownCallsBefore;

    /** Whether the copy was probably not loaded at the send. */
    boolean expectsLoad;

    /** Whether the attempt was expected to start a load rather than join one. */
    boolean startsLoad;

    /** How many times the overdue interval has passed without an outcome. */
    int missedDeadlines;

    /** Expected latency on a warm worker with latency ratio 1. */
    double warmDuration;

    /** Expected duration of a load. */
    double loadTime;

    /** Expected latency at this worker, including the expected wait for a load. */
    double expectedTime;

    /** Gradient of the log probability of the worker; null if it was not sampled. */
    double[] gradient;

    /** Mean of the candidates' features, the input of the critic. */
    double[] meanFeatures;

    double reward;

    /** Reward minus the critic's estimate. */
    double advantage;

    Attempt(PendingCall call, Worker worker, Copy copy, long now) {
      this.call = call;
      this.worker = worker;
      this.copy = copy;
      sentAt = now;
      ownCallsBefore = copy.inFlight;
      gradient = call.gradient;
      meanFeatures = call.meanFeatures;
      call.gradient = null;
      call.triedWorkers.add(worker);
    }
  }
}
