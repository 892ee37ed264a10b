package umberrun.works.net;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import umberrun.config.WorksOptions;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.net.RegisterManager;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.core.WorkerView;
import umberrun.fleet.Peer;
import umberrun.fleet.net.FleetManager;
import umberrun.lease.net.DutyRunner;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;
import umberrun.stats.EventLog;
import umberrun.works.FrontEndReport;
import umberrun.works.Ledger;
import umberrun.works.Ledger.Machine;
import umberrun.works.Ledger.Member;
import umberrun.works.Ledger.Plan;
import umberrun.works.Ledger.Refused;
import umberrun.works.MachineOrder;
import umberrun.works.MachineView;
import umberrun.works.PlanExecutor;
import umberrun.works.PlanParticipant;
import umberrun.works.Stage;
import umberrun.works.net.WorksCodec.WorksMessage;

/**
 * Maintenance plans in a front end: connects its {@link PlanParticipant}, and while it holds the
 * duty its {@link PlanExecutor}, to the register, the other front ends and the operators. Runs on
 * the event loop.
 */
public final class WorksManager implements FleetManager.TopicHandler, DutyRunner.DutyTask {
  private static final String TOPIC = "works";
  private static final String REGISTER = "works";
  private static final String DUTY = "works";
  private static final String FILE = "works.json";
  private static final long TICK_MILLIS = 200;
  private static final long REPORT_INTERVAL_MICROS = 400_000;

  /** How often the register is read while a plan is active or this front end holds the duty. */
  private static final long ACTIVE_READ_INTERVAL_MICROS = 1_000_000;

  /** How often the register is read otherwise. */
  private static final long IDLE_READ_INTERVAL_MICROS = 5_000_000;

  private static final long REGISTER_TIMEOUT_MICROS = 1_500_000;
  private static final long JOIN_RETRY_MILLIS = 300;
  private static final long LEAVE_TIMEOUT_MILLIS = 400;
  private static final long RATE_SPAN_MICROS = 1_000_000;

  /** Functions that a report names with the machines that have them loaded. */
  private static final int MAX_REPORTED_FUNCTIONS = 40;

  private static final int DEFAULT_STAGE_LIMIT_SECONDS = 900;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final Gson GSON = new Gson();

  private final Vertx vertx;
  private final Clock clock;
  private final DispatchLoop dispatcher;
  private final Counters counters;
  private final WorksOptions options;
  private final FleetManager fleet;
  private final RegisterManager registers;
  private final RegisterManager.RegisterClient registerWriter;
  private final RegisterManager.RegisterClient registerReader;
  private final List<String> hallNames;
  private final List<String> kindNames;

  /** The folder that the processes of this front end share, or null. */
  private final Path folder;

  private final Consumer<String> log;
  private final EventLog eventLog = new EventLog("works");
  private final Member self;
  private final PlanParticipant participant;

  /** The latest report of each front end, by its name. */
  private final Map<String, FrontEndReport> reports = new TreeMap<>();

  /** The bans that already bind here, by machine, with the step that began each. */
  private Map<String, Long> appliedBans = Map.of();

  /** The bans that are to bind here; {@code appliedBans} follows once they do. */
  private Map<String, Long> wantedBans = Map.of();

  /** Names of the members that were asked for the ledger at the start. */
  private final Set<String> askedForLedger = new HashSet<>();

  private boolean joining;
  private boolean joined;
  private boolean accompanied;
  private boolean stopped;
  private boolean reading;
  private boolean stepPending;
  private long lastReadAt;
  private long lastReportAt;
  private long rateMeasuredAt;
  private long callsBefore;
  private long refusedBefore;
  private double callsPerSecond;
  private double refusedPerSecond;

  /** Null unless this front end holds the duty. */
  private PlanExecutor executor;

  /**
   * The fence under which this front end may act, or -1; asked right before each act. Null until it
   * first holds the duty.
   */
  private LongSupplier activeFence;

  /**
   * @param hallNames names of the halls, by zone number
   * @param kindNames names of the hardware kinds, by number
   * @param folder directory that the processes of this front end share, or null
   * @param log receives human-readable log lines
   */
  public WorksManager(
      Vertx vertx,
      Clock clock,
      DispatchLoop dispatcher,
      Counters counters,
      WorksOptions options,
      FleetManager fleet,
      RegisterManager registers,
      List<String> hallNames,
      List<String> kindNames,
      Path folder,
      Consumer<String> log) {
    this.vertx = vertx;
    this.clock = clock;
    this.dispatcher = dispatcher;
    this.counters = counters;
    this.options = options;
    this.fleet = fleet;
    this.registers = registers;
    this.registerWriter = registers.newClient();
    this.registerReader = registers.newClient();
    this.hallNames = hallNames;
    this.kindNames = kindNames;
    this.folder = folder;
    this.log = log;
    this.self =
        new Member(fleet.name(), Long.toHexString(new java.security.SecureRandom().nextLong()));
    this.participant = new PlanParticipant(self);
    this.rateMeasuredAt = clock.now();
    fleet.registerTopic(TOPIC, this);
  }

  /** Name of the duty whose holder drives the plans. */
  public String duty() {
    return DUTY;
  }

  // ---------------------------------------------------------------- start, handover and end

  /**
   * Completes once this front end applies the bans in force: when it is a member of the ledger, or
   * after {@code start_ms} with the newest ledger from its folder and the members that answer. A
   * process that replaces another one starts with what that one left in the folder, and joins when
   * it is alone.
   */
  public Future<Void> whenBound() {
    Promise<Void> bound = Promise.promise();
    Future<Void> folderRead = readFolder();
    long timer =
        vertx.setTimer(
            options.startMillis(),
            t -> {
              if (bound.tryComplete()) {
                log.accept(
                    "works: not on the roll yet; bound by version "
                        + participant.version()
                        + ", which others or the folder had: "
                        + participant.banned().keySet());
              }
            });
    folderRead.onComplete(
        v -> {
          if (accompanied) {
            // The older process keeps the fleet's listener, and reports no new bans meanwhile.
            vertx.setTimer(2 * TICK_MILLIS, t -> readFolder().onComplete(x -> bound.tryComplete()));
          }
          join(bound);
          tick();
        });
    return bound.future().onComplete(v -> vertx.cancelTimer(timer));
  }

  /** Registers this process as a member of the ledger, and tries again until that has succeeded. */
  private void join(Promise<Void> bound) {
    if (stopped || joined) {
      return;
    }
    if (!accompanied && fleet.isOpen() && !bound.future().isComplete()) {
      requestLedgers();
    }
    if (!accompanied && fleet.isOpen() && !joining) {
      joining = true;
      change(
          l -> l.join(self, true),
          (refusal, l) -> {
            joining = false;
            if (l != null && l.isMember(self)) {
              joined = true;
              apply().onComplete(v -> bound.tryComplete());
            }
          });
    }
    vertx.setTimer(JOIN_RETRY_MILLIS, t -> join(bound));
  }

  /**
   * Asks each living member once for the ledger that it knows, in case no majority of the register
   * answers.
   */
  private void requestLedgers() {
    for (Peer peer : fleet.peers()) {
      if (peer.claim().isLiving() && askedForLedger.add(peer.claim().name())) {
        send(
            peer.claim().name(),
            new WorksMessage(
                WorksMessage.Kind.LEDGER_REQUEST, participant.version(), null, null, null, null));
      }
    }
  }

  /** Sets whether another process of this front end runs beside this one. */
  public void setAccompanied(boolean accompanied) {
    this.accompanied = accompanied;
    participant.setAccompanied(accompanied);
  }

  /**
   * Removes this process from the members of the ledger, as it sends no more calls. Completes soon,
   * even if no majority answers.
   *
   * @param succeeded whether another process of this front end takes over
   */
  public Future<Void> leave(boolean succeeded) {
    // A successor replaces the entry of this process when it joins.
    if (succeeded || !joined) {
      stopped = true;
      return Future.succeededFuture();
    }
    Promise<Void> left = Promise.promise();
    change(l -> l.leave(self), (refusal, l) -> left.tryComplete());
    stopped = true;
    vertx.setTimer(LEAVE_TIMEOUT_MILLIS, t -> left.tryComplete());
    return left.future();
  }

  /**
   * Takes over the ledger that another or an earlier process of this front end left in the folder.
   */
  private Future<Void> readFolder() {
    if (folder == null) {
      return Future.succeededFuture();
    }
    return vertx
        .executeBlocking(
            () -> Files.exists(folder.resolve(FILE)) ? Files.readString(folder.resolve(FILE)) : "")
        .compose(
            text -> {
              if (!text.isEmpty()) {
                JsonObject stored = JsonParser.parseString(text).getAsJsonObject();
                participant.update(
                    stored.get("version").getAsLong(),
                    Ledger.parse(stored.get("ledger").getAsString()));
              }
              return apply();
            })
        .recover(
            e -> {
              // A torn or foreign file must not prevent the start.
              log.accept("works: the ledger in the folder cannot be used: " + e.getMessage());
              return Future.succeededFuture();
            });
  }

  // ---------------------------------------------------------------- the participant

  /** Measures rates, reads the register, reports and drives plans, each when it is due. */
  private void tick() {
    if (stopped) {
      return;
    }
    long now = clock.now();
    if (now - rateMeasuredAt >= RATE_SPAN_MICROS) {
      long callsNow = counters.get(Count.CALLS_TAKEN);
      long refusedNow = counters.get(Count.CALLS_REFUSED);
      double seconds = (now - rateMeasuredAt) / 1e6;
      callsPerSecond = (callsNow - callsBefore) / seconds;
      refusedPerSecond = (refusedNow - refusedBefore) / seconds;
      callsBefore = callsNow;
      refusedBefore = refusedNow;
      rateMeasuredAt = now;
    }
    boolean active = participant.ledger().isActive();
    if (fleet.isOpen()
        && !reading
        && now - lastReadAt
            >= (executor != null || active
                ? ACTIVE_READ_INTERVAL_MICROS
                : IDLE_READ_INTERVAL_MICROS)) {
      reading = true;
      lastReadAt = now;
      registerReader.read(
          REGISTER,
          now + REGISTER_TIMEOUT_MICROS,
          v -> {
            reading = false;
            update(v);
          });
    }
    if (active && joined && now - lastReportAt >= REPORT_INTERVAL_MICROS) {
      lastReportAt = now;
      report();
    }
    drive();
    vertx.setTimer(TICK_MILLIS, t -> tick());
  }

  private void update(RegisterValue value) {
    if (value != null) {
      try {
        update(value.version(), Ledger.parse(value.text()));
      } catch (IllegalArgumentException e) {
        log.accept("works: " + e.getMessage());
      }
    }
  }

  private void update(long version, Ledger ledger) {
    Ledger before = participant.ledger();
    if (participant.update(version, ledger)) {
      logChanges(before, ledger);
      apply();
      if (joined && !stopped && participant.isRemoved()) {
        log.accept("works: removed from the roll although it runs; joining again");
        change(x -> x.join(self, !accompanied), (refusal, x) -> {});
      }
    }
  }

  /**
   * Logs each change of a stage or plan. Each front end does so, as operators also need to see when
   * which of them knew of a change.
   */
  private void logChanges(Ledger before, Ledger now) {
    for (Machine machine : now.machines()) {
      Machine previous =
          before.machines().stream()
              .filter(
                  other ->
                      other.name().equals(machine.name()) && other.plan().equals(machine.plan()))
              .findFirst()
              .orElse(null);
      if (previous == null
          || previous.stage() != machine.stage()
          || machine.overdue() && !previous.overdue()) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("machine", machine.name());
        fields.put("plan", machine.plan());
        fields.put("stage", machine.stage().name().toLowerCase(Locale.ROOT));
        fields.put("overdue", machine.overdue());
        fields.put("note", machine.note());
        fields.put("steps", now.steps());
        eventLog.log("machine", fields);
      }
    }
    for (Plan plan : now.plans()) {
      Plan previous = before.plan(plan.id()).orElse(null);
      if (previous == null || previous.state() != plan.state()) {
        eventLog.log(
            "plan",
            Map.of(
                "plan",
                plan.id(),
                "state",
                plan.state().name().toLowerCase(Locale.ROOT),
                "reason",
                plan.reason()));
      }
    }
  }

  /** Applies the bans in force, stores them in the folder, and reports them only after that. */
  private Future<Void> apply() {
    Map<String, Long> bans = participant.banned();
    if (bans.equals(wantedBans)) {
      return Future.succeededFuture();
    }
    wantedBans = bans;
    Ledger ledger = participant.ledger();
    long version = participant.version();
    Set<String> cold = new HashSet<>();
    appliedBans
        .keySet()
        .forEach(
            n -> {
              if (PlanParticipant.isCold(ledger, n)) {
                cold.add(n);
              }
            });
    // A lifted ban is not reported any more from now on; a new one only once it binds.
    Map<String, Long> kept = new LinkedHashMap<>(appliedBans);
    kept.entrySet().retainAll(bans.entrySet());
    appliedBans = kept;
    return dispatcher
        .suspendByPlan(new LinkedHashSet<>(bans.keySet()), cold)
        .compose(v -> write(version, ledger))
        .onComplete(
            v -> {
              if (wantedBans == bans) {
                appliedBans = bans;
                lastReportAt = 0;
              }
            });
  }

  /** Stores a ledger in the folder, for the next process of this front end. */
  private Future<Void> write(long version, Ledger ledger) {
    if (folder == null) {
      return Future.succeededFuture();
    }
    JsonObject stored = new JsonObject();
    stored.addProperty("version", version);
    stored.addProperty("ledger", ledger.text());
    String text = stored.toString();
    return vertx
        .<Void>executeBlocking(
            () -> {
              Files.createDirectories(folder);
              Path temporaryFile = folder.resolve(FILE + "." + self.processId());
              Files.writeString(temporaryFile, text);
              // Moved atomically, so that a successor never reads half a file.
              Files.move(temporaryFile, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
              return null;
            })
        .recover(
            e -> {
              log.accept("works: the ledger cannot be written to the folder: " + e);
              return Future.succeededFuture();
            });
  }

  /** Sends a report to all living members, and keeps it if this front end holds the duty. */
  private void report() {
    Map<String, Integer> inFlight = dispatcher.workerReports().inFlightByWorker();
    boolean needsCopies =
        participant.ledger().machines().stream()
            .anyMatch(m -> m.stage() == Stage.WAITING || m.stage() == Stage.MOVING);
    FrontEndReport report =
        participant.report(
            appliedBans,
            name -> inFlight.getOrDefault(name, 0),
            inFlight,
            needsCopies
                ? dispatcher.workerReports().copiesByFunction(MAX_REPORTED_FUNCTIONS)
                : Map.of(),
            callsPerSecond,
            refusedPerSecond);
    counters.add(Count.WORKS_REPORTS);
    if (executor != null) {
      reports.put(self.name(), report);
    }
    sendToAll(
        new WorksMessage(
            WorksMessage.Kind.REPORT, participant.version(), null, report, null, null));
  }

  /**
   * An operator resumed a machine at this front end: that lifts its ban here, and the plan fails
   * the machine.
   */
  public void onManualResume(String machine) {
    if (participant.resumeManually(machine)) {
      log.accept(
          "works: " + machine + " was out for a plan and was resumed manually at this front end");
      apply();
    }
  }

  // ---------------------------------------------------------------- the executor

  @Override
  public void start(LongSupplier fence) {
    reports.clear();
    activeFence = fence;
    executor =
        new PlanExecutor(
            new PlanExecutor.Settings(
                options.recoveryMillis() * MICROS_PER_MILLI,
                options.moveTimeoutMillis() * MICROS_PER_MILLI,
                options.trafficJumpFactor(),
                options.maxRefusedShare()),
            fence.getAsLong());
    lastReadAt = 0;
  }

  @Override
  public void stop() {
    executor = null;
  }

  /** Requests copies and makes the next step of the plans, if this front end may act. */
  private void drive() {
    // Without a worker list all machines would count as gone.
    if (executor == null
        || stepPending
        || activeFence.getAsLong() < 0
        || participant.version() < 0
        || !dispatcher.isKeepingUp()
        || dispatcher.workerReports().workerViews().isEmpty()) {
      return;
    }
    PlanExecutor current = executor;
    List<FrontEndReport> received = List.copyOf(reports.values());
    MachineView view = observedMachines();
    Ledger ledger = participant.ledger();
    for (PlanExecutor.CopyMove move : current.copyMoves(ledger, view, received)) {
      counters.add(Count.WORKS_MOVES);
      if (move.member().equals(self.name())) {
        requestCopy(move.function(), move.to());
      } else {
        send(
            move.member(),
            new WorksMessage(
                WorksMessage.Kind.COPY_REQUEST, 0, null, null, move.function(), move.to()));
      }
    }
    PlanExecutor.PlannedStep step =
        ledger.isActive() ? current.nextStep(clock.now(), ledger, view, received) : null;
    if (step != null && activeFence.getAsLong() >= 0) {
      stepPending = true;
      counters.add(Count.LEASE_ACTS);
      change(
          step.step(),
          (refusal, ledgerAfter) -> {
            stepPending = false;
            drive();
          });
    }
  }

  /** Has a copy of a function loaded on a machine; {@code function} is its hexadecimal id. */
  private void requestCopy(String function, String machine) {
    try {
      dispatcher.requestCopy(machine, Long.parseUnsignedLong(function, 16));
    } catch (NumberFormatException e) {
      counters.add(Count.FLEET_UNREADABLE);
    }
  }

  /** The machines of the worker list, and those of plans that the list no longer names. */
  private MachineView observedMachines() {
    Map<String, MachineView.ObservedMachine> observed = new TreeMap<>();
    for (WorkerView m : dispatcher.workerReports().workerViews()) {
      observed.put(
          m.name(),
          new MachineView.ObservedMachine(
              nameAt(hallNames, m.zone()),
              nameAt(kindNames, m.kind()),
              m.ready(),
              false,
              m.startedAt() / MICROS_PER_MILLI,
              m.cold(),
              m.failing()));
    }
    for (Machine m : participant.ledger().machines()) {
      observed.computeIfAbsent(
          m.name(),
          n -> new MachineView.ObservedMachine(m.hall(), "", false, true, 0, false, false));
    }
    return new MachineView(observed);
  }

  /** The name at an index, or the index as text if it has no name. */
  private static String nameAt(List<String> names, int index) {
    return index >= 0 && index < names.size() ? names.get(index) : Integer.toString(index);
  }

  /** Makes a step on the ledger in the register, and passes the outcome to the handler. */
  private void change(UnaryOperator<Ledger> step, ChangeHandler handler) {
    String[] refusal = new String[1];
    registerWriter.change(
        REGISTER,
        value -> {
          refusal[0] = null;
          try {
            Ledger before = Ledger.parse(value.text());
            Ledger after = step.apply(before);
            RegisterValue next = value.withText(after.text());
            if (!next.isWithinMaxBytes()) {
              throw new Refused("the register is full");
            }
            return after.steps() == before.steps() ? value : next;
          } catch (Refused | IllegalArgumentException e) {
            refusal[0] = e.getMessage();
            return value;
          }
        },
        clock.now() + REGISTER_TIMEOUT_MICROS,
        value -> {
          long knownVersion = participant.version();
          update(value);
          counters.add(refusal[0] == null ? Count.WORKS_STEPS : Count.WORKS_REFUSED);
          if (value != null && value.version() > knownVersion) {
            sendToAll(
                new WorksMessage(
                    WorksMessage.Kind.LEDGER, value.version(), value.text(), null, null, null));
          }
          handler.completed(
              value == null
                  ? "no majority of "
                      + registers.voters().keys()
                      + " answers; it may have been done"
                  : refusal[0],
              value == null ? null : participant.ledger());
        });
  }

  /** Receives the outcome of a change to the ledger. */
  private interface ChangeHandler {
    /**
     * @param refusal why the change was not made, or that this is not known; null if it was made
     * @param ledger the ledger as it is now, or null if that is not known
     */
    void completed(String refusal, Ledger ledger);
  }

  // ---------------------------------------------------------------- messages of other front ends

  private void sendToAll(WorksMessage message) {
    byte[] bytes = WorksCodec.write(message);
    for (Peer peer : fleet.peers()) {
      if (peer.claim().isLiving()) {
        fleet.sendToMember(TOPIC, peer.claim().name(), bytes);
      }
    }
  }

  private void send(String to, WorksMessage message) {
    fleet.sendToMember(TOPIC, to, WorksCodec.write(message));
  }

  @Override
  public void onTopicMessage(String from, byte[] body) {
    try {
      WorksMessage message = WorksCodec.read(body);
      if (stopped) {
        return;
      }
      switch (message.kind()) {
        case LEDGER -> update(message.version(), Ledger.parse(message.ledger()));
        case REPORT -> {
          if (executor != null
              && message.report() != null
              && message.report().member().name().equals(from)) {
            reports.put(from, message.report());
            // The sender missed a ledger.
            if (message.version() < participant.version()) {
              send(
                  from,
                  new WorksMessage(
                      WorksMessage.Kind.LEDGER,
                      participant.version(),
                      participant.ledger().text(),
                      null,
                      null,
                      null));
            }
            drive();
          }
        }
        case COPY_REQUEST -> requestCopy(message.function(), message.machine());
        default -> {
          if (participant.version() > message.version()) {
            send(
                from,
                new WorksMessage(
                    WorksMessage.Kind.LEDGER,
                    participant.version(),
                    participant.ledger().text(),
                    null,
                    null,
                    null));
          }
        }
      }
    } catch (IllegalArgumentException | NullPointerException e) {
      // Bytes that are not a message of this topic must not disturb the front end.
      counters.add(Count.FLEET_UNREADABLE);
    }
  }

  @Override
  public void onFleetChange() {
    // Confirmations are awaited from the members in the ledger, not from the fleet's view.
  }

  // ---------------------------------------------------------------- orders of operators

  @Override
  public Future<String> onOperatorCall(List<String> words) {
    try {
      JsonObject order =
          words.isEmpty()
              ? new JsonObject()
              : JsonParser.parseString(
                      new String(
                          Base64.getUrlDecoder().decode(words.get(0)), StandardCharsets.UTF_8))
                  .getAsJsonObject();
      String verb = order.has("do") ? order.get("do").getAsString() : "show";
      String operator = text(order, "by", "somebody");
      String id = text(order, "id", "");
      return switch (verb) {
        case "show" -> Future.succeededFuture(show().toString());
        case "why" -> Future.succeededFuture(why(id).toString());
        case "plan" -> addPlan(order, operator);
        case "pause" -> applyOrder(l -> l.pause(operator, id));
        case "resume" -> applyOrder(l -> l.resume(operator, id));
        case "urgent" -> applyOrder(l -> l.markUrgent(operator, id));
        case "cancel" -> applyOrder(l -> l.cancel(operator, id));
        case "skip" -> applyOrder(l -> l.skip(operator, id));
        case "done" -> applyOrder(l -> l.markDone(operator, id));
        case "force" -> applyOrder(l -> l.force(operator, id, text(order, "member", "")));
        case "strike" -> applyOrder(l -> l.removeMember(operator, id));
        default -> Future.failedFuture("'" + verb + "' is not known");
      };
    } catch (Refused e) {
      return Future.failedFuture(e.getMessage());
    } catch (IllegalArgumentException
        | JsonParseException
        | IllegalStateException
        | UnsupportedOperationException
        | ClassCastException e) {
      return Future.failedFuture("that can't be read: " + e.getMessage());
    }
  }

  private static String text(JsonObject order, String key, String defaultText) {
    return order.has(key) ? order.get(key).getAsString() : defaultText;
  }

  private Future<String> applyOrder(UnaryOperator<Ledger> step) {
    Promise<String> answer = Promise.promise();
    change(
        step,
        (refusal, l) -> {
          if (refusal != null) {
            answer.fail(refusal);
          } else {
            answer.complete(show().toString());
          }
        });
    return answer.future();
  }

  /** Adds a plan, or answers with its order and reasons if it is a dry run. */
  private Future<String> addPlan(JsonObject order, String operator) {
    long minReady = order.has("floor") ? order.get("floor").getAsLong() : 1;
    Plan plan =
        new Plan(
            text(order, "id", ""),
            operator,
            text(order, "why", ""),
            order.has("at_once") ? order.get("at_once").getAsInt() : 1,
            !order.has("halls_at_once") || !order.get("halls_at_once").getAsBoolean(),
            (int) minReady,
            order.has("hall_floor") ? order.get("hall_floor").getAsInt() : 0,
            1_000
                * (order.has("limit_s")
                    ? order.get("limit_s").getAsLong()
                    : DEFAULT_STAGE_LIMIT_SECONDS),
            Ledger.Late.valueOf(text(order, "late", "wait").toUpperCase(Locale.ROOT)),
            order.has("by_hand") && order.get("by_hand").getAsBoolean(),
            order.has("urgent") && order.get("urgent").getAsBoolean(),
            Ledger.State.RUNNING,
            "");
    MachineView view = observedMachines();
    List<Machine> wanted = plannedMachines(order, plan.id(), view);
    Ledger planned = participant.ledger().addPlan(plan, wanted);
    checkMinReady(plan, view, planned, wanted);
    if (order.has("dry_run") && order.get("dry_run").getAsBoolean()) {
      return Future.succeededFuture(dryRun(planned, view, plan).toString());
    }
    return applyOrder(l -> l.addPlan(plan, wanted));
  }

  /** Refuses a plan whose minimum of ready machines cannot be met with one of its machines out. */
  private static void checkMinReady(
      Plan plan, MachineView view, Ledger ledger, List<Machine> wanted) {
    Map<String, Integer> readyByHall = new TreeMap<>();
    view.machines()
        .forEach(
            (name, observed) -> {
              if (observed.isReady()) {
                readyByHall.merge(observed.hall(), 1, Integer::sum);
              }
            });
    int allReady = readyByHall.values().stream().mapToInt(i -> i).sum();
    boolean anyReady = wanted.stream().anyMatch(machine -> view.get(machine.name()).isReady());
    if (anyReady && allReady - 1 < plan.minReady()) {
      throw new Refused(
          allReady
              + " machines are ready: a floor of "
              + plan.minReady()
              + " can't be met with one of them out");
    }
    for (Machine machine : wanted) {
      if (view.get(machine.name()).isReady()
          && readyByHall.get(machine.hall()) - 1 < plan.minReadyPerHall()) {
        throw new Refused(
            readyByHall.get(machine.hall())
                + " machines are ready in "
                + machine.hall()
                + ": a floor of "
                + plan.minReadyPerHall()
                + " can't be met with one of them out");
      }
    }
  }

  /** The machines that an order selects: by name, by hall, by kind, or by when they started. */
  private static List<Machine> plannedMachines(JsonObject order, String planId, MachineView view) {
    Set<String> names = new LinkedHashSet<>();
    if (order.has("machines")) {
      for (JsonElement element : order.getAsJsonArray("machines")) {
        if (view.get(element.getAsString()) == null || view.get(element.getAsString()).gone()) {
          throw new Refused(element.getAsString() + " is not on the list");
        }
        names.add(element.getAsString());
      }
    }
    view.machines()
        .forEach(
            (name, observed) -> {
              boolean selects =
                  order.has("hall")
                      || order.has("kind")
                      || order.has("started_before_ms")
                      || order.has("all");
              if (selects
                  && !observed.gone()
                  && (!order.has("hall") || observed.hall().equals(text(order, "hall", "")))
                  && (!order.has("kind") || observed.kind().equals(text(order, "kind", "")))
                  && (!order.has("started_before_ms")
                      || observed.startedAt() < order.get("started_before_ms").getAsLong())) {
                names.add(name);
              }
            });
    return names.stream()
        .map(
            name ->
                new Machine(
                    name, view.get(name).hall(), planId, Stage.WAITING, 0, 0, false, List.of(), ""))
        .toList();
  }

  /**
   * The order in which the machines would go out by the current reports, if each came back at once.
   */
  private JsonObject dryRun(Ledger planned, MachineView view, Plan plan) {
    List<FrontEndReport> received = List.copyOf(reports.values());
    List<MachineOrder.Place> order = new ArrayList<>();
    Ledger ledger = planned;
    while (true) {
      List<MachineOrder.Place> places = MachineOrder.of(ledger, view, received);
      if (places.isEmpty() || !places.get(0).mayGo()) {
        // The rest cannot go; their reasons say why.
        places.forEach(order::add);
        break;
      }
      order.add(places.get(0));
      ledger = ledger.skip("dry run", places.get(0).machine());
    }
    JsonObject answer = new JsonObject();
    answer.add("order", GSON.toJsonTree(order));
    answer.addProperty(
        "ready",
        view.machines().values().stream()
            .filter(observed -> observed.listed() && !observed.cold() && !observed.failing())
            .count());
    answer.addProperty(
        "least_ready",
        Math.max(
            plan.minReady(),
            view.machines().values().stream()
                    .filter(
                        observed -> observed.listed() && !observed.cold() && !observed.failing())
                    .count()
                - plan.maxMissing()));
    answer.addProperty("rounds", (order.size() + plan.maxMissing() - 1) / plan.maxMissing());
    return answer;
  }

  /** What this front end knows, as the answer to an operator. */
  private JsonObject show() {
    JsonObject answer = new JsonObject();
    Ledger ledger = participant.ledger();
    answer.addProperty("member", self.name());
    answer.addProperty("on_roll", ledger.isMember(self));
    answer.addProperty("version", participant.version());
    answer.addProperty("drives", executor != null);
    answer.add("ledger", GSON.toJsonTree(ledger));
    answer.add("banned", GSON.toJsonTree(appliedBans));
    if (executor != null) {
      JsonObject waitsFor = new JsonObject();
      for (Machine machine : ledger.machines()) {
        if (machine.stage() == Stage.GOING || machine.stage() == Stage.QUIET) {
          waitsFor.add(
              machine.name(),
              GSON.toJsonTree(
                  executor.blockingFrontEnds(
                      ledger,
                      machine,
                      List.copyOf(reports.values()),
                      machine.stage() == Stage.QUIET)));
        }
      }
      answer.add("waits_for", waitsFor);
    }
    return answer;
  }

  /** Why a machine is in its stage, and its place in the order if it waits. */
  private JsonObject why(String name) {
    JsonObject answer = new JsonObject();
    Ledger ledger = participant.ledger();
    Machine machine = ledger.activeMachine(name);
    if (machine == null) {
      throw new Refused(name + " is in no plan");
    }
    answer.add("machine", GSON.toJsonTree(machine));
    List<MachineOrder.Place> places =
        MachineOrder.of(ledger, observedMachines(), List.copyOf(reports.values()));
    for (int i = 0; i < places.size(); i++) {
      if (places.get(i).machine().equals(name)) {
        answer.addProperty("place", i + 1);
        answer.add("reasons", GSON.toJsonTree(places.get(i).reasons()));
      }
    }
    return answer;
  }
}
