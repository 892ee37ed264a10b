package umberrun.core;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import saddlestall.Dispatcher;
import saddlestall.Dispatcher.Action;
import saddlestall.Dispatcher.AttemptOutcome;
import saddlestall.Dispatcher.Cancel;
import saddlestall.Dispatcher.ClientDisconnected;
import saddlestall.Dispatcher.CloseIdleConnections;
import saddlestall.Dispatcher.Event;
import saddlestall.Dispatcher.Fail;
import saddlestall.Dispatcher.FetchWorkerList;
import saddlestall.Dispatcher.ListKind;
import saddlestall.Dispatcher.Log;
import saddlestall.Dispatcher.OutcomeCode;
import saddlestall.Dispatcher.Preload;
import saddlestall.Dispatcher.PreloadResult;
import saddlestall.Dispatcher.Probe;
import saddlestall.Dispatcher.ProbeResult;
import saddlestall.Dispatcher.Refuse;
import saddlestall.Dispatcher.Send;
import saddlestall.Dispatcher.Settings;
import saddlestall.Dispatcher.StartTimer;
import saddlestall.Dispatcher.Subscribe;
import saddlestall.Dispatcher.TimerFired;
import saddlestall.Dispatcher.Unload;
import saddlestall.Dispatcher.WorkerEntry;
import saddlestall.Dispatcher.WorkerListUpdate;
import saddlestall.Dispatcher.WorkerState;
import umberrun.core.WorkerSuspensions.EffectiveState;
import umberrun.core.WorkerTransport.AttemptResult;
import umberrun.learning.Fact;
import umberrun.learning.FactFilter;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;
import umberrun.stats.EventLoopMeter;

/**
 * The event loop around the decision module ({@link Dispatcher}). Whatever happens on a socket is
 * queued by {@link #post}; the queue is processed in order on one Vert.x context. Each event is
 * passed to the dispatcher with a clock that never goes back, and the actions that it returns are
 * executed in their order.
 *
 * <p>Times are Unix microseconds of {@link Clock} unless stated otherwise.
 */
public final class DispatchLoop implements WorkerLeaseView {
  /**
   * Answers leave this long before the client's deadline, so that a pause of this process does not
   * make them late.
   */
  private static final long ANSWER_MARGIN_MICROS = 30_000;

  /**
   * The margin is at most the client's budget divided by this, as some clients wait for little
   * longer than the work takes.
   */
  private static final long ANSWER_MARGIN_DIVISOR = 20;

  /**
   * Calls in flight beyond which a call is refused without asking the dispatcher, as memory is
   * small.
   */
  private static final int MAX_CALLS_IN_FLIGHT = 4_096;

  /** The same for the total size of their bodies. */
  private static final long MAX_BODY_BYTES_IN_FLIGHT = 12 << 20;

  /** Names of functions that are kept to write preload requests with. */
  private static final int MAX_FUNCTION_NAMES = 16_384;

  /** Prefix of the origin of facts that the health prober of a hall found. */
  public static final String PROBER_ORIGIN_PREFIX = "probe/";

  /** After how long a client may retry a call that was refused without asking the dispatcher. */
  private static final long OVERLOAD_BACKOFF_MILLIS = 250;

  /** With a larger lag no calls are accepted, as they could not be answered in time. */
  private static final long MAX_LAG_MICROS = 150_000;

  /** With more queued steps nothing more is read, so that the steps of what was read come first. */
  private static final int MAX_QUEUED_STEPS = 32;

  /** With a larger lag, pending socket input is read before calls are started. */
  private static final long LOW_LAG_MICROS = 50_000;

  /**
   * A step and who is charged for it: the connection whose input, or whose earlier step, led to it.
   */
  private record QueuedStep(Runnable step, EventLoopMeter.Account account) {}

  private final Vertx vertx;
  private final Context context;
  private final Clock clock;
  private final Counters counters;
  private final Settings settings;
  private final Consumer<String> log;
  private final EventLoopMeter loopMeter;
  private final Dispatcher dispatcher;
  private final WorkerTransport transport;
  private final ArrayDeque<QueuedStep> queue = new ArrayDeque<>();
  private final ArrayDeque<Action> actions = new ArrayDeque<>();
  private final Map<Integer, Call> calls = new HashMap<>();

  /**
   * The request ids of calls in flight, including calls that are over but have attempts in flight.
   */
  private final Set<Buffer> requestIdsInFlight = new HashSet<>();

  /** Requests that may not run twice and may have run. */
  private RequestClaims claims;

  private final LagMeter lag;
  private final WorkerTable workerTable = new WorkerTable();
  private final WorkerSuspensions suspensions;
  private final DiscoveryMonitor discovery;
  private final FactTranslator factTranslator;
  private final FunctionNames functionNames;
  private final WorkerReports workerReports;

  /** Attempts and preload requests in flight, by worker number. */
  private final Map<Integer, Integer> inFlight = new HashMap<>();

  /** Names of workers that a hall's health prober reports as failing. */
  private final Set<String> reportedFailing = new HashSet<>();

  /** Total size of the bodies of {@link #calls}. */
  private long bodyBytesInFlight;

  /** Number of calls without an answer. */
  private int unansweredCalls;

  private int nextCallId = 1;

  /** Whether a run of the queue is scheduled. */
  private boolean scheduled;

  /** Runs once no call is unanswered; null if nothing waits for that. */
  private Runnable whenIdle;

  /**
   * @param dispatcherFactory creates the dispatcher, given the consumer of its first actions
   * @param loopMeter is told how long the steps of this loop take
   * @param transportFactory creates the transport to the workers, given this loop
   */
  public DispatchLoop(
      Vertx vertx,
      Context context,
      Clock clock,
      Counters counters,
      Settings settings,
      Consumer<String> log,
      Function<Consumer<Action>, Dispatcher> dispatcherFactory,
      EventLoopMeter loopMeter,
      Function<DispatchLoop, WorkerTransport> transportFactory) {
    this.vertx = vertx;
    this.context = context;
    this.clock = clock;
    this.counters = counters;
    this.settings = settings;
    this.log = log;
    this.loopMeter = loopMeter;
    this.lag = new LagMeter(vertx, clock);
    this.claims = new LocalRequestClaims(clock);
    this.factTranslator = new FactTranslator(settings);
    this.suspensions = new WorkerSuspensions(settings.rules().drainGrace());
    this.discovery =
        new DiscoveryMonitor(
            vertx,
            clock,
            counters,
            log,
            this::post,
            suspensions.usableGrace(),
            factTranslator.origin().hashCode(),
            new LeaseDirectory());
    this.transport = transportFactory.apply(this);
    this.dispatcher = dispatcherFactory.apply(actions::add);
    this.functionNames = new FunctionNames(MAX_FUNCTION_NAMES, dispatcher::remembers);
    this.workerReports =
        new WorkerReports(
            clock,
            settings,
            workerTable,
            suspensions,
            discovery,
            dispatcher,
            this::effectiveState,
            inFlight,
            reportedFailing);
    post(this::execute);
  }

  /** The settings of the dispatcher. */
  public Settings settings() {
    return settings;
  }

  /** Claims requests together with the other processes of this front end from now on. */
  public void shareClaims(RequestClaims shared) {
    claims = shared;
  }

  /** Whether this process keeps up, so that it can answer in time the calls that it accepts. */
  public boolean isKeepingUp() {
    return lag.lag() <= MAX_LAG_MICROS;
  }

  /** How late this process runs, in microseconds; see {@link LagMeter}. */
  public long lag() {
    return lag.lag();
  }

  /** Receives the reports of the worker list sources about their contact with discovery. */
  public DiscoveryMonitor discovery() {
    return discovery;
  }

  @Override
  public long leaseUntil(int worker) {
    return discovery.leases().leaseUntil(worker);
  }

  @Override
  public void onConnectionRefused(int worker) {
    discovery.leases().recordConnectionRefused(worker, clock.now());
  }

  // ---------------------------------------------------------------- event queue

  /** Queues a step. To be called on the thread of the context only, which also runs all sockets. */
  public void post(Runnable step) {
    queue.add(new QueuedStep(step, loopMeter.current()));
    schedule();
  }

  /** Whether so many steps are queued that nothing more should be read before they have run. */
  public boolean isBacklogged() {
    return queue.size() > MAX_QUEUED_STEPS;
  }

  /** Queues a step; the future completes with its result. */
  private <T> Future<T> supplyInTurn(Supplier<T> step) {
    Promise<T> done = Promise.promise();
    post(() -> done.complete(step.get()));
    return done.future();
  }

  private void schedule() {
    if (!queue.isEmpty() && !scheduled) {
      scheduled = true;
      afterSocketReads(() -> context.runOnContext(v -> runQueuedSteps()));
    }
  }

  /**
   * Runs a step at once, or, if this process is late, after pending socket input was read.
   * Otherwise calls would be started whose clients have already gone, as their cancellation lies
   * unread behind the call.
   */
  private void afterSocketReads(Runnable step) {
    if (lag.lag() <= LOW_LAG_MICROS) {
      step.run();
    } else {
      // A timer that is set by a task fires after the event loop has polled the sockets.
      context.runOnContext(v -> vertx.setTimer(1, t -> step.run()));
    }
  }

  private void runQueuedSteps() {
    scheduled = false;
    // Steps queued meanwhile wait for the next run, so that the sockets get their turn.
    for (int n = queue.size(); n > 0; n--) {
      QueuedStep next = queue.poll();
      loopMeter.run(next.account, () -> runStep(next.step));
    }
    schedule();
  }

  private void runStep(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      // A fault in one step must not end all calls.
      counters.add(Count.DISPATCH_LOOP_EXCEPTIONS);
      log.accept(
          "fault: " + e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
    }
  }

  private void dispatch(Event event) {
    try {
      dispatcher.handle(clock.now(), event, actions::add);
      counters.set(Count.FUNCTIONS_REMEMBERED, dispatcher.functionCount());
    } finally {
      execute();
    }
  }

  private void execute() {
    for (Action a; (a = actions.poll()) != null; ) {
      execute(a);
    }
  }

  private void execute(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof Refuse a) {
      refuse(calls.get(a.call()), a.retryAfter() / 1_000);
    } else if (action instanceof Fail a) {
      fail(calls.get(a.call()));
    } else if (action instanceof StartTimer a) {
      startTimer(a);
    } else if (action instanceof Preload a) {
      counters.add(Count.PRELOADS_SENT);
      discovery.leases().recordRenewalAttempt(a.worker(), clock.now());
      inFlight.merge(a.worker(), 1, Integer::sum);
      transport.preload(
          new PreloadRequest(
              this,
              a.worker(),
              a.function(),
              functionNames.name(a.function()),
              a.copies(),
              clock.now()));
    } else if (action instanceof Unload a) {
      transport.unload(a.worker(), functionNames.name(a.function()));
    } else if (action instanceof Cancel a) {
      cancel(calls.get(a.call()), a.attempt());
    } else if (action instanceof Probe a) {
      counters.add(Count.PROBES_SENT);
      transport.probe(new WorkerProbe(this, a.worker(), clock.now()));
    } else if (action instanceof CloseIdleConnections a) {
      transport.closeIdle(a.worker());
    } else if (action instanceof Log a) {
      log.accept(a.text());
    } else if (action instanceof FetchWorkerList || action instanceof Subscribe w && w.on()) {
      post(this::dispatchFullList);
    }
    // SendToPeer is ignored: the dispatcher has no channel to its peers here.
  }

  // ---------------------------------------------------------------- calls

  /**
   * Whether a call with this request id is in flight. Workers could not tell a second one from it.
   */
  public boolean isInFlight(Buffer requestId) {
    return requestIdsInFlight.contains(requestId);
  }

  /** Accepts a call; its answer goes to {@code reply}. */
  public Call submit(Request request, Reply reply) {
    long now = clock.now();
    // The client has waited since it wrote the call, which may have lain unread for as long as this
    // process is late.
    long budget = Math.max(1, request.budget() - lag.lag());
    Call call =
        new Call(
            nextCallId++,
            request,
            reply,
            now + budget,
            Math.min(ANSWER_MARGIN_MICROS, budget / ANSWER_MARGIN_DIVISOR));
    counters.add(Count.CALLS_TAKEN);
    unansweredCalls++;
    calls.put(call.id, call);
    requestIdsInFlight.add(request.requestId());
    bodyBytesInFlight += request.body().length();
    // Not in the run of the queue that is scheduled already, which may come before unread input.
    afterSocketReads(() -> post(() -> start(call)));
    return call;
  }

  /** Abandons a call whose client no longer waits for the answer. */
  public void abandon(Call call) {
    call.setClientWaiting(false);
    post(
        () -> {
          if (!call.isOver) {
            end(call, Count.CALLS_ABANDONED, r -> {});
            dispatch(new ClientDisconnected(call.id));
          }
        });
  }

  private void start(Call call) {
    // The client may have gone while the call was queued.
    if (call.isOver) {
      return;
    }
    Request request = call.request;
    boolean overloaded =
        calls.size() > MAX_CALLS_IN_FLIGHT || bodyBytesInFlight > MAX_BODY_BYTES_IN_FLIGHT;
    if (!isKeepingUp() || overloaded) {
      counters.add(overloaded ? Count.CALLS_REFUSED_OVERLOAD : Count.CALLS_REFUSED_LATE);
      refuse(call, OVERLOAD_BACKOFF_MILLIS);
      return;
    }
    if (!claim(call)) {
      return;
    }
    functionNames.record(request.function(), request.functionBytes());
    long remaining = call.deadline - clock.now();
    call.timers.add(
        vertx.setTimer(
            Math.max(1, (remaining - call.answerMargin / 3) / 1_000),
            t -> post(() -> failUnanswered(call))));
    dispatch(
        new Dispatcher.CallArrival(
            call.id,
            Math.max(1_000, remaining - call.answerMargin),
            0,
            request.function(),
            request.resourceHints().lanes(),
            request.resourceHints().memoryMb(),
            request.callClass(),
            request.tenant(),
            request.retry(),
            false,
            request.resourceHints().loadTime()));
  }

  /** Claims the request of a call that may not run twice; ends the call if it can't be. */
  private boolean claim(Call call) {
    if (callClass(call).idempotency() != Dispatcher.Idempotency.NOT_IDEMPOTENT) {
      return true;
    }
    RequestClaims.Outcome outcome = claims.claim(call.request.idNumber());
    call.isClaimed = outcome == RequestClaims.Outcome.GRANTED;
    if (outcome == RequestClaims.Outcome.TAKEN) {
      counters.add(Count.CALLS_REPEATED);
      fail(call);
    } else if (outcome == RequestClaims.Outcome.UNAVAILABLE) {
      counters.add(Count.CALLS_REFUSED_UNCLAIMED);
      refuse(call, OVERLOAD_BACKOFF_MILLIS);
    }
    return call.isClaimed;
  }

  private Dispatcher.CallClass callClass(Call call) {
    return settings.classes().get(call.request.callClass());
  }

  /** Fails a call that the dispatcher has left without an answer until its deadline. */
  private void failUnanswered(Call call) {
    if (!call.isOver) {
      counters.add(Count.CALLS_WITHOUT_DECISION);
      fail(call);
      dispatch(new ClientDisconnected(call.id));
    }
  }

  private void refuse(Call call, long backoffMillis) {
    if (call != null && !call.isOver) {
      // A refusal invites a retry, which must not make the call take effect twice.
      boolean idempotent = callClass(call).idempotency() == Dispatcher.Idempotency.IDEMPOTENT;
      if (!idempotent && (call.mayHaveRun || call.attemptsInFlight > 0)) {
        fail(call);
        return;
      }
      end(call, Count.CALLS_REFUSED, r -> r.refused(backoffMillis));
    }
  }

  private void fail(Call call) {
    if (call != null && !call.isOver) {
      end(
          call,
          Count.CALLS_FAILED,
          r -> r.failed(clock.now() >= call.deadline - 2 * call.answerMargin));
    }
  }

  /**
   * Ends a call. All calls end here, for whatever reason.
   *
   * @param outcome the counter of this kind of end
   */
  private void end(Call call, Count outcome, Consumer<Reply> answer) {
    counters.add(outcome);
    call.isOver = true;
    unansweredCalls--;
    call.timers.forEach(vertx::cancelTimer);
    call.timers.clear();
    answer.accept(call.reply);
    release(call);
    post(this::runIfIdle);
  }

  /** Forgets a call that is over once no attempt is in flight. */
  private void release(Call call) {
    if (call.isOver && call.attemptsInFlight == 0 && calls.remove(call.id) != null) {
      requestIdsInFlight.remove(call.request.requestId());
      if (call.isClaimed && !call.mayHaveRun) {
        claims.release(call.request.idNumber());
      }
      bodyBytesInFlight -= call.request.body().length();
    }
  }

  // ---------------------------------------------------------------- attempts

  private void send(Send action) {
    Call call = calls.get(action.call());
    long now = clock.now();
    // The dispatcher may still act for a call that is over.
    if (call == null) {
      post(
          () ->
              dispatch(
                  new AttemptOutcome(
                      action.call(),
                      0,
                      action.worker(),
                      OutcomeCode.NOT_STARTED,
                      0,
                      true,
                      Dispatcher.CopyStatus.NONE,
                      -1,
                      null)));
      return;
    }
    long answerBy = call.deadline - call.answerMargin;
    long timeoutAt = action.timeout() == 0 ? answerBy : Math.min(answerBy, now + action.timeout());
    Attempt attempt =
        new Attempt(this, call, call.attempts.size(), action.worker(), now, timeoutAt);
    countRetry(call);
    call.attempts.add(attempt);
    call.attemptsInFlight++;
    inFlight.merge(action.worker(), 1, Integer::sum);
    if (call.isAwaited()) {
      counters.add(Count.ATTEMPTS_SENT);
      transport.run(attempt);
    } else {
      // Nothing is sent for a call that has its answer or whose client has gone.
      attempt.complete(AttemptResult.of(OutcomeCode.NOT_STARTED));
    }
  }

  /** Counts a further attempt of a call by the reason for it. */
  private void countRetry(Call call) {
    if (call.attemptsInFlight > 0) {
      counters.add(Count.ATTEMPTS_HEDGED);
    } else if (!call.attempts.isEmpty()) {
      Attempt last = call.attempts.get(call.attempts.size() - 1);
      if (last.outcome() != OutcomeCode.OK) {
        counters.add(Count.valueOf("RETRIES_AFTER_" + last.outcome()));
      }
    }
  }

  private void cancel(Call call, int index) {
    if (call != null && index < call.attempts.size()) {
      transport.cancel(call.attempts.get(index));
    }
  }

  void attemptEnded(Attempt attempt, AttemptResult result) {
    Call call = attempt.call;
    call.attemptsInFlight--;
    decrementInFlight(attempt.worker());
    call.mayHaveRun |= !result.code().notRun;
    counters.add(Count.valueOf("ATTEMPTS_" + result.code()));
    if (result.code() == OutcomeCode.OK) {
      recordAcceptedWork(attempt.worker(), attempt.sentAt);
    }
    if (result.code() == OutcomeCode.OK && !call.isOver) {
      end(call, Count.CALLS_SERVED, r -> r.served(result.body()));
    }
    factTranslator.verifyCopy(
        attempt.worker(), call.request.function(), result.copyStatus(), clock.now());
    try {
      dispatch(
          new AttemptOutcome(
              call.id,
              attempt.index,
              attempt.worker(),
              result.code(),
              clock.now() - attempt.sentAt,
              call.isOver,
              result.copyStatus(),
              result.concurrency(),
              result.loadReport()));
    } finally {
      release(call);
    }
  }

  // ---------------------------------------------------------------- preloads, probes, timers

  /** Counts one attempt or preload request less in flight at a worker. */
  private void decrementInFlight(int worker) {
    inFlight.computeIfPresent(worker, (w, n) -> n > 1 ? n - 1 : null);
  }

  void preloadEnded(PreloadRequest request, OutcomeCode code, int copies) {
    decrementInFlight(request.worker());
    if (code == OutcomeCode.OK && request.copies() > 0) {
      recordAcceptedWork(request.worker(), request.sentAt);
    }
    dispatch(
        new PreloadResult(
            clock.now() - request.sentAt, copies, request.worker(), code, request.function));
  }

  private void recordAcceptedWork(int worker, long sentAt) {
    if (workerTable.find(worker) != null) {
      discovery.leases().recordAcceptedWork(worker, sentAt);
    }
  }

  void probeEnded(WorkerProbe probe, OutcomeCode code, float[] report) {
    dispatch(new ProbeResult(clock.now() - probe.sentAt, probe.worker(), code, report));
  }

  /**
   * Probes a worker independently of the dispatcher. A worker that may not get work now is not
   * probed and counts as not responding.
   *
   * @param callback receives whether the worker responded, and after how many microseconds
   */
  public void probeWorker(String worker, BiConsumer<Boolean, Long> callback) {
    post(
        () -> {
          WorkerTable.Entry entry = workerTable.find(worker);
          if (entry == null || effectiveState(entry).state() != WorkerState.READY) {
            callback.accept(false, 0L);
            return;
          }
          long sentAt = clock.now();
          counters.add(Count.PROBES_SENT);
          transport.probe(
              new WorkerProbe(
                  this,
                  entry.id(),
                  sentAt,
                  code -> callback.accept(code == OutcomeCode.OK, clock.now() - sentAt)));
        });
  }

  private void startTimer(StartTimer action) {
    // A token that is not negative is the id of a call.
    Call call = action.token() >= 0 ? calls.get((int) action.token()) : null;
    if (action.token() >= 0 && (call == null || call.isOver)) {
      return;
    }
    // Rounded up: the dispatcher checks the clock again, and a timer that fires a fraction early
    // would find nothing due.
    long timerId =
        vertx.setTimer(
            Math.max(1, (action.delay() + 999) / 1_000),
            t -> post(() -> dispatch(new TimerFired(action.token()))));
    if (call != null) {
      call.timers.add(timerId);
    }
  }

  // ---------------------------------------------------------------- worker list

  /**
   * Applies an update of the worker list.
   *
   * @param kind whether {@code endpoints} holds changes only, or all workers, in which case missing
   *     ones are gone
   */
  public void updateWorkers(ListKind kind, List<Endpoint> endpoints) {
    post(
        () -> {
          counters.add(Count.LIST_CHANGES);
          long now = clock.now();
          List<WorkerEntry> entries = new ArrayList<>();
          List<WorkerTable.Entry> missing = new ArrayList<>();
          if (kind != ListKind.DELTA) {
            workerTable.all().forEach(missing::add);
          }
          for (Endpoint e : endpoints) {
            missing.removeIf(m -> m.endpoint().name().equals(e.name()));
            applyEndpoint(e, now, entries);
          }
          for (WorkerTable.Entry m : missing) {
            applyEndpoint(m.endpoint().gone(), now, entries);
          }
          dispatch(new WorkerListUpdate(kind, entries));
          applyFacts(factTranslator.removePending());
        });
  }

  private void applyEndpoint(Endpoint endpoint, long now, List<WorkerEntry> entries) {
    if (workerTable.isOutdated(endpoint)) {
      if (workerTable.find(endpoint.name()) != null) {
        applyEndpoint(endpoint.gone(), now, entries);
      }
      return;
    }
    WorkerTable.Entry replaced = workerTable.replacedBy(endpoint);
    if (replaced != null) {
      counters.add(Count.WORKERS_REPLACED);
      applyEndpoint(replaced.endpoint().gone(), now, entries);
    }
    WorkerTable.Entry entry = workerTable.put(endpoint, now);
    entries.add(publishState(entry));
    if (endpoint.state() == WorkerState.GONE) {
      workerTable.remove(entry);
      discovery.leases().forget(entry.id());
    }
  }

  /**
   * Passes the effective state of a worker to the transport, and returns it as an entry for the
   * dispatcher.
   */
  private WorkerEntry publishState(WorkerTable.Entry entry) {
    EffectiveState effective = effectiveState(entry);
    Endpoint endpoint = entry.endpoint();
    transport.update(
        entry.id(),
        new Endpoint(
            endpoint.name(),
            endpoint.host(),
            endpoint.port(),
            endpoint.zone(),
            endpoint.kind(),
            endpoint.cell(),
            effective.state(),
            endpoint.weight(),
            effective.startedAt()),
        effective.stopAt());
    return toEntry(entry, effective);
  }

  /** The state of a worker by the list, suspensions and its lease together. */
  private EffectiveState effectiveState(WorkerTable.Entry entry) {
    Endpoint endpoint = entry.endpoint();
    EffectiveState withoutLease =
        suspensions.effectiveState(
            endpoint.name(),
            endpoint.state(),
            entry.drainReportedAt(),
            Math.max(endpoint.startedAt(), discovery.leases().startedAt(entry.id())));
    return discovery.leases().isHeldBack(entry.id())
        ? withoutLease.heldBack(discovery.leases().leaseUntil(entry.id()))
        : withoutLease;
  }

  /** The listed workers, as the discovery monitor sees them. */
  private final class LeaseDirectory implements DiscoveryMonitor.WorkerDirectory {
    @Override
    public Iterable<Integer> workers() {
      return workerTable.ids();
    }

    @Override
    public String name(int worker) {
      return workerTable.find(worker).endpoint().name();
    }

    @Override
    public boolean isListedReady(int worker) {
      return workerTable.find(worker).endpoint().state() == WorkerState.READY;
    }

    @Override
    public void onStateChanged(Collection<Integer> workers) {
      DispatchLoop.this.refreshWorkers(workers.stream().map(this::name).toList());
    }

    @Override
    public void requestRenewal(List<Integer> workers, int urgent) {
      dispatch(new Dispatcher.LeasesExpiring(workers, urgent));
    }
  }

  private void dispatchFullList() {
    List<WorkerEntry> entries = new ArrayList<>();
    workerTable.all().forEach(e -> entries.add(toEntry(e, effectiveState(e))));
    dispatch(new WorkerListUpdate(ListKind.FULL, entries));
  }

  private static WorkerEntry toEntry(WorkerTable.Entry entry, EffectiveState effective) {
    Endpoint endpoint = entry.endpoint();
    return new WorkerEntry(
        entry.id(),
        endpoint.zone(),
        endpoint.kind(),
        endpoint.cell(),
        effective.state(),
        endpoint.weight(),
        effective.startedAt());
  }

  // ---------------------------------------------------------------- suspensions by operators

  /**
   * Suspends a worker or ends its suspension, whatever the list says. Completes once that is in
   * effect here, with false if no such worker was ever listed.
   *
   * @param at when the operator asked for it; a repeated suspension keeps the time of the first
   */
  public Future<Boolean> setSuspended(String worker, boolean suspended, long at) {
    return supplyInTurn(
        () -> {
          boolean known = workerTable.wasListed(worker) || suspensions.isSuspended(worker);
          if (known) {
            if (suspended) {
              suspensions.suspend(worker, at);
            } else {
              suspensions.resume(worker, at);
            }
            refreshWorkers(List.of(worker));
          }
          return known;
        });
  }

  /**
   * Takes over the suspensions that another process of this front end has recorded.
   *
   * @param suspended suspended workers, and since when
   * @param resumptions workers whose suspension has ended, and when
   */
  public Future<Void> setSuspended(Map<String, Long> suspended, Map<String, Long> resumptions) {
    return supplyInTurn(
        () -> {
          refreshWorkers(suspensions.replace(suspended, resumptions));
          return null;
        });
  }

  /** Describes the workers for operators; see {@link WorkerReports#describe}. */
  public Future<String> describeWorkers() {
    return supplyInTurn(workerReports::describe);
  }

  /** What this front end knows of its workers. To be used on the thread of the event loop. */
  public WorkerReports workerReports() {
    return workerReports;
  }

  // ---------------------------------------------------------------- facts from other front ends

  /** The origin of the facts that this process passes on; differs after each restart. */
  public String instanceId() {
    return factTranslator.origin();
  }

  /** All facts that this process has, from its own observations and from other front ends. */
  public Future<List<Fact>> facts() {
    return supplyInTurn(
        () -> {
          long now = clock.now();
          factTranslator.forgetOwn();
          dispatcher.exportObservations(
              now,
              observation ->
                  factTranslator.recordObservation(
                      observation,
                      id -> {
                        WorkerTable.Entry entry = workerTable.find(id);
                        return entry == null ? null : entry.endpoint().name();
                      },
                      now));
          return factTranslator.facts();
        });
  }

  /**
   * Merges facts from other front ends. Completes with the number of facts that were passed to the
   * dispatcher.
   */
  public Future<Integer> mergeFacts(List<Fact> facts) {
    return supplyInTurn(() -> applyFacts(facts));
  }

  private int applyFacts(List<Fact> facts) {
    long now = clock.now();
    int used = 0;
    for (Fact fact : facts) {
      WorkerTable.Entry entry = workerTable.find(fact.subject().worker());
      if (entry == null && fact.subject().kind() != Fact.Kind.FUNCTION) {
        factTranslator.addPending(fact);
        continue;
      }
      if (entry != null
          && fact.subject().kind() == Fact.Kind.WORKER
          && fact.origin().startsWith(PROBER_ORIGIN_PREFIX)) {
        if (fact.value().b() >= 0.5) {
          reportedFailing.add(fact.subject().worker());
        } else {
          reportedFailing.remove(fact.subject().worker());
        }
      }
      EffectiveState effective = entry == null ? null : effectiveState(entry);
      Dispatcher.Observation observation =
          factTranslator.mergeRemote(
              fact,
              entry == null ? 0 : entry.id(),
              effective == null
                  ? null
                  : new FactFilter.WorkerStatus(effective.state(), effective.startedAt()),
              now);
      if (observation != null) {
        counters.add(Count.FACTS_USED);
        dispatch(observation);
        used++;
      }
    }
    return used;
  }

  // ---------------------------------------------------------------- plans of the whole fleet

  /**
   * Suspends the workers that plans suspend, and ends all other suspensions by plans. Completes
   * once that is in effect here.
   *
   * @param suspended all workers that plans suspend from now on
   * @param cold workers that were serviced; those whose suspension ends count as newly started
   */
  public Future<Void> suspendByPlan(Set<String> suspended, Set<String> cold) {
    return supplyInTurn(
        () -> {
          refreshWorkers(suspensions.replacePlanned(suspended, cold, clock.now()));
          return null;
        });
  }

  /**
   * Lets the dispatcher request a copy of a function at a worker, within its limits on preloading.
   */
  public void requestCopy(String worker, long function) {
    post(
        () -> {
          WorkerTable.Entry entry = workerTable.find(worker);
          if (entry != null) {
            dispatch(new Dispatcher.CopyRequested(entry.id(), function));
          }
        });
  }

  /** Recomputes the state of the named workers and passes it on. */
  private void refreshWorkers(Iterable<String> names) {
    List<WorkerEntry> entries = new ArrayList<>();
    for (String name : names) {
      WorkerTable.Entry entry = workerTable.find(name);
      if (entry != null) {
        entries.add(publishState(entry));
      }
    }
    if (!entries.isEmpty()) {
      dispatch(new WorkerListUpdate(ListKind.DELTA, entries));
    }
  }

  /**
   * The remaining time of the leases in microseconds, by worker name, for a process that takes
   * over; null where no discovery is followed.
   */
  public Future<Map<String, Long>> remainingLeases() {
    return supplyInTurn(discovery::remainingLeases);
  }

  /**
   * Takes over the leases of the process that this one replaces.
   *
   * @param remaining the remaining time of the leases in microseconds, by worker name
   * @param age how long ago {@code remaining} was recorded, in microseconds
   */
  public Future<Void> takeOverLeases(Map<String, Long> remaining, long age) {
    return supplyInTurn(
        () -> {
          Map<Integer, Long> byId = new HashMap<>();
          remaining.forEach(
              (name, lease) -> {
                if (workerTable.find(name) != null) {
                  byId.put(workerTable.find(name).id(), lease);
                }
              });
          discovery.takeOver(byId, age);
          return null;
        });
  }

  /**
   * Sets the size of the fleet.
   *
   * @param count how many front ends there probably are
   * @param divisor what fleet-wide limits are divided by for this front end
   */
  public void setFleetSize(double count, double divisor) {
    post(() -> dispatch(new Dispatcher.FleetSizeUpdate(count, divisor)));
  }

  /** Runs {@code action} once when no call is unanswered: at once, or after the last answer. */
  public void whenIdle(Runnable action) {
    whenIdle = action;
    post(this::runIfIdle);
  }

  private void runIfIdle() {
    // A call may have been accepted after the last answer.
    if (unansweredCalls == 0 && whenIdle != null) {
      Runnable action = whenIdle;
      whenIdle = null;
      action.run();
    }
  }
}
