package umberrun.core;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
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

/**
 * The one task that owns the decision module. Whatever happens on a socket comes in through {@link
 * #post}; the queue is worked off in order on one Vert.x context, each event is handed to the
 * module with a clock that never goes back, and the actions it answers with are carried out in the
 * order given.
 */
public final class DispatchLoop implements WorkerLeaseView {
  /**
   * Answers leave this much before the client's time is up: a pause of this machine must not make
   * them late.
   */
  private static final long ANSWER_EARLY = 30_000;

  /**
   * But no larger part of that time is given away: some clients wait for little longer than the
   * work takes.
   */
  private static final long EARLY_PART = 20;

  /**
   * Calls in hand, and bytes of their bodies, beyond which a call is refused unseen: the memory is
   * small.
   */
  private static final int MOST_CALLS = 4_096;

  private static final long MOST_BYTES = 12 << 20;

  /** Spellings of functions kept to write orders with; the module forgets functions sooner. */
  private static final int MOST_FUNCTIONS = 16_384;

  /** Origins of facts that a hall's prober found. */
  public static final String PROBER_ORIGIN_PREFIX = "probe/";

  private static final long GUARD_BACKOFF_MILLIS = 250;

  /** A machine later than this takes nothing new: what it takes it could not answer in time. */
  private static final long MOST_LAG = 150_000;

  private static final long LITTLE_LAG = 50_000;

  private final Vertx vertx;
  private final Context context;
  private final Clock clock;
  private final Counters counters;
  private final Settings settings;
  private final Consumer<String> log;
  private final Dispatcher module;
  private final WorkerTransport workers;
  private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
  private final ArrayDeque<Action> actions = new ArrayDeque<>();
  private final Map<Integer, Call> calls = new HashMap<>();

  /** The ids of calls in hand, also of those given up whose attempts are still out. */
  private final Set<Buffer> rids = new HashSet<>();

  private final LagMeter lag;
  private final WorkerTable roster = new WorkerTable();
  private final WorkerSuspensions bans;
  private final DiscoveryMonitor discovery;
  private final FactTranslator hearsay;
  private final Map<Long, Buffer> functions = new BoundedMap<>(MOST_FUNCTIONS, true);

  /** Attempts and orders that are out, by worker. */
  private final Map<Integer, Integer> out = new HashMap<>();

  /** Workers that a prober of their hall says do not answer. */
  private final Set<String> toldFailing = new HashSet<>();

  private long bytesInHand;

  /** Calls that have no answer yet. */
  private int owed;

  private int nextCall = 1;
  private boolean scheduled;
  private Runnable whenIdle;

  /**
   * @param module makes the module, given where its first actions go
   * @param workers makes the way to the workers, given this owner
   */
  public DispatchLoop(
      Vertx vertx,
      Context context,
      Clock clock,
      Counters counters,
      Settings settings,
      Consumer<String> log,
      Function<Consumer<Action>, Dispatcher> module,
      Function<DispatchLoop, WorkerTransport> workers) {
    this.vertx = vertx;
    this.context = context;
    this.clock = clock;
    this.counters = counters;
    this.settings = settings;
    this.log = log;
    this.lag = new LagMeter(vertx, clock);
    this.hearsay = new FactTranslator(settings);
    this.bans = new WorkerSuspensions(settings.rules().drainGrace());
    this.discovery =
        new DiscoveryMonitor(
            vertx,
            clock,
            counters,
            log,
            this::post,
            bans.grace(),
            hearsay.origin().hashCode(),
            new Leased());
    this.workers = workers.apply(this);
    this.module = module.apply(actions::add);
    post(this::carryOut);
  }

  public Settings settings() {
    return settings;
  }

  /** Whether this machine keeps up, so that what it takes it can answer in time. */
  public boolean isKeepingUp() {
    return lag.lag() <= MOST_LAG;
  }

  /** How late this machine is, in microseconds. */
  public long lag() {
    return lag.lag();
  }

  /** What sources of the list tell of their contact with it. */
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

  // ---------------------------------------------------------------- the queue

  /** Queues a step; callable on the context's thread only, as all sockets live there. */
  public void post(Runnable step) {
    queue.add(step);
    schedule();
  }

  /** Carries a step out in its turn; what it gives, once that is done. */
  private <T> Future<T> inTurn(Supplier<T> step) {
    Promise<T> done = Promise.promise();
    post(() -> done.complete(step.get()));
    return done.future();
  }

  private void schedule() {
    if (!queue.isEmpty() && !scheduled) {
      scheduled = true;
      onceRead(() -> context.runOnContext(v -> work()));
    }
  }

  /**
   * A late machine reads on first: guards callers who have gone, as what they said behind their
   * calls lies unread by now.
   */
  private void onceRead(Runnable step) {
    if (lag.lag() <= LITTLE_LAG) {
      step.run();
    } else { // a timer that a task sets is due after the next look at the sockets
      context.runOnContext(v -> vertx.setTimer(1, t -> step.run()));
    }
  }

  private void work() {
    scheduled = false;
    for (int n = queue.size();
        n > 0;
        n--) { // what is queued meanwhile waits, so that sockets get their turn
      try {
        queue.poll().run();
      } catch (RuntimeException e) { // guards against a fault in one step ending all calls
        counters.add(Count.MODULE_FAULTS);
        log.accept(
            "fault: " + e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
      }
    }
    schedule();
  }

  private void tell(Event event) {
    try {
      module.handle(clock.now(), event, actions::add);
    } finally {
      carryOut();
    }
  }

  private void carryOut() {
    for (Action a; (a = actions.poll()) != null; ) {
      carryOut(a);
    }
  }

  private void carryOut(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof Refuse a) {
      refuse(calls.get(a.call()), a.retryAfter() / 1_000);
    } else if (action instanceof Fail a) {
      fail(calls.get(a.call()));
    } else if (action instanceof StartTimer a) {
      startTimer(a);
    } else if (action instanceof Preload a) {
      counters.add(Count.ORDERS_SENT);
      discovery.leases().recordRenewalAttempt(a.worker(), clock.now());
      out.merge(a.worker(), 1, Integer::sum);
      workers.preload(
          new PreloadRequest(
              this, a.worker(), a.function(), spelling(a.function()), a.copies(), clock.now()));
    } else if (action instanceof Unload a) {
      workers.unload(a.worker(), spelling(a.function()));
    } else if (action instanceof Cancel a) {
      cancel(calls.get(a.call()), a.attempt());
    } else if (action instanceof Probe a) {
      counters.add(Count.PROBES_SENT);
      workers.probe(new WorkerProbe(this, a.worker(), clock.now()));
    } else if (action instanceof CloseIdleConnections a) {
      workers.closeIdle(a.worker());
    } else if (action instanceof Log a) {
      log.accept(a.text());
    } else if (action instanceof FetchWorkerList || action instanceof Subscribe w && w.on()) {
      post(this::tellWholeList);
    } // Tell: front ends can't reach each other here
  }

  // ---------------------------------------------------------------- calls

  /**
   * Whether a call with this id is in hand, so that the workers could not tell another one from it.
   */
  public boolean isInFlight(Buffer rid) {
    return rids.contains(rid);
  }

  /** Takes a call; its answer goes to {@code reply}. */
  public Call submit(Request request, Reply reply) {
    long now = clock.now();
    // The client has waited since it wrote the call, which may have lain unread for as long as we
    // are late.
    long patience = Math.max(1, request.budget() - lag.lag());
    Call call =
        new Call(
            nextCall++,
            request,
            reply,
            now + patience,
            Math.min(ANSWER_EARLY, patience / EARLY_PART));
    counters.add(Count.CALLS_TAKEN);
    owed++;
    calls.put(call.id, call);
    rids.add(request.requestId());
    bytesInHand += request.body().length();
    onceRead(() -> post(() -> begin(call))); // not by the pass that others' steps have scheduled
    return call;
  }

  /** The client no longer waits for an answer. */
  public void abandon(Call call) {
    call.attended(false);
    post(
        () -> {
          if (!call.isOver) {
            end(call, Count.CALLS_LEFT, r -> {});
            tell(new ClientDisconnected(call.id));
          }
        });
  }

  private void begin(Call call) {
    if (call.isOver) { // left while it was queued
      return;
    }
    Request r = call.request;
    boolean crowded = calls.size() > MOST_CALLS || bytesInHand > MOST_BYTES;
    if (!isKeepingUp() || crowded) {
      counters.add(crowded ? Count.CALLS_REFUSED_CROWDED : Count.CALLS_REFUSED_LATE);
      refuse(call, GUARD_BACKOFF_MILLIS);
      return;
    }
    functions.put(r.function(), r.functionBytes());
    long left = call.deadline - clock.now();
    call.timers.add(
        vertx.setTimer(Math.max(1, (left - call.early / 3) / 1_000), t -> post(() -> guard(call))));
    tell(
        new Dispatcher.CallArrival(
            call.id,
            Math.max(1_000, left - call.early),
            0,
            r.function(),
            r.resourceHints().lanes(),
            r.resourceHints().memoryMb(),
            r.callClass(),
            r.tenant(),
            r.retry(),
            false,
            r.resourceHints().loadTime()));
  }

  /** Guards against a call that the module leaves without an answer. */
  private void guard(Call call) {
    if (!call.isOver) {
      counters.add(Count.CALLS_GUARDED);
      fail(call);
      tell(new ClientDisconnected(call.id));
    }
  }

  private void refuse(Call call, long backoffMillis) {
    if (call != null && !call.isOver) {
      boolean safe =
          settings.classes().get(call.request.callClass()).idempotency()
              == Dispatcher.Idempotency.IDEMPOTENT;
      if (!safe
          && (call.mayHaveRun
              || call.out > 0)) { // guards rule 2: 'try again' only where that is harmless
        fail(call);
        return;
      }
      end(call, Count.CALLS_REFUSED, r -> r.refused(backoffMillis));
    }
  }

  private void fail(Call call) {
    if (call != null && !call.isOver) {
      end(call, Count.CALLS_FAILED, r -> r.failed(clock.now() >= call.deadline - 2 * call.early));
    }
  }

  /** The one place where a call ends, whatever ended it. */
  private void end(Call call, Count how, Consumer<Reply> answer) {
    counters.add(how);
    call.isOver = true;
    owed--;
    call.timers.forEach(vertx::cancelTimer);
    call.timers.clear();
    answer.accept(call.reply);
    release(call);
    post(this::lookIfIdle);
  }

  /** Lets go of a call that is over once no attempt is out. */
  private void release(Call call) {
    if (call.isOver && call.out == 0 && calls.remove(call.id) != null) {
      rids.remove(call.request.requestId());
      bytesInHand -= call.request.body().length();
    }
  }

  // ---------------------------------------------------------------- attempts

  private void send(Send a) {
    Call call = calls.get(a.call());
    long now = clock.now();
    if (call == null) { // guards against a module that goes on with a call that is over
      post(
          () ->
              tell(
                  new AttemptOutcome(
                      a.call(),
                      0,
                      a.worker(),
                      OutcomeCode.MOOT,
                      0,
                      true,
                      Dispatcher.CopyStatus.NONE,
                      -1,
                      null)));
      return;
    }
    long last = call.deadline - call.early;
    long until = a.timeout() == 0 ? last : Math.min(last, now + a.timeout());
    Attempt attempt = new Attempt(this, call, call.attempts.size(), a.worker(), now, until);
    call.attempts.add(attempt);
    call.out++;
    out.merge(a.worker(), 1, Integer::sum);
    if (call.isAwaited()) {
      counters.add(Count.ATTEMPTS_SENT);
      workers.run(attempt);
    } else { // guards rule 1, and callers who have gone: nothing is sent for a call that has its
      // answer or wants none
      attempt.complete(AttemptResult.of(OutcomeCode.MOOT));
    }
  }

  private void cancel(Call call, int index) {
    if (call != null && index < call.attempts.size()) {
      workers.cancel(call.attempts.get(index));
    }
  }

  void attemptEnded(Attempt attempt, AttemptResult e) {
    Call call = attempt.call;
    call.out--;
    cameBack(attempt.worker());
    call.mayHaveRun |= !e.code().notRun;
    counters.add(Count.valueOf("ATTEMPTS_" + e.code()));
    if (e.code() == OutcomeCode.OK) {
      tookWork(attempt.worker(), attempt.sentAt);
    }
    if (e.code() == OutcomeCode.OK && !call.isOver) {
      end(call, Count.CALLS_SERVED, r -> r.served(e.body()));
    }
    hearsay.check(attempt.worker(), call.request.function(), e.copyStatus(), clock.now());
    try {
      tell(
          new AttemptOutcome(
              call.id,
              attempt.index,
              attempt.worker(),
              e.code(),
              clock.now() - attempt.sentAt,
              call.isOver,
              e.copyStatus(),
              e.concurrency(),
              e.loadReport()));
    } finally {
      release(call);
    }
  }

  // ---------------------------------------------------------------- orders, probes, timers

  /** One thing less is out at a worker. */
  private void cameBack(int worker) {
    out.computeIfPresent(worker, (w, n) -> n > 1 ? n - 1 : null);
  }

  void preloadEnded(PreloadRequest o, OutcomeCode code, int standing) {
    cameBack(o.worker());
    if (code == OutcomeCode.OK && o.copies() > 0) {
      tookWork(o.worker(), o.givenAt);
    }
    tell(new PreloadResult(clock.now() - o.givenAt, standing, o.worker(), code, o.function));
  }

  private void tookWork(int worker, long sentAt) {
    if (roster.find(worker) != null) {
      discovery.leases().recordAcceptedWork(worker, sentAt);
    }
  }

  void probeEnded(WorkerProbe p, OutcomeCode code, float[] report) {
    tell(new ProbeResult(clock.now() - p.askedAt, p.worker(), code, report));
  }

  /**
   * Asks a worker how it is for others than the module; {@code then} is told whether it answered,
   * and after how long. One that is not on the list, drains or is out is not asked.
   */
  public void probeWorker(String worker, BiConsumer<Boolean, Long> then) {
    post(
        () -> {
          WorkerTable.Entry entry = roster.find(worker);
          if (entry == null || standing(entry).state() != WorkerState.READY) {
            then.accept(false, 0L);
            return;
          }
          long asked = clock.now();
          counters.add(Count.PROBES_SENT);
          workers.probe(
              new WorkerProbe(
                  this,
                  entry.id(),
                  asked,
                  code -> then.accept(code == OutcomeCode.OK, clock.now() - asked)));
        });
  }

  /** Names of the workers of a hall (all halls with -1) that may get work, in order. */
  public List<String> readyWorkers(int zone) {
    List<String> names = new ArrayList<>();
    for (WorkerTable.Entry e : roster.all()) {
      if ((zone < 0 || e.endpoint().zone() == zone) && standing(e).state() == WorkerState.READY) {
        names.add(e.endpoint().name());
      }
    }
    names.sort(null);
    return names;
  }

  private Buffer spelling(long function) {
    Buffer known = functions.get(function);
    return known != null ? known : Buffer.buffer(String.format("%016x", function));
  }

  private void startTimer(StartTimer a) {
    Call call = a.token() >= 0 ? calls.get((int) a.token()) : null;
    if (a.token() >= 0 && (call == null || call.isOver)) {
      return;
    }
    // Rounded up: the module looks at the clock again, and a timer that is early by a fraction
    // finds nothing due.
    long id =
        vertx.setTimer(
            Math.max(1, (a.delay() + 999) / 1_000),
            t -> post(() -> tell(new TimerFired(a.token()))));
    if (call != null) {
      call.timers.add(id);
    }
  }

  // ---------------------------------------------------------------- the list of workers

  /** Takes news of the list: changes, or the whole of it, in which what is missing is gone. */
  public void updateWorkers(ListKind kind, List<Endpoint> endpoints) {
    post(
        () -> {
          counters.add(Count.LIST_CHANGES);
          long now = clock.now();
          List<WorkerEntry> members = new ArrayList<>();
          List<WorkerTable.Entry> missing = new ArrayList<>();
          if (kind != ListKind.DELTA) {
            roster.all().forEach(missing::add);
          }
          for (Endpoint e : endpoints) {
            missing.removeIf(m -> m.endpoint().name().equals(e.name()));
            submit(e, now, members);
          }
          for (WorkerTable.Entry m : missing) {
            Endpoint e = m.endpoint();
            submit(
                new Endpoint(
                    e.name(),
                    e.host(),
                    e.port(),
                    e.zone(),
                    e.kind(),
                    e.cell(),
                    WorkerState.GONE,
                    e.weight(),
                    e.startedAt()),
                now,
                members);
          }
          tell(new WorkerListUpdate(kind, members));
          believe(hearsay.takeEarly());
        });
  }

  private void submit(Endpoint e, long now, List<WorkerEntry> members) {
    WorkerTable.Entry entry = roster.tell(e, now);
    members.add(stand(entry));
    if (e.state() == WorkerState.GONE) {
      roster.forget(entry);
      discovery.leases().forget(entry.id());
    }
  }

  /** Tells the way to a worker what holds for it; the same for the module. */
  private WorkerEntry stand(WorkerTable.Entry entry) {
    EffectiveState s = standing(entry);
    Endpoint e = entry.endpoint();
    workers.update(
        entry.id(),
        new Endpoint(
            e.name(),
            e.host(),
            e.port(),
            e.zone(),
            e.kind(),
            e.cell(),
            s.state(),
            e.weight(),
            s.startedAt()),
        s.stopAt());
    return member(entry, s);
  }

  private EffectiveState standing(WorkerTable.Entry entry) {
    Endpoint e = entry.endpoint();
    EffectiveState said =
        bans.over(
            e.name(),
            e.state(),
            entry.toldAt(),
            Math.max(e.startedAt(), discovery.leases().startedAt(entry.id())));
    return discovery.leases().isHeldBack(entry.id())
        ? said.heldBack(discovery.leases().leaseUntil(entry.id()))
        : said;
  }

  /** The workers on the list, whose leases end while discovery is out of reach. */
  private final class Leased implements DiscoveryMonitor.WorkerDirectory {
    @Override
    public Iterable<Integer> workers() {
      return roster.ids();
    }

    @Override
    public String name(int worker) {
      return roster.find(worker).endpoint().name();
    }

    @Override
    public boolean isListedReady(int worker) {
      return roster.find(worker).endpoint().state() == WorkerState.READY;
    }

    @Override
    public void restate(Collection<Integer> workers) {
      DispatchLoop.this.restate(workers.stream().map(this::name).toList());
    }

    @Override
    public void renew(List<Integer> workers, int urgent) {
      tell(new Dispatcher.LeasesExpiring(workers, urgent));
    }
  }

  private void tellWholeList() {
    List<WorkerEntry> members = new ArrayList<>();
    roster.all().forEach(e -> members.add(member(e, standing(e))));
    tell(new WorkerListUpdate(ListKind.FULL, members));
  }

  private static WorkerEntry member(WorkerTable.Entry entry, EffectiveState s) {
    Endpoint e = entry.endpoint();
    return new WorkerEntry(
        entry.id(), e.zone(), e.kind(), e.cell(), s.state(), e.weight(), s.startedAt());
  }

  // ---------------------------------------------------------------- what operators say of workers

  /**
   * Takes a worker out, or ends that, whatever the list says. Done once it holds here; false where
   * no such worker was ever listed.
   *
   * @param at when it was said, which is kept where it is said again
   */
  public Future<Boolean> setSuspended(String worker, boolean out, long at) {
    return inTurn(
        () -> {
          boolean known = roster.wasListed(worker) || bans.isOut(worker);
          if (known) {
            if (out) {
              bans.suspend(worker, at);
            } else {
              bans.resume(worker, at);
            }
            restate(List.of(worker));
          }
          return known;
        });
  }

  /**
   * Takes over what another process of this front end has written of workers that are out and that
   * came back.
   */
  public Future<Void> setSuspended(Map<String, Long> out, Map<String, Long> back) {
    return inTurn(
        () -> {
          restate(bans.replace(out, back));
          return null;
        });
  }

  /**
   * A line for each worker on the list, and for each that is out but not on it: its name, state,
   * and since when out.
   */
  public Future<String> describeWorkers() {
    return inTurn(
        () -> {
          Map<String, String> lines = new TreeMap<>();
          bans.out().forEach((name, at) -> lines.put(name, "unlisted"));
          roster
              .all()
              .forEach(
                  e ->
                      lines.put(
                          e.endpoint().name(),
                          e.endpoint().state().name().toLowerCase(Locale.ROOT)
                              + (discovery.leases().isHeldBack(e.id())
                                  ? " held back since "
                                      + Instant.ofEpochMilli(
                                          discovery.leases().heldBackSince(e.id()) / 1_000)
                                  : "")));
          StringBuilder text = new StringBuilder();
          lines.forEach(
              (name, state) ->
                  text.append(name)
                      .append(' ')
                      .append(state)
                      .append(
                          bans.isOut(name)
                              ? " out since " + Instant.ofEpochMilli(bans.out().get(name) / 1_000)
                              : "")
                      .append('\n'));
          return text.toString();
        });
  }

  // ---------------------------------------------------------------- what instances know of each
  // other's

  /** Who this instance is in the facts that it passes on; another one with every start. */
  public String instanceId() {
    return hearsay.origin();
  }

  /** All facts that this instance has: what it saw itself by now, and what it heard. */
  public Future<List<Fact>> facts() {
    return inTurn(
        () -> {
          long now = clock.now();
          module.exportObservations(
              now,
              known ->
                  hearsay.saw(
                      known,
                      id -> {
                        WorkerTable.Entry entry = roster.find(id);
                        return entry == null ? null : entry.endpoint().name();
                      },
                      now));
          return hearsay.facts();
        });
  }

  /**
   * Takes in what others saw; done, with how many of the facts were of use, once the module was
   * told.
   */
  public Future<Integer> mergeFacts(List<Fact> facts) {
    return inTurn(() -> believe(facts));
  }

  private int believe(List<Fact> facts) {
    long now = clock.now();
    int used = 0;
    for (Fact fact : facts) {
      WorkerTable.Entry entry = roster.find(fact.subject().worker());
      if (entry == null && fact.subject().kind() != Fact.Kind.FUNCTION) {
        hearsay.keepEarly(fact);
        continue;
      }
      if (entry != null
          && fact.subject().kind() == Fact.Kind.WORKER
          && fact.origin().startsWith(PROBER_ORIGIN_PREFIX)) {
        if (fact.value().b() >= 0.5) {
          toldFailing.add(fact.subject().worker());
        } else {
          toldFailing.remove(fact.subject().worker());
        }
      }
      EffectiveState s = entry == null ? null : standing(entry);
      Dispatcher.Observation known =
          hearsay.heard(
              fact,
              entry == null ? 0 : entry.id(),
              s == null ? null : new FactFilter.WorkerStatus(s.state(), s.startedAt()),
              now);
      if (known != null) {
        counters.add(Count.FACTS_USED);
        tell(known);
        used++;
      }
    }
    return used;
  }

  // ---------------------------------------------------------------- what plans of the whole fleet
  // want

  /**
   * A worker as this front end has it; {@code kind} as the settings number it, {@code startedAt} in
   * Unix microseconds.
   */
  public record WorkerView(
      String name,
      int zone,
      int kind,
      boolean ready,
      long startedAt,
      boolean cold,
      boolean failing) {}

  /** Takes out what plans have out, and nothing else by plans; done once that holds here. */
  public Future<Void> suspendByPlan(Set<String> nowOut, Set<String> cold) {
    return inTurn(
        () -> {
          restate(bans.settle(nowOut, cold, clock.now()));
          return null;
        });
  }

  /**
   * The workers that the list has now; ready ones are so whatever is out by hand or plan, but not
   * while discovery's word is too old.
   */
  public List<WorkerView> workerViews() {
    long now = clock.now();
    List<WorkerView> all = new ArrayList<>();
    for (WorkerTable.Entry e : roster.all()) {
      Endpoint p = e.endpoint();
      long since = standing(e).startedAt();
      boolean ready =
          p.state() == WorkerState.READY
              && !discovery.leases().isHeldBack(e.id()); // what nobody knows of counts as out
      all.add(
          new WorkerView(
              p.name(),
              p.zone(),
              p.kind(),
              ready,
              p.startedAt(),
              since > 0 && now - since < settings.rules().coldDuration(),
              toldFailing.contains(p.name())));
    }
    return all;
  }

  /**
   * Attempts and orders that are out, by worker's name; what was out at one that is gone counts no
   * more.
   */
  public Map<String, Integer> inFlightByWorker() {
    Map<String, Integer> named = new TreeMap<>();
    out.forEach(
        (id, n) -> {
          WorkerTable.Entry e = roster.find(id);
          if (e != null) {
            named.put(e.endpoint().name(), n);
          }
        });
    return named;
  }

  /**
   * Functions in use here, by their hex digits, and the workers that hold them loaded as far as
   * this front end saw; so many at the most.
   */
  public Map<String, Set<String>> copiesByFunction(int most) {
    Map<Long, Double> recent = new HashMap<>();
    Map<Long, Set<String>> at = new HashMap<>();
    module.exportObservations(
        clock.now(),
        known -> {
          if (known instanceof Dispatcher.FunctionObservation f && f.recentCalls() >= 1) {
            recent.put(f.function(), f.recentCalls());
          } else if (known instanceof Dispatcher.CopyObservation c
              && roster.find(c.worker()) != null
              && !discovery.leases().isHeldBack(c.worker())) {
            at.computeIfAbsent(c.function(), k -> new HashSet<>())
                .add(roster.find(c.worker()).endpoint().name());
          }
        });
    Map<String, Set<String>> named = new TreeMap<>();
    recent.entrySet().stream()
        .sorted(Map.Entry.<Long, Double>comparingByValue().reversed())
        .limit(most)
        .filter(e -> at.containsKey(e.getKey()))
        .forEach(e -> named.put(String.format("%016x", e.getKey()), at.get(e.getKey())));
    return named;
  }

  /** Has the module order a copy of a function at a worker, within its ration. */
  public void requestCopy(String worker, long function) {
    post(
        () -> {
          WorkerTable.Entry entry = roster.find(worker);
          if (entry != null) {
            tell(new Dispatcher.CopyRequested(entry.id(), function));
          }
        });
  }

  private void restate(Iterable<String> names) {
    List<WorkerEntry> members = new ArrayList<>();
    for (String name : names) {
      WorkerTable.Entry entry = roster.find(name);
      if (entry != null) {
        members.add(stand(entry));
      }
    }
    if (!members.isEmpty()) {
      tell(new WorkerListUpdate(ListKind.DELTA, members));
    }
  }

  /**
   * What is left of the workers' leases, by name, for a process that takes over; null where they
   * have none.
   */
  public Future<Map<String, Long>> remainingLeases() {
    return inTurn(discovery::remainingLeases);
  }

  /**
   * Goes on with the leases of the process that this one replaces, as they stood {@code age}
   * microseconds ago.
   */
  public Future<Void> takeOverLeases(Map<String, Long> left, long age) {
    return inTurn(
        () -> {
          Map<Integer, Long> byId = new HashMap<>();
          left.forEach(
              (name, rest) -> {
                if (roster.find(name) != null) {
                  byId.put(roster.find(name).id(), rest);
                }
              });
          discovery.takeOver(byId, age);
          return null;
        });
  }

  /** How many front ends there likely are, and by how much what belongs to all is divided here. */
  public void setFleetSize(double count, double divisor) {
    post(() -> tell(new Dispatcher.FleetSizeUpdate(count, divisor)));
  }

  /**
   * Runs {@code action} one time, once no call is owed an answer: at once, or when the last one has
   * it.
   */
  public void whenIdle(Runnable action) {
    whenIdle = action;
    post(this::lookIfIdle);
  }

  private void lookIfIdle() {
    if (owed == 0 && whenIdle != null) { // guards a call that was taken behind the last answer
      Runnable action = whenIdle;
      whenIdle = null;
      action.run();
    }
  }
}
