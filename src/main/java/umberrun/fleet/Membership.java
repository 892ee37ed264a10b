package umberrun.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import umberrun.fleet.Claim.Status;
import umberrun.fleet.MembershipChange.Kind;

/**
 * One member's view of its fleet and the protocol that maintains it: SWIM with the Lifeguard
 * extensions. It uses no I/O, threads or clocks: the caller passes in the time, in microseconds of
 * a steady clock, and carries out the actions sent to the {@link MembershipOutbox}. The same calls
 * with the same random seed lead to the same view.
 *
 * <p>The design is described in {@code docs/fleet-view.md}.
 */
public class Membership {
  /**
   * Room for piggybacked claims in a datagram; the rest of its 1,400 bytes holds the header and the
   * sender's own claim.
   */
  private static final int MAX_GOSSIP_BYTES = 1_000;

  /**
   * How many members are contacted at once to probe a target indirectly, to announce a departure or
   * to join a fleet.
   */
  private static final int FANOUT = 3;

  /**
   * The most probes forwarded for others at a time. A ping request beyond that is ignored; its
   * sender asks another member next time.
   */
  private static final int MAX_FORWARDED_PROBES = 256;

  /**
   * A timer that fires later than the probe timeout divided by this shows that this member is slow,
   * so an overdue response proves nothing about its sender.
   */
  private static final int LATE_TIMEOUT_DIVISOR = 2;

  /** Up to this number of members a full exchange is cheap enough for the configured interval. */
  private static final double MEMBERS_PER_EXCHANGE_INTERVAL = 500;

  /** How much more frequent full exchanges are while the view changes. */
  private static final long CHANGING_EXCHANGE_SPEEDUP = 5;

  private static final long FIRST_JOIN_RETRY_MICROS = 200 * MembershipSettings.MS;

  /**
   * How often each dead member is contacted in a reconnect interval, by all living members
   * together.
   */
  private static final double RECONNECTS_PER_DEAD_MEMBER = 2;

  /** The probe of the current interval. */
  private static final class Probe {
    final String target;
    final long seq;
    final long sentAt;
    boolean answered;
    boolean indirect;
    int nacks;

    Probe(String target, long seq, long sentAt) {
      this.target = target;
      this.seq = seq;
      this.sentAt = sentAt;
    }
  }

  /**
   * A probe on behalf of another member.
   *
   * @param seq the sequence number of the ping request
   * @param requester the address that the response goes to
   */
  private record ForwardedProbe(long seq, String target, String requester) {}

  private final MembershipSettings settings;
  private final String name;
  private final RandomGenerator random;
  private final MembershipOutbox outbox;
  private final Map<String, Peer> peers = new HashMap<>();
  private final GossipQueue gossipQueue = new GossipQueue();
  private final LocalHealth localHealth = new LocalHealth();

  /** The names of the living members in the order in which they are probed. */
  private final List<String> probeOrder = new ArrayList<>();

  private final Map<Long, ForwardedProbe> forwardedProbes = new HashMap<>();
  private List<String> seeds;
  private Claim self;

  /** The probe of the current interval; null where there is none. */
  private Probe currentProbe;

  private int nextProbeIndex;
  private long nextSeq;
  private int livingCount;
  private long joinRetryDelay = FIRST_JOIN_RETRY_MICROS;

  /** Whether another process owns the name; this one then publishes nothing about itself. */
  private boolean yielded;

  private boolean stopped;
  private long lastChangeAt = Long.MIN_VALUE / 2;

  /** When it first met another member, 0 before. */
  private long firstContactAt;

  private long startedAt;

  /** Whether others had counted its name before it started. */
  private boolean previouslyKnown;

  /** Whether other members were missing when it first met one. */
  private boolean joinedDuringPartition;

  /**
   * @param startId a random number that identifies this process
   * @param about the metadata that this member publishes about itself
   */
  public Membership(
      MembershipSettings settings,
      String name,
      long startId,
      About about,
      RandomGenerator random,
      MembershipOutbox outbox) {
    this.settings = settings;
    this.name = name;
    this.random = random;
    this.outbox = outbox;
    this.seeds = settings.seeds();
    this.self = new Claim(name, new ProcessGeneration(1, startId), 0, Status.ALIVE, about, "", 0);
    // A random start keeps responses to the probes of an earlier process from matching.
    this.nextSeq = random.nextLong() >>> 16;
  }

  // ---------------------------------------------------------------- events

  /** Starts the protocol and the search for other members. */
  public void start(long now) {
    startedAt = now;
    outbox.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.PROBE),
        now + (long) (random.nextDouble() * settings.interval()));
    outbox.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.EXCHANGE),
        now + jitter(settings.exchangeInterval() / CHANGING_EXCHANGE_SPEEDUP));
    outbox.startTimer(MembershipTimer.of(MembershipTimer.Kind.RECONNECT), now);
  }

  /** Replaces the addresses at which other members may be found. */
  public void setSeeds(List<String> addresses) {
    seeds = List.copyOf(addresses);
  }

  /** Publishes the metadata of this member if it has changed; {@code informed} is ignored. */
  public void updateSelf(long now, About about) {
    About updated = about.withInformed(self.about().informed());
    if (!updated.equals(self.about()) && !stopped) {
      publish(updated);
    }
  }

  private void publish(About about) {
    self = new Claim(name, self.generation(), self.incarnation() + 1, Status.ALIVE, about, "", 0);
    gossipSelf();
  }

  /** Publishes that this member knows of every member that may be alive. */
  private void markInformed() {
    if (!self.about().informed()) {
      publish(self.about().withInformed(true));
    }
  }

  /** Announces the departure of this member to a few others and stops. */
  public void leave(long now) {
    if (!stopped) {
      self = self.withStatus(Status.LEFT, "");
      for (Peer peer : randomPeers(FANOUT, "")) {
        outbox.send(
            peer.claim.about().address(),
            newMessage(GossipMessage.Kind.PING, 0, peer.claim.name(), "", null));
      }
      stop();
    }
  }

  /** Stops without an announcement, as another process takes over the name of this member. */
  public void stop() {
    stopped = true;
    for (MembershipTimer.Kind kind :
        List.of(
            MembershipTimer.Kind.PROBE,
            MembershipTimer.Kind.PROBE_TIMEOUT,
            MembershipTimer.Kind.EXCHANGE,
            MembershipTimer.Kind.RECONNECT)) {
      outbox.cancelTimer(MembershipTimer.of(kind));
    }
    peers.forEach(
        (n, peer) -> outbox.cancelTimer(new MembershipTimer(MembershipTimer.Kind.SUSPICION, n)));
    forwardedProbes
        .keySet()
        .forEach(
            seq ->
                outbox.cancelTimer(
                    new MembershipTimer(MembershipTimer.Kind.FORWARDED_PROBE, Long.toString(seq))));
  }

  /** Handles a message of the same fleet. */
  public void receive(long now, GossipMessage message) {
    if (stopped) {
      return;
    }
    apply(now, message.sender(), false);
    message.gossip().forEach(claim -> apply(now, claim, false));
    Peer sender = peers.get(message.sender().name());
    if (sender != null && sender.claim.generation().equals(message.sender().generation())) {
      sender.lastHeardAt = now;
    }
    String replyAddress = message.sender().about().address();
    switch (message.kind()) {
      case PING ->
          outbox.send(
              replyAddress,
              message.target().equals(name) && !yielded
                  ? newMessage(
                      GossipMessage.Kind.ACK,
                      message.seq(),
                      message.sender().name(),
                      "",
                      disputedClaim(sender, message.sender()))
                  : newMessage(
                      GossipMessage.Kind.NOT_HERE, message.seq(), message.target(), "", null));
      case ACK -> onAck(now, message);
      case NOT_HERE -> onNotHere(now, message);
      case PING_REQUEST -> onPingRequest(now, message);
      case NACK -> {
        if (currentProbe != null && currentProbe.seq == message.seq()) {
          currentProbe.nacks++;
        }
      }
      case NAME_CONFLICT -> {
        if (message.sender().name().equals(name)
            && message.sender().generation().startId() != self.generation().startId()) {
          reportChange(now, Kind.CLASH, message.sender(), replyAddress);
        }
      }
    }
  }

  /**
   * Handles a timer that fired.
   *
   * @param lateness how long after its due time it fired
   */
  public void onTimer(long now, MembershipTimer timer, long lateness) {
    if (stopped) {
      return;
    }
    switch (timer.kind()) {
      case PROBE -> startProbe(now, lateness);
      case PROBE_TIMEOUT -> probeIndirectly();
      case FORWARDED_PROBE -> {
        ForwardedProbe forwarded = forwardedProbes.remove(Long.parseLong(timer.subject()));
        if (forwarded != null) {
          outbox.send(
              forwarded.requester,
              newMessage(GossipMessage.Kind.NACK, forwarded.seq, forwarded.target, "", null));
        }
      }
      case SUSPICION -> onSuspicionTimeout(now, timer, lateness);
      case EXCHANGE -> startExchange(now);
      case RECONNECT -> reconnect(now);
    }
  }

  /** Returns the claims that this member sends in a full exchange, the one about itself first. */
  public List<Claim> claims(long now) {
    List<Claim> all = new ArrayList<>(peers.size() + 1);
    all.add(self);
    for (Peer peer : peers.values()) {
      all.add(peer.claim.isLiving() ? peer.claim : peer.claim.withAge(now - peer.statusSince));
    }
    return all;
  }

  /** Applies the claims that another member sent in a full exchange. */
  public void merge(long now, List<Claim> theirs) {
    if (stopped) {
      return;
    }
    theirs.forEach(claim -> apply(now, claim, true));
    if (!theirs.isEmpty() && theirs.get(0).about() != null && theirs.get(0).about().informed()) {
      markInformed();
    }
  }

  /** Handles the result of a full exchange that this member requested. */
  public void onExchange(long now, String address, List<Claim> theirs) {
    if (stopped) {
      return;
    }
    long incarnationBefore = self.incarnation();
    merge(now, theirs);
    Peer peer = livingPeerAt(address);
    // A new incarnation means that the peer held this member dead: send it the refutation at once,
    // for it to spread on its side of a former partition.
    if (peer != null && self.incarnation() != incarnationBefore) {
      outbox.send(address, newMessage(GossipMessage.Kind.PING, 0, peer.claim.name(), "", null));
    }
  }

  /**
   * Handles a full exchange that failed.
   *
   * @param refused whether the machine refused the connection, so that no process listens there
   */
  public void onUnreachable(String address, boolean refused) {
    for (Peer peer : peers.values()) {
      if (peer.claim.status() == Status.DEAD && peer.claim.about().address().equals(address)) {
        peer.connectionRefused = refused;
      }
    }
  }

  // ---------------------------------------------------------------- view

  public String name() {
    return name;
  }

  /** The claim of this member about itself. */
  public Claim self() {
    return self;
  }

  /**
   * All other members, including dead ones and those that left. While this process has given up its
   * name, the new owner of the name is among them.
   */
  public Collection<Peer> peers() {
    return Collections.unmodifiableCollection(peers.values());
  }

  /** The number of other members that are alive or only suspected. */
  public int livingCount() {
    return livingCount;
  }

  /** Whether this process has given up its name to another one. */
  public boolean hasYielded() {
    return yielded;
  }

  /** The local health score, from 0 (healthy) to 8. */
  public int localHealthScore() {
    return localHealth.score();
  }

  /** The number of claims that wait to be piggybacked on messages. */
  public int queuedGossip() {
    return gossipQueue.size();
  }

  /** The number by which this front end divides what all of them share. */
  public double divisor(long now) {
    return FleetShare.divisor(settings, peers.values(), now, localState());
  }

  /**
   * The number of front ends, including those that may be alive on the other side of a partition;
   * at least the configured number until this member is informed.
   */
  public double frontEndCount(long now) {
    return FleetShare.count(settings, peers.values(), now, localState());
  }

  private FleetShare.LocalState localState() {
    return new FleetShare.LocalState(
        startedAt, firstContactAt, previouslyKnown, joinedDuringPartition, self.about().informed());
  }

  // ---------------------------------------------------------------- claims

  /**
   * Applies a claim to the view.
   *
   * @param deadAsSuspect whether a death not known yet counts only as a suspicion, which the member
   *     may still refute
   */
  private void apply(long now, Claim received, boolean deadAsSuspect) {
    if (received.name().equals(name)) {
      applySelfClaim(now, received);
      return;
    }
    Peer peer = peers.get(received.name());
    if (peer == null) {
      if (received.about() != null && received.age() < settings.deadRetention() && makeRoom(now)) {
        addPeer(now, received);
      }
      return;
    }
    boolean sameGeneration = received.generation().equals(peer.claim.generation());
    // An accusation of a process that this member has not heard of yet has no metadata.
    if (received.about() == null && !sameGeneration) {
      return;
    }
    Claim claim = received.about() == null ? received.withAbout(peer.claim.about()) : received;
    if (deadAsSuspect && claim.status() == Status.DEAD && sameGeneration && peer.claim.isLiving()) {
      claim = claim.withStatus(Status.SUSPECT, claim.accuser());
    }
    int order = claim.compareTo(peer.claim);
    if (order > 0) {
      update(now, peer, claim);
    } else if (order == 0
        && claim.status() == Status.SUSPECT
        && peer.suspicion.confirm(claim.accuser())) {
      gossipQueue.add(claim.compact());
      outbox.startTimer(
          new MembershipTimer(MembershipTimer.Kind.SUSPICION, claim.name()),
          Math.max(now, peer.suspicion.expiresAt()));
    }
  }

  private void addPeer(long now, Claim claim) {
    Peer peer = new Peer(claim, claim.isLiving() ? now : now - claim.age());
    boolean partitioned = hasMissingPeers(now);
    peers.put(claim.name(), peer);
    if (!claim.isLiving()) {
      return;
    }
    peer.joinedDuringPartition = partitioned;
    addLiving(peer);
    if (claim.status() == Status.SUSPECT) {
      startSuspicion(now, peer);
    }
    gossipQueue.add(claim);
    reportChange(now, Kind.JOINED, claim, "");
  }

  /** Whether a member that is held dead may be alive on the other side of a partition. */
  private boolean hasMissingPeers(long now) {
    return peers.size() > livingCount && FleetShare.countMissing(settings, peers.values(), now) > 0;
  }

  private void addLiving(Peer peer) {
    livingCount++;
    probeOrder.add(random.nextInt(probeOrder.size() + 1), peer.claim.name());
  }

  /**
   * Records the first contact with another member. It must run only after all claims of a message
   * or exchange are applied: claims about missing members may follow the first about a living one.
   */
  private void recordFirstContact(long now) {
    if (livingCount > 0 && firstContactAt == 0) {
      firstContactAt = now;
      joinedDuringPartition = !previouslyKnown && hasMissingPeers(now);
    }
  }

  private void update(long now, Peer peer, Claim claim) {
    Claim before = peer.claim;
    peer.claim = claim;
    boolean otherGeneration = !claim.generation().equals(before.generation());
    if (peer.suspicion != null) {
      outbox.cancelTimer(new MembershipTimer(MembershipTimer.Kind.SUSPICION, claim.name()));
      peer.suspicion = null;
    }
    if (before.status() != claim.status() || otherGeneration) {
      peer.statusSince = claim.isLiving() ? now : now - claim.age();
    }
    if (claim.isLiving() && !before.isLiving()) {
      peer.connectionRefused = false;
      addLiving(peer);
    } else if (!claim.isLiving() && before.isLiving()) {
      livingCount--;
      probeOrder.remove(claim.name());
    }
    if (claim.status() == Status.SUSPECT) {
      startSuspicion(now, peer);
    }
    gossipQueue.add(claim.status() == Status.ALIVE || otherGeneration ? claim : claim.compact());
    Kind kind = changeKind(before, claim, otherGeneration);
    if (kind != null) {
      reportChange(now, kind, claim, claim.accuser());
    }
  }

  /** Returns the kind of change that a new claim makes, or null for none worth reporting. */
  private static Kind changeKind(Claim before, Claim claim, boolean otherGeneration) {
    if (otherGeneration && claim.isLiving()) {
      return Kind.RESTARTED;
    }
    return switch (claim.status()) {
      case LEFT -> Kind.LEFT;
      case DEAD -> before.isLiving() ? Kind.DIED : null;
      case SUSPECT -> Kind.SUSPECTED;
      case ALIVE ->
          switch (before.status()) {
            case SUSPECT -> Kind.REFUTED;
            case DEAD, LEFT -> Kind.RETURNED;
            case ALIVE -> claim.about().state() != before.about().state() ? Kind.SAID : null;
          };
    };
  }

  private void startSuspicion(long now, Peer peer) {
    peer.suspicion = new Suspicion(now, settings.interval(), livingCount + 1);
    peer.suspicion.confirm(peer.claim.accuser());
    outbox.startTimer(
        new MembershipTimer(MembershipTimer.Kind.SUSPICION, peer.claim.name()),
        peer.suspicion.expiresAt());
  }

  private void onSuspicionTimeout(long now, MembershipTimer timer, long lateness) {
    Peer peer = peers.get(timer.subject());
    if (peer == null || peer.suspicion == null) {
      return;
    }
    long minTimeout = Suspicion.minTimeout(settings.interval(), livingCount + 1);
    // After a pause of this member a refutation may have arrived and not been read yet.
    if (isLate(lateness)) {
      outbox.startTimer(timer, now + minTimeout);
    } else {
      apply(now, peer.claim.withStatus(Status.DEAD, peer.claim.accuser()), false);
    }
  }

  /**
   * Makes room for another member by removing the one that has been dead for longest. Returns false
   * if the view is full of living members.
   */
  private boolean makeRoom(long now) {
    if (peers.size() < settings.maxMembers()) {
      return true;
    }
    Peer longestDead = null;
    for (Peer peer : peers.values()) {
      if (!peer.claim.isLiving()
          && (longestDead == null || peer.statusSince < longestDead.statusSince)) {
        longestDead = peer;
      }
    }
    if (longestDead == null) {
      return false;
    }
    forget(now, longestDead);
    return true;
  }

  private void forget(long now, Peer peer) {
    peers.remove(peer.claim.name());
    gossipQueue.remove(peer.claim.name());
    reportChange(now, Kind.FORGOTTEN, peer.claim, "");
  }

  // ---------------------------------------------------------------- claims about this member

  private void applySelfClaim(long now, Claim claim) {
    if (claim.generation().startId() != self.generation().startId()) {
      onNamesake(now, claim);
    } else if (!stopped
        && claim.generation().equals(self.generation())
        && claim.status() != Status.ALIVE
        && claim.incarnation() >= self.incarnation()) {
      self =
          new Claim(
              name,
              self.generation(),
              refutingIncarnation(claim.incarnation()),
              Status.ALIVE,
              self.about(),
              "",
              0);
      localHealth.degrade(settings.usesLocalHealth() ? 1 : 0);
      reportChange(now, Kind.ACCUSED_SELF, claim.withAbout(self.about()), claim.accuser());
      gossipSelf();
    }
  }

  /** Returns the incarnation that refutes an accusation of another one. */
  protected long refutingIncarnation(long accused) {
    return accused + 1;
  }

  /** Handles a claim about another process that has or had the name of this member. */
  private void onNamesake(long now, Claim claim) {
    previouslyKnown |=
        firstContactAt == 0
            && (claim.isLiving()
                || claim.status() == Status.DEAD && claim.age() < settings.deadConfirmation());
    if (yielded) {
      Peer holder = peers.get(name);
      if (claim.compareTo(holder.claim) > 0
          && (claim.about() != null || claim.generation().equals(holder.claim.generation()))) {
        holder.claim = claim.about() == null ? claim.withAbout(holder.claim.about()) : claim;
      }
      if (!holder.claim.isLiving()) {
        peers.remove(name);
        yielded = false;
        takeOverName(holder.claim);
      }
      return;
    }
    // A process of an earlier generation is told, or finds out itself, who owns the name now.
    if (claim.generation().compareTo(self.generation()) < 0) {
      return;
    }
    boolean isPredecessor =
        !claim.isLiving()
            || claim.about() == null
            || claim.about().address().equals(self.about().address());
    if (!isPredecessor) {
      reportChange(now, Kind.CLASH, claim, claim.about().address());
    }
    if (isPredecessor
        || Long.compareUnsigned(self.generation().startId(), claim.generation().startId()) > 0) {
      takeOverName(claim);
    } else {
      yielded = true;
      peers.put(name, new Peer(claim, now));
      gossipQueue.remove(name);
      reportChange(now, Kind.YIELDED, claim, claim.about().address());
      outbox.send(
          claim.about().address(), newMessage(GossipMessage.Kind.NAME_CONFLICT, 0, name, "", null));
    }
  }

  /** Claims the name with a generation that follows the one of another process. */
  private void takeOverName(Claim predecessor) {
    self =
        new Claim(
            name,
            new ProcessGeneration(
                predecessor.generation().number() + 1, self.generation().startId()),
            0,
            Status.ALIVE,
            self.about(),
            "",
            0);
    gossipSelf();
  }

  private void gossipSelf() {
    if (!yielded) {
      gossipQueue.add(self);
    }
  }

  /**
   * Returns the claim that the peer has to refute or to take over from, as it differs from what the
   * peer says about itself; null where there is none.
   */
  private static Claim disputedClaim(Peer peer, Claim own) {
    return peer != null
            && (peer.claim.status() != Status.ALIVE
                || !peer.claim.generation().equals(own.generation()))
        ? peer.claim
        : null;
  }

  // ---------------------------------------------------------------- probes

  private void startProbe(long now, long lateness) {
    recordFirstContact(now);
    finishProbe(now, lateness);
    outbox.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.PROBE),
        now + localHealth.scale(settings.interval()));
    Peer peer = yielded ? null : nextTarget();
    if (peer == null) {
      return;
    }
    currentProbe = new Probe(peer.claim.name(), nextSeq++, now);
    outbox.send(
        peer.claim.about().address(),
        newMessage(
            GossipMessage.Kind.PING,
            currentProbe.seq,
            currentProbe.target,
            "",
            disputedClaim(peer, peer.claim)));
    outbox.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.PROBE_TIMEOUT),
        now + localHealth.scale(settings.timeout()));
  }

  private Peer nextTarget() {
    if (nextProbeIndex >= probeOrder.size()) {
      shuffle(probeOrder);
      nextProbeIndex = 0;
    }
    return nextProbeIndex < probeOrder.size() ? peers.get(probeOrder.get(nextProbeIndex++)) : null;
  }

  /** Evaluates the probe of the interval that has ended. */
  private void finishProbe(long now, long lateness) {
    Probe finished = currentProbe;
    currentProbe = null;
    if (finished == null) {
      return;
    }
    if (finished.answered) {
      localHealth.improve();
      return;
    }
    // After a pause of this member the response may have arrived and not been read yet.
    if (isLate(lateness)) {
      localHealth.degrade(1);
      return;
    }
    if (settings.usesLocalHealth()) {
      // A single NACK proves that this member can send and receive.
      localHealth.degrade(finished.nacks > 0 ? 0 : 1);
    }
    Peer target = peers.get(finished.target);
    if (target != null && target.claim.isLiving()) {
      apply(now, target.claim.withStatus(Status.SUSPECT, name).compact(), false);
    }
  }

  /** Whether a timer fired so late that this member is slow itself. */
  private boolean isLate(long lateness) {
    return settings.usesLocalHealth() && lateness > settings.timeout() / LATE_TIMEOUT_DIVISOR;
  }

  /** Probes the target again and asks other members to probe it too. */
  private void probeIndirectly() {
    Peer target =
        currentProbe == null || currentProbe.answered ? null : peers.get(currentProbe.target);
    if (target == null) {
      return;
    }
    currentProbe.indirect = true;
    outbox.send(
        target.claim.about().address(),
        newMessage(
            GossipMessage.Kind.PING,
            currentProbe.seq,
            currentProbe.target,
            "",
            disputedClaim(target, target.claim)));
    for (Peer helper : randomPeers(FANOUT, currentProbe.target)) {
      outbox.send(
          helper.claim.about().address(),
          newMessage(
              GossipMessage.Kind.PING_REQUEST,
              currentProbe.seq,
              currentProbe.target,
              target.claim.about().address(),
              null));
    }
  }

  private void onPingRequest(long now, GossipMessage message) {
    if (yielded || forwardedProbes.size() >= MAX_FORWARDED_PROBES) {
      return;
    }
    long seq = nextSeq++;
    forwardedProbes.put(
        seq,
        new ForwardedProbe(message.seq(), message.target(), message.sender().about().address()));
    Peer target = peers.get(message.target());
    outbox.send(
        message.targetAddress(),
        newMessage(
            GossipMessage.Kind.PING,
            seq,
            message.target(),
            "",
            target == null ? null : disputedClaim(target, target.claim)));
    outbox.startTimer(
        new MembershipTimer(MembershipTimer.Kind.FORWARDED_PROBE, Long.toString(seq)),
        now + settings.timeout());
  }

  private void onAck(long now, GossipMessage message) {
    if (currentProbe != null && currentProbe.seq == message.seq()) {
      Peer peer = peers.get(currentProbe.target);
      if (peer != null && message.sender().name().equals(currentProbe.target)) {
        peer.roundTrip = currentProbe.indirect ? peer.roundTrip : now - currentProbe.sentAt;
      }
      currentProbe.answered = true;
    }
    ForwardedProbe forwarded = forwardedProbes.remove(message.seq());
    if (forwarded != null) {
      outbox.cancelTimer(
          new MembershipTimer(MembershipTimer.Kind.FORWARDED_PROBE, Long.toString(message.seq())));
      outbox.send(
          forwarded.requester,
          newMessage(GossipMessage.Kind.ACK, forwarded.seq, forwarded.target, "", null));
    }
  }

  /**
   * Handles the response of a member with another name at the address of the probed one. The probed
   * member is dead: it would have announced a new address.
   */
  private void onNotHere(long now, GossipMessage message) {
    Peer peer =
        currentProbe != null && currentProbe.seq == message.seq()
            ? peers.get(currentProbe.target)
            : null;
    if (peer != null
        && peer.claim.isLiving()
        && peer.claim.about().address().equals(message.sender().about().address())) {
      apply(now, peer.claim.withStatus(Status.DEAD, message.sender().name()), false);
      peer.connectionRefused = true;
    }
  }

  // ---------------------------------------------------------------- full exchanges

  private void startExchange(long now) {
    for (Peer peer : List.copyOf(peers.values())) {
      if (!peer.claim.isLiving() && now - peer.statusSince >= settings.deadRetention()) {
        forget(now, peer);
      }
    }
    if (now - startedAt >= settings.deadRetention()) {
      markInformed();
    }
    // After a partition has healed, those that joined during it count like all others.
    if (!hasMissingPeers(now)) {
      joinedDuringPartition = false;
      peers.values().forEach(peer -> peer.joinedDuringPartition = false);
    }
    for (Peer peer : randomPeers(1, "")) {
      outbox.exchange(peer.claim.about().address());
    }
    if (yielded) {
      outbox.send(
          peers.get(name).claim.about().address(),
          newMessage(GossipMessage.Kind.NAME_CONFLICT, 0, name, "", null));
    }
    outbox.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.EXCHANGE), now + jitter(exchangeDelay(now)));
  }

  /**
   * Returns the mean delay until the next full exchange. It is shorter while the view changes, to
   * deliver gossip that was lost, and grows with the number of members, as an exchange then costs
   * more.
   */
  private long exchangeDelay(long now) {
    boolean changing = now - lastChangeAt < settings.exchangeInterval();
    return (long)
        (settings.exchangeInterval()
            * Math.max(1, livingCount / MEMBERS_PER_EXCHANGE_INTERVAL)
            / (changing ? CHANGING_EXCHANGE_SPEEDUP : 1));
  }

  private void reconnect(long now) {
    List<String> unreachable = unreachableAddresses();
    boolean alone = livingCount == 0;
    if (alone) {
      shuffle(unreachable);
      unreachable.subList(0, Math.min(FANOUT, unreachable.size())).forEach(outbox::exchange);
    } else if (random.nextDouble() * livingCount
        < RECONNECTS_PER_DEAD_MEMBER * unreachable.size()) {
      outbox.exchange(unreachable.get(random.nextInt(unreachable.size())));
    }
    joinRetryDelay =
        alone
            ? Math.min(settings.reconnectInterval(), 2 * joinRetryDelay)
            : FIRST_JOIN_RETRY_MICROS;
    outbox.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.RECONNECT),
        now + jitter(alone ? joinRetryDelay : settings.reconnectInterval()));
  }

  /** Returns the seeds and the addresses of dead members at which no living member is known. */
  protected List<String> unreachableAddresses() {
    // Sorted, as the order of a hash set would make simulations with one seed differ.
    Set<String> unreachable = new TreeSet<>(seeds);
    peers.values().stream()
        .filter(peer -> peer.claim.status() == Status.DEAD)
        .forEach(peer -> unreachable.add(peer.claim.about().address()));
    peers.values().stream()
        .filter(peer -> peer.claim.isLiving())
        .forEach(peer -> unreachable.remove(peer.claim.about().address()));
    unreachable.remove(self.about().address());
    return new ArrayList<>(unreachable);
  }

  /** Returns the living member at an address, or null. */
  private Peer livingPeerAt(String address) {
    for (Peer peer : peers.values()) {
      if (peer.claim.isLiving() && peer.claim.about().address().equals(address)) {
        return peer;
      }
    }
    return null;
  }

  // ---------------------------------------------------------------- utilities

  /** Draws up to {@code count} members at random that are alive and not suspected, except one. */
  private List<Peer> randomPeers(int count, String excluded) {
    List<Peer> drawn = new ArrayList<>(count);
    for (int tries = 4 * count;
        tries > 0 && drawn.size() < count && !probeOrder.isEmpty();
        tries--) {
      Peer peer = peers.get(probeOrder.get(random.nextInt(probeOrder.size())));
      if (peer.claim.status() == Status.ALIVE
          && !peer.claim.name().equals(excluded)
          && !drawn.contains(peer)) {
        drawn.add(peer);
      }
    }
    return drawn;
  }

  /**
   * Creates a message with piggybacked claims.
   *
   * @param first a claim that must be among them, or null
   */
  private GossipMessage newMessage(
      GossipMessage.Kind kind, long seq, String target, String targetAddress, Claim first) {
    int room = MAX_GOSSIP_BYTES - (first == null ? 0 : first.estimatedBytes());
    List<Claim> gossip = gossipQueue.take(room, livingCount + 1);
    if (first != null) {
      gossip.removeIf(claim -> claim.name().equals(first.name()));
      gossip.add(0, first);
    }
    return new GossipMessage(kind, seq, target, targetAddress, self, gossip);
  }

  private void shuffle(List<String> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, random.nextInt(i + 1));
    }
  }

  /**
   * Returns a random duration between half and one and a half of the given one, so that members
   * started together do not act at the same moment.
   */
  private long jitter(long duration) {
    return (long) (duration * (0.5 + random.nextDouble()));
  }

  private void reportChange(long now, Kind kind, Claim claim, String by) {
    lastChangeAt = now;
    outbox.onMembershipChange(new MembershipChange(now, kind, claim, by));
  }
}
