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
 * Runs the {@link Membership} of a front end on the event loop: publishes the state of this front
 * end, passes the size of the fleet to the {@link DispatchLoop}, and connects other components with
 * their counterparts in other members.
 */
public final class FleetManager implements MembershipOutbox, FleetTransport.Listener {
  /**
   * Describes this front end.
   *
   * @param name its member name
   * @param hall the hall in which it runs
   * @param factAddress where it serves its facts about workers; empty for none
   * @param operatorAddress where it serves operators; empty for none
   * @param frontEndCount the number of front ends in the settings
   * @param seed the seed of its random numbers
   */
  public record Identity(
      String name,
      String hall,
      String factAddress,
      String operatorAddress,
      int frontEndCount,
      long seed) {}

  /** How often the state of this front end is published and the divisor computed again. */
  private static final long UPDATE_INTERVAL_MILLIS = 500;

  /**
   * Delay before another attempt to bind the address, which a previous process of this front end
   * may hold until it ends.
   */
  private static final long BIND_RETRY_MILLIS = 50;

  /** How long the sockets stay open on departure, for the announcement to be sent. */
  private static final long LEAVE_DELAY_MILLIS = BIND_RETRY_MILLIS / 5;

  /**
   * The shortest time between two publications of the traffic, as each one is gossip for all
   * members. It grows with their number.
   */
  private static final long TRAFFIC_INTERVAL_MICROS = 10_000_000;

  private static final long TRAFFIC_INTERVAL_MICROS_PER_MEMBER = 500_000;

  /** The relative change of the traffic from which it is published again. */
  private static final double MIN_TRAFFIC_CHANGE = 0.25;

  private static final long SEED_REFRESH_MILLIS = 5_000;

  /** How long fact peers are awaited where no other member has been met yet. */
  private static final long FIRST_CONTACT_TIMEOUT_MILLIS = 300;

  private static final int MAX_SENDER_ADDRESSES = 256;

  private static final long MICROS_PER_MILLI = 1_000;

  private final Vertx vertx;
  private final DispatchLoop dispatchLoop;
  private final Clock clock;
  private final Counters counters;
  private final FleetOptions options;
  private final Identity identity;
  private final Supplier<Lifecycle.State> state;
  private final Consumer<String> log;
  private final EventLog eventLog = new EventLog("fleet");
  private final FleetTransport transport;
  private final Map<MembershipTimer, Long> timers = new HashMap<>();
  private final Map<String, TopicHandler> handlers = new LinkedHashMap<>();

  /**
   * The addresses of the most recent senders of topic messages, by member name, so that a sender
   * can be answered even where the view does not contain it.
   */
  private final Map<String, String> senderAddresses =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
          return size() > MAX_SENDER_ADDRESSES;
        }
      };

  /** Completes at the first contact with another member. */
  private final Promise<Void> firstContact = Promise.promise();

  private final Random random;

  /** The catalogue in which members are found; null for none. */
  private ConsulSource consul;

  /** Null until the transport listens. */
  private Membership membership;

  /** The address that other members use; null until the transport listens. */
  private String advertised;

  private boolean stopped;
  private double frontEndCount;
  private double divisor;

  /** The published number of calls per second. */
  private int traffic;

  /** The counter of accepted calls at {@code trafficMeasuredAt}. */
  private long previousCalls;

  private long trafficMeasuredAt;

  /**
   * Handles the messages and operator requests of one topic for a component that communicates over
   * the fleet transport.
   */
  public interface TopicHandler {
    /** Handles a message. The sender's name is not authenticated. */
    void onTopicMessage(String from, byte[] body);

    /** Handles an operator's request, given as the words that follow the topic. */
    Future<String> onOperatorCall(List<String> words);

    /** Called when the transport has opened and when the view has changed. */
    void onFleetChange();
  }

  /**
   * @param state supplies the present lifecycle state of this front end
   * @param log receives lines for the operator's log
   */
  public FleetManager(
      Vertx vertx,
      DispatchLoop dispatchLoop,
      Clock clock,
      Counters counters,
      ConnectionLimits connectionLimits,
      FleetOptions options,
      Identity identity,
      Supplier<Lifecycle.State> state,
      Consumer<String> log) {
    this.vertx = vertx;
    this.dispatchLoop = dispatchLoop;
    this.clock = clock;
    this.counters = counters;
    this.options = options;
    this.identity = identity;
    this.state = state;
    this.log = log;
    this.random = new Random(identity.seed());
    this.transport = new FleetTransport(vertx, clock, counters, connectionLimits, options, this);
  }

  /**
   * Binds the address in the background, retrying until it is free, and then joins the fleet.
   *
   * @param consul the catalogue in which this member is registered and others are found, or null
   */
  public void start(ConsulSource consul) {
    this.consul = consul;
    bind(true);
  }

  private void bind(boolean firstAttempt) {
    if (stopped) {
      return;
    }
    transport
        .listen()
        .onSuccess(
            port -> {
              if (stopped) {
                transport.close();
                return;
              }
              advertised =
                  options.advertise().isEmpty()
                      ? options.listen().host() + ":" + port
                      : options.advertise();
              join();
            })
        .onFailure(
            e -> {
              if (firstAttempt) {
                log.accept(
                    "fleet: cannot listen on " + options.listen() + " yet: " + e.getMessage());
              }
              vertx.setTimer(BIND_RETRY_MILLIS, t -> bind(false));
            });
  }

  private void join() {
    MembershipSettings settings =
        new MembershipSettings(
            options.name(),
            options.join(),
            options.intervalMillis() * MICROS_PER_MILLI,
            options.timeoutMillis() * MICROS_PER_MILLI,
            options.exchangeMillis() * MICROS_PER_MILLI,
            options.reconnectMillis() * MICROS_PER_MILLI,
            options.deadConfirmationMillis() * MICROS_PER_MILLI,
            options.deadRetentionMillis() * MICROS_PER_MILLI,
            options.propagationMillis() * MICROS_PER_MILLI,
            options.maxMembers(),
            identity.frontEndCount(),
            true);
    SplittableRandom seeded = new SplittableRandom(identity.seed());
    membership =
        new Membership(settings, identity.name(), seeded.nextLong(), about(), seeded.split(), this);
    membership.start(clock.now());
    log.accept(
        "fleet: member " + identity.name() + " of " + options.name() + " listens on " + advertised);
    updateFleetSize();
    update();
    handlers.values().forEach(TopicHandler::onFleetChange);
    if (consul != null) {
      consul.announce(advertised);
      refreshSeeds();
    }
  }

  /** Returns the metadata to publish about this front end. */
  private About about() {
    Lifecycle.State current = state.get();
    About.State published =
        current == Lifecycle.State.HANDING_OVER
            ? About.State.SERVING
            : About.State.valueOf(current.name());
    return new About(
        identity.hall(),
        advertised,
        published,
        identity.factAddress(),
        identity.operatorAddress(),
        options.release(),
        traffic,
        false);
  }

  /** Publishes what has changed in this front end and computes what depends on time alone. */
  private void update() {
    if (stopped) {
      return;
    }
    long now = clock.now();
    long interval =
        Math.max(
            TRAFFIC_INTERVAL_MICROS, membership.livingCount() * TRAFFIC_INTERVAL_MICROS_PER_MEMBER);
    if (now - trafficMeasuredAt >= interval) {
      long calls = counters.get(Count.CALLS_TAKEN);
      int recent =
          (int) ((calls - previousCalls) * 1_000_000 / Math.max(1, now - trafficMeasuredAt));
      traffic = Math.abs(recent - traffic) > MIN_TRAFFIC_CHANGE * traffic ? recent : traffic;
      previousCalls = calls;
      trafficMeasuredAt = now;
    }
    membership.updateSelf(now, about());
    updateFleetSize();
    vertx.setTimer(UPDATE_INTERVAL_MILLIS, t -> update());
  }

  /** Passes the size of the fleet and the divisor to the dispatch loop if they have changed. */
  private void updateFleetSize() {
    long now = clock.now();
    double newFrontEndCount = membership.frontEndCount(now);
    double newDivisor = membership.divisor(now);
    if (newFrontEndCount != frontEndCount || newDivisor != divisor) {
      frontEndCount = newFrontEndCount;
      divisor = newDivisor;
      dispatchLoop.setFleetSize(frontEndCount, divisor);
    }
    if (membership.livingCount() > 0) {
      firstContact.tryComplete();
    }
  }

  /** Polls the catalogue for seeds; while it does not answer, the last seeds stay in use. */
  private void refreshSeeds() {
    if (stopped) {
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
                        ? UPDATE_INTERVAL_MILLIS
                        : SEED_REFRESH_MILLIS / 2 + random.nextInt((int) SEED_REFRESH_MILLIS),
                    t -> refreshSeeds()));
  }

  // ---------------------------------------------------------------- facts and departure

  /**
   * Returns the fact addresses of the members that are alive and not suspected, those of the own
   * hall first; empty while the transport does not listen. The future completes at the first
   * contact with another member, at the latest after a short timeout.
   */
  public Future<List<SocketAddress>> factPeers() {
    long timer = vertx.setTimer(FIRST_CONTACT_TIMEOUT_MILLIS, t -> firstContact.tryComplete());
    return firstContact
        .future()
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
                            && !p.claim().about().factAddress().isEmpty()) {
                          living.add(p);
                        }
                      });
              // Shuffled, so that members started together do not all ask the same one.
              Collections.shuffle(living, random);
              living.sort(
                  Comparator.comparing(p -> !p.claim().about().hall().equals(identity.hall())));
              List<SocketAddress> addresses = new ArrayList<>();
              for (Peer p : living) {
                String address = p.claim().about().factAddress();
                int colon = address.lastIndexOf(':');
                if (colon > 0 && address.substring(colon + 1).matches("\\d{1,5}")) {
                  addresses.add(
                      SocketAddress.inetSocketAddress(
                          Integer.parseInt(address.substring(colon + 1)),
                          address.substring(0, colon)));
                }
              }
              return addresses;
            });
  }

  /** The address that other members use; null until the transport listens. */
  public String address() {
    return advertised;
  }

  /**
   * Leaves the fleet.
   *
   * @param succeeded whether another process takes over the name of this member, in which case the
   *     departure is not announced
   */
  public void leave(boolean succeeded) {
    if (stopped) {
      return;
    }
    stopped = true;
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
      closeTransport();
    } else {
      vertx.setTimer(LEAVE_DELAY_MILLIS, t -> closeTransport());
    }
  }

  private void closeTransport() {
    if (advertised != null) {
      transport.close();
    }
  }

  // ---------------------------------------------------------------- topics

  /** Registers the handler of a topic. */
  public void registerTopic(String topic, TopicHandler handler) {
    handlers.put(topic, handler);
  }

  /** Whether the transport is open and this member takes part in the fleet. */
  public boolean isOpen() {
    return membership != null && !stopped;
  }

  /**
   * Sends a topic message to a member by name. Nothing reports its loss; it is dropped where the
   * address of the member is not known.
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
            .orElse(senderAddresses.get(member));
    if (address != null) {
      transport.send(
          address, new FleetCodec.TopicMessage(topic, member, identity.name(), advertised, body));
    }
  }

  private void deliver(String topic, String from, byte[] body) {
    TopicHandler handler = handlers.get(topic);
    if (handler != null && !stopped) {
      handler.onTopicMessage(from, body);
    }
  }

  /** All other members, including dead ones and those that left. */
  public Collection<Peer> peers() {
    return isOpen() ? membership.peers() : List.of();
  }

  public String name() {
    return identity.name();
  }

  /** Whether this process has given up its name to another one. */
  public boolean hasYielded() {
    return isOpen() && membership.hasYielded();
  }

  // ---------------------------------------------------------------- transport events

  @Override
  public void onTopicMessage(FleetCodec.TopicMessage message) {
    if (message.recipient().equals(identity.name())) {
      senderAddresses.put(message.sender(), message.senderAddress());
      deliver(message.topic(), message.sender(), message.body());
    }
  }

  @Override
  public Future<String> onOperatorCall(String words) {
    List<String> all = List.of(words.trim().split("\\s+"));
    TopicHandler handler = handlers.get(all.get(0));
    return handler == null
        ? Future.failedFuture("'" + all.get(0) + "' is not switched on here")
        : handler.onOperatorCall(all.subList(1, all.size()));
  }

  @Override
  public void onMessage(GossipMessage message) {
    if (!stopped) {
      membership.receive(clock.now(), message);
    }
  }

  @Override
  public boolean canExchange() {
    return dispatchLoop.isKeepingUp() && !stopped && membership != null;
  }

  @Override
  public List<Claim> merge(List<Claim> theirs) {
    membership.merge(clock.now(), theirs);
    updateFleetSize();
    return membership.claims(clock.now());
  }

  @Override
  public String leave() {
    boolean leaves = !stopped;
    eventLog.log("left by hand", Map.of("member", identity.name()));
    vertx.setTimer(1, t -> leave(false));
    return leaves ? "{\"left\":true}" : "{\"left\":false}";
  }

  @Override
  public String view() {
    long now = clock.now();
    JsonObject json = new JsonObject();
    if (membership == null) {
      return json.toString();
    }
    json.addProperty("fleet", options.name());
    json.addProperty("member", identity.name());
    json.addProperty("doubts", membership.localHealthScore());
    json.addProperty("yielded", membership.hasYielded());
    json.addProperty("counted", frontEndCount);
    json.addProperty("divisor", divisor);
    JsonArray members = new JsonArray();
    members.add(memberJson(membership.self(), "self"));
    for (Peer p : membership.peers()) {
      JsonObject member = memberJson(p.claim(), p.claim().status().name().toLowerCase(Locale.ROOT));
      member.addProperty("since_ms", (now - p.statusSince()) / MICROS_PER_MILLI);
      member.addProperty(
          "heard_ms", p.lastHeardAt() == 0 ? -1 : (now - p.lastHeardAt()) / MICROS_PER_MILLI);
      member.addProperty("round_trip_us", p.roundTrip());
      JsonArray accusers = new JsonArray();
      p.accusers().forEach(accusers::add);
      member.add("suspected_by", accusers);
      members.add(member);
    }
    json.add("members", members);
    return json.toString();
  }

  private static JsonObject memberJson(Claim claim, String status) {
    JsonObject member = new JsonObject();
    member.addProperty("name", claim.name());
    member.addProperty("status", status);
    member.addProperty("life", claim.generation().toString());
    member.addProperty("incarnation", claim.incarnation());
    About about = claim.about();
    member.addProperty("hall", about.hall());
    member.addProperty("address", about.address());
    member.addProperty("state", about.state().name().toLowerCase(Locale.ROOT));
    member.addProperty("learning", about.factAddress());
    member.addProperty("door", about.operatorAddress());
    member.addProperty("release", about.release());
    member.addProperty("traffic", about.traffic());
    return member;
  }

  // ---------------------------------------------------------------- membership actions

  @Override
  public void send(String address, GossipMessage message) {
    transport.send(address, message);
  }

  @Override
  public void exchange(String address) {
    // Calls have priority over exchanges, except while joining: the loop always lags at start.
    if (!dispatchLoop.isKeepingUp() && membership.livingCount() > 0) {
      membership.onUnreachable(address, false);
      return;
    }
    transport
        .exchange(address, membership.claims(clock.now()))
        .onSuccess(
            theirs -> {
              membership.onExchange(clock.now(), address, theirs);
              updateFleetSize();
            })
        .onFailure(
            e ->
                membership.onUnreachable(
                    address, e instanceof FleetTransport.UnreachableException u && u.refused));
  }

  @Override
  public void startTimer(MembershipTimer timer, long at) {
    cancelTimer(timer);
    long delay = Math.max(1, (at - clock.now() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
    timers.put(
        timer,
        vertx.setTimer(
            delay,
            t -> {
              timers.remove(timer);
              long now = clock.now();
              membership.onTimer(now, timer, Math.max(now - at, dispatchLoop.lag()));
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
  public void onMembershipChange(MembershipChange change) {
    counters.add(Count.FLEET_CHANGES);
    switch (change.kind()) {
      case CLASH, YIELDED -> counters.add(Count.FLEET_CLASHES);
      case ACCUSED_SELF -> counters.add(Count.SELF_SUSPECTED);
      default -> {}
    }
    Claim claim = change.claim();
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("member", claim.name());
    fields.put("life", claim.generation().toString());
    fields.put("incarnation", claim.incarnation());
    fields.put("hall", claim.about().hall());
    fields.put("address", claim.about().address());
    fields.put("state", claim.about().state().name().toLowerCase(Locale.ROOT));
    fields.put("by", change.by());
    fields.put("living", membership.livingCount() + 1);
    eventLog.log(change.kind().name().toLowerCase(Locale.ROOT).replace('_', ' '), fields);
    // Deferred until the message that caused the change has been processed.
    vertx.runOnContext(
        v -> {
          if (!stopped) {
            updateFleetSize();
            handlers.values().forEach(TopicHandler::onFleetChange);
          }
        });
  }
}
