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
 * Duties by lease in a front end: wires the registers, the duties and the fleet's listener
 * together, on the one loop.
 */
public final class LeaseManager implements FleetManager.TopicHandler {
  private static final String AGREEMENT = "agreement";
  private static final String TOPIC = "leases";
  private static final String PROBE = "probe/";
  private static final String BEACON = "beacon";

  /**
   * In a parcel: readings of a hall, a duty that changed hands (its fence 1 where it was given
   * back), an operator's word to give one back.
   */
  private static final int READINGS = 0;

  private static final int LOOK = 1;
  private static final int RELEASE = 2;
  private static final long BEAT_MILLIS = 250;
  private static final long GIVE_BACK_MILLIS = 400;
  private static final long MS = 1_000;
  private static final int SOME = 2;

  /**
   * Readings in a parcel, so that it fits a datagram; a name is 64 characters at the most, and
   * short in most fleets.
   */
  private static final int READINGS_A_PARCEL = 15;

  private static final int MOST_READINGS = 64;
  private static final int MOST_REGISTER_NAME = 100;

  private final Vertx vertx;
  private final Clock clock;
  private final DispatchLoop owner;
  private final Counters counters;
  private final LeaseOptions options;
  private final FleetManager fleet;
  private final String hall;
  private final Supplier<Lifecycle.State> state;
  private final EventLog journal = new EventLog("lease");
  private final FenceRegistry fences = new FenceRegistry();
  private final RegisterManager registers;
  private final RegisterManager.RegisterClient reader;
  private final Map<String, DutyRunner> duties = new LinkedHashMap<>();
  private final long startId;
  private final SplittableRandom random;
  private final LeaseElector.Settings settings;
  private boolean began;
  private boolean leaving;
  private Promise<Void> givenBack;

  /**
   * @param halls by zone
   * @param hall this front end's own
   */
  public LeaseManager(
      Vertx vertx,
      Clock clock,
      DispatchLoop owner,
      Counters counters,
      LeaseOptions options,
      FleetManager fleet,
      String fleetName,
      List<String> halls,
      String hall,
      long seed,
      Supplier<Lifecycle.State> state,
      Consumer<String> log) {
    this.vertx = vertx;
    this.clock = clock;
    this.owner = owner;
    this.counters = counters;
    this.options = options;
    this.fleet = fleet;
    this.hall = hall;
    this.state = state;
    this.random =
        new SplittableRandom(
            seed ^ System.nanoTime()); // a seed that comes again must not bring an old start id
    this.startId = random.nextLong() >>> 1;
    this.settings =
        new LeaseElector.Settings(
            options.lengthMillis() * MS,
            options.rate(),
            options.pauseMillis() * MS,
            options.lengthMillis() * MS / 2);
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
                return names.subList(0, Math.min(SOME, names.size()));
              }
            });
    this.reader = registers.newClient();
    if (options.probeMillis() > 0) {
      for (int z = 0; z < halls.size(); z++) {
        String duty = PROBE + halls.get(z);
        add(
            duty,
            halls.get(z),
            new HallProber(
                vertx,
                clock,
                owner,
                counters,
                z,
                options.probeMillis(),
                (readings, fence) -> tell(duty, fence, readings)));
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
              () -> duties.get(BEACON).overtaken()));
    }
    fleet.registerTopic(
        AGREEMENT,
        new FleetManager.TopicHandler() {
          @Override
          public void onTopicMessage(String from, byte[] body) {
            try {
              registers.receive(from, body);
            } catch (IllegalArgumentException e) { // guards against bytes that are none of ours
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

  private void add(String duty, String about, DutyRunner.DutyTask work) {
    duties.put(
        duty,
        new DutyRunner(
            duty,
            about,
            vertx,
            clock,
            counters,
            journal,
            registers.newClient(),
            fences,
            work,
            taken -> changedHands(duty, taken),
            out -> new LeaseElector(settings, fleet.name(), startId, random.split(), out)));
  }

  /** The agreed registers, for parts that keep something there. */
  public RegisterManager registers() {
    return registers;
  }

  /** A duty that another part brings, before the fleet's listener is open. */
  public void addDuty(String duty, DutyRunner.DutyTask work) {
    add(duty, "", work);
  }

  private void begin() {
    began = true;
    registers
        .open()
        .onComplete(
            v -> {
              if (!leaving) {
                long now = clock.now();
                duties.values().forEach(d -> d.claimant.start(now));
                beat();
              }
            });
  }

  private void beat() {
    if (!leaving) {
      stand();
      vertx.setTimer(BEAT_MILLIS, t -> beat());
    }
  }

  /** Looks for each duty how this front end stands for it. */
  private void stand() {
    Map<String, Integer> held = new LinkedHashMap<>();
    duties.values().forEach(d -> held.merge(d.seen().holder(), 1, Integer::sum));
    boolean fit =
        state.get() == Lifecycle.State.SERVING && owner.isKeepingUp() && !fleet.hasYielded();
    List<Candidate> all = new ArrayList<>();
    all.add(new Candidate(fleet.name(), hall, fit, held.getOrDefault(fleet.name(), 0)));
    for (Peer p : fleet.peers()) {
      Claim c = p.claim();
      all.add(
          new Candidate(
              c.name(),
              c.about().hall(),
              c.status() == Claim.Status.ALIVE && c.about().state() == About.State.SERVING,
              held.getOrDefault(c.name(), 0)));
    }
    for (DutyRunner d : duties.values()) {
      List<Candidate> willing =
          all.stream().filter(c -> c.name().equals(fleet.name()) || !d.rests(c.name())).toList();
      int place = CandidateRanking.rank(d.name, d.hall, fleet.name(), willing);
      d.stand(
          fit && !leaving, place < CandidateRanking.MAX_WATCHERS, CandidateRanking.delay(place));
    }
  }

  /**
   * Gives back what is held, and lets go of the voter's folder; done once others may have both, or
   * after a moment. What may act is none of this process's from the first step on.
   */
  public Future<Void> leave() {
    if (givenBack != null) {
      return givenBack.future();
    }
    givenBack = Promise.promise();
    leaving = true;
    if (began) {
      stand();
    }
    boolean holds =
        duties.values().stream().anyMatch(d -> d.seen().isHeldBy(fleet.name(), startId));
    if (!holds) {
      givenBack.tryComplete();
    }
    vertx.setTimer(GIVE_BACK_MILLIS, t -> givenBack.tryComplete());
    return givenBack.future();
  }

  /** Votes no more: done once a successor can have the folder. */
  public Future<Void> close() {
    duties.values().forEach(DutyRunner::close);
    return registers.close();
  }

  /** Has the others look, so that they take a free duty at once and know who has how many. */
  private void changedHands(String duty, boolean taken) {
    toAll(word(LOOK, duty, taken ? 0 : 1, List.of()));
    if (leaving
        && duties.values().stream().noneMatch(d -> d.seen().isHeldBy(fleet.name(), startId))) {
      givenBack.tryComplete();
    }
  }

  // ---------------------------------------------------------------- what holders tell

  private void tell(String duty, long fence, List<HealthReading> readings) {
    for (int from = 0; from < readings.size(); from += READINGS_A_PARCEL) {
      List<HealthReading> part =
          readings.subList(from, Math.min(readings.size(), from + READINGS_A_PARCEL));
      counters.add(Count.READINGS_SENT);
      heard(duty, fence, part, fleet.name());
      toAll(word(READINGS, duty, fence, part));
    }
  }

  private void toAll(byte[] word) {
    fleet
        .peers()
        .forEach(
            p -> {
              if (p.claim().isLiving()) {
                fleet.sendToMember(TOPIC, p.claim().name(), word);
              }
            });
  }

  private void heard(String duty, long fence, List<HealthReading> readings, String from) {
    if (!fences.accept(duty, fence)) {
      counters.add(Count.ACTS_REFUSED);
      return;
    }
    counters.add(Count.READINGS_TAKEN);
    List<Fact> facts = new ArrayList<>();
    for (HealthReading r : readings) {
      facts.add(
          new Fact(
              new Fact.Subject(Fact.Kind.WORKER, r.worker(), 0),
              new Fact.Value(r.latencyRatio(), r.failureRate(), 0, 0),
              duty + '/' + from,
              r.seenAt()));
    }
    owner.mergeFacts(facts);
  }

  /** Ages travel as durations. */
  private byte[] word(int kind, String duty, long fence, List<HealthReading> readings) {
    long now = clock.now();
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packArrayHeader(4)
          .packInt(kind)
          .packString(duty)
          .packLong(fence)
          .packArrayHeader(readings.size());
      for (HealthReading r : readings) {
        out.packArrayHeader(4)
            .packString(r.worker())
            .packFloat((float) r.latencyRatio())
            .packFloat((float) r.failureRate())
            .packLong(Math.max(0, now - r.seenAt()));
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e); // a buffer in memory
    }
  }

  @Override
  public void onTopicMessage(String from, byte[] body) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      if (in.unpackArrayHeader() < 4) {
        throw new IllegalArgumentException("too few fields");
      }
      int kind = in.unpackInt();
      String duty = in.unpackString();
      long fence = in.unpackLong();
      int n = in.unpackArrayHeader();
      if (n > MOST_READINGS || duty.length() > MOST_REGISTER_NAME) { // guards the memory
        throw new IllegalArgumentException("too long");
      }
      long now = clock.now();
      List<HealthReading> readings = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        in.unpackArrayHeader();
        readings.add(
            new HealthReading(
                in.unpackString(),
                in.unpackFloat(),
                in.unpackFloat(),
                now - Math.max(0, in.unpackLong())));
      }
      taken(from, kind, duty, fence, readings);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      counters.add(Count.FLEET_UNREADABLE);
    }
  }

  private void taken(String from, int kind, String duty, long fence, List<HealthReading> readings) {
    DutyRunner d = duties.get(duty);
    if (d == null) {
      return; // none of ours
    }
    if (kind == READINGS) {
      heard(duty, fence, readings, from);
    } else if (kind == LOOK) {
      d.changedHands(from, fence > 0, rest());
      stand();
    } else if (kind == RELEASE) {
      release(d);
    }
  }

  private boolean release(DutyRunner d) {
    return d.release(rest());
  }

  /** For so long whoever gave a duty back leaves it to others. */
  private long rest() {
    return 2 * options.lengthMillis() * MS;
  }

  @Override
  public void onFleetChange() {
    if (!began && fleet.isOpen()) {
      begin();
    } else if (began && !leaving) {
      stand();
    }
  }

  // ---------------------------------------------------------------- what operators ask

  @Override
  public Future<String> onOperatorCall(List<String> words) {
    String verb = words.isEmpty() ? "show" : words.get(0);
    String first = words.size() > 1 ? words.get(1) : "";
    try {
      return switch (verb) {
        case "show" -> Future.succeededFuture(show().toString());
        case "release" -> Future.succeededFuture(release(first));
        case "register" -> register(first);
        case "voters" -> Future.succeededFuture(registers.status().toString());
        case "found" -> begun(registers::bootstrapVoters);
        case "replace" ->
            begun(() -> registers.replaceVoter(first, words.size() > 2 ? words.get(2) : ""));
        default -> Future.failedFuture("'" + verb + "' is not known");
      };
    } catch (IllegalStateException e) {
      return Future.failedFuture(e.getMessage());
    }
  }

  private Future<String> begun(Runnable command) {
    command.run();
    return Future.succeededFuture(registers.status().toString());
  }

  private String release(String duty) {
    DutyRunner d = duties.get(duty);
    if (d == null) {
      throw new IllegalStateException(
          "there is no duty " + duty + "; there are " + duties.keySet());
    }
    Lease l = d.seen();
    boolean here = release(d);
    if (!here) { // who was seen to hold it last may not any more: whoever does heeds it
      toAll(word(RELEASE, duty, 0, List.of()));
    }
    JsonObject o = new JsonObject();
    o.addProperty(
        "asked", here ? fleet.name() : l.holder().isEmpty() ? "whoever holds it" : l.holder());
    return o.toString();
  }

  private Future<String> register(String name) {
    if (name.isEmpty() || name.length() > MOST_REGISTER_NAME) {
      return Future.failedFuture("the name of a register is needed");
    }
    Promise<String> told = Promise.promise();
    reader.read(
        name,
        clock.now() + settings.requestTimeout(),
        v -> {
          if (v == null) {
            told.fail("no majority of " + registers.voters().keys() + " answers");
          } else {
            told.complete(register(name, v).toString());
          }
        });
    return told.future();
  }

  private static JsonObject register(String name, RegisterValue v) {
    JsonObject o = new JsonObject();
    o.addProperty("register", name);
    o.addProperty("version", v.version());
    o.addProperty("text", v.text());
    return o;
  }

  private JsonObject show() {
    JsonObject o = new JsonObject();
    o.addProperty("member", fleet.name());
    o.addProperty("start", Long.toHexString(startId));
    JsonArray all = new JsonArray();
    long now = clock.now();
    for (DutyRunner d : duties.values()) {
      JsonObject line = new JsonObject();
      Lease l = d.seen();
      line.addProperty("duty", d.name);
      line.addProperty("known", d.claimant.isKnown());
      line.addProperty("holder", l.holder());
      line.addProperty("fence", l.fence());
      line.addProperty("here", d.isHeld());
      line.addProperty("left_ms", d.claimant.remaining(now) / MS);
      line.addProperty("since_ms", d.sinceMillis());
      all.add(line);
    }
    o.add("duties", all);
    o.add("voters", registers.status());
    return o;
  }

  /** What the beacon says. */
  private JsonObject report() {
    JsonObject o = new JsonObject();
    o.addProperty("member", fleet.name());
    o.addProperty("start", Long.toHexString(startId));
    int living = 1;
    for (Peer p : fleet.peers()) {
      living += p.claim().isLiving() ? 1 : 0;
    }
    o.addProperty("living", living);
    JsonObject holders = new JsonObject();
    duties.values().forEach(d -> holders.addProperty(d.name, d.seen().holder()));
    o.add("holders", holders);
    return o;
  }
}
