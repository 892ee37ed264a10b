package umberrun.lease.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import umberrun.config.LeaseOptions;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.net.RegisterManager;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.core.Lifecycle;
import umberrun.fleet.About;
import umberrun.fleet.Claim;
import umberrun.fleet.Peer;
import umberrun.fleet.net.FleetManager;
import umberrun.learning.Fact;
import umberrun.lease.CandidateRanking;
import umberrun.lease.CandidateRanking.Candidate;
import umberrun.lease.FenceRegistry;
import umberrun.lease.HallHealthMonitor.HealthReading;
import umberrun.lease.Lease;
import umberrun.lease.LeaseElector;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;
import umberrun.stats.EventLog;

/**
 * All duties of a front end: connects the registers, the duty runners and the fleet's messages, and
 * answers operators' calls. Runs on a single event loop.
 */
public final class LeaseManager implements FleetManager.TopicHandler {
  private static final String AGREEMENT = "agreement";
  private static final String TOPIC = "leases";
  private static final String PROBE = "probe/";
  private static final String BEACON = "beacon";

  /** Message kind: health readings of a hall's workers. */
  private static final int READINGS = 0;

  /** Message kind: a duty was given back (the fence field is 1) or taken (0). */
  private static final int HOLDER_CHANGED = 1;

  /** Message kind: an operator wants the holder of a duty to give it back. */
  private static final int RELEASE = 2;

  private static final int MESSAGE_FIELDS = 4;
  private static final int READING_FIELDS = 4;
  private static final long CANDIDACY_UPDATE_MILLIS = 250;
  private static final long LEAVE_TIMEOUT_MILLIS = 400;
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * Number of members, drawn at random, that are asked for the current voters. Dead ones may be
   * among them.
   */
  private static final int MAX_VOTER_QUERY_MEMBERS = 2;

  /**
   * Readings per message, so that it fits a datagram. A worker's name has up to 64 characters, but
   * is short in most fleets.
   */
  private static final int READINGS_PER_MESSAGE = 15;

  private static final int MAX_RECEIVED_READINGS = 64;
  private static final int MAX_NAME_CHARS = 100;

  /** Lease lengths for which a front end that gave a duty back leaves it to others. */
  private static final int ABSTAIN_LEASES = 2;

  private final Vertx vertx;
  private final Clock clock;
  private final DispatchLoop dispatchLoop;
  private final Counters counters;
  private final LeaseOptions options;
  private final FleetManager fleet;
  private final String hall;
  private final Supplier<Lifecycle.State> lifecycleState;
  private final EventLog eventLog = new EventLog("lease");
  private final FenceRegistry fences = new FenceRegistry();
  private final RegisterManager registers;
  private final RegisterManager.RegisterClient registerReader;
  private final Map<String, DutyRunner> duties = new LinkedHashMap<>();
  private final long startId;
  private final SplittableRandom random;
  private final LeaseElector.Settings settings;
  private boolean started;
  private boolean leaving;
  private Promise<Void> dutiesReleased;

  /**
   * @param fleetName name of the fleet, whose voters keep the registers
   * @param halls names of all halls; the index of a hall is its zone
   * @param hall in which this front end runs
   * @param seed of the random numbers that spread retries
   * @param lifecycleState current state; only a serving front end is a candidate
   * @param log receives plain log lines
   */
  public LeaseManager(
      Vertx vertx,
      Clock clock,
      DispatchLoop dispatchLoop,
      Counters counters,
      LeaseOptions options,
      FleetManager fleet,
      String fleetName,
      List<String> halls,
      String hall,
      long seed,
      Supplier<Lifecycle.State> lifecycleState,
      Consumer<String> log) {
    this.vertx = vertx;
    this.clock = clock;
    this.dispatchLoop = dispatchLoop;
    this.counters = counters;
    this.options = options;
    this.fleet = fleet;
    this.hall = hall;
    this.lifecycleState = lifecycleState;
    // The time is mixed in, because a repeated seed must not repeat the start id of an earlier
    // process.
    this.random = new SplittableRandom(seed ^ System.nanoTime());
    this.startId = random.nextLong() >>> 1;
    this.settings =
        new LeaseElector.Settings(
            options.lengthMillis() * MICROS_PER_MILLI,
            options.maxClockDrift(),
            options.pauseMillis() * MICROS_PER_MILLI,
            options.lengthMillis() * MICROS_PER_MILLI / 2);
    this.registers =
        new RegisterManager(
            vertx,
            clock,
            options,
            fleetName,
            fleet.name(),
            startId,
            counters,
            log,
            new RegisterManager.Transport() {
              @Override
              public void send(String name, byte[] body) {
                fleet.sendToMember(AGREEMENT, name, body);
              }

              @Override
              public List<String> livingMembers() {
                List<String> names = new ArrayList<>();
                fleet.peers().forEach(p -> names.add(p.claim().name()));
                java.util.Collections.shuffle(names, new java.util.Random(random.nextLong()));
                return names.subList(0, Math.min(MAX_VOTER_QUERY_MEMBERS, names.size()));
              }
            });
    this.registerReader = registers.newClient();
    if (options.probeMillis() > 0) {
      for (int z = 0; z < halls.size(); z++) {
        String duty = PROBE + halls.get(z);
        add(
            duty,
            halls.get(z),
            new HallProber(
                vertx,
                clock,
                dispatchLoop,
                counters,
                z,
                options.probeMillis(),
                (readings, fence) -> publishReadings(duty, fence, readings)));
      }
    }
    if (options.beacon() != null) {
      add(
          BEACON,
          "",
          new FleetReporter(
              vertx,
              options.beacon(),
              options.beaconMillis(),
              counters,
              this::report,
              () -> duties.get(BEACON).onActRefused()));
    }
    fleet.registerTopic(
        AGREEMENT,
        new FleetManager.TopicHandler() {
          @Override
          public void onTopicMessage(String from, byte[] body) {
            try {
              registers.receive(from, body);
            } catch (IllegalArgumentException e) {
              // The bytes are not a consensus message.
              counters.add(Count.FLEET_UNREADABLE);
            }
          }

          @Override
          public Future<String> onOperatorCall(List<String> words) {
            return Future.failedFuture("nothing is called there");
          }

          @Override
          public void onFleetChange() {
            LeaseManager.this.onFleetChange();
          }
        });
    fleet.registerTopic(TOPIC, this);
  }

  private void add(String duty, String dutyHall, DutyRunner.DutyTask task) {
    duties.put(
        duty,
        new DutyRunner(
            duty,
            dutyHall,
            vertx,
            clock,
            counters,
            eventLog,
            registers.newClient(),
            fences,
            task,
            taken -> onLocalHolderChange(duty, taken),
            out -> new LeaseElector(settings, fleet.name(), startId, random.split(), out)));
  }

  /** The replicated registers, for other components that keep state there. */
  public RegisterManager registers() {
    return registers;
  }

  /**
   * Adds a duty of another component, which is for no particular hall. Must be called before the
   * fleet's listener is open.
   */
  public void addDuty(String duty, DutyRunner.DutyTask task) {
    add(duty, "", task);
  }

  private void start() {
    started = true;
    registers
        .open()
        .onComplete(
            v -> {
              if (!leaving) {
                long now = clock.now();
                duties.values().forEach(runner -> runner.elector.start(now));
                updateCandidaciesPeriodically();
              }
            });
  }

  private void updateCandidaciesPeriodically() {
    if (!leaving) {
      updateCandidacies();
      vertx.setTimer(CANDIDACY_UPDATE_MILLIS, t -> updateCandidaciesPeriodically());
    }
  }

  /** Ranks this front end among the candidates for each duty by the current view of the fleet. */
  private void updateCandidacies() {
    Map<String, Integer> dutiesByHolder = new LinkedHashMap<>();
    duties
        .values()
        .forEach(runner -> dutiesByHolder.merge(runner.lastLease().holder(), 1, Integer::sum));
    boolean eligible =
        lifecycleState.get() == Lifecycle.State.SERVING
            && dispatchLoop.isKeepingUp()
            && !fleet.hasYielded();
    List<Candidate> candidates = new ArrayList<>();
    candidates.add(
        new Candidate(fleet.name(), hall, eligible, dutiesByHolder.getOrDefault(fleet.name(), 0)));
    for (Peer peer : fleet.peers()) {
      Claim claim = peer.claim();
      candidates.add(
          new Candidate(
              claim.name(),
              claim.about().hall(),
              claim.status() == Claim.Status.ALIVE && claim.about().state() == About.State.SERVING,
              dutiesByHolder.getOrDefault(claim.name(), 0)));
    }
    for (DutyRunner runner : duties.values()) {
      List<Candidate> willing =
          candidates.stream()
              .filter(c -> c.name().equals(fleet.name()) || !runner.isAbstaining(c.name()))
              .toList();
      int rank = CandidateRanking.rank(runner.name, runner.hall, fleet.name(), willing);
      runner.updateCandidacy(
          eligible && !leaving,
          rank < CandidateRanking.MAX_WATCHERS,
          CandidateRanking.takeoverDelay(rank));
    }
  }

  /**
   * Gives back all duties. This process acts for none of them from the moment of the call.
   *
   * @return completes once the duties are free for others, or after {@value #LEAVE_TIMEOUT_MILLIS}
   *     ms at the latest
   */
  public Future<Void> leave() {
    if (dutiesReleased != null) {
      return dutiesReleased.future();
    }
    dutiesReleased = Promise.promise();
    leaving = true;
    if (started) {
      updateCandidacies();
    }
    boolean holdsDuty =
        duties.values().stream()
            .anyMatch(runner -> runner.lastLease().isHeldBy(fleet.name(), startId));
    if (!holdsDuty) {
      dutiesReleased.tryComplete();
    }
    vertx.setTimer(LEAVE_TIMEOUT_MILLIS, t -> dutiesReleased.tryComplete());
    return dutiesReleased.future();
  }

  /**
   * Stops all duties and the voter.
   *
   * @return completes once another process can open the voter's folder
   */
  public Future<Void> close() {
    duties.values().forEach(DutyRunner::close);
    return registers.close();
  }

  /**
   * Notifies the other front ends, so that they take a free duty at once and know how many duties
   * each of them holds.
   */
  private void onLocalHolderChange(String duty, boolean taken) {
    sendToLivingPeers(encode(HOLDER_CHANGED, duty, taken ? 0 : 1, List.of()));
    if (leaving
        && duties.values().stream()
            .noneMatch(runner -> runner.lastLease().isHeldBy(fleet.name(), startId))) {
      dutiesReleased.tryComplete();
    }
  }

  // ---------------------------------------------------------------- messages between front ends

  private void publishReadings(String duty, long fence, List<HealthReading> readings) {
    for (int from = 0; from < readings.size(); from += READINGS_PER_MESSAGE) {
      List<HealthReading> part =
          readings.subList(from, Math.min(readings.size(), from + READINGS_PER_MESSAGE));
      counters.add(Count.READINGS_SENT);
      acceptReadings(duty, fence, part, fleet.name());
      sendToLivingPeers(encode(READINGS, duty, fence, part));
    }
  }

  private void sendToLivingPeers(byte[] message) {
    fleet
        .peers()
        .forEach(
            peer -> {
              if (peer.claim().isLiving()) {
                fleet.sendToMember(TOPIC, peer.claim().name(), message);
              }
            });
  }

  private void acceptReadings(String duty, long fence, List<HealthReading> readings, String from) {
    if (!fences.accept(duty, fence)) {
      counters.add(Count.FENCED_ACTIONS_REJECTED);
      return;
    }
    counters.add(Count.READINGS_RECEIVED);
    List<Fact> facts = new ArrayList<>();
    for (HealthReading reading : readings) {
      facts.add(
          new Fact(
              new Fact.Subject(Fact.Kind.WORKER, reading.worker(), 0),
              new Fact.Value(reading.latencyRatio(), reading.failureRate(), 0, 0),
              duty + '/' + from,
              reading.seenAt()));
    }
    dispatchLoop.mergeFacts(facts);
  }

  /** Encodes a message. The time of a reading is sent as its age, as clocks differ. */
  private byte[] encode(int kind, String duty, long fence, List<HealthReading> readings) {
    long now = clock.now();
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packArrayHeader(MESSAGE_FIELDS)
          .packInt(kind)
          .packString(duty)
          .packLong(fence)
          .packArrayHeader(readings.size());
      for (HealthReading reading : readings) {
        out.packArrayHeader(READING_FIELDS)
            .packString(reading.worker())
            .packFloat((float) reading.latencyRatio())
            .packFloat((float) reading.failureRate())
            .packLong(Math.max(0, now - reading.seenAt()));
      }
      return out.toByteArray();
    } catch (IOException e) {
      // A buffer in memory does not fail.
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void onTopicMessage(String from, byte[] body) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      if (in.unpackArrayHeader() < MESSAGE_FIELDS) {
        throw new IllegalArgumentException("too few fields");
      }
      int kind = in.unpackInt();
      String duty = in.unpackString();
      long fence = in.unpackLong();
      int count = in.unpackArrayHeader();
      // Limits the memory that a message can take.
      if (count > MAX_RECEIVED_READINGS || duty.length() > MAX_NAME_CHARS) {
        throw new IllegalArgumentException("too long");
      }
      long now = clock.now();
      List<HealthReading> readings = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        in.unpackArrayHeader();
        readings.add(
            new HealthReading(
                in.unpackString(),
                in.unpackFloat(),
                in.unpackFloat(),
                now - Math.max(0, in.unpackLong())));
      }
      handleMessage(from, kind, duty, fence, readings);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      counters.add(Count.FLEET_UNREADABLE);
    }
  }

  private void handleMessage(
      String from, int kind, String duty, long fence, List<HealthReading> readings) {
    DutyRunner runner = duties.get(duty);
    // Not configured on this front end.
    if (runner == null) {
      return;
    }
    if (kind == READINGS) {
      acceptReadings(duty, fence, readings, from);
    } else if (kind == HOLDER_CHANGED) {
      runner.onRemoteHolderChange(from, fence > 0, abstainMicros());
      updateCandidacies();
    } else if (kind == RELEASE) {
      release(runner);
    }
  }

  private boolean release(DutyRunner runner) {
    return runner.release(abstainMicros());
  }

  /** How long a front end that gave a duty back leaves it to others. */
  private long abstainMicros() {
    return ABSTAIN_LEASES * options.lengthMillis() * MICROS_PER_MILLI;
  }

  @Override
  public void onFleetChange() {
    if (!started && fleet.isOpen()) {
      start();
    } else if (started && !leaving) {
      updateCandidacies();
    }
  }

  // ---------------------------------------------------------------- operators' calls

  @Override
  public Future<String> onOperatorCall(List<String> words) {
    String verb = words.isEmpty() ? "show" : words.get(0);
    String argument = words.size() > 1 ? words.get(1) : "";
    try {
      return switch (verb) {
        case "show" -> Future.succeededFuture(show().toString());
        case "release" -> Future.succeededFuture(release(argument));
        case "register" -> register(argument);
        case "voters" -> Future.succeededFuture(registers.status().toString());
        case "found" -> startCommand(registers::bootstrapVoters);
        case "replace" ->
            startCommand(
                () -> registers.replaceVoter(argument, words.size() > 2 ? words.get(2) : ""));
        default -> Future.failedFuture("'" + verb + "' is not known");
      };
    } catch (IllegalStateException e) {
      return Future.failedFuture(e.getMessage());
    }
  }

  /** Starts a command that goes on in the background, and answers with the status as of now. */
  private Future<String> startCommand(Runnable command) {
    command.run();
    return Future.succeededFuture(registers.status().toString());
  }

  private String release(String duty) {
    DutyRunner runner = duties.get(duty);
    if (runner == null) {
      throw new IllegalStateException(
          "there is no duty " + duty + "; there are " + duties.keySet());
    }
    Lease lease = runner.lastLease();
    boolean releasedHere = release(runner);
    if (!releasedHere) {
      // Sent to all, as the last known holder may have lost the duty since.
      sendToLivingPeers(encode(RELEASE, duty, 0, List.of()));
    }
    JsonObject answer = new JsonObject();
    answer.addProperty(
        "asked",
        releasedHere
            ? fleet.name()
            : lease.holder().isEmpty() ? "whoever holds it" : lease.holder());
    return answer.toString();
  }

  private Future<String> register(String name) {
    if (name.isEmpty() || name.length() > MAX_NAME_CHARS) {
      return Future.failedFuture("the name of a register is needed");
    }
    Promise<String> answer = Promise.promise();
    registerReader.read(
        name,
        clock.now() + settings.requestTimeout(),
        value -> {
          if (value == null) {
            answer.fail("no majority of " + registers.voters().keys() + " answers");
          } else {
            answer.complete(register(name, value).toString());
          }
        });
    return answer.future();
  }

  private static JsonObject register(String name, RegisterValue value) {
    JsonObject answer = new JsonObject();
    answer.addProperty("register", name);
    answer.addProperty("version", value.version());
    answer.addProperty("text", value.text());
    return answer;
  }

  private JsonObject show() {
    JsonObject answer = new JsonObject();
    answer.addProperty("member", fleet.name());
    answer.addProperty("start", Long.toHexString(startId));
    JsonArray all = new JsonArray();
    long now = clock.now();
    for (DutyRunner runner : duties.values()) {
      JsonObject line = new JsonObject();
      Lease lease = runner.lastLease();
      line.addProperty("duty", runner.name);
      line.addProperty("known", runner.elector.isKnown());
      line.addProperty("holder", lease.holder());
      line.addProperty("fence", lease.fence());
      line.addProperty("here", runner.isHeld());
      line.addProperty("left_ms", runner.elector.remaining(now) / MICROS_PER_MILLI);
      line.addProperty("since_ms", runner.sinceMillis());
      all.add(line);
    }
    answer.add("duties", all);
    answer.add("voters", registers.status());
    return answer;
  }

  /** Body of a report of the duty {@code beacon}. */
  private JsonObject report() {
    JsonObject body = new JsonObject();
    body.addProperty("member", fleet.name());
    body.addProperty("start", Long.toHexString(startId));
    int living = 1;
    for (Peer peer : fleet.peers()) {
      living += peer.claim().isLiving() ? 1 : 0;
    }
    body.addProperty("living", living);
    JsonObject holders = new JsonObject();
    duties
        .values()
        .forEach(runner -> holders.addProperty(runner.name, runner.lastLease().holder()));
    body.add("holders", holders);
    return body;
  }
}
