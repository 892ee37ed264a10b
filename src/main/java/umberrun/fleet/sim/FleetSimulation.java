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
 * Simulates a fleet on a {@link VirtualNetwork} with the same {@link Membership} that the program
 * runs. The caller injects faults; invariants are checked after each step. A run is reproducible
 * from its seed. Times are in microseconds.
 */
public final class FleetSimulation {
  /** Creates a membership; tests substitute faulty variants. */
  public interface Factory {
    Membership make(
        MembershipSettings settings,
        String name,
        long startId,
        About about,
        RandomGenerator random,
        MembershipOutbox out);
  }

  /** Thrown when a checked invariant does not hold. */
  public static final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvariantViolation(String message) {
      super(message);
    }
  }

  /** Timeout of a full exchange with a machine that does not answer. */
  private static final long EXCHANGE_TIMEOUT_MICROS = 2_000_000;

  /** How long a slow machine runs between two pauses. */
  private static final long RUN_BETWEEN_PAUSES_MICROS = 1_000;

  /** Difference between the clocks of two machines with consecutive numbers. */
  private static final long CLOCK_OFFSET_MICROS = 600_000_000;

  /** Up to this number of machines every step is checked. */
  private static final int MAX_FULLY_CHECKED_SIZE = 64;

  /** In larger fleets, one step in this many is checked. */
  private static final int CHECK_INTERVAL_STEPS = 64;

  /** One machine and the process that runs on it; {@code process} is null where none runs. */
  private final class Node implements MembershipOutbox {
    final int number;
    String name;
    final Map<MembershipTimer, VirtualNetwork.ScheduledTask> timers = new HashMap<>();

    /** The last generation seen of each member, to check that none goes back. */
    final Map<String, ProcessGeneration> lastGenerations = new HashMap<>();

    Membership process;

    Node(int number) {
      this.number = number;
      this.name = "n" + number;
    }

    /** The clock of this machine; the clocks of any two machines are at least ten minutes apart. */
    long clock() {
      return net.now() + number * CLOCK_OFFSET_MICROS;
    }

    void start() {
      net.discardPending(number);
      timers.clear();
      lastGenerations.clear();
      process =
          factory.make(
              settings,
              name,
              random.nextLong(),
              new About(
                  "hall-" + number % 3, address(number), About.State.SERVING, "", "", "", 0, false),
              random.split(),
              this);
      Membership current = process;
      net.at(
          number,
          net.now(),
          () -> {
            if (process == current) {
              current.start(clock());
            }
          });
    }

    @Override
    public void send(String address, GossipMessage message) {
      Integer to = numbers.get(address);
      packets++;
      bytes += messageSize == null ? 0 : messageSize.applyAsInt(message);
      if (to != null) {
        net.send(number, to, () -> nodes[to].receive(message));
      }
    }

    private void receive(GossipMessage message) {
      if (process != null) {
        process.receive(clock(), message);
        check(this);
      }
    }

    @Override
    public void exchange(String address) {
      Integer to = numbers.get(address);
      Membership current = process;
      long delay = 2 * net.delay();
      if (to == null || to == number || !net.isOpen(number, to) || net.isPaused(to)) {
        net.at(
            number,
            net.now() + EXCHANGE_TIMEOUT_MICROS,
            () -> unreachable(current, address, false));
      } else if (nodes[to].process == null) {
        net.at(number, net.now() + delay, () -> unreachable(current, address, true));
      } else {
        List<Claim> mine = current.claims(clock());
        net.at(
            to,
            net.now() + delay,
            () -> {
              Membership other = nodes[to].process;
              if (other != null && net.isOpen(number, to)) {
                other.merge(nodes[to].clock(), mine);
                check(nodes[to]);
                List<Claim> theirs = other.claims(nodes[to].clock());
                net.at(
                    number,
                    net.now() + delay,
                    () -> {
                      if (process == current) {
                        current.onExchange(clock(), address, theirs);
                        check(this);
                      }
                    });
              } else {
                net.at(
                    number, net.now() + delay, () -> unreachable(current, address, other == null));
              }
            });
      }
    }

    private void unreachable(Membership requester, String address, boolean refused) {
      if (process == requester) {
        requester.onUnreachable(address, refused);
      }
    }

    @Override
    public void startTimer(MembershipTimer timer, long at) {
      cancelTimer(timer);
      Membership current = process;
      timers.put(
          timer,
          net.at(
              number,
              at - clock() + net.now(),
              () -> {
                if (process == current) {
                  timers.remove(timer);
                  process.onTimer(clock(), timer, clock() - at);
                  check(this);
                }
              }));
    }

    @Override
    public void cancelTimer(MembershipTimer timer) {
      VirtualNetwork.ScheduledTask running = timers.remove(timer);
      if (running != null) {
        running.cancel();
      }
    }

    @Override
    public void onMembershipChange(MembershipChange change) {
      Integer subject = numbers.get(change.claim().about().address());
      boolean healthy =
          subject != null
              && nodes[subject].process != null
              && !net.isPaused(subject)
              && !net.isCut()
              && nodes[subject].process.self().generation().equals(change.claim().generation());
      if (change.kind() == MembershipChange.Kind.SUSPECTED && healthy && change.by().equals(name)) {
        falseSuspicions++;
      } else if (change.kind() == MembershipChange.Kind.DIED) {
        falseDeaths +=
            healthy
                    && countedDeaths.add(
                        change.claim().name()
                            + change.claim().generation()
                            + change.claim().incarnation())
                ? 1
                : 0;
        if (subject != null && nodes[subject].process == null && killedAt[subject] > 0) {
          detectionTimes.add(net.now() - killedAt[subject]);
        }
      }
    }
  }

  private final MembershipSettings settings;
  private final SplittableRandom random;
  private final VirtualNetwork net;
  private final Factory factory;
  private final Node[] nodes;
  private final Map<String, Integer> numbers = new HashMap<>();
  private final long[] killedAt;

  /** Returns the bytes of a message; null where they are not counted. */
  private ToIntFunction<GossipMessage> messageSize;

  /** The machine that is slow, or -1. */
  private int slowNode = -1;

  private long steps;
  private boolean checksEnabled = true;
  private long packets;
  private long bytes;
  private long falseSuspicions;
  private long falseDeaths;
  private final Set<String> countedDeaths = new HashSet<>();
  private final List<Long> detectionTimes = new ArrayList<>();

  /** Creates a fleet of {@code size} machines, which all start at once. */
  public FleetSimulation(int size, MembershipSettings settings, long seed, Factory factory) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.factory = factory;
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

  /** The address of a machine. */
  public static String address(int number) {
    return "n" + number + ":1";
  }

  /** The settings of a simulation, with the first three machines as seeds. */
  public static MembershipSettings settings(int size) {
    return MembershipSettings.defaults("trial", List.of(address(0), address(1), address(2)), size);
  }

  // ---------------------------------------------------------------- faults

  public VirtualNetwork net() {
    return net;
  }

  /** Ends the process on a machine without an announcement. */
  public void kill(int node) {
    nodes[node].process = null;
    nodes[node].timers.values().forEach(VirtualNetwork.ScheduledTask::cancel);
    net.discardPending(node);
    killedAt[node] = net.now();
  }

  /** Starts a new process on a machine, under the present name; a running one is killed. */
  public void start(int node) {
    if (nodes[node].process != null) {
      kill(node);
    }
    killedAt[node] = 0;
    nodes[node].start();
  }

  /** Kills the process on a machine and starts one under another name. */
  public void start(int node, String name) {
    kill(node);
    nodes[node].name = name;
    start(node);
  }

  /** Cuts all links between machines for which {@code side} returns different values. */
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
   * Makes one machine slow: it pauses for a duration again and again and runs for a moment only in
   * between.
   *
   * @param node the machine; -1 for none
   * @param pause the duration of a pause in microseconds
   */
  public void setSlowNode(int node, long pause) {
    slowNode = node;
    if (node >= 0 && pause > 0) {
      pauseRepeatedly(node, pause);
    }
  }

  private void pauseRepeatedly(int node, long pause) {
    if (slowNode == node) {
      net.pause(node);
      net.at(net.now() + pause, () -> net.resume(node));
      net.at(net.now() + pause + RUN_BETWEEN_PAUSES_MICROS, () -> pauseRepeatedly(node, pause));
    }
  }

  // ---------------------------------------------------------------- measurements

  /** Counts the bytes of messages with a function that returns the size of one; null ends it. */
  public void setMessageSizer(ToIntFunction<GossipMessage> sizeOf) {
    messageSize = sizeOf;
  }

  /** Disables the checks after each step. */
  public void disableChecks() {
    checksEnabled = false;
  }

  /** Whether a process runs on a machine. */
  public boolean isRunning(int node) {
    return nodes[node].process != null;
  }

  /** The process on a machine; null where none runs. */
  public Membership process(int node) {
    return nodes[node].process;
  }

  /** The time on the clock of a machine. */
  public long clock(int node) {
    return nodes[node].clock();
  }

  public long packets() {
    return packets;
  }

  public long bytes() {
    return bytes;
  }

  /** The suspicions raised by a member against one that was running and reachable. */
  public long falseSuspicions() {
    return falseSuspicions;
  }

  /** The incarnations of running and reachable members that some member declared dead. */
  public long falseDeaths() {
    return falseDeaths;
  }

  /** The times from the kill of a machine until each other member held it dead, in microseconds. */
  public List<Long> detectionTimes() {
    return detectionTimes;
  }

  /**
   * Whether the views of all running members that are not paused agree: they contain exactly the
   * running members as living, unsuspected, and with the latest claims of these.
   */
  public boolean isSettled() {
    return disagreement() == null;
  }

  /** Whether each running member that is not paused counts the right number of others. */
  public boolean hasCorrectCounts() {
    long living = Arrays.stream(nodes).filter(n -> n.process != null).count();
    return Arrays.stream(nodes)
        .allMatch(
            n ->
                n.process == null
                    || net.isPaused(n.number)
                    || n.process.livingCount() == living - 1);
  }

  /** Describes the first disagreement between a view and the fleet; null where there is none. */
  public String disagreement() {
    int living = 0;
    for (Node n : nodes) {
      living += n.process == null ? 0 : 1;
    }
    for (Node n : nodes) {
      if (n.process == null || net.isPaused(n.number)) {
        continue;
      }
      if (n.process.livingCount() != living - 1) {
        return n.name
            + " counts "
            + n.process.livingCount()
            + " living others, not "
            + (living - 1);
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

  /**
   * Runs until all views agree.
   *
   * @return how long that took, or -1 if they do not agree within {@code timeout}
   */
  public long awaitAgreement(long timeout) {
    long startedAt = net.now();
    long step = Math.max(10 * MembershipSettings.MS, timeout / 400);
    while (net.now() - startedAt <= timeout) {
      if (isSettled()) {
        return net.now() - startedAt;
      }
      net.run(net.now() + step);
    }
    return -1;
  }

  /** The sum of the shares that all running members take of the common resources. */
  public double totalShare() {
    return Arrays.stream(nodes)
        .filter(n -> n.process != null)
        .mapToDouble(n -> 1 / n.process.divisor(n.clock()))
        .sum();
  }

  // ---------------------------------------------------------------- invariants

  private void check(Node node) {
    steps++;
    if (!checksEnabled
        || node.process == null
        || nodes.length > MAX_FULLY_CHECKED_SIZE && steps % CHECK_INTERVAL_STEPS != 0) {
      return;
    }
    int living = 0;
    for (Peer peer : node.process.peers()) {
      Claim claim = peer.claim();
      ProcessGeneration before = node.lastGenerations.put(claim.name(), claim.generation());
      if (before != null && before.compareTo(claim.generation()) > 0) {
        throw new InvariantViolation(
            node.name + " went back from generation " + before + " to " + claim);
      }
      // A member that has yielded its name holds the new owner under it, but does not count it.
      living += claim.isLiving() && !claim.name().equals(node.name) ? 1 : 0;
      if (peer.statusSince() > node.clock()
          || claim.status() == Claim.Status.SUSPECT != peer.accusers().iterator().hasNext()) {
        throw new InvariantViolation(node.name + " holds inconsistent state about " + claim);
      }
    }
    if (living != node.process.livingCount()) {
      throw new InvariantViolation(
          node.name
              + " counts "
              + node.process.livingCount()
              + " living members but holds "
              + living);
    }
    if (node.process.peers().size() > settings.maxMembers()
        || node.process.queuedGossip() > settings.maxMembers() + 1) {
      throw new InvariantViolation(node.name + " exceeds the limit of members or of queued gossip");
    }
  }
}
