package umberrun.fleet.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import umberrun.fleet.About;
import umberrun.fleet.Claim;
import umberrun.fleet.GossipMessage;
import umberrun.fleet.Membership;
import umberrun.fleet.MembershipChange;
import umberrun.fleet.MembershipOutbox;
import umberrun.fleet.MembershipSettings;
import umberrun.fleet.MembershipTimer;
import umberrun.fleet.Peer;
import umberrun.fleet.ProcessGeneration;
import umberrun.sim.VirtualNetwork;

/**
 * A fleet on the virtual network: the state machines that the program runs, faults by the hand of a
 * seed or a caller, and checks after each step. A broken check names what broke and when; the seed
 * plays it again.
 */
public final class FleetSimulation {
  /** Makes a membership; tests put in ones that are broken on purpose. */
  public interface Factory {
    Membership make(
        MembershipSettings settings,
        String name,
        long startId,
        About about,
        RandomGenerator random,
        MembershipOutbox out);
  }

  /** A check that does not hold. */
  public static final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvariantViolation(String message) {
      super(message);
    }
  }

  /** An exchange with a machine that does not answer is given up after this. */
  private static final long EXCHANGE_MICROS = 2_000_000;

  /** How long one that stutters goes on between its stops. */
  private static final long STRIDE = 1_000;

  private static final long APART = 600_000_000;
  private static final int FEW = 64;
  private static final int SELDOM = 64;

  /** One machine, and the process on it where one runs. */
  private final class Node implements MembershipOutbox {
    final int number;
    String name;
    final Map<MembershipTimer, VirtualNetwork.ScheduledTask> timers = new HashMap<>();
    final Map<String, ProcessGeneration> newest = new HashMap<>();
    Membership process;

    Node(int number) {
      this.number = number;
      this.name = "n" + number;
    }

    /** Its own clock: those of any two machines are minutes apart. */
    long clock() {
      return net.now() + number * APART;
    }

    void start() {
      net.discardPending(number);
      timers.clear();
      newest.clear();
      process =
          maker.make(
              settings,
              name,
              random.nextLong(),
              new About(
                  "hall-" + number % 3, address(number), About.State.SERVING, "", "", "", 0, false),
              random.split(),
              this);
      Membership p = process;
      net.at(
          number,
          net.now(),
          () -> {
            if (process == p) {
              p.start(clock());
            }
          });
    }

    @Override
    public void send(String address, GossipMessage message) {
      Integer to = numbers.get(address);
      packets++;
      bytes += size == null ? 0 : size.applyAsInt(message);
      if (to != null) {
        net.send(number, to, () -> nodes[to].hear(message));
      }
    }

    private void hear(GossipMessage message) {
      if (process != null) {
        process.receive(clock(), message);
        check(this);
      }
    }

    @Override
    public void exchange(String address) {
      Integer to = numbers.get(address);
      Membership p = process;
      long wait = 2 * net.delay();
      if (to == null || to == number || !net.isOpen(number, to) || net.isPaused(to)) {
        net.at(number, net.now() + EXCHANGE_MICROS, () -> unreachable(p, address, false));
      } else if (nodes[to].process == null) {
        net.at(number, net.now() + wait, () -> unreachable(p, address, true));
      } else {
        List<Claim> mine = p.claims(clock());
        net.at(
            to,
            net.now() + wait,
            () -> {
              Membership other = nodes[to].process;
              if (other != null && net.isOpen(number, to)) {
                other.merge(nodes[to].clock(), mine);
                check(nodes[to]);
                List<Claim> theirs = other.claims(nodes[to].clock());
                net.at(
                    number,
                    net.now() + wait,
                    () -> {
                      if (process == p) {
                        p.onExchange(clock(), address, theirs);
                        check(this);
                      }
                    });
              } else {
                net.at(number, net.now() + wait, () -> unreachable(p, address, other == null));
              }
            });
      }
    }

    private void unreachable(Membership p, String address, boolean refused) {
      if (process == p) {
        p.onUnreachable(address, refused);
      }
    }

    @Override
    public void startTimer(MembershipTimer timer, long at) {
      cancelTimer(timer);
      Membership p = process;
      timers.put(
          timer,
          net.at(
              number,
              at - clock() + net.now(),
              () -> {
                if (process == p) {
                  timers.remove(timer);
                  process.onTimer(clock(), timer, clock() - at);
                  check(this);
                }
              }));
    }

    @Override
    public void cancelTimer(MembershipTimer timer) {
      VirtualNetwork.ScheduledTask before = timers.remove(timer);
      if (before != null) {
        before.cancel();
      }
    }

    @Override
    public void onMembershipChange(MembershipChange c) {
      Integer who = numbers.get(c.claim().about().address());
      boolean well =
          who != null
              && nodes[who].process != null
              && !net.isPaused(who)
              && !net.isCut()
              && nodes[who].process.self().life().equals(c.claim().life());
      if (c.kind() == MembershipChange.Kind.SUSPECTED && well && c.by().equals(name)) {
        wrongSuspicions++;
      } else if (c.kind() == MembershipChange.Kind.DIED) {
        wrongDeaths +=
            well && buried.add(c.claim().name() + c.claim().life() + c.claim().incarnation())
                ? 1
                : 0;
        if (who != null && nodes[who].process == null && killedAt[who] > 0) {
          detected.add(net.now() - killedAt[who]);
        }
      }
    }
  }

  private final MembershipSettings settings;
  private final SplittableRandom random;
  private final VirtualNetwork net;
  private final Factory maker;
  private final Node[] nodes;
  private final Map<String, Integer> numbers = new HashMap<>();
  private final long[] killedAt;
  private ToIntFunction<GossipMessage> size;
  private int slow = -1;
  private long checks;
  private boolean checked = true;
  private long packets;
  private long bytes;
  private long wrongSuspicions;
  private long wrongDeaths;
  private final Set<String> buried = new HashSet<>();
  private final List<Long> detected = new ArrayList<>();

  /**
   * A fleet of {@code size} machines, all of which start at once and are told of the first three.
   */
  public FleetSimulation(int size, MembershipSettings settings, long seed, Factory maker) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.maker = maker;
    this.net = new VirtualNetwork(size, random.split());
    this.nodes = new Node[size];
    this.killedAt = new long[size];
    net.setLinks(0, 0, 200, 2_000);
    for (int i = 0; i < size; i++) {
      nodes[i] = new Node(i);
      numbers.put(address(i), i);
    }
    for (Node n : nodes) {
      n.start();
    }
  }

  /** Where a machine listens. */
  public static String address(int number) {
    return "n" + number + ":1";
  }

  /** The settings of a trial: the first three machines are named in the list. */
  public static MembershipSettings settings(int size) {
    return MembershipSettings.defaults("trial", List.of(address(0), address(1), address(2)), size);
  }

  // ---------------------------------------------------------------- faults

  public VirtualNetwork net() {
    return net;
  }

  public void kill(int node) {
    nodes[node].process = null;
    nodes[node].timers.values().forEach(VirtualNetwork.ScheduledTask::cancel);
    net.discardPending(node);
    killedAt[node] = net.now();
  }

  /** A process begins under the name and address of the one before, which is gone. */
  public void start(int node) {
    if (nodes[node].process != null) {
      kill(node);
    }
    killedAt[node] = 0;
    nodes[node].start();
  }

  /** A process begins under another name at this machine's address. */
  public void start(int node, String name) {
    kill(node);
    nodes[node].name = name;
    start(node);
  }

  /** Cuts the machines for which {@code side} differs from each other. */
  public void cut(ToIntFunction<Integer> side) {
    for (int a = 0; a < nodes.length; a++) {
      for (int b = 0; b < nodes.length; b++) {
        if (side.applyAsInt(a) != side.applyAsInt(b)) {
          net.cut(a, b);
        }
      }
    }
  }

  /**
   * One machine stands still for so long again and again, and goes on for a moment only in between;
   * -1 ends that.
   */
  public void slow(int node, long by) {
    slow = node;
    if (node >= 0 && by > 0) {
      stutter(node, by);
    }
  }

  private void stutter(int node, long by) {
    if (slow == node) {
      net.pause(node);
      net.at(net.now() + by, () -> net.resume(node));
      net.at(net.now() + by + STRIDE, () -> stutter(node, by));
    }
  }

  // ---------------------------------------------------------------- what is seen

  /** Counts bytes too, by what a message takes. */
  public void measure(ToIntFunction<GossipMessage> sizeOf) {
    size = sizeOf;
  }

  public void unchecked() {
    checked = false;
  }

  public boolean lives(int node) {
    return nodes[node].process != null;
  }

  public Membership process(int node) {
    return nodes[node].process;
  }

  /** What a machine's own clock says. */
  public long clock(int node) {
    return nodes[node].clock();
  }

  public long packets() {
    return packets;
  }

  public long bytes() {
    return bytes;
  }

  public long wrongSuspicions() {
    return wrongSuspicions;
  }

  public long wrongDeaths() {
    return wrongDeaths;
  }

  /**
   * How long after it was killed each member that still lives held a machine dead, in microseconds.
   */
  public List<Long> detected() {
    return detected;
  }

  /**
   * Whether all that live tell the same: just those that live, none suspected, in their own words.
   */
  public boolean isSettled() {
    return unsettled() == null;
  }

  /** Whether each one that lives counts as many others as there are. */
  public boolean countsRight() {
    long living = Arrays.stream(nodes).filter(n -> n.process != null).count();
    return Arrays.stream(nodes)
        .allMatch(
            n ->
                n.process == null
                    || net.isPaused(n.number)
                    || n.process.livingCount() == living - 1);
  }

  /** Who does not tell what is, or null. */
  public String unsettled() {
    int living = 0;
    for (Node n : nodes) {
      living += n.process == null ? 0 : 1;
    }
    for (Node n : nodes) {
      if (n.process == null || net.isPaused(n.number)) {
        continue;
      }
      if (n.process.livingCount() != living - 1) {
        return n.name + " sees " + n.process.livingCount() + " others, " + (living - 1) + " live";
      }
      for (Peer p : n.process.peers()) {
        Node of = nodes[numbers.get(p.claim().about().address())];
        if (p.claim().isLiving()
            && (of.process == null
                || p.claim().status() != Claim.Status.ALIVE
                || !p.claim().equals(of.process.self()))) {
          return n.name + " holds " + p.claim();
        }
      }
    }
    return null;
  }

  /** Runs until all agree; how long that took, or -1 where they do not within {@code most}. */
  public long settle(long most) {
    long begun = net.now();
    long step = Math.max(10 * MembershipSettings.MS, most / 400);
    while (net.now() - begun <= most) {
      if (isSettled()) {
        return net.now() - begun;
      }
      net.run(net.now() + step);
    }
    return -1;
  }

  /** All shares of what belongs to all front ends, added up. */
  public double shares() {
    return Arrays.stream(nodes)
        .filter(n -> n.process != null)
        .mapToDouble(n -> 1 / n.process.divisor(n.clock()))
        .sum();
  }

  // ---------------------------------------------------------------- checks after each step

  private void check(Node n) {
    checks++;
    if (!checked || n.process == null || nodes.length > FEW && checks % SELDOM != 0) {
      return;
    }
    int living = 0;
    for (Peer p : n.process.peers()) {
      Claim c = p.claim();
      ProcessGeneration before = n.newest.put(c.name(), c.life());
      if (before != null && before.compareTo(c.life()) > 0) {
        throw new InvariantViolation(n.name + " went back from life " + before + " to " + c);
      }
      living +=
          c.isLiving() && !c.name().equals(n.name)
              ? 1
              : 0; // who has yielded keeps the one it yielded to
      if (p.since() > n.clock()
          || c.status() == Claim.Status.SUSPECT != p.accusers().iterator().hasNext()) {
        throw new InvariantViolation(n.name + " is at odds with itself about " + c);
      }
    }
    if (living != n.process.livingCount()) {
      throw new InvariantViolation(
          n.name + " counts " + n.process.livingCount() + " that live and holds " + living);
    }
    if (n.process.peers().size() > settings.maxMembers()
        || n.process.queuedGossip() > settings.maxMembers() + 1) {
      throw new InvariantViolation(n.name + " exceeds its bounds");
    }
  }
}
