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
 * Works in a front end: the crew that bans and reports, the driver while the duty is held, and
 * operators' orders, on the one loop.
 */
public final class WorksManager implements FleetManager.TopicHandler, DutyRunner.DutyTask {
  private static final String TOPIC = "works";
  private static final String REGISTER = "works";
  private static final String DUTY = "works";
  private static final String FILE = "works.json";
  private static final long BEAT_MILLIS = 200;
  private static final long REPORT_MICROS = 400_000;
  private static final long READ_MICROS = 1_000_000;

  /** Where no plan is there. */
  private static final long REST_MICROS = 5_000_000;

  private static final long PATIENCE_MICROS = 1_500_000;
  private static final long JOIN_MILLIS = 300;
  private static final long LEAVE_MILLIS = 400;
  private static final long SPAN_MICROS = 1_000_000;
  private static final int MOST_COPIES = 40;
  private static final long MS = 1_000;
  private static final Gson GSON = new Gson();

  private final Vertx vertx;
  private final Clock clock;
  private final DispatchLoop owner;
  private final Counters counters;
  private final WorksOptions options;
  private final FleetManager fleet;
  private final RegisterManager registers;
  private final RegisterManager.RegisterClient way;
  private final RegisterManager.RegisterClient reader;
  private final List<String> halls;
  private final List<String> kinds;

  /** The folder that processes of this front end share, or null. */
  private final Path folder;

  private final Consumer<String> log;
  private final EventLog journal = new EventLog("works");
  private final Member self;
  private final PlanParticipant crew;
  private final Map<String, FrontEndReport> reports = new TreeMap<>();

  /** Bans that hold here by now. */
  private Map<String, Long> applied = Map.of();

  private Map<String, Long> applying = Map.of();

  /** Members that were asked for the ledger at the start. */
  private final Set<String> asked = new HashSet<>();

  private boolean joins;
  private boolean joined;
  private boolean setAccompanied;
  private boolean over;
  private boolean reads;
  private boolean steps;
  private long readAt;
  private long reportedAt;
  private long rateAt;
  private long takenBefore;
  private long refusedBefore;
  private double taken;
  private double refused;
  private PlanExecutor driver;
  private LongSupplier mayAct;

  /**
   * @param halls by zone
   * @param kinds by number
   * @param folder that processes of this front end share, or null
   */
  public WorksManager(
      Vertx vertx,
      Clock clock,
      DispatchLoop owner,
      Counters counters,
      WorksOptions options,
      FleetManager fleet,
      RegisterManager registers,
      List<String> halls,
      List<String> kinds,
      Path folder,
      Consumer<String> log) {
    this.vertx = vertx;
    this.clock = clock;
    this.owner = owner;
    this.counters = counters;
    this.options = options;
    this.fleet = fleet;
    this.registers = registers;
    this.way = registers.newClient();
    this.reader = registers.newClient();
    this.halls = halls;
    this.kinds = kinds;
    this.folder = folder;
    this.log = log;
    this.self =
        new Member(fleet.name(), Long.toHexString(new java.security.SecureRandom().nextLong()));
    this.crew = new PlanParticipant(self);
    this.rateAt = clock.now();
    fleet.registerTopic(TOPIC, this);
  }

  /** The duty under which plans are driven. */
  public String duty() {
    return DUTY;
  }

  // ---------------------------------------------------------------- start, upgrade and end

  /**
   * Done once this front end is bound by what is out: on the roll, or after {@code start_ms} by the
   * newest of what its folder and the members that answer have. One that replaces another process
   * takes what that one left, and joins when it is alone.
   */
  public Future<Void> whenBound() {
    Promise<Void> bound = Promise.promise();
    Future<Void> left = left();
    long timer =
        vertx.setTimer(
            options.startMillis(),
            t -> {
              if (bound.tryComplete()) {
                log.accept(
                    "works: not on the roll yet; bound by version "
                        + crew.version()
                        + ", which others or the folder had: "
                        + crew.banned().keySet());
              }
            });
    left.onComplete(
        v -> {
          if (setAccompanied) { // the elder keeps the fleet's listener, and reports nothing new
            // meanwhile
            vertx.setTimer(2 * BEAT_MILLIS, t -> left().onComplete(x -> bound.tryComplete()));
          }
          join(bound);
          beat();
        });
    return bound.future().onComplete(v -> vertx.cancelTimer(timer));
  }

  private void join(Promise<Void> bound) {
    if (over || joined) {
      return;
    }
    if (!setAccompanied && fleet.isOpen() && !bound.future().isComplete()) {
      ask();
    }
    if (!setAccompanied && fleet.isOpen() && !joins) {
      joins = true;
      change(
          l -> l.join(self, true),
          (ok, l) -> {
            joins = false;
            if (l != null && l.isOnRoll(self)) {
              joined = true;
              apply().onComplete(v -> bound.tryComplete());
            }
          });
    }
    vertx.setTimer(JOIN_MILLIS, t -> join(bound));
  }

  /**
   * Asks each member, as soon as it is met, for the ledger that it knows, for where no majority
   * answers.
   */
  private void ask() {
    for (Peer p : fleet.peers()) {
      if (p.claim().isLiving() && asked.add(p.claim().name())) {
        send(
            p.claim().name(),
            new WorksMessage(WorksMessage.Kind.ASK, crew.version(), null, null, null, null));
      }
    }
  }

  /** Another process of this front end begins or ceases to run beside this one. */
  public void setAccompanied(boolean is) {
    setAccompanied = is;
    crew.setAccompanied(is);
  }

  /** Leaves the roll: nothing of this process goes out any more. Done soon, whatever others do. */
  public Future<Void> leave(boolean succeeded) {
    if (succeeded || !joined) { // the successor takes this name's place by its own word
      over = true;
      return Future.succeededFuture();
    }
    Promise<Void> left = Promise.promise();
    change(l -> l.leave(self), (ok, l) -> left.tryComplete());
    over = true;
    vertx.setTimer(LEAVE_MILLIS, t -> left.tryComplete());
    return left.future();
  }

  /** What another process of this front end, or this one's former self, left in the folder. */
  private Future<Void> left() {
    if (folder == null) {
      return Future.succeededFuture();
    }
    return vertx
        .executeBlocking(
            () -> Files.exists(folder.resolve(FILE)) ? Files.readString(folder.resolve(FILE)) : "")
        .compose(
            text -> {
              if (!text.isEmpty()) {
                JsonObject o = JsonParser.parseString(text).getAsJsonObject();
                crew.update(
                    o.get("version").getAsLong(), Ledger.parse(o.get("ledger").getAsString()));
              }
              return apply();
            })
        .recover(
            e -> { // guards the start against a torn or foreign file
              log.accept("works: what the folder has can't be used: " + e.getMessage());
              return Future.succeededFuture();
            });
  }

  // ---------------------------------------------------------------- the crew

  private void beat() {
    if (over) {
      return;
    }
    long now = clock.now();
    if (now - rateAt >= SPAN_MICROS) {
      long t = counters.get(Count.CALLS_TAKEN);
      long r = counters.get(Count.CALLS_REFUSED);
      double span = (now - rateAt) / 1e6;
      taken = (t - takenBefore) / span;
      refused = (r - refusedBefore) / span;
      takenBefore = t;
      refusedBefore = r;
      rateAt = now;
    }
    boolean active = crew.ledger().isActive();
    if (fleet.isOpen()
        && !reads
        && now - readAt >= (driver != null || active ? READ_MICROS : REST_MICROS)) {
      reads = true;
      readAt = now;
      reader.read(
          REGISTER,
          now + PATIENCE_MICROS,
          v -> {
            reads = false;
            learn(v);
          });
    }
    if (active && joined && now - reportedAt >= REPORT_MICROS) {
      reportedAt = now;
      report();
    }
    drive();
    vertx.setTimer(BEAT_MILLIS, t -> beat());
  }

  private void learn(RegisterValue v) {
    if (v != null) {
      try {
        learn(v.version(), Ledger.parse(v.text()));
      } catch (IllegalArgumentException e) {
        log.accept("works: " + e.getMessage());
      }
    }
  }

  private void learn(long version, Ledger l) {
    Ledger before = crew.ledger();
    if (crew.update(version, l)) {
      say(before, l);
      apply();
      if (joined && !over && crew.isRemoved()) {
        log.accept("works: was taken off the roll, and goes on it again");
        change(x -> x.join(self, !setAccompanied), (ok, x) -> {});
      }
    }
  }

  /**
   * A line for each stage, at each front end: what it knew when is part of what an operator looks
   * for.
   */
  private void say(Ledger before, Ledger now) {
    for (Machine m : now.machines()) {
      Machine was =
          before.machines().stream()
              .filter(o -> o.name().equals(m.name()) && o.plan().equals(m.plan()))
              .findFirst()
              .orElse(null);
      if (was == null || was.stage() != m.stage() || m.overdue() && !was.overdue()) {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("machine", m.name());
        figures.put("plan", m.plan());
        figures.put("stage", m.stage().name().toLowerCase(Locale.ROOT));
        figures.put("overdue", m.overdue());
        figures.put("note", m.note());
        figures.put("steps", now.steps());
        journal.log("machine", figures);
      }
    }
    for (Plan p : now.plans()) {
      Plan was = before.plan(p.id()).orElse(null);
      if (was == null || was.state() != p.state()) {
        journal.log(
            "plan",
            Map.of(
                "plan",
                p.id(),
                "state",
                p.state().name().toLowerCase(Locale.ROOT),
                "reason",
                p.reason()));
      }
    }
  }

  /** Bans here what is out, leaves that in the folder, and only then reports it. */
  private Future<Void> apply() {
    Map<String, Long> want = crew.banned();
    if (want.equals(applying)) {
      return Future.succeededFuture();
    }
    applying = want;
    Ledger l = crew.ledger();
    long version = crew.version();
    Set<String> cold = new HashSet<>();
    applied
        .keySet()
        .forEach(
            n -> {
              if (PlanParticipant.isCold(l, n)) {
                cold.add(n);
              }
            });
    // What no longer binds is reported no more from this moment on, what binds now only once it
    // does.
    Map<String, Long> kept = new LinkedHashMap<>(applied);
    kept.entrySet().retainAll(want.entrySet());
    applied = kept;
    return owner
        .suspendByPlan(new LinkedHashSet<>(want.keySet()), cold)
        .compose(v -> write(version, l))
        .onComplete(
            v -> {
              if (applying == want) {
                applied = want;
                reportedAt = 0;
              }
            });
  }

  private Future<Void> write(long version, Ledger l) {
    if (folder == null) {
      return Future.succeededFuture();
    }
    JsonObject o = new JsonObject();
    o.addProperty("version", version);
    o.addProperty("ledger", l.text());
    String text = o.toString();
    return vertx
        .<Void>executeBlocking(
            () -> {
              Files.createDirectories(folder);
              Path part = folder.resolve(FILE + "." + self.start());
              Files.writeString(part, text);
              Files.move(
                  part,
                  folder.resolve(FILE),
                  StandardCopyOption.ATOMIC_MOVE); // guards a successor against half a file
              return null;
            })
        .recover(
            e -> {
              log.accept("works: what is out can't be left in the folder: " + e);
              return Future.succeededFuture();
            });
  }

  private void report() {
    Map<String, Integer> underWay = owner.inFlightByWorker();
    boolean moves =
        crew.ledger().machines().stream()
            .anyMatch(m -> m.stage() == Stage.WAITING || m.stage() == Stage.MOVING);
    FrontEndReport r =
        crew.report(
            applied,
            name -> underWay.getOrDefault(name, 0),
            underWay,
            moves ? owner.copiesByFunction(MOST_COPIES) : Map.of(),
            taken,
            refused);
    counters.add(Count.WORKS_REPORTS);
    if (driver != null) {
      reports.put(self.name(), r);
    }
    toAll(new WorksMessage(WorksMessage.Kind.REPORT, crew.version(), null, r, null, null));
  }

  /** Resumed by hand at this front end's door: that wins here, and the plan takes note. */
  public void onManualResume(String machine) {
    if (crew.resumeByHand(machine)) {
      log.accept("works: " + machine + " was out by a plan, and was resumed by hand here");
      apply();
    }
  }

  // ---------------------------------------------------------------- the driver

  @Override
  public void start(LongSupplier may) {
    reports.clear();
    mayAct = may;
    driver =
        new PlanExecutor(
            new PlanExecutor.Settings(
                options.quietMillis() * MS,
                options.moveMillis() * MS,
                options.jump(),
                options.refusals()),
            may.getAsLong());
    readAt = 0;
  }

  @Override
  public void stop() {
    driver = null;
  }

  private void drive() {
    if (driver == null
        || steps
        || mayAct.getAsLong() < 0
        || crew.version() < 0
        || !owner.isKeepingUp()
        || owner.workerViews().isEmpty()) { // without a list all would be gone
      return;
    }
    PlanExecutor mine = driver;
    List<FrontEndReport> told = List.copyOf(reports.values());
    MachineView w = world();
    Ledger l = crew.ledger();
    for (PlanExecutor.CopyMove m : mine.copyMoves(l, w, told)) {
      counters.add(Count.WORKS_MOVES);
      if (m.member().equals(self.name())) {
        move(m.function(), m.to());
      } else {
        send(
            m.member(),
            new WorksMessage(WorksMessage.Kind.MOVE, 0, null, null, m.function(), m.to()));
      }
    }
    PlanExecutor.PlannedStep wanted = l.isActive() ? mine.nextStep(clock.now(), l, w, told) : null;
    if (wanted != null && mayAct.getAsLong() >= 0) {
      steps = true;
      counters.add(Count.LEASE_ACTS);
      change(
          wanted.step(),
          (ok, after) -> {
            steps = false;
            drive();
          });
    }
  }

  private void move(String function, String to) {
    try {
      owner.requestCopy(to, Long.parseUnsignedLong(function, 16));
    } catch (NumberFormatException e) {
      counters.add(Count.FLEET_UNREADABLE);
    }
  }

  private MachineView world() {
    Map<String, MachineView.ObservedMachine> seen = new TreeMap<>();
    for (DispatchLoop.WorkerView m : owner.workerViews()) {
      seen.put(
          m.name(),
          new MachineView.ObservedMachine(
              named(halls, m.zone()),
              named(kinds, m.kind()),
              m.ready(),
              false,
              m.startedAt() / MS,
              m.cold(),
              m.failing()));
    }
    for (Machine m : crew.ledger().machines()) {
      seen.computeIfAbsent(
          m.name(),
          n -> new MachineView.ObservedMachine(m.hall(), "", false, true, 0, false, false));
    }
    return new MachineView(seen);
  }

  private static String named(List<String> names, int i) {
    return i >= 0 && i < names.size() ? names.get(i) : Integer.toString(i);
  }

  /**
   * Has the ledger changed by a step; {@code then} is told why it was refused (null where it was
   * made) and what holds, null where that is not known.
   */
  private void change(UnaryOperator<Ledger> step, Changed then) {
    String[] why = new String[1];
    way.change(
        REGISTER,
        v -> {
          why[0] = null;
          try {
            Ledger before = Ledger.parse(v.text());
            Ledger after = step.apply(before);
            RegisterValue next = v.withText(after.text());
            if (!next.isShort()) {
              throw new Refused("the register is full");
            }
            return after.steps() == before.steps() ? v : next;
          } catch (Refused | IllegalArgumentException e) {
            why[0] = e.getMessage();
            return v;
          }
        },
        clock.now() + PATIENCE_MICROS,
        v -> {
          long known = crew.version();
          learn(v);
          counters.add(why[0] == null ? Count.WORKS_STEPS : Count.WORKS_REFUSED);
          if (v != null && v.version() > known) {
            toAll(
                new WorksMessage(
                    WorksMessage.Kind.LEDGER, v.version(), v.text(), null, null, null));
          }
          then.over(
              v == null
                  ? "no majority of "
                      + registers.voters().keys()
                      + " answers; it may have been done"
                  : why[0],
              v == null ? null : crew.ledger());
        });
  }

  private interface Changed {
    void over(String refused, Ledger ledger);
  }

  // ---------------------------------------------------------------- what others tell

  private void toAll(WorksMessage w) {
    byte[] bytes = WorksCodec.write(w);
    for (Peer p : fleet.peers()) {
      if (p.claim().isLiving()) {
        fleet.sendToMember(TOPIC, p.claim().name(), bytes);
      }
    }
  }

  private void send(String to, WorksMessage w) {
    fleet.sendToMember(TOPIC, to, WorksCodec.write(w));
  }

  @Override
  public void onTopicMessage(String from, byte[] body) {
    try {
      WorksMessage w = WorksCodec.read(body);
      if (over) {
        return;
      }
      switch (w.kind()) {
        case LEDGER -> learn(w.version(), Ledger.parse(w.ledger()));
        case REPORT -> {
          if (driver != null && w.report() != null && w.report().member().name().equals(from)) {
            reports.put(from, w.report());
            if (w.version() < crew.version()) { // a word was lost on the way
              send(
                  from,
                  new WorksMessage(
                      WorksMessage.Kind.LEDGER,
                      crew.version(),
                      crew.ledger().text(),
                      null,
                      null,
                      null));
            }
            drive();
          }
        }
        case MOVE -> move(w.function(), w.machine());
        default -> {
          if (crew.version() > w.version()) {
            send(
                from,
                new WorksMessage(
                    WorksMessage.Kind.LEDGER,
                    crew.version(),
                    crew.ledger().text(),
                    null,
                    null,
                    null));
          }
        }
      }
    } catch (IllegalArgumentException
        | NullPointerException e) { // guards against bytes that are none of ours
      counters.add(Count.FLEET_UNREADABLE);
    }
  }

  @Override
  public void onFleetChange() {
    // the roll counts, not the view
  }

  // ---------------------------------------------------------------- what operators order

  @Override
  public Future<String> onOperatorCall(List<String> words) {
    try {
      JsonObject o =
          words.isEmpty()
              ? new JsonObject()
              : JsonParser.parseString(
                      new String(
                          Base64.getUrlDecoder().decode(words.get(0)), StandardCharsets.UTF_8))
                  .getAsJsonObject();
      String verb = o.has("do") ? o.get("do").getAsString() : "show";
      String by = text(o, "by", "somebody");
      String id = text(o, "id", "");
      return switch (verb) {
        case "show" -> Future.succeededFuture(show().toString());
        case "why" -> Future.succeededFuture(why(id).toString());
        case "plan" -> plan(o, by);
        case "pause" -> ordered(l -> l.pause(by, id));
        case "resume" -> ordered(l -> l.resume(by, id));
        case "urgent" -> ordered(l -> l.urgent(by, id));
        case "cancel" -> ordered(l -> l.cancel(by, id));
        case "skip" -> ordered(l -> l.skip(by, id));
        case "done" -> ordered(l -> l.done(by, id));
        case "force" -> ordered(l -> l.force(by, id, text(o, "member", "")));
        case "strike" -> ordered(l -> l.strike(by, id));
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

  private static String text(JsonObject o, String key, String otherwise) {
    return o.has(key) ? o.get(key).getAsString() : otherwise;
  }

  private Future<String> ordered(UnaryOperator<Ledger> step) {
    Promise<String> told = Promise.promise();
    change(
        step,
        (why, l) -> {
          if (why != null) {
            told.fail(why);
          } else {
            told.complete(show().toString());
          }
        });
    return told.future();
  }

  private Future<String> plan(JsonObject o, String by) {
    long floor = o.has("floor") ? o.get("floor").getAsLong() : 1;
    Plan p =
        new Plan(
            text(o, "id", ""),
            by,
            text(o, "why", ""),
            o.has("at_once") ? o.get("at_once").getAsInt() : 1,
            !o.has("halls_at_once") || !o.get("halls_at_once").getAsBoolean(),
            (int) floor,
            o.has("hall_floor") ? o.get("hall_floor").getAsInt() : 0,
            1_000 * (o.has("limit_s") ? o.get("limit_s").getAsLong() : 900),
            Ledger.Late.valueOf(text(o, "late", "wait").toUpperCase(Locale.ROOT)),
            o.has("by_hand") && o.get("by_hand").getAsBoolean(),
            o.has("urgent") && o.get("urgent").getAsBoolean(),
            Ledger.State.RUNNING,
            "");
    MachineView w = world();
    List<Machine> wanted = wanted(o, p.id(), w);
    Ledger seen = crew.ledger().add(p, wanted);
    floors(p, w, seen, wanted);
    if (o.has("dry_run") && o.get("dry_run").getAsBoolean()) {
      return Future.succeededFuture(dryRun(seen, w, p).toString());
    }
    return ordered(l -> l.add(p, wanted));
  }

  private static void floors(Plan p, MachineView w, Ledger l, List<Machine> wanted) {
    Map<String, Integer> ready = new TreeMap<>();
    w.machines()
        .forEach(
            (name, s) -> {
              if (s.isReady()) {
                ready.merge(s.hall(), 1, Integer::sum);
              }
            });
    int all = ready.values().stream().mapToInt(i -> i).sum();
    boolean serve = wanted.stream().anyMatch(m -> w.get(m.name()).isReady());
    if (serve && all - 1 < p.floor()) {
      throw new Refused(
          all
              + " machines are ready: a floor of "
              + p.floor()
              + " can't be met with one of them out");
    }
    for (Machine m : wanted) {
      if (w.get(m.name()).isReady() && ready.get(m.hall()) - 1 < p.hallFloor()) {
        throw new Refused(
            ready.get(m.hall())
                + " machines are ready in "
                + m.hall()
                + ": a floor of "
                + p.hallFloor()
                + " can't be met with one of them out");
      }
    }
  }

  /** The machines that a plan names: by id, by hall, by kind, or by when they started. */
  private static List<Machine> wanted(JsonObject o, String id, MachineView w) {
    Set<String> names = new LinkedHashSet<>();
    if (o.has("machines")) {
      for (JsonElement e : o.getAsJsonArray("machines")) {
        if (w.get(e.getAsString()) == null || w.get(e.getAsString()).gone()) {
          throw new Refused(e.getAsString() + " is not on the list");
        }
        names.add(e.getAsString());
      }
    }
    w.machines()
        .forEach(
            (name, s) -> {
              boolean some =
                  o.has("hall") || o.has("kind") || o.has("started_before_ms") || o.has("all");
              if (some
                  && !s.gone()
                  && (!o.has("hall") || s.hall().equals(text(o, "hall", "")))
                  && (!o.has("kind") || s.kind().equals(text(o, "kind", "")))
                  && (!o.has("started_before_ms")
                      || s.startedAt() < o.get("started_before_ms").getAsLong())) {
                names.add(name);
              }
            });
    return names.stream()
        .map(n -> new Machine(n, w.get(n).hall(), id, Stage.WAITING, 0, 0, false, List.of(), ""))
        .toList();
  }

  /** The order that today's reports would lead to, as if each machine came back at once. */
  private JsonObject dryRun(Ledger from, MachineView w, Plan p) {
    List<FrontEndReport> told = List.copyOf(reports.values());
    List<MachineOrder.Place> order = new ArrayList<>();
    Ledger l = from;
    while (true) {
      List<MachineOrder.Place> places = MachineOrder.of(l, w, told);
      if (places.isEmpty() || !places.get(0).may()) {
        places.forEach(order::add); // what can't go, and why
        break;
      }
      order.add(places.get(0));
      l = l.skip("dry run", places.get(0).machine());
    }
    JsonObject o = new JsonObject();
    o.add("order", GSON.toJsonTree(order));
    o.addProperty(
        "ready",
        w.machines().values().stream()
            .filter(s -> s.listed() && !s.cold() && !s.failing())
            .count());
    o.addProperty(
        "least_ready",
        Math.max(
            p.floor(),
            w.machines().values().stream()
                    .filter(s -> s.listed() && !s.cold() && !s.failing())
                    .count()
                - p.atOnce()));
    o.addProperty("rounds", (order.size() + p.atOnce() - 1) / p.atOnce());
    return o;
  }

  private JsonObject show() {
    JsonObject o = new JsonObject();
    Ledger l = crew.ledger();
    o.addProperty("member", self.name());
    o.addProperty("on_roll", l.isOnRoll(self));
    o.addProperty("version", crew.version());
    o.addProperty("drives", driver != null);
    o.add("ledger", GSON.toJsonTree(l));
    o.add("banned", GSON.toJsonTree(applied));
    if (driver != null) {
      JsonObject waits = new JsonObject();
      for (Machine m : l.machines()) {
        if (m.stage() == Stage.GOING || m.stage() == Stage.QUIET) {
          waits.add(
              m.name(),
              GSON.toJsonTree(
                  driver.blockingFrontEnds(
                      l, m, List.copyOf(reports.values()), m.stage() == Stage.QUIET)));
        }
      }
      o.add("waits_for", waits);
    }
    return o;
  }

  private JsonObject why(String machine) {
    JsonObject o = new JsonObject();
    Ledger l = crew.ledger();
    Machine m = l.machine(machine);
    if (m == null) {
      throw new Refused(machine + " is in no plan");
    }
    o.add("machine", GSON.toJsonTree(m));
    List<MachineOrder.Place> places = MachineOrder.of(l, world(), List.copyOf(reports.values()));
    for (int i = 0; i < places.size(); i++) {
      if (places.get(i).machine().equals(machine)) {
        o.addProperty("place", i + 1);
        o.add("reasons", GSON.toJsonTree(places.get(i).reasons()));
      }
    }
    return o;
  }
}
