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
 * One member's view of its fleet, and what it does to keep it: SWIM with Lifeguard, see {@code
 * docs/fleet-view.md}. Free of I/O, threads and clocks: times are handed in, in microseconds of a
 * steady clock, and what is to be done goes to the {@link MembershipOutbox}. The same calls with
 * the same seed lead to the same view.
 */
public class Membership {
  /** Claims in a datagram beside the sender's own, in bytes; the rest of 1,400 is for the head. */
  private static final int NEWS_BYTES = 1_000;

  private static final int HELPERS = 3;

  /**
   * Probes for others that wait for an answer; beyond that, one who asks hears nothing and asks
   * another next time.
   */
  private static final int MOST_FORWARDS = 256;

  /**
   * A wait that ends later than this part of the time-out says more of this member than of the one
   * it waited for.
   */
  private static final int LATE_PART = 2;

  /**
   * Members up to which a full exchange costs next to nothing, and how much sooner it comes while
   * the view changes.
   */
  private static final double FEW = 500;

  private static final long HASTE = 5;
  private static final long FIRST_JOIN = 200 * MembershipSettings.MS;

  /**
   * Tries to find the dead again, for each of them and from all members, in one time between tries.
   */
  private static final double TRIES_EACH = 2;

  /** A probe of this interval. */
  private static final class Probe {
    final String target;
    final long seq;
    final long sentAt;
    boolean answered;
    boolean asked;
    int noes;

    Probe(String target, long seq, long sentAt) {
      this.target = target;
      this.seq = seq;
      this.sentAt = sentAt;
    }
  }

  /** A probe for somebody else. */
  private record Forward(long seq, String target, String address) {}

  private final MembershipSettings settings;
  private final String name;
  private final RandomGenerator random;
  private final MembershipOutbox out;
  private final Map<String, Peer> peers = new HashMap<>();
  private final GossipQueue news = new GossipQueue();
  private final LocalHealth awareness = new LocalHealth();
  private final List<String> ring = new ArrayList<>();
  private final Map<Long, Forward> forwards = new HashMap<>();
  private List<String> setSeeds;
  private Claim self;
  private Probe probe;
  private int next;
  private long nextSeq;
  private int livingCount;
  private long joinWait = FIRST_JOIN;
  private boolean yielded;
  private boolean over;
  private long changedAt = Long.MIN_VALUE / 2;

  /**
   * When it first met another member, 0 before; whether the fleet had known its name; whether
   * others were missing then.
   */
  private long metAt;

  private long startedAt;
  private boolean known;
  private boolean late;

  public Membership(
      MembershipSettings settings,
      String name,
      long startId,
      About about,
      RandomGenerator random,
      MembershipOutbox out) {
    this.settings = settings;
    this.name = name;
    this.random = random;
    this.out = out;
    this.setSeeds = settings.seeds();
    this.self = new Claim(name, new ProcessGeneration(1, startId), 0, Status.ALIVE, about, "", 0);
    this.nextSeq = random.nextLong() >>> 16; // guards against answers to a former life's probes
  }

  // ---------------------------------------------------------------- what comes in

  /** Begins to look for others. */
  public void start(long now) {
    startedAt = now;
    out.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.PROBE),
        now + (long) (random.nextDouble() * settings.interval()));
    out.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.EXCHANGE),
        now + spread(settings.exchangeInterval() / HASTE));
    out.startTimer(MembershipTimer.of(MembershipTimer.Kind.RECONNECT), now);
  }

  /** Where others may be found, by a list from elsewhere. */
  public void setSeeds(List<String> addresses) {
    setSeeds = List.copyOf(addresses);
  }

  /** What this member says of itself has changed. */
  public void updateSelf(long now, About about) {
    About mine = about.informed(self.about().informed());
    if (!mine.equals(self.about()) && !over) {
      say(mine);
    }
  }

  private void say(About about) {
    self = new Claim(name, self.life(), self.incarnation() + 1, Status.ALIVE, about, "", 0);
    announce();
  }

  /** It has heard of all that may live. */
  private void informed() {
    if (!self.about().informed()) {
      say(self.about().informed(true));
    }
  }

  /** Says good-bye, to as many as help with a probe. */
  public void leave(long now) {
    if (!over) {
      self = self.with(Status.LEFT, "");
      for (Peer p : some(HELPERS, "")) {
        out.send(
            p.claim.about().address(),
            message(GossipMessage.Kind.PING, 0, p.claim.name(), "", null));
      }
      stop();
    }
  }

  /** Falls silent without a word: another process is this member from now on. */
  public void stop() {
    over = true;
    for (MembershipTimer.Kind kind :
        List.of(
            MembershipTimer.Kind.PROBE,
            MembershipTimer.Kind.DIRECT,
            MembershipTimer.Kind.EXCHANGE,
            MembershipTimer.Kind.RECONNECT)) {
      out.cancelTimer(MembershipTimer.of(kind));
    }
    peers.forEach(
        (n, p) -> out.cancelTimer(new MembershipTimer(MembershipTimer.Kind.SUSPICION, n)));
    forwards
        .keySet()
        .forEach(
            seq ->
                out.cancelTimer(
                    new MembershipTimer(MembershipTimer.Kind.FORWARD, Long.toString(seq))));
  }

  /** A datagram of the same fleet came. */
  public void receive(long now, GossipMessage m) {
    if (over) {
      return;
    }
    take(now, m.from(), false);
    m.news().forEach(c -> take(now, c, false));
    Peer sender = peers.get(m.from().name());
    if (sender != null && sender.claim.life().equals(m.from().life())) {
      sender.heardAt = now;
    }
    String back = m.from().about().address();
    switch (m.kind()) {
      case PING ->
          out.send(
              back,
              m.target().equals(name) && !yielded
                  ? message(
                      GossipMessage.Kind.ACK,
                      m.seq(),
                      m.from().name(),
                      "",
                      unlike(sender, m.from()))
                  : message(GossipMessage.Kind.STRANGER, m.seq(), m.target(), "", null));
      case ACK -> answered(now, m);
      case STRANGER -> stranger(now, m);
      case ASK -> ask(now, m);
      case NACK -> {
        if (probe != null && probe.seq == m.seq()) {
          probe.noes++;
        }
      }
      case CLASH -> {
        if (m.from().name().equals(name) && m.from().life().startId() != self.life().startId()) {
          changed(now, Kind.CLASH, m.from(), back);
        }
      }
    }
  }

  /** A wait is over, by {@code late} after its time. */
  public void onTimer(long now, MembershipTimer t, long late) {
    if (over) {
      return;
    }
    switch (t.kind()) {
      case PROBE -> probe(now, late);
      case DIRECT -> askOthers(now);
      case FORWARD -> {
        Forward f = forwards.remove(Long.parseLong(t.subject()));
        if (f != null) {
          out.send(f.address, message(GossipMessage.Kind.NACK, f.seq, f.target, "", null));
        }
      }
      case SUSPICION -> suspicionOver(now, t, late);
      case EXCHANGE -> exchange(now);
      case RECONNECT -> reconnect(now);
    }
  }

  /**
   * All that this member would tell another in a full exchange; what it says of itself comes first.
   */
  public List<Claim> claims(long now) {
    List<Claim> all = new ArrayList<>(peers.size() + 1);
    all.add(self);
    for (Peer p : peers.values()) {
      all.add(p.claim.isLiving() ? p.claim : p.claim.aged(now - p.since));
    }
    return all;
  }

  /** Takes in what another told in a full exchange. */
  public void merge(long now, List<Claim> theirs) {
    if (over) {
      return;
    }
    theirs.forEach(c -> take(now, c, true));
    if (!theirs.isEmpty() && theirs.get(0).about() != null && theirs.get(0).about().informed()) {
      informed();
    }
  }

  /** The full exchange with an address is over: what it told. */
  public void onExchange(long now, String address, List<Claim> theirs) {
    if (over) {
      return;
    }
    long before = self.incarnation();
    merge(now, theirs);
    Peer p = at(address);
    if (p != null
        && self.incarnation() != before) { // it holds this member dead, and tells its half of that
      out.send(address, message(GossipMessage.Kind.PING, 0, p.claim.name(), "", null));
    }
  }

  /**
   * The full exchange with an address did not come about; {@code refused} where the machine answers
   * and nobody listens.
   */
  public void onUnreachable(String address, boolean refused) {
    for (Peer p : peers.values()) {
      if (p.claim.status() == Status.DEAD && p.claim.about().address().equals(address)) {
        p.refused = refused;
      }
    }
  }

  // ---------------------------------------------------------------- what is known

  public String name() {
    return name;
  }

  /** What this member says of itself. */
  public Claim self() {
    return self;
  }

  /** All others, the dead and those that left included. */
  public Collection<Peer> peers() {
    return Collections.unmodifiableCollection(peers.values());
  }

  /** Others that live as far as anyone can tell. */
  public int livingCount() {
    return livingCount;
  }

  /** Whether another process has this name, and this one tells nothing of itself. */
  public boolean hasYielded() {
    return yielded;
  }

  /** How far it doubts itself, 0 to 8. */
  public int localHealthScore() {
    return awareness.score();
  }

  /** Claims that wait to be passed on. */
  public int queuedGossip() {
    return news.size();
  }

  /** By how much what belongs to all front ends is divided for this one. */
  public double divisor(long now) {
    return FleetShare.divisor(settings, peers.values(), now, own());
  }

  /**
   * How many front ends there likely are, those that may live on the other side of a cut included.
   */
  public double frontEndCount(long now) {
    return FleetShare.count(settings, peers.values(), now, own());
  }

  private FleetShare.Own own() {
    return new FleetShare.Own(startedAt, metAt, known, late, self.about().informed());
  }

  // ---------------------------------------------------------------- claims

  /** Takes in a claim; {@code softly} where a death that is news counts as a suspicion. */
  private void take(long now, Claim heard, boolean softly) {
    if (heard.name().equals(name)) {
      aboutSelf(now, heard);
      return;
    }
    Peer p = peers.get(heard.name());
    if (p == null) {
      if (heard.about() != null && heard.age() < settings.deadRetention() && makeRoom(now)) {
        welcome(now, heard);
      }
      return;
    }
    boolean sameLife = heard.life().equals(p.claim.life());
    if (heard.about() == null && !sameLife) {
      return; // of a life that this member has not heard of yet
    }
    Claim c = heard.about() == null ? heard.with(p.claim.about()) : heard;
    if (softly && c.status() == Status.DEAD && sameLife && p.claim.isLiving()) {
      c = c.with(Status.SUSPECT, c.accuser());
    }
    int order = c.compareTo(p.claim);
    if (order > 0) {
      replace(now, p, c);
    } else if (order == 0 && c.status() == Status.SUSPECT && p.suspicion.confirm(c.accuser())) {
      news.add(c.bare());
      out.startTimer(
          new MembershipTimer(MembershipTimer.Kind.SUSPICION, c.name()),
          Math.max(now, p.suspicion.end()));
    }
  }

  private void welcome(long now, Claim c) {
    Peer p = new Peer(c, c.isLiving() ? now : now - c.age());
    boolean missing = missing(now);
    peers.put(c.name(), p);
    if (!c.isLiving()) {
      return;
    }
    p.late = missing;
    enter(p);
    if (c.status() == Status.SUSPECT) {
      suspect(now, p);
    }
    news.add(c);
    changed(now, Kind.JOINED, c, "");
  }

  private boolean missing(long now) {
    return peers.size() > livingCount && FleetShare.missing(settings, peers.values(), now) > 0;
  }

  private void enter(Peer p) {
    livingCount++;
    ring.add(random.nextInt(ring.size() + 1), p.claim.name());
  }

  /**
   * Counts who met whom once a whole message or exchange is in: the missing may be told behind the
   * first that lives.
   */
  private void meet(long now) {
    if (livingCount > 0 && metAt == 0) {
      metAt = now;
      late = !known && missing(now);
    }
  }

  private void replace(long now, Peer p, Claim c) {
    Claim before = p.claim;
    p.claim = c;
    boolean otherLife = !c.life().equals(before.life());
    if (p.suspicion != null) {
      out.cancelTimer(new MembershipTimer(MembershipTimer.Kind.SUSPICION, c.name()));
      p.suspicion = null;
    }
    if (before.status() != c.status() || otherLife) {
      p.since = c.isLiving() ? now : now - c.age();
    }
    if (c.isLiving() && !before.isLiving()) {
      p.refused = false;
      enter(p);
    } else if (!c.isLiving() && before.isLiving()) {
      livingCount--;
      ring.remove(c.name());
    }
    if (c.status() == Status.SUSPECT) {
      suspect(now, p);
    }
    news.add(c.status() == Status.ALIVE || otherLife ? c : c.bare());
    Kind kind = kind(before, c, otherLife);
    if (kind != null) {
      changed(now, kind, c, c.accuser());
    }
  }

  private static Kind kind(Claim before, Claim c, boolean otherLife) {
    if (otherLife && c.isLiving()) {
      return Kind.RESTARTED;
    }
    return switch (c.status()) {
      case LEFT -> Kind.LEFT;
      case DEAD -> before.isLiving() ? Kind.DIED : null;
      case SUSPECT -> Kind.SUSPECTED;
      case ALIVE ->
          switch (before.status()) {
            case SUSPECT -> Kind.REFUTED;
            case DEAD, LEFT -> Kind.RETURNED;
            case ALIVE -> c.about().state() != before.about().state() ? Kind.SAID : null;
          };
    };
  }

  private void suspect(long now, Peer p) {
    p.suspicion = new Suspicion(now, settings.interval(), livingCount + 1);
    p.suspicion.confirm(p.claim.accuser());
    out.startTimer(
        new MembershipTimer(MembershipTimer.Kind.SUSPICION, p.claim.name()), p.suspicion.end());
  }

  private void suspicionOver(long now, MembershipTimer t, long late) {
    Peer p = peers.get(t.subject());
    if (p == null || p.suspicion == null) {
      return;
    }
    long least = Suspicion.least(settings.interval(), livingCount + 1);
    if (isLate(
        late)) { // guards the healthy against a pause of this member: what refutes may lie unread
      out.startTimer(t, now + least);
    } else {
      take(now, p.claim.with(Status.DEAD, p.claim.accuser()), false);
    }
  }

  /** Makes room for one more; false where all that are known live. */
  private boolean makeRoom(long now) {
    if (peers.size() < settings.maxMembers()) {
      return true;
    }
    Peer longest = null;
    for (Peer p : peers.values()) {
      if (!p.claim.isLiving() && (longest == null || p.since < longest.since)) {
        longest = p;
      }
    }
    if (longest == null) {
      return false;
    }
    forget(now, longest);
    return true;
  }

  private void forget(long now, Peer p) {
    peers.remove(p.claim.name());
    news.drop(p.claim.name());
    changed(now, Kind.FORGOTTEN, p.claim, "");
  }

  // ---------------------------------------------------------------- what is said of this member

  private void aboutSelf(long now, Claim c) {
    if (c.life().startId() != self.life().startId()) {
      namesake(now, c);
    } else if (!over
        && c.life().equals(self.life())
        && c.status() != Status.ALIVE
        && c.incarnation() >= self.incarnation()) {
      self =
          new Claim(
              name, self.life(), refuting(c.incarnation()), Status.ALIVE, self.about(), "", 0);
      awareness.worse(settings.usesLocalHealth() ? 1 : 0);
      changed(now, Kind.ACCUSED_SELF, c.with(self.about()), c.accuser());
      announce();
    }
  }

  /** The incarnation that refutes what was said of another. */
  protected long refuting(long accused) {
    return accused + 1;
  }

  /** Another process has or had this name. */
  private void namesake(long now, Claim c) {
    known |=
        metAt == 0
            && (c.isLiving() || c.status() == Status.DEAD && c.age() < settings.deadConfirmation());
    if (yielded) {
      Peer holder = peers.get(name);
      if (c.compareTo(holder.claim) > 0
          && (c.about() != null || c.life().equals(holder.claim.life()))) {
        holder.claim = c.about() == null ? c.with(holder.claim.about()) : c;
      }
      if (!holder.claim.isLiving()) {
        peers.remove(name);
        yielded = false;
        rename(holder.claim);
      }
      return;
    }
    if (c.life().compareTo(self.life()) < 0) {
      return; // it is told of, or hears by itself, who has the name now
    }
    boolean former =
        !c.isLiving() || c.about() == null || c.about().address().equals(self.about().address());
    if (!former) {
      changed(now, Kind.CLASH, c, c.about().address());
    }
    if (former || Long.compareUnsigned(self.life().startId(), c.life().startId()) > 0) {
      rename(c);
    } else {
      yielded = true;
      peers.put(name, new Peer(c, now));
      news.drop(name);
      changed(now, Kind.YIELDED, c, c.about().address());
      out.send(c.about().address(), message(GossipMessage.Kind.CLASH, 0, name, "", null));
    }
  }

  /** Takes the name with a life that comes after another's. */
  private void rename(Claim after) {
    self =
        new Claim(
            name,
            new ProcessGeneration(after.life().number() + 1, self.life().startId()),
            0,
            Status.ALIVE,
            self.about(),
            "",
            0);
    announce();
  }

  private void announce() {
    if (!yielded) {
      news.add(self);
    }
  }

  /** What the other must know of itself, as it is not what it says; or null. */
  private static Claim unlike(Peer p, Claim said) {
    return p != null && (p.claim.status() != Status.ALIVE || !p.claim.life().equals(said.life()))
        ? p.claim
        : null;
  }

  // ---------------------------------------------------------------- probes

  private void probe(long now, long late) {
    meet(now);
    conclude(now, late);
    out.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.PROBE),
        now + awareness.stretch(settings.interval()));
    Peer p = yielded ? null : nextTarget();
    if (p == null) {
      return;
    }
    probe = new Probe(p.claim.name(), nextSeq++, now);
    out.send(
        p.claim.about().address(),
        message(GossipMessage.Kind.PING, probe.seq, probe.target, "", unlike(p, p.claim)));
    out.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.DIRECT),
        now + awareness.stretch(settings.timeout()));
  }

  private Peer nextTarget() {
    if (next >= ring.size()) {
      shuffle(ring);
      next = 0;
    }
    return next < ring.size() ? peers.get(ring.get(next++)) : null;
  }

  private void conclude(long now, long late) {
    Probe p = probe;
    probe = null;
    if (p == null) {
      return;
    }
    if (p.answered) {
      awareness.better();
      return;
    }
    if (isLate(
        late)) { // guards the healthy against a pause of this member: the answer may lie unread
      awareness.worse(1);
      return;
    }
    if (settings.usesLocalHealth()) {
      awareness.worse(p.noes > 0 ? 0 : 1); // a single no proves that this member is heard and hears
    }
    Peer target = peers.get(p.target);
    if (target != null && target.claim.isLiving()) {
      take(now, target.claim.with(Status.SUSPECT, name).bare(), false);
    }
  }

  private boolean isLate(long late) {
    return settings.usesLocalHealth() && late > settings.timeout() / LATE_PART;
  }

  private void askOthers(long now) {
    Peer target = probe == null || probe.answered ? null : peers.get(probe.target);
    if (target == null) {
      return;
    }
    probe.asked = true;
    out.send(
        target.claim.about().address(),
        message(
            GossipMessage.Kind.PING, probe.seq, probe.target, "", unlike(target, target.claim)));
    for (Peer helper : some(HELPERS, probe.target)) {
      out.send(
          helper.claim.about().address(),
          message(
              GossipMessage.Kind.ASK,
              probe.seq,
              probe.target,
              target.claim.about().address(),
              null));
    }
  }

  private void ask(long now, GossipMessage m) {
    if (yielded || forwards.size() >= MOST_FORWARDS) {
      return;
    }
    long seq = nextSeq++;
    forwards.put(seq, new Forward(m.seq(), m.target(), m.from().about().address()));
    Peer target = peers.get(m.target());
    out.send(
        m.address(),
        message(
            GossipMessage.Kind.PING,
            seq,
            m.target(),
            "",
            target == null ? null : unlike(target, target.claim)));
    out.startTimer(
        new MembershipTimer(MembershipTimer.Kind.FORWARD, Long.toString(seq)),
        now + settings.timeout());
  }

  private void answered(long now, GossipMessage m) {
    if (probe != null && probe.seq == m.seq()) {
      Peer p = peers.get(probe.target);
      if (p != null && m.from().name().equals(probe.target)) {
        p.roundTrip = probe.asked ? p.roundTrip : now - probe.sentAt;
      }
      probe.answered = true;
    }
    Forward f = forwards.remove(m.seq());
    if (f != null) {
      out.cancelTimer(new MembershipTimer(MembershipTimer.Kind.FORWARD, Long.toString(m.seq())));
      out.send(f.address, message(GossipMessage.Kind.ACK, f.seq, f.target, "", null));
    }
  }

  /**
   * An address answers a probe with another name: whoever was probed is gone from there, and would
   * have said where to.
   */
  private void stranger(long now, GossipMessage m) {
    Peer p = probe != null && probe.seq == m.seq() ? peers.get(probe.target) : null;
    if (p != null
        && p.claim.isLiving()
        && p.claim.about().address().equals(m.from().about().address())) {
      take(now, p.claim.with(Status.DEAD, m.from().name()), false);
      p.refused = true;
    }
  }

  // ---------------------------------------------------------------- full exchanges

  private void exchange(long now) {
    for (Peer p : List.copyOf(peers.values())) {
      if (!p.claim.isLiving() && now - p.since >= settings.deadRetention()) {
        forget(now, p);
      }
    }
    if (now - startedAt >= settings.deadRetention()) {
      informed();
    }
    if (!missing(now)) { // whole again: who came meanwhile is one of all
      late = false;
      peers.values().forEach(p -> p.late = false);
    }
    for (Peer p : some(1, "")) {
      out.exchange(p.claim.about().address());
    }
    if (yielded) {
      out.send(
          peers.get(name).claim.about().address(),
          message(GossipMessage.Kind.CLASH, 0, name, "", null));
    }
    out.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.EXCHANGE), now + spread(untilExchange(now)));
  }

  /**
   * News that probes lost is found sooner while there is news; the more members, the more an
   * exchange costs.
   */
  private long untilExchange(long now) {
    boolean stirs = now - changedAt < settings.exchangeInterval();
    return (long)
        (settings.exchangeInterval() * Math.max(1, livingCount / FEW) / (stirs ? HASTE : 1));
  }

  private void reconnect(long now) {
    List<String> lost = lost();
    boolean alone = livingCount == 0;
    if (alone) {
      shuffle(lost);
      lost.subList(0, Math.min(HELPERS, lost.size())).forEach(out::exchange);
    } else if (random.nextDouble() * livingCount < TRIES_EACH * lost.size()) {
      out.exchange(lost.get(random.nextInt(lost.size())));
    }
    joinWait = alone ? Math.min(settings.reconnectInterval(), 2 * joinWait) : FIRST_JOIN;
    out.startTimer(
        MembershipTimer.of(MembershipTimer.Kind.RECONNECT),
        now + spread(alone ? joinWait : settings.reconnectInterval()));
  }

  /** Addresses where somebody should be and nobody is. */
  protected List<String> lost() {
    Set<String> lost =
        new TreeSet<>(setSeeds); // in order: guards a seed's course against that of a hash table
    peers.values().stream()
        .filter(p -> p.claim.status() == Status.DEAD)
        .forEach(p -> lost.add(p.claim.about().address()));
    peers.values().stream()
        .filter(p -> p.claim.isLiving())
        .forEach(p -> lost.remove(p.claim.about().address()));
    lost.remove(self.about().address());
    return new ArrayList<>(lost);
  }

  /** Who lives at an address, or null. */
  private Peer at(String address) {
    for (Peer p : peers.values()) {
      if (p.claim.isLiving() && p.claim.about().address().equals(address)) {
        return p;
      }
    }
    return null;
  }

  // ---------------------------------------------------------------- small parts

  /** So many members drawn from those that are held alive, but for one. */
  private List<Peer> some(int most, String but) {
    List<Peer> drawn = new ArrayList<>(most);
    for (int tries = 4 * most; tries > 0 && drawn.size() < most && !ring.isEmpty(); tries--) {
      Peer p = peers.get(ring.get(random.nextInt(ring.size())));
      if (p.claim.status() == Status.ALIVE && !p.claim.name().equals(but) && !drawn.contains(p)) {
        drawn.add(p);
      }
    }
    return drawn;
  }

  private GossipMessage message(
      GossipMessage.Kind kind, long seq, String target, String address, Claim first) {
    int room = NEWS_BYTES - (first == null ? 0 : first.weight());
    List<Claim> riders = news.take(room, livingCount + 1);
    if (first != null) {
      riders.removeIf(c -> c.name().equals(first.name()));
      riders.add(0, first);
    }
    return new GossipMessage(kind, seq, target, address, self, riders);
  }

  private void shuffle(List<String> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, random.nextInt(i + 1));
    }
  }

  /**
   * Between a half and one and a half of a time: what all do at one time, they do not do at one
   * moment.
   */
  private long spread(long time) {
    return (long) (time * (0.5 + random.nextDouble()));
  }

  private void changed(long now, Kind kind, Claim claim, String by) {
    changedAt = now;
    out.onMembershipChange(new MembershipChange(now, kind, claim, by));
  }
}
