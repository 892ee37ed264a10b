package umberrun.fleet.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import umberrun.admission.ConnectionLimits;
import umberrun.config.FleetOptions;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.core.Lifecycle;
import umberrun.fleet.About;
import umberrun.fleet.Claim;
import umberrun.fleet.GossipMessage;
import umberrun.fleet.Membership;
import umberrun.fleet.MembershipChange;
import umberrun.fleet.MembershipOutbox;
import umberrun.fleet.MembershipSettings;
import umberrun.fleet.MembershipTimer;
import umberrun.fleet.Peer;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;
import umberrun.stats.EventLog;
import umberrun.workerlist.ConsulSource;

/**
 * The view of the fleet in a front end: carries the {@link Membership} on the one loop, tells it of
 * this front end, and tells the owner and others of the view.
 */
public final class FleetManager implements MembershipOutbox, FleetTransport.Listener {
  /**
   * What this front end is.
   *
   * @param factAddress where it tells what it knows, or empty
   * @param operatorAddress where operators call it, or empty
   * @param frontEndCount the settings' number of front ends
   */
  public record Identity(
      String name,
      String hall,
      String factAddress,
      String operatorAddress,
      int frontEndCount,
      long seed) {}

  private static final long BEAT_MILLIS = 500;

  /** An elder process of this front end may hold the address for as long as it lives. */
  private static final long BIND_MILLIS = 50;

  /** Traffic is news for all members: told this seldom, and seldomer the more there are. */
  private static final long TRAFFIC_MICROS = 10_000_000;

  private static final long TRAFFIC_MICROS_EACH = 500_000;
  private static final double TRAFFIC_CHANGE = 0.25;
  private static final long SEEDS_MILLIS = 5_000;
  private static final long MEET_MILLIS = 300;
  private static final int MOST_ADDRESSES = 256;
  private static final long MS = 1_000;

  private final Vertx vertx;
  private final DispatchLoop owner;
  private final Clock clock;
  private final Counters counters;
  private final FleetOptions options;
  private final Identity identity;
  private final Supplier<Lifecycle.State> state;
  private final Consumer<String> log;
  private final EventLog journal = new EventLog("fleet");
  private final FleetTransport carrier;
  private final Map<MembershipTimer, Long> timers = new HashMap<>();
  private final Map<String, TopicHandler> guests = new LinkedHashMap<>();

  /**
   * Where parcels came from lately: a view that does not know a member is no reason not to answer
   * it.
   */
  private final Map<String, String> addresses =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
          return size() > MOST_ADDRESSES;
        }
      };

  private final Promise<Void> met = Promise.promise();
  private final Random random;
  private ConsulSource consul;
  private Membership membership;
  private String advertised;
  private boolean over;
  private double counted;
  private double divisor;
  private int traffic;
  private long takenBefore;
  private long trafficAt;

  /** A part that uses the fleet's listener. */
  public interface TopicHandler {
    /** A parcel came from a member, or from who says so. */
    void onTopicMessage(String from, byte[] body);

    /** An operator's call: the words behind the topic. */
    Future<String> onOperatorCall(List<String> words);

    /** The listener is open, or the view has changed. */
    void onFleetChange();
  }

  /**
   * @param state how far this front end is with serving clients
   */
  public FleetManager(
      Vertx vertx,
      DispatchLoop owner,
      Clock clock,
      Counters counters,
      ConnectionLimits account,
      FleetOptions options,
      Identity identity,
      Supplier<Lifecycle.State> state,
      Consumer<String> log) {
    this.vertx = vertx;
    this.owner = owner;
    this.clock = clock;
    this.counters = counters;
    this.options = options;
    this.identity = identity;
    this.state = state;
    this.log = log;
    this.random = new Random(identity.seed());
    this.carrier = new FleetTransport(vertx, clock, counters, account, options, this);
  }

  /**
   * Takes the address as soon as it is free, and begins; nobody waits for it.
   *
   * @param consul where members are looked for too, and told of this one, or null
   */
  public void start(ConsulSource consul) {
    this.consul = consul;
    bind(true);
  }

  private void bind(boolean first) {
    if (over) {
      return;
    }
    carrier
        .listen()
        .onSuccess(
            port -> {
              if (over) {
                carrier.close();
                return;
              }
              advertised =
                  options.advertise().isEmpty()
                      ? options.listen().host() + ":" + port
                      : options.advertise();
              begin();
            })
        .onFailure(
            e -> {
              if (first) {
                log.accept(
                    "fleet: " + options.listen() + " is not to be had yet: " + e.getMessage());
              }
              vertx.setTimer(BIND_MILLIS, t -> bind(false));
            });
  }

  private void begin() {
    MembershipSettings settings =
        new MembershipSettings(
            options.name(),
            options.join(),
            options.intervalMillis() * MS,
            options.timeoutMillis() * MS,
            options.exchangeMillis() * MS,
            options.reconnectMillis() * MS,
            options.sureMillis() * MS,
            options.forgetMillis() * MS,
            options.settleMillis() * MS,
            options.members(),
            identity.frontEndCount(),
            true);
    SplittableRandom drawn = new SplittableRandom(identity.seed());
    membership =
        new Membership(settings, identity.name(), drawn.nextLong(), about(), drawn.split(), this);
    membership.start(clock.now());
    log.accept(
        "fleet: member " + identity.name() + " of " + options.name() + " listens on " + advertised);
    refresh();
    beat();
    guests.values().forEach(TopicHandler::onFleetChange);
    if (consul != null) {
      consul.announce(advertised);
      look();
    }
  }

  private About about() {
    Lifecycle.State own = state.get();
    About.State told =
        own == Lifecycle.State.HANDING_OVER ? About.State.SERVING : About.State.valueOf(own.name());
    return new About(
        identity.hall(),
        advertised,
        told,
        identity.factAddress(),
        identity.operatorAddress(),
        options.release(),
        traffic,
        false);
  }

  /** Tells what has changed here, and what passes with time alone. */
  private void beat() {
    if (over) {
      return;
    }
    long now = clock.now();
    long every = Math.max(TRAFFIC_MICROS, membership.livingCount() * TRAFFIC_MICROS_EACH);
    if (now - trafficAt >= every) {
      long taken = counters.get(Count.CALLS_TAKEN);
      int lately = (int) ((taken - takenBefore) * 1_000_000 / Math.max(1, now - trafficAt));
      traffic = Math.abs(lately - traffic) > TRAFFIC_CHANGE * traffic ? lately : traffic;
      takenBefore = taken;
      trafficAt = now;
    }
    membership.updateSelf(now, about());
    refresh();
    vertx.setTimer(BEAT_MILLIS, t -> beat());
  }

  /** Tells the owner by how much is divided, at once where that has changed. */
  private void refresh() {
    long now = clock.now();
    double nowCounted = membership.frontEndCount(now);
    double nowDivisor = membership.divisor(now);
    if (nowCounted != counted || nowDivisor != divisor) {
      counted = nowCounted;
      divisor = nowDivisor;
      owner.setFleetSize(counted, divisor);
    }
    if (membership.livingCount() > 0) {
      met.tryComplete();
    }
  }

  /** Asks the catalogue now and then; while it is silent, what it said last holds. */
  private void look() {
    if (over) {
      return;
    }
    consul
        .peerAddresses()
        .onSuccess(
            found -> {
              Set<String> all = new LinkedHashSet<>(options.join());
              all.addAll(found);
              membership.setSeeds(List.copyOf(all));
            })
        .onComplete(
            r ->
                vertx.setTimer(
                    r.failed()
                        ? BEAT_MILLIS
                        : SEEDS_MILLIS / 2 + random.nextInt((int) SEEDS_MILLIS),
                    t -> look()));
  }

  // ---------------------------------------------------------------- what others want of the view

  /**
   * Those that live and tell what they know, those of the own hall first; given as soon as one is
   * met, or after a moment.
   */
  public Future<List<SocketAddress>> factPeers() {
    long timer = vertx.setTimer(MEET_MILLIS, t -> met.tryComplete());
    return met.future()
        .map(
            v -> {
              vertx.cancelTimer(timer);
              if (membership == null) {
                return List.of();
              }
              List<Peer> living = new ArrayList<>();
              membership
                  .peers()
                  .forEach(
                      p -> {
                        if (p.claim().status() == Claim.Status.ALIVE
                            && !p.claim().about().learning().isEmpty()) {
                          living.add(p);
                        }
                      });
              Collections.shuffle(
                  living, random); // guards one of them against all that start at once
              living.sort(
                  Comparator.comparing(p -> !p.claim().about().hall().equals(identity.hall())));
              List<SocketAddress> addresses = new ArrayList<>();
              for (Peer p : living) {
                String a = p.claim().about().learning();
                int colon = a.lastIndexOf(':');
                if (colon > 0 && a.substring(colon + 1).matches("\\d{1,5}")) {
                  addresses.add(
                      SocketAddress.inetSocketAddress(
                          Integer.parseInt(a.substring(colon + 1)), a.substring(0, colon)));
                }
              }
              return addresses;
            });
  }

  /** Where others reach it; null until it listens. */
  public String address() {
    return advertised;
  }

  /**
   * Says good-bye; {@code succeeded} where another process is this member from now on, which is
   * told nobody.
   */
  public void leave(boolean succeeded) {
    if (over) {
      return;
    }
    over = true;
    if (membership != null) {
      if (succeeded) {
        membership.stop();
      } else {
        membership.leave(clock.now());
      }
    }
    timers.values().forEach(vertx::cancelTimer);
    timers.clear();
    if (succeeded || membership == null) {
      closeCarrier();
    } else {
      vertx.setTimer(BIND_MILLIS / 5, t -> closeCarrier()); // the good-bye goes out first
    }
  }

  private void closeCarrier() {
    if (advertised != null) {
      carrier.close();
    }
  }

  // ---------------------------------------------------------------- parts that use the listener

  /** Takes in what comes for a topic from now on. */
  public void registerTopic(String topic, TopicHandler guest) {
    guests.put(topic, guest);
  }

  /** Whether the listener is open and this member speaks. */
  public boolean isOpen() {
    return membership != null && !over;
  }

  /**
   * Sends to a member by name; where nobody knows its address, or it is lost, nothing comes of it.
   */
  public void sendToMember(String topic, String member, byte[] body) {
    if (!isOpen()) {
      return;
    }
    if (member.equals(identity.name())) {
      vertx.runOnContext(v -> deliver(topic, member, body));
      return;
    }
    String address =
        membership.peers().stream()
            .filter(p -> p.claim().name().equals(member))
            .map(p -> p.claim().about().address())
            .findFirst()
            .orElse(addresses.get(member));
    if (address != null) {
      carrier.send(
          address, new FleetCodec.TopicMessage(topic, member, identity.name(), advertised, body));
    }
  }

  private void deliver(String topic, String from, byte[] body) {
    TopicHandler guest = guests.get(topic);
    if (guest != null && !over) {
      guest.onTopicMessage(from, body);
    }
  }

  /** All other members, the dead included. */
  public Collection<Peer> peers() {
    return isOpen() ? membership.peers() : List.of();
  }

  public String name() {
    return identity.name();
  }

  public boolean hasYielded() {
    return isOpen() && membership.hasYielded();
  }

  // ---------------------------------------------------------------- what the carrier brings

  @Override
  public void onTopicMessage(FleetCodec.TopicMessage p) {
    if (p.to().equals(identity.name())) {
      addresses.put(p.from(), p.address());
      deliver(p.topic(), p.from(), p.body());
    }
  }

  @Override
  public Future<String> onOperatorCall(String words) {
    List<String> all = List.of(words.trim().split("\\s+"));
    TopicHandler guest = guests.get(all.get(0));
    return guest == null
        ? Future.failedFuture("'" + all.get(0) + "' is not switched on here")
        : guest.onOperatorCall(all.subList(1, all.size()));
  }

  @Override
  public void onMessage(GossipMessage m) {
    if (!over) {
      membership.receive(clock.now(), m);
    }
  }

  @Override
  public boolean canExchange() {
    return owner.isKeepingUp() && !over && membership != null;
  }

  @Override
  public List<Claim> merge(List<Claim> theirs) {
    membership.merge(clock.now(), theirs);
    refresh();
    return membership.claims(clock.now());
  }

  @Override
  public String leave() {
    boolean goes = !over;
    journal.log("left by hand", Map.of("member", identity.name()));
    vertx.setTimer(1, t -> leave(false));
    return goes ? "{\"left\":true}" : "{\"left\":false}";
  }

  @Override
  public String view() {
    long now = clock.now();
    JsonObject o = new JsonObject();
    if (membership == null) {
      return o.toString();
    }
    o.addProperty("fleet", options.name());
    o.addProperty("member", identity.name());
    o.addProperty("doubts", membership.localHealthScore());
    o.addProperty("yielded", membership.hasYielded());
    o.addProperty("counted", counted);
    o.addProperty("divisor", divisor);
    JsonArray members = new JsonArray();
    members.add(line(membership.self(), "self"));
    for (Peer p : membership.peers()) {
      JsonObject m = line(p.claim(), p.claim().status().name().toLowerCase(Locale.ROOT));
      m.addProperty("since_ms", (now - p.since()) / MS);
      m.addProperty("heard_ms", p.heardAt() == 0 ? -1 : (now - p.heardAt()) / MS);
      m.addProperty("round_trip_us", p.roundTrip());
      JsonArray by = new JsonArray();
      p.accusers().forEach(by::add);
      m.add("suspected_by", by);
      members.add(m);
    }
    o.add("members", members);
    return o.toString();
  }

  private static JsonObject line(Claim c, String status) {
    JsonObject m = new JsonObject();
    m.addProperty("name", c.name());
    m.addProperty("status", status);
    m.addProperty("life", c.life().toString());
    m.addProperty("incarnation", c.incarnation());
    About a = c.about();
    m.addProperty("hall", a.hall());
    m.addProperty("address", a.address());
    m.addProperty("state", a.state().name().toLowerCase(Locale.ROOT));
    m.addProperty("learning", a.learning());
    m.addProperty("door", a.door());
    m.addProperty("release", a.release());
    m.addProperty("traffic", a.traffic());
    return m;
  }

  // ---------------------------------------------------------------- what the membership wants

  @Override
  public void send(String address, GossipMessage message) {
    carrier.send(address, message);
  }

  @Override
  public void exchange(String address) {
    if (!owner.isKeepingUp()
        && membership.livingCount() > 0) { // calls come first, but a start is always late
      membership.onUnreachable(address, false);
      return;
    }
    carrier
        .exchange(address, membership.claims(clock.now()))
        .onSuccess(
            theirs -> {
              membership.onExchange(clock.now(), address, theirs);
              refresh();
            })
        .onFailure(
            e ->
                membership.onUnreachable(
                    address, e instanceof FleetTransport.Unreachable u && u.refused));
  }

  @Override
  public void startTimer(MembershipTimer timer, long at) {
    cancelTimer(timer);
    long wait = Math.max(1, (at - clock.now() + MS - 1) / MS);
    timers.put(
        timer,
        vertx.setTimer(
            wait,
            t -> {
              timers.remove(timer);
              long now = clock.now();
              membership.onTimer(now, timer, Math.max(now - at, owner.lag()));
            }));
  }

  @Override
  public void cancelTimer(MembershipTimer timer) {
    Long id = timers.remove(timer);
    if (id != null) {
      vertx.cancelTimer(id);
    }
  }

  @Override
  public void onMembershipChange(MembershipChange c) {
    counters.add(Count.FLEET_CHANGES);
    switch (c.kind()) {
      case CLASH, YIELDED -> counters.add(Count.FLEET_CLASHES);
      case ACCUSED_SELF -> counters.add(Count.FLEET_ACCUSED);
      default -> {}
    }
    Claim claim = c.claim();
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("member", claim.name());
    figures.put("life", claim.life().toString());
    figures.put("incarnation", claim.incarnation());
    figures.put("hall", claim.about().hall());
    figures.put("address", claim.about().address());
    figures.put("state", claim.about().state().name().toLowerCase(Locale.ROOT));
    figures.put("by", c.by());
    figures.put("living", membership.livingCount() + 1);
    journal.log(c.kind().name().toLowerCase(Locale.ROOT).replace('_', ' '), figures);
    vertx.runOnContext(
        v -> {
          if (!over) {
            refresh(); // once the message that changed it is worked off
            guests.values().forEach(TopicHandler::onFleetChange);
          }
        });
  }
}
